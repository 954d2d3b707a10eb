// Claims on a live host. One thread forms batches; batches and read backs run on the executor, because the
// table may take long to answer.
#include "turmericwing/host/claimstore.h"

#include "turmericwing/base/random.h"
#include "turmericwing/claims/batch.h"
#include "turmericwing/claims/claim.h"
#include "turmericwing/host/executor.h"
#include "turmericwing/host/snapshot.h"

#include <algorithm>
#include <condition_variable>
#include <map>
#include <mutex>
#include <set>
#include <thread>

namespace turmericwing::host {

namespace detail {

    constexpr size_t writerThreads = 8;
    /// Time for writes that no request waits for: outcomes and releases.
    constexpr auto laterTime = std::chrono::seconds(10);

    claims::CurrentRow currentRow(const store::Row& row) { return { row.value_, row.version_ }; }

} // namespace detail

struct ClaimState {
    ClaimState(std::string host, uint64_t incarnation, store::Table table, const SharedState& shared)
        : host_(std::move(host))
        , incarnation_(incarnation)
        , table_(std::move(table))
        , shared_(shared)
        , executor_(detail::writerThreads)
        , thread_([this] { run(); })
    {
    }

    /// Writes a row and waits for its result.
    claims::WriteResult write(
        const std::string& key, const std::string& value, uint64_t expected, TimePoint giveUpAt);

    /// Writes a row without waiting. stop() waits for it.
    void writeLater(const std::string& key, const std::string& value, uint64_t expected);
    void run();
    void send(const claims::Batch&);
    void readBack(const claims::PendingWrite&);
    void deliver(const std::vector<claims::WriteResult>&);
    claims::LiveHosts liveHosts() const;

    const std::string host_;
    const uint64_t incarnation_;
    const store::Table table_;
    const SharedState& shared_;
    const claims::ClaimOptions claimOptions_;
    const claims::BatchOptions batchOptions_;

    std::mutex mutex_; ///< Guards everything below.
    std::condition_variable wake_; ///< For the batch thread.
    std::condition_variable finished_; ///< For requests that wait for a write.
    claims::WriteBatcher batcher_;
    std::map<uint64_t, claims::WriteResult> results_;
    std::set<uint64_t> unattended_; ///< Writes whose result nobody waits for.
    std::map<std::string, std::pair<claims::Claim, uint64_t>> held_; ///< By token: claim row and version.
    uint64_t nextId_ = 1;
    Random random_ = makeRandom();
    bool stopping_ = false;

    Executor executor_;
    std::thread thread_;
};

claims::LiveHosts ClaimState::liveHosts() const
{
    claims::LiveHosts hosts;
    if (const auto snapshot = shared_.snapshot()) {
        for (const control::Member& member : snapshot->head_.members_)
            hosts[member.host_] = member.incarnation_;
        for (const Version& newer : snapshot->newer_) {
            for (const control::Member& member : newer.head_.members_)
                hosts[member.host_] = std::max(hosts[member.host_], member.incarnation_);
        }
    }
    hosts[host_] = incarnation_;
    return hosts;
}

void ClaimState::deliver(const std::vector<claims::WriteResult>& results)
{
    for (const claims::WriteResult& result : results) {
        if (unattended_.erase(result.id_) == 0)
            results_[result.id_] = result;
    }
    if (!results.empty())
        finished_.notify_all();
}

void ClaimState::run()
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        const TimePoint now = monotonicNow();
        std::vector<claims::WriteResult> results;
        if (auto batch = claims::nextBatch(batcher_, now, batchOptions_, results))
            executor_.post([this, batch = std::move(*batch)] { send(batch); });
        while (auto pending = claims::takeReadBack(batcher_, now, results))
            executor_.post([this, pending = std::move(*pending)] { readBack(pending); });
        deliver(results);
        const TimePoint next = claims::nextBatchAt(batcher_, now, batchOptions_);
        wake_.wait_until(lock, std::min<TimePoint>(next, now + std::chrono::milliseconds(50)));
    }
}

