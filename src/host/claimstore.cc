// Claims in the platform's table. One thread forms batches; requests to the table run on the executor,
// because they may be slow.
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

    constexpr size_t tableThreads = 8;
    /// Timeout of writes that no request waits for: outcomes and releases.
    constexpr auto backgroundWriteTimeout = std::chrono::seconds(10);

    claims::CurrentRow currentRow(const store::Row& row) { return { row.value_, row.version_ }; }

} // namespace detail

struct ClaimState {
    ClaimState(std::string host, uint64_t incarnation, store::Table table, const SharedState& shared)
        : host_(std::move(host))
        , incarnation_(incarnation)
        , table_(std::move(table))
        , shared_(shared)
        , executor_(detail::tableThreads)
        , batchThread_([this] { runBatchThread(); })
    {
    }

    /// Writes a row and waits for its result. The write is abandoned at `writeDeadline`.
    claims::WriteResult write(
        const std::string& key, const std::string& value, uint64_t expected, TimePoint writeDeadline);

    /// Writes a row without waiting for the result. stop() waits for such writes.
    void writeInBackground(const std::string& key, const std::string& value, uint64_t expected);
    /// Body of the batch thread.
    void runBatchThread();
    void sendBatch(const claims::Batch&);
    /// Reads the row of a write whose result was lost.
    void readBack(const claims::PendingWrite&);
    /// Hands results to the waiting requests. Requires mutex_.
    void deliverResults(const std::vector<claims::WriteResult>&);
    /// Incarnations of the members of all known versions and of this host.
    claims::LiveHosts liveHosts() const;

    const std::string host_;
    const uint64_t incarnation_;
    const store::Table table_;
    const SharedState& shared_;
    const claims::ClaimOptions claimOptions_;
    const claims::BatchOptions batchOptions_;

    std::mutex mutex_; ///< Guards everything below.
    std::condition_variable wake_; ///< For the batch thread.
    std::condition_variable resultsReady_; ///< For requests that wait for a write.
    claims::WriteBatcher batcher_;
    std::map<uint64_t, claims::WriteResult> results_; ///< By id of the write.
    std::set<uint64_t> backgroundWrites_; ///< Ids of writes whose result no request waits for.
    std::map<std::string, std::pair<claims::Claim, uint64_t>>
        heldClaims_; ///< By token: claim and version of its row.
    uint64_t nextId_ = 1;
    Random random_ = makeRandom();
    bool stopping_ = false;

    Executor executor_;
    std::thread batchThread_;
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

void ClaimState::deliverResults(const std::vector<claims::WriteResult>& results)
{
    for (const claims::WriteResult& result : results) {
        if (backgroundWrites_.erase(result.id_) == 0)
            results_[result.id_] = result;
    }
    if (!results.empty())
        resultsReady_.notify_all();
}

void ClaimState::runBatchThread()
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        const TimePoint now = monotonicNow();
        std::vector<claims::WriteResult> results;
        if (auto batch = claims::nextBatch(batcher_, now, batchOptions_, results))
            executor_.post([this, batch = std::move(*batch)] { sendBatch(batch); });
        while (auto pending = claims::takeReadBack(batcher_, now, results))
            executor_.post([this, pending = std::move(*pending)] { readBack(pending); });
        deliverResults(results);
        const TimePoint next = claims::nextBatchAt(batcher_, now, batchOptions_);
        wake_.wait_until(lock, std::min<TimePoint>(next, now + std::chrono::milliseconds(50)));
    }
}

