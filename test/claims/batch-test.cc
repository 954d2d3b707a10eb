// Tests write batches, and claims on several simulated hosts with a table whose responses get lost.
#include "turmericwing/claims/batch.h"

#include "turmericwing/base/random.h"
#include "turmericwing/claims/claim.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstdio>
#include <functional>
#include <queue>
#include <set>

using namespace turmericwing;
using namespace turmericwing::claims;
using std::chrono::milliseconds;

namespace {

TimePoint at(int64_t us) { return TimePoint(std::chrono::hours(1) + Duration(us)); }

PendingWrite makeWrite(uint64_t id, std::string key = {})
{
    return { id, key.empty() ? "k" + std::to_string(id) : key, "v" + std::to_string(id), 0, at(10'000'000) };
}

// Simulates hosts that serve one request and its resends. Every step takes a random time, requests to the
// table get lost before they take effect or their responses get lost afterwards, and hosts crash at any step
// and restart with a new incarnation.
class Fleet {
public:
    Fleet(uint64_t seed, BatchOptions batch, ClaimOptions claims, int crashPoint = -1)
        : random_(seed)
        , batch_(batch)
        , claims_(claims)
        , crashPoint_(crashPoint)
    {
        for (int i = 0; i < 3; ++i)
            live_[host(i)] = 1;
        for (int i = 0; i < 6; ++i)
            schedule(static_cast<int64_t>(random_() % 400'000), [this, i] { serve(i % 3); });
        for (int64_t us = 0; us < 5'000'000; us += 1000)
            schedule(us, [this] {
                for (int i = 0; i < 3; ++i)
                    pump(i);
            });
        while (!events_.empty()) {
            auto event = events_.top();
            events_.pop();
            now_ = event.at_;
            event.run_();
        }
        for (const uint64_t id : notSentIds_)
            falseNotRun_ += appliedIds_.contains(id);
    }

    int runs_ = 0; ///< Executions of the request.
    int falseNotRun_ = 0; ///< Writes reported as not sent that took effect, even if later.
    int stored_ = 0; ///< Resends that got the stored outcome.
    int unsettled_ = 0; ///< Writes without a result on hosts that did not crash.

private:
    struct Event {
        int64_t at_;
        uint64_t order_;
        std::function<void()> run_;
        bool operator<(const Event& other) const
        {
            return std::tie(other.at_, other.order_) < std::tie(at_, order_);
        }
    };
    struct Host {
        WriteBatcher batcher_;
        std::map<uint64_t, std::function<void(const WriteResult&)>> waiting_;
    };

    static std::string host(int i) { return "h" + std::to_string(i); }
    WallTime wall() const { return { now_ / 1000 }; }
    void schedule(int64_t at, std::function<void()> run) { events_.push({ at, order_++, std::move(run) }); }

    // Runs an action on the host after a random delay, unless the host crashes before.
    void later(int i, int64_t maxUs, std::function<void()> run)
    {
        const uint64_t incarnation = live_[host(i)];
        schedule(now_ + static_cast<int64_t>(random_() % maxUs), [this, i, incarnation, run] {
            if (live_[host(i)] == incarnation)
                run();
        });
    }

    // Crashes a host at a step of the protocol: with a crash point, only the first host that reaches this
    // step; without one, at random. Returns whether the host crashed.
    bool crashes(int i, int step)
    {
        const bool crash = crashPoint_ < 0 ? random_() % 20 == 0 : step == crashPoint_;
        if (!crash)
            return false;
        crashPoint_ = crashPoint_ < 0 ? -1 : 1000;
        ++live_[host(i)];
        hosts_[i] = {};
        return true;
    }

    std::optional<StoredClaim> read()
    {
        if (version_ == 0)
            return std::nullopt;
        return StoredClaim { version_, decodeClaim(value_).value() };
    }

    std::optional<CurrentRow> current() const
    {
        return version_ == 0 ? std::nullopt : std::optional(CurrentRow { value_, version_ });
    }

    void serve(int i)
    {
        const std::string fingerprint = requestFingerprint("POST", "/", "body");
        const Claimant claimant { host(i), live_[host(i)], "n" + std::to_string(nextId_) };
        const auto decision = decideClaim(read(), fingerprint, claimant, live_, wall(), claims_);
        stored_ += decision.verdict_ == Verdict::Stored;
        if (decision.verdict_ != Verdict::Insert)
            return;
        const Claim claim = *decision.write_;
        write(i, claim, decision.expectedVersion_, [this, i, claim](const WriteResult& result) {
            if (result.status_ != WriteStatus::Applied)
                return;
            if (crashes(i, 1))
                return;
            const uint64_t version = result.current_ ? result.current_->version_ : 1;
            if (random_() % 8 == 0)
                return write(i, releaseClaim(claim, wall(), claims_), version, [](const WriteResult&) {});
            ++runs_;
            if (crashes(i, 2))
                return;
            later(i, 100'000, [this, i, claim, version] {
                if (crashes(i, 3))
                    return;
                const Outcome outcome = makeOutcome(200, "t", "done", claims_);
                write(i, completeClaim(claim, outcome, wall(), claims_), version,
                    [this, i](const WriteResult&) { crashes(i, 4); });
            });
        });
    }

    void write(int i, const Claim& claim, uint64_t expected, std::function<void(const WriteResult&)> done)
    {
        const uint64_t id = nextId_++;
        hosts_[i].waiting_[id] = std::move(done);
        enqueueWrite(hosts_[i].batcher_, { id, "key", encodeClaim(claim), expected, at(now_ + 1'500'000) },
            at(now_), batch_);
    }

    void deliver(int i, const std::vector<WriteResult>& results)
    {
        const uint64_t incarnation = live_[host(i)];
        for (const auto& result : results) {
            if (live_[host(i)] != incarnation)
                return;
            auto done = std::move(hosts_[i].waiting_.at(result.id_));
            hosts_[i].waiting_.erase(result.id_);
            if (result.status_ == WriteStatus::NotSent)
                notSentIds_.insert(result.id_);
            done(result);
        }
    }

    void pump(int i)
    {
        std::vector<WriteResult> results;
        if (auto batch = nextBatch(hosts_[i].batcher_, at(now_), batch_, results)) {
            const bool lostBefore = random_() % 5 == 0;
            const bool lostAfter = random_() % 4 == 0;
            const bool notSent = random_() % 10 == 0;
            const auto delay = static_cast<int64_t>(random_() % 200'000);
            if (!lostBefore && !notSent) {
                // The write may take effect after the host has abandoned it or crashed.
                schedule(now_ + delay, [this, i, lostAfter, b = *batch] {
                    const auto outcomes = apply(b);
                    if (!lostAfter)
                        later(i, 2000, [this, i, b, outcomes] {
                            deliver(i,
                                handleBatchResponse(
                                    hosts_[i].batcher_, b.number_, outcomes, at(now_), batch_));
                        });
                });
            }
            if (notSent)
                later(i, 1000,
                    [this, i, n = batch->number_] { deliver(i, handleBatchNotSent(hosts_[i].batcher_, n)); });
            else
                later(i, 150'000, [this, i, n = batch->number_] {
                    deliver(i, handleBatchLost(hosts_[i].batcher_, n, batch_));
                });
            if (crashes(i, 0))
                return;
        }
        if (const auto readBack = takeReadBack(hosts_[i].batcher_, at(now_), results)) {
            later(i, 20'000, [this, i, id = readBack->id_] {
                if (random_() % 4 == 0)
                    return handleReadBackFailed(hosts_[i].batcher_, id);
                deliver(i, handleReadBack(hosts_[i].batcher_, id, current(), at(now_)));
            });
        }
        deliver(i, results);
        if (now_ >= 4'900'000)
            unsettled_ += static_cast<int>(hosts_[i].waiting_.size());
    }

