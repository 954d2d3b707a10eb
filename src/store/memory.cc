// In-memory platform with fault injection.
#include "turmericwing/store/memory.h"

#include "turmericwing/base/hash.h"

#include <map>
#include <mutex>
#include <thread>

namespace turmericwing::store {

using Hosts = std::map<std::string, HostEntry>;

struct MemoryPlatform::State {
    explicit State(MemoryOptions options)
        : options_(std::move(options))
        , random_(options_.seed_)
    {
        if (!options_.sleep_)
            options_.sleep_ = [](Duration duration) { std::this_thread::sleep_for(duration); };
    }

    Faults faultsFor(const std::string& client) const
    {
        auto it = clientFaults_.find(client);
        return it == clientFaults_.end() ? defaultFaults_ : it->second;
    }

    // Counts the call and waits for the injected delay. Returns the faults that apply after the delay, or
    // Unavailable during an outage.
    Result<Faults> beginCall(const std::string& client, uint64_t MemoryCounters::*counter)
    {
        Faults faults;
        {
            std::lock_guard lock(mutex_);
            ++(counters_.*counter);
            faults = faultsFor(client);
        }
        if (faults.delay_ > Duration::zero()) {
            options_.sleep_(faults.delay_);
            std::lock_guard lock(mutex_);
            faults = faultsFor(client);
        }
        if (faults.outage_)
            return makeError(ErrorCode::Unavailable, "platform outage");
        return faults;
    }

    // Decides at random whether the response to a write is lost. Must be called with the mutex held.
    bool shouldLoseResponse(const Faults& faults)
    {
        return faults.lostResponse_ > 0 && uniform(random_) < faults.lostResponse_;
    }

    std::optional<Row> findRow(const std::string& key) const
    {
        auto it = rows_.find(key);
        if (it == rows_.end())
            return std::nullopt;
        return it->second;
    }

    bool matches(const ConditionalWrite& write) const
    {
        auto it = rows_.find(write.key_);
        return (it == rows_.end() ? 0 : it->second.version_) == write.expectedVersion_;
    }

    void apply(const ConditionalWrite& write)
    {
        rows_[write.key_] = Row { write.key_, write.value_, write.expectedVersion_ + 1 };
    }

    Result<std::vector<WriteOutcome>> write(
        const std::string& client, const std::vector<ConditionalWrite>& writes, bool atomic)
    {
        BOOST_OUTCOME_TRY(faults, beginCall(client, &MemoryCounters::writes_));
        std::lock_guard lock(mutex_);
        bool allMatch = true;
        for (const auto& write : writes)
            allMatch = allMatch && matches(write);
        std::vector<WriteOutcome> outcomes;
        bool changed = false;
        for (const auto& write : writes) {
            if (atomic ? allMatch : matches(write)) {
                apply(write);
                changed = true;
                outcomes.push_back({ .applied_ = true, .current_ = std::nullopt });
            } else {
                outcomes.push_back({ .applied_ = false, .current_ = findRow(write.key_) });
            }
        }
        if (changed && shouldLoseResponse(faults))
            return makeError(ErrorCode::Unknown, "response lost");
        return outcomes;
    }

    // Returns the newest host list that is at least `lag` old; empty if all are newer.
    Hosts laggedHosts(Duration lag)
    {
        const TimePoint latest = options_.now_() - lag;
        auto it = hostHistory_.upper_bound(latest);
        return it == hostHistory_.begin() ? Hosts {} : std::prev(it)->second;
    }

    void updateHosts(const std::function<void(Hosts&)>& change)
    {
        std::lock_guard lock(mutex_);
        Hosts hosts = hostHistory_.empty() ? Hosts {} : hostHistory_.rbegin()->second;
        change(hosts);
        hostHistory_[options_.now_()] = std::move(hosts);
        // Bounds memory use. A lag that spans more than 4096 changes is not needed.
        if (hostHistory_.size() > 4096)
            hostHistory_.erase(hostHistory_.begin());
    }