void ClaimState::sendBatch(const claims::Batch& batch)
{
    std::vector<store::ConditionalWrite> writes;
    for (const claims::PendingWrite& write : batch.writes_)
        writes.push_back({ write.key_, write.value_, write.expectedVersion_ });
    const auto tableResponse = table_.writeBatch_(writes);
    std::lock_guard lock(mutex_);
    if (!tableResponse) {
        deliverResults(tableResponse.error().code_ == ErrorCode::Unavailable
                ? claims::handleBatchNotSent(batcher_, batch.number_)
                : claims::handleBatchLost(batcher_, batch.number_, batchOptions_));
    } else {
        std::vector<claims::TableOutcome> outcomes;
        for (const store::WriteOutcome& outcome : tableResponse.value()) {
            claims::TableOutcome row { outcome.applied_, std::nullopt };
            if (outcome.current_)
                row.current_ = detail::currentRow(*outcome.current_);
            outcomes.push_back(std::move(row));
        }
        deliverResults(
            claims::handleBatchResponse(batcher_, batch.number_, outcomes, monotonicNow(), batchOptions_));
    }
    wake_.notify_one();
}

void ClaimState::readBack(const claims::PendingWrite& pending)
{
    const auto row = table_.get_(pending.key_);
    std::lock_guard lock(mutex_);
    if (!row) {
        claims::handleReadBackFailed(batcher_, pending.id_);
        return;
    }
    std::optional<claims::CurrentRow> current;
    if (row.value())
        current = detail::currentRow(*row.value());
    deliverResults(claims::handleReadBack(batcher_, pending.id_, current, monotonicNow()));
    wake_.notify_one();
}

claims::WriteResult ClaimState::write(
    const std::string& key, const std::string& value, uint64_t expected, TimePoint writeDeadline)
{
    std::unique_lock lock(mutex_);
    const uint64_t id = nextId_++;
    if (stopping_
        || !claims::enqueueWrite(
            batcher_, { id, key, value, expected, writeDeadline, false }, monotonicNow(), batchOptions_))
        return { id, claims::WriteStatus::NotSent, std::nullopt };
    wake_.notify_one();
    resultsReady_.wait(lock, [&] { return results_.count(id) > 0 || stopping_; });
    const auto found = results_.find(id);
    if (found == results_.end())
        return { id, claims::WriteStatus::Unknown, std::nullopt };
    claims::WriteResult result = std::move(found->second);
    results_.erase(found);
    return result;
}

void ClaimState::writeInBackground(const std::string& key, const std::string& value, uint64_t expected)
{
    std::lock_guard lock(mutex_);
    const uint64_t id = nextId_++;
    const TimePoint now = monotonicNow();
    if (claims::enqueueWrite(batcher_,
            { id, key, value, expected, now + detail::backgroundWriteTimeout, false }, now, batchOptions_))
        backgroundWrites_.insert(id);
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
        state_->resultsReady_.wait_for(
            lock, detail::backgroundWriteTimeout, [this] { return state_->backgroundWrites_.empty(); });
        state_->stopping_ = true;
    }
    state_->wake_.notify_all();
    state_->resultsReady_.notify_all();
    if (state_->batchThread_.joinable())
        state_->batchThread_.join();
    state_->executor_.shutdown();
}

namespace detail {

    ClaimDecision refuseClaim(Reason reason) { return { ClaimAction::Refuse, reason, {}, {} }; }

    StoredResponse storedResponse(const claims::Outcome& outcome)
    {
        return { static_cast<int>(outcome.status_), outcome.contentType_, outcome.body_, outcome.tooLarge_ };
    }