    std::vector<TableOutcome> apply(const Batch& batch)
    {
        std::vector<TableOutcome> outcomes;
        for (const auto& write : batch.writes_) {
            const bool applied = write.expectedVersion_ == version_;
            if (applied) {
                ++version_;
                value_ = write.value_;
                appliedIds_.insert(write.id_);
            }
            outcomes.push_back({ applied, current() });
        }
        return outcomes;
    }

    Random random_;
    BatchOptions batch_;
    ClaimOptions claims_;
    int crashPoint_;
    int64_t now_ = 0;
    uint64_t order_ = 0;
    uint64_t nextId_ = 1;
    std::priority_queue<Event> events_;
    LiveHosts live_;
    Host hosts_[3];
    uint64_t version_ = 0;
    std::string value_;
    std::set<uint64_t> appliedIds_;
    std::set<uint64_t> notSentIds_;
};

} // namespace

TEST_CASE("a request runs at most once despite crashes, lost responses and races")
{
    // Guards against a second execution and a false "not run" when a host crashes at any step between claim
    // and outcome.
    int ran = 0;
    int stored = 0;
    for (int crashPoint = -1; crashPoint < 5; ++crashPoint) {
        for (uint64_t seed = 0; seed < 300; ++seed) {
            const Fleet fleet(seed, {}, {}, crashPoint);
            CAPTURE(seed);
            CAPTURE(crashPoint);
            CHECK(fleet.runs_ <= 1);
            CHECK(fleet.falseNotRun_ == 0);
            CHECK(fleet.unsettled_ == 0);
            ran += fleet.runs_;
            stored += fleet.stored_;
        }
    }
    std::printf("claims: %d of 1800 fleets ran the request, %d resends got the outcome\n", ran, stored);
    CHECK(ran > 900);
    CHECK(stored > 300);
}