void ClaimState::send(const claims::Batch& batch)
{
    std::vector<store::ConditionalWrite> writes;
    for (const claims::PendingWrite& write : batch.writes_)
        writes.push_back({ write.key_, write.value_, write.expectedVersion_ });
    const auto answered = table_.writeBatch_(writes);
    std::lock_guard lock(mutex_);
    if (!answered) {
        deliver(answered.error().code_ == ErrorCode::Unavailable
                ? claims::batchNotSent(batcher_, batch.number_)
                : claims::batchLost(batcher_, batch.number_, batchOptions_));
    } else {
        std::vector<claims::TableOutcome> outcomes;
        for (const store::WriteOutcome& outcome : answered.value()) {
            claims::TableOutcome row { outcome.applied_, std::nullopt };
            if (outcome.current_)
                row.current_ = detail::currentRow(*outcome.current_);
            outcomes.push_back(std::move(row));
        }
        deliver(claims::batchAnswered(batcher_, batch.number_, outcomes, monotonicNow(), batchOptions_));
    }
    wake_.notify_one();
}

void ClaimState::readBack(const claims::PendingWrite& pending)
{
    const auto row = table_.get_(pending.key_);
    std::lock_guard lock(mutex_);
    if (!row) {
        claims::readFailed(batcher_, pending.id_);
        return;
    }
    std::optional<claims::CurrentRow> current;
    if (row.value())
        current = detail::currentRow(*row.value());
    deliver(claims::readAnswered(batcher_, pending.id_, current, monotonicNow()));
    wake_.notify_one();
}

claims::WriteResult ClaimState::write(
    const std::string& key, const std::string& value, uint64_t expected, TimePoint giveUpAt)
{
    std::unique_lock lock(mutex_);
    const uint64_t id = nextId_++;
    if (stopping_
        || !claims::enqueueWrite(
            batcher_, { id, key, value, expected, giveUpAt, false }, monotonicNow(), batchOptions_))
        return { id, claims::WriteStatus::NotSent, std::nullopt };
    wake_.notify_one();
    finished_.wait(lock, [&] { return results_.count(id) > 0 || stopping_; });
    const auto found = results_.find(id);
    if (found == results_.end())
        return { id, claims::WriteStatus::Unknown, std::nullopt };
    claims::WriteResult result = std::move(found->second);
    results_.erase(found);
    return result;
}

void ClaimState::writeLater(const std::string& key, const std::string& value, uint64_t expected)
{
    std::lock_guard lock(mutex_);
    const uint64_t id = nextId_++;
    const TimePoint now = monotonicNow();
    if (claims::enqueueWrite(
            batcher_, { id, key, value, expected, now + detail::laterTime, false }, now, batchOptions_))
        unattended_.insert(id);
    wake_.notify_one();
}

ClaimStore::ClaimStore(std::string host, uint64_t incarnation, store::Table table, const SharedState& shared)
    : state_(std::make_unique<ClaimState>(std::move(host), incarnation, std::move(table), shared))
{
}

ClaimStore::~ClaimStore() { stop(); }

void ClaimStore::stop()
{
    {
        std::unique_lock lock(state_->mutex_);
        state_->finished_.wait_for(lock, detail::laterTime, [this] { return state_->unattended_.empty(); });
        state_->stopping_ = true;
    }
    state_->wake_.notify_all();
    state_->finished_.notify_all();
    if (state_->thread_.joinable())
        state_->thread_.join();
    state_->executor_.shutdown();
}

namespace detail {

    ClaimDecision refuseClaim(Reason reason) { return { ClaimBegin::Refuse, reason, {}, {} }; }

    StoredResponse storedResponse(const claims::Outcome& outcome)
    {
        return { static_cast<int>(outcome.status_), outcome.contentType_, outcome.body_, outcome.tooLarge_ };
    }

    /// Decisions that end the request without a write.
    ClaimDecision endedClaim(const claims::Decision& decision)
    {
        switch (decision.verdict_) {
        case claims::Verdict::Stored:
        case claims::Verdict::TooLarge:
            return { ClaimBegin::Replay, Reason::ClaimUnknown, storedResponse(*decision.outcome_), {} };
        case claims::Verdict::InProgress:
            return refuseClaim(Reason::ClaimInProgress);
        case claims::Verdict::KeyReused:
            return refuseClaim(Reason::ClaimConflict);
        case claims::Verdict::Insert:
        case claims::Verdict::Own:
        case claims::Verdict::Unknown:
            break;
        }
        return refuseClaim(Reason::ClaimUnknown);
    }

} // namespace detail