    /// Decision on a request that must not run and needs no write.
    ClaimDecision decisionWithoutWrite(const claims::Decision& decision)
    {
        switch (decision.verdict_) {
        case claims::Verdict::Stored:
        case claims::Verdict::TooLarge:
            return { ClaimAction::Replay, Reason::OutcomeUnknown, storedResponse(*decision.outcome_), {} };
        case claims::Verdict::InProgress:
            return refuseClaim(Reason::ClaimInProgress);
        case claims::Verdict::KeyReused:
            return refuseClaim(Reason::ClaimConflict);
        case claims::Verdict::Insert:
        case claims::Verdict::Own:
        case claims::Verdict::Unknown:
            break;
        }
        return refuseClaim(Reason::OutcomeUnknown);
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
    // The first write assumes that the key is new, which saves a read. A conflict returns the existing row.
    std::optional<claims::StoredClaim> stored;
    for (int attempt = 0; attempt < 3; ++attempt) {
        const auto decision = claims::decideClaim(
            stored, key.fingerprint_, claimant, state.liveHosts(), wallNow(), state.claimOptions_);
        if (decision.verdict_ != claims::Verdict::Insert && decision.verdict_ != claims::Verdict::Own)
            return detail::decisionWithoutWrite(decision);
        const bool ownsClaim = decision.verdict_ == claims::Verdict::Own;
        const claims::Claim claim = ownsClaim ? stored->claim_ : *decision.write_;
        const auto written = ownsClaim
            ? claims::WriteResult { 0, claims::WriteStatus::Applied, std::nullopt }
            : state.write(row, claims::encodeClaim(claim), decision.expectedVersion_, deadline);
        if (written.status_ == claims::WriteStatus::Applied) {
            std::lock_guard lock(state.mutex_);
            state.heldClaims_[claimant.nonce_]
                = { claim, ownsClaim ? stored->version_ : decision.expectedVersion_ + 1 };
            return { ClaimAction::Run, Reason::StoreUnavailable, {}, claimant.nonce_ };
        }
        if (written.status_ != claims::WriteStatus::Conflict)
            return detail::refuseClaim(Reason::StoreUnavailable);
        if (!written.current_)
            return detail::refuseClaim(Reason::StoreUnavailable);
        const auto decoded = claims::decodeClaim(written.current_->value_);
        if (!decoded)
            return detail::refuseClaim(Reason::OutcomeUnknown);
        stored = claims::StoredClaim { written.current_->version_, decoded.value() };
    }
    return detail::refuseClaim(Reason::ClaimInProgress);
}

namespace detail {

    /// Removes and returns the claim of a token; empty when the claim has already ended.
    std::optional<std::pair<claims::Claim, uint64_t>> takeHeldClaim(
        ClaimState& state, const std::string& token)
    {
        std::lock_guard lock(state.mutex_);
        const auto found = state.heldClaims_.find(token);
        if (found == state.heldClaims_.end())
            return std::nullopt;
        auto held = std::move(found->second);
        state.heldClaims_.erase(found);
        return held;
    }

} // namespace detail

void ClaimStore::complete(const ClaimKey& key, const std::string& token, const StoredResponse& response)
{
    const auto held = detail::takeHeldClaim(*state_, token);
    if (!held)
        return;
    claims::Outcome outcome = claims::makeOutcome(static_cast<uint32_t>(response.status_),
        response.contentType_, response.body_, state_->claimOptions_);
    outcome.tooLarge_ = outcome.tooLarge_ || response.tooLarge_;
    const auto completedClaim
        = claims::completeClaim(held->first, std::move(outcome), wallNow(), state_->claimOptions_);
    // The caller does not wait for this write. If it is lost, a repeated request is told that the outcome is
    // unknown.
    state_->writeInBackground(claims::claimKey(key.workspace_, key.idempotencyKey_),
        claims::encodeClaim(completedClaim), held->second);
}

void ClaimStore::release(const ClaimKey& key, const std::string& token)
{
    const auto held = detail::takeHeldClaim(*state_, token);
    if (!held)
        return;
    const auto releasedClaim = claims::releaseClaim(held->first, wallNow(), state_->claimOptions_);
    state_->writeInBackground(claims::claimKey(key.workspace_, key.idempotencyKey_),
        claims::encodeClaim(releasedClaim), held->second);
}

void ClaimStore::markUnknown(const ClaimKey& key, const std::string& token)
{
    const auto held = detail::takeHeldClaim(*state_, token);
    if (!held)
        return;
    // No live process has incarnation 0, so repeated requests are told "unknown" instead of "in progress".
    claims::Claim unknownClaim = held->first;
    unknownClaim.incarnation_ = 0;
    state_->writeInBackground(claims::claimKey(key.workspace_, key.idempotencyKey_),
        claims::encodeClaim(unknownClaim), held->second);
}

} // namespace turmericwing::host
