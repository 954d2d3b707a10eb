// In-memory platform.
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

    Faults faultsOf(const std::string& client) const
    {
        auto it = clientFaults_.find(client);
        return it == clientFaults_.end() ? common_ : it->second;
    }

    // Waits for the injected delay, then returns the faults in force at that time.
    Result<Faults> enter(const std::string& client, uint64_t MemoryCounters::*counter)
    {
        Faults faults;
        {
            std::lock_guard lock(mutex_);
            ++(counters_.*counter);
            faults = faultsOf(client);
        }
        if (faults.delay_ > Duration::zero()) {
            options_.sleep_(faults.delay_);
            std::lock_guard lock(mutex_);
            faults = faultsOf(client);
        }
        if (faults.outage_)
            return makeError(ErrorCode::Unavailable, "platform outage");
        return faults;
    }

    // Called with the mutex held, after a write took effect.
    bool losesResponse(const Faults& faults)
    {
        return faults.lostResponse_ > 0 && uniform(random_) < faults.lostResponse_;
    }

    std::optional<Row> row(const std::string& key) const
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
        BOOST_OUTCOME_TRY(faults, enter(client, &MemoryCounters::writes_));
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
                outcomes.push_back({ .applied_ = false, .current_ = row(write.key_) });
            }
        }
        if (changed && losesResponse(faults))
            return makeError(ErrorCode::Unknown, "response lost");
        return outcomes;
    }

    // The newest list that is at least `lag` old; empty when all are younger.
    Hosts hostsBefore(Duration lag)
    {
        const TimePoint limit = options_.now_() - lag;
        auto it = history_.upper_bound(limit);
        return it == history_.begin() ? Hosts {} : std::prev(it)->second;
    }

    void changeHosts(const std::function<void(Hosts&)>& change)
    {
        std::lock_guard lock(mutex_);
        Hosts hosts = history_.empty() ? Hosts {} : history_.rbegin()->second;
        change(hosts);
        history_[options_.now_()] = std::move(hosts);
        // A bound on memory; lag beyond the last 4096 changes is not needed.
        if (history_.size() > 4096)
            history_.erase(history_.begin());
    }

    MemoryOptions options_;
    mutable std::mutex mutex_;
    Random random_;
    Faults common_;
    std::map<std::string, Faults> clientFaults_;
    MemoryCounters counters_;
    std::map<std::string, Row> rows_;
    std::map<std::string, std::string> objects_;
    std::map<TimePoint, Hosts> history_;
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
        BOOST_OUTCOME_TRY(state->enter(client, &MemoryCounters::reads_));
        std::lock_guard lock(state->mutex_);
        return state->row(key);
    };
    out.table_.scan_ = [state, client](const std::string& prefix, size_t limit) -> Result<std::vector<Row>> {
        BOOST_OUTCOME_TRY(state->enter(client, &MemoryCounters::reads_));
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
        BOOST_OUTCOME_TRY(faults, state->enter(client, &MemoryCounters::writes_));
        std::string digest = sha256Hex(bytes);
        std::lock_guard lock(state->mutex_);
        state->objects_.try_emplace(digest, bytes);
        if (state->losesResponse(faults))
            return makeError(ErrorCode::Unknown, "response lost");
        return digest;
    };
    out.objects_.get_ = [state, client](const std::string& digest) -> Result<std::string> {
        BOOST_OUTCOME_TRY(state->enter(client, &MemoryCounters::reads_));
        std::lock_guard lock(state->mutex_);
        auto it = state->objects_.find(digest);
        if (it == state->objects_.end())
            return makeError(ErrorCode::NotFound, "no object " + digest);
        return it->second;
    };
    out.hosts_.list_ = [state, client]() -> Result<std::vector<HostEntry>> {
        BOOST_OUTCOME_TRY(faults, state->enter(client, &MemoryCounters::reads_));
        std::lock_guard lock(state->mutex_);
        std::vector<HostEntry> entries;
        for (const auto& [name, entry] : state->hostsBefore(faults.hostListLag_))
            entries.push_back(entry);
        return entries;
    };
    return out;
}

void MemoryPlatform::setFaults(const Faults& faults, const std::string& client)
{
    std::lock_guard lock(state_->mutex_);
    if (client.empty())
        state_->common_ = faults;
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
    return state_->faultsOf(client);
}

void MemoryPlatform::putHost(const HostEntry& entry)
{
    state_->changeHosts([&](Hosts& hosts) { hosts[entry.name_] = entry; });
}

void MemoryPlatform::removeHost(const std::string& name)
{
    state_->changeHosts([&](Hosts& hosts) { hosts.erase(name); });
}

MemoryCounters MemoryPlatform::counters() const
{
    std::lock_guard lock(state_->mutex_);
    return state_->counters_;
}

} // namespace turmericwing::store