TEST_CASE("read-back and version conditions are needed")
{
    // Guards against a simulation that would not detect their removal.
    int falseNotRun = 0;
    int ranTwice = 0;
    for (uint64_t seed = 0; seed < 300; ++seed) {
        falseNotRun += Fleet(seed, { .readBack_ = false }, {}).falseNotRun_;
        // Rows that expire at once are claimed again, as if the claim were not checked.
        ranTwice += Fleet(seed, {}, { .retentionMs_ = 0, .clockSkewMs_ = 0 }).runs_ > 1;
    }
    CHECK(falseNotRun > 0);
    CHECK(ranTwice > 0);
}

TEST_CASE("writes are grouped within 2 ms while the budget lasts, then batches grow")
{
    // Guards against a table request for each write, which would use up the table's write rate.
    const BatchOptions options {
        .maxBatch_ = 8, .requestsPerSecond_ = 10, .requestBurst_ = 3, .maxInFlight_ = 100
    };
    WriteBatcher batcher;
    std::vector<WriteResult> results;
    std::vector<size_t> sizes;
    uint64_t id = 0;
    for (int64_t us = 0; us < 1'000'000; us += 500) {
        if (us % 20'000 == 0)
            enqueueWrite(batcher, makeWrite(++id), at(us), options);
        if (const auto batch = nextBatch(batcher, at(us), options, results)) {
            sizes.push_back(batch->writes_.size());
            CHECK((sizes.size() > 4 || us % 20'000 == 2000));
        }
    }
    CHECK(sizes.size() <= 13);
    CHECK(sizes[0] == 1);
    CHECK(*std::max_element(sizes.begin(), sizes.end()) >= 5);
    CHECK(results.empty());
}

TEST_CASE("batches are bounded, contain each key once, and drop writes whose time has passed")
{
    // Guards against requests above the table's limit, and against two conditional writes of a row in one
    // request.
    const BatchOptions options { .maxBatch_ = 2, .maxQueued_ = 4 };
    WriteBatcher batcher;
    for (uint64_t id = 1; id <= 3; ++id)
        CHECK(enqueueWrite(batcher, makeWrite(id, id < 3 ? "same" : "k"), at(0), options));
    CHECK(enqueueWrite(batcher, { 4, "late", "v", 0, at(3000) }, at(0), options));
    CHECK_FALSE(enqueueWrite(batcher, makeWrite(5), at(0), options));
    std::vector<WriteResult> results;
    const auto batch = nextBatch(batcher, at(0), options, results);
    REQUIRE(batch);
    CHECK(batch->writes_[0].id_ == 1);
    CHECK(batch->writes_[1].id_ == 3);
    CHECK(handleBatchResponse(
              batcher, batch->number_, { { true, {} }, { false, CurrentRow { "x", 1 } } }, at(1), options)
        == std::vector<WriteResult> {
            { 1, WriteStatus::Applied, {} }, { 3, WriteStatus::Conflict, CurrentRow { "x", 1 } } });
    CHECK(handleBatchResponse(batcher, batch->number_, {}, at(1), options).empty());
    nextBatch(batcher, at(3000), options, results);
    CHECK(results == std::vector<WriteResult> { { 4, WriteStatus::NotSent, {} } });
}