ClaimDecision ClaimStore::begin(const ClaimKey& key, TimePoint deadline)
{
    ClaimState& state = *state_;
    const std::string row = claims::claimKey(key.workspace_, key.idempotencyKey_);
    claims::Claimant claimant { state.host_, state.incarnation_, {} };
    {
        std::lock_guard lock(state.mutex_);
        claimant.nonce_ = randomId(state.random_);
    }
    // The first write assumes a new key, which saves a read; a conflict returns the row that stands there.
    std::optional<claims::StoredClaim> stored;
    for (int attempt = 0; attempt < 3; ++attempt) {
        const auto decision = claims::decideClaim(
            stored, key.fingerprint_, claimant, state.liveHosts(), wallNow(), state.claimOptions_);
        if (decision.verdict_ != claims::Verdict::Insert && decision.verdict_ != claims::Verdict::Own)
            return detail::endedClaim(decision);
        const bool own = decision.verdict_ == claims::Verdict::Own;
        const claims::Claim claim = own ? stored->claim_ : *decision.write_;
        const auto written = own
            ? claims::WriteResult { 0, claims::WriteStatus::Applied, std::nullopt }
            : state.write(row, claims::encodeClaim(claim), decision.expectedVersion_, deadline);
        if (written.status_ == claims::WriteStatus::Applied) {
            std::lock_guard lock(state.mutex_);
            state.held_[claimant.nonce_] = { claim, own ? stored->version_ : decision.expectedVersion_ + 1 };
            return { ClaimBegin::Run, Reason::StoreUnavailable, {}, claimant.nonce_ };
        }
        if (written.status_ != claims::WriteStatus::Conflict)
            return detail::refuseClaim(Reason::StoreUnavailable);
        if (!written.current_)
            return detail::refuseClaim(Reason::StoreUnavailable);
        const auto decoded = claims::decodeClaim(written.current_->value_);
        if (!decoded)
            return detail::refuseClaim(Reason::ClaimUnknown);
        stored = claims::StoredClaim { written.current_->version_, decoded.value() };
    }
    return detail::refuseClaim(Reason::ClaimInProgress);
}

namespace detail {

    std::optional<std::pair<claims::Claim, uint64_t>> takeHeld(ClaimState& state, const std::string& token)
    {
        std::lock_guard lock(state.mutex_);
        const auto found = state.held_.find(token);
        if (found == state.held_.end())
            return std::nullopt;
        auto held = std::move(found->second);
        state.held_.erase(found);
        return held;
    }

} // namespace detail

void ClaimStore::complete(const ClaimKey& key, const std::string& token, const StoredResponse& response)
{
    const auto held = detail::takeHeld(*state_, token);
    if (!held)
        return;
    claims::Outcome outcome = claims::makeOutcome(static_cast<uint32_t>(response.status_),
        response.contentType_, response.body_, state_->claimOptions_);
    outcome.tooLarge_ = outcome.tooLarge_ || response.tooLarge_;
    const auto done
        = claims::completeClaim(held->first, std::move(outcome), wallNow(), state_->claimOptions_);
    // The caller does not wait for this write. If it is lost, a resend is told that the outcome is unknown.
    state_->writeLater(
        claims::claimKey(key.workspace_, key.idempotencyKey_), claims::encodeClaim(done), held->second);
}

void ClaimStore::release(const ClaimKey& key, const std::string& token)
{
    const auto held = detail::takeHeld(*state_, token);
    if (!held)
        return;
    const auto released = claims::releaseClaim(held->first, wallNow(), state_->claimOptions_);
    state_->writeLater(
        claims::claimKey(key.workspace_, key.idempotencyKey_), claims::encodeClaim(released), held->second);
}

void ClaimStore::markUnknown(const ClaimKey& key, const std::string& token)
{
    const auto held = detail::takeHeld(*state_, token);
    if (!held)
        return;
    // No live process has incarnation 0, so resends are told "unknown" and not "in progress".
    claims::Claim lost = held->first;
    lost.incarnation_ = 0;
    state_->writeLater(
        claims::claimKey(key.workspace_, key.idempotencyKey_), claims::encodeClaim(lost), held->second);
}

} // namespace turmericwing::host