    MemoryOptions options_;
    mutable std::mutex mutex_;
    Random random_;
    Faults defaultFaults_;
    std::map<std::string, Faults> clientFaults_;
    MemoryCounters counters_;
    std::map<std::string, Row> rows_;
    std::map<std::string, std::string> objects_;
    std::map<TimePoint, Hosts> hostHistory_; // Host list after each change, by time of change.
};

MemoryPlatform::MemoryPlatform(MemoryOptions options)
    : state_(std::make_shared<State>(std::move(options)))
{
}

Platform MemoryPlatform::platform(const std::string& client) const
{
    auto state = state_;
    Platform out;
    out.table_.get_ = [state, client](const std::string& key) -> Result<std::optional<Row>> {
        BOOST_OUTCOME_TRY(state->beginCall(client, &MemoryCounters::reads_));
        std::lock_guard lock(state->mutex_);
        return state->findRow(key);
    };
    out.table_.scan_ = [state, client](const std::string& prefix, size_t limit) -> Result<std::vector<Row>> {
        BOOST_OUTCOME_TRY(state->beginCall(client, &MemoryCounters::reads_));
        std::lock_guard lock(state->mutex_);
        std::vector<Row> rows;
        for (auto it = state->rows_.lower_bound(prefix);
             it != state->rows_.end() && rows.size() < limit && it->first.starts_with(prefix); ++it)
            rows.push_back(it->second);
        return rows;
    };
    out.table_.writeBatch_
        = [state, client](const auto& writes) { return state->write(client, writes, false); };
    out.table_.transact_ = [state, client](const auto& writes) { return state->write(client, writes, true); };
    out.objects_.put_ = [state, client](const std::string& bytes) -> Result<std::string> {
        BOOST_OUTCOME_TRY(faults, state->beginCall(client, &MemoryCounters::writes_));
        std::string digest = sha256Hex(bytes);
        std::lock_guard lock(state->mutex_);
        state->objects_.try_emplace(digest, bytes);
        if (state->shouldLoseResponse(faults))
            return makeError(ErrorCode::Unknown, "response lost");
        return digest;
    };
    out.objects_.get_ = [state, client](const std::string& digest) -> Result<std::string> {
        BOOST_OUTCOME_TRY(state->beginCall(client, &MemoryCounters::reads_));
        std::lock_guard lock(state->mutex_);
        auto it = state->objects_.find(digest);
        if (it == state->objects_.end())
            return makeError(ErrorCode::NotFound, "no object " + digest);
        return it->second;
    };
    out.hosts_.list_ = [state, client]() -> Result<std::vector<HostEntry>> {
        BOOST_OUTCOME_TRY(faults, state->beginCall(client, &MemoryCounters::reads_));
        std::lock_guard lock(state->mutex_);
        std::vector<HostEntry> entries;
        for (const auto& [name, entry] : state->laggedHosts(faults.hostListLag_))
            entries.push_back(entry);
        return entries;
    };
    return out;
}

void MemoryPlatform::setFaults(const Faults& faults, const std::string& client)
{
    std::lock_guard lock(state_->mutex_);
    if (client.empty())
        state_->defaultFaults_ = faults;
    else
        state_->clientFaults_[client] = faults;
}

void MemoryPlatform::clearFaults(const std::string& client)
{
    std::lock_guard lock(state_->mutex_);
    state_->clientFaults_.erase(client);
}

Faults MemoryPlatform::faults(const std::string& client) const
{
    std::lock_guard lock(state_->mutex_);
    return state_->faultsFor(client);
}

void MemoryPlatform::putHost(const HostEntry& entry)
{
    state_->updateHosts([&](Hosts& hosts) { hosts[entry.name_] = entry; });
}

void MemoryPlatform::removeHost(const std::string& name)
{
    state_->updateHosts([&](Hosts& hosts) { hosts.erase(name); });
}

MemoryCounters MemoryPlatform::counters() const
{
    std::lock_guard lock(state_->mutex_);
    return state_->counters_;
}

} // namespace turmericwing::store
