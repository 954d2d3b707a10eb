// Simulates random schedules of the control head: hosts with clock drift, pauses and restarts, a store with
// outages, late writes and lost responses, and arbitrary network partitions. A run is reproducible by its
// seed.
#include "turmericwing/control/evidence.h"
#include "turmericwing/control/lease.h"

#include "turmericwing/base/hash.h"
#include "turmericwing/base/random.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <set>

using namespace turmericwing;
using namespace turmericwing::control;

namespace {

constexpr Duration ms(int64_t count) { return std::chrono::milliseconds(count); }
constexpr Duration tick = ms(50);

struct SimulationOptions {
    uint64_t seed_ = 0;
    size_t hosts_ = 5;
    bool faults_ = true;
    EvidenceOptions evidence_;
    LeaseOptions lease_;
};

/// A change of the head that a host has proposed.
struct Write {
    Head next_;
    Proposal proposal_;
    bool committed_ = false;
    bool accepted_ = false;
};

/// A host and its current process.
struct Host {
    std::string name_;
    bool up_ = true;
    TimePoint pausedUntil_;
    Duration clockOffset_ {};
    double clockRate_ = 1;
    HeadKnowledge knowledge_;
    ReadLease lease_;
    EvidenceLog log_;
    LostHostsDeclaration lost_;
    CandidateHeads candidates_;
    std::map<uint64_t, Head> heads_;
    std::optional<Write> write_;
    uint64_t servedRevision_ = 0; ///< Newest revision that any incarnation of this host served under.
    size_t partition_ = 0;
};

/// Simulates the fleet, the network and the store. `violation_` describes the first violated guarantee.
struct Simulation {
    SimulationOptions options_;
    Random random_;
    TimePoint now_;
    std::multimap<TimePoint, std::function<void()>> events_;
    std::vector<Host> hosts_;
    Head row_;
    std::map<std::string, std::set<int>> revoked_; ///< Revoked keys by configuration digest.
    std::map<int, TimePoint> revokedAt_; ///< When the store committed the revocation, by key.
    std::map<uint64_t, TimePoint> acceptedRevisions_;
    size_t storePartition_ = 0;
    bool storeDown_ = false;
    uint64_t nextIncarnation_ = 1;
    int nextKey_ = 0;
    size_t admitted_ = 0;
    size_t refused_ = 0;
    size_t evidenceServed_ = 0;
    std::string violation_;

    explicit Simulation(const SimulationOptions& options)
        : options_(options)
        , random_(options.seed_)
        , now_(std::chrono::seconds(100))
        , hosts_(options.hosts_)
    {
        row_.version_ = row_.revision_ = row_.epoch_ = 1;
        row_.digest_ = "d";
        revoked_["d"] = {};
        for (size_t i = 0; i < hosts_.size(); ++i) {
            Host& h = hosts_[i];
            h.name_ = "h" + std::to_string(i);
            h.clockOffset_ = ms(static_cast<int64_t>(randomIndex(100000)));
            h.clockRate_ = 0.99 + 0.02 * uniform(random_);
            startProcess(h);
            row_.members_.push_back(
                { h.name_, h.knowledge_.incarnation_, "r", "r-a", "", "", MemberState::Live });
        }
    }

    size_t randomIndex(size_t n) { return static_cast<size_t>(uniform(random_) * static_cast<double>(n)); }
    bool chance(double p) { return uniform(random_) < p; }

    TimePoint localTime(const Host& h) const
    {
        const double us = static_cast<double>(now_.time_since_epoch().count()) * h.clockRate_;
        return TimePoint { Duration { static_cast<int64_t>(us) } } + h.clockOffset_;
    }

    void startProcess(Host& h)
    {
        h.up_ = true;
        h.knowledge_ = { .host_ = h.name_,
            .incarnation_ = nextIncarnation_++,
            .startedAt_ = localTime(h),
            .candidates_ = {},
            .lastContact_ = {} };
        h.lease_ = {};
        h.log_ = {};
        h.candidates_ = {};
        h.heads_ = {};
        h.write_ = std::nullopt;
    }

    Duration delay()
    {
        return ms(1 + static_cast<int64_t>(randomIndex(options_.faults_ && chance(0.02) ? 1500 : 60)));
    }

    /// Runs `handle` at a process at time `when`, unless it is down or has restarted. A paused process runs
    /// it when it resumes.
    void deliver(Host& h, uint64_t incarnation, TimePoint when, std::function<void(Host&)> handle)
    {
        events_.emplace(when, [this, &h, incarnation, handle] {
            if (!h.up_ || (incarnation != 0 && h.knowledge_.incarnation_ != incarnation))
                return;
            if (h.pausedUntil_ > now_)
                deliver(h, incarnation, h.pausedUntil_, handle);
            else
                handle(h);
        });
    }

    void send(Host& from, Host& to, std::function<void(Host&)> handle, uint64_t incarnation = 0)
    {
        if (from.partition_ != to.partition_ || (options_.faults_ && chance(0.02)))
            return;
        deliver(to, incarnation, now_ + delay(), std::move(handle));
    }

    void learn(Host& h, const Head& head)
    {
        REQUIRE(learnHead(h.lease_, options_.lease_, head, localTime(h)));
        recordHead(h.knowledge_, head);
        h.heads_[head.version_] = head;
        recordPrepared(h.lease_, head.revision_);
    }

    const Head* knownHead(const Host& h) const
    {
        return h.lease_.known_ ? &h.heads_.at(h.lease_.known_->version_) : nullptr;
    }

    bool storeReachable(const Host& h) const { return !storeDown_ && h.partition_ == storePartition_; }

    void read(Host& h)
    {
        if (!storeReachable(h))
            return;
        const TimePoint sentAt = localTime(h);
        events_.emplace(now_ + delay(), [this, &h, sentAt, incarnation = h.knowledge_.incarnation_] {
            if (!storeReachable(h))
                return;
            deliver(h, incarnation, now_ + delay(), [this, sentAt, head = row_](Host& reader) {
                learn(reader, head);
                REQUIRE(recordRead(reader.lease_, options_.lease_, head, sentAt, localTime(reader)));
                recordStoreContact(reader.knowledge_, sentAt);
            });
        });
    }

    void probe(Host& h)
    {
        const TimePoint sentAt = localTime(h);
        for (Host& to : hosts_) {
            if (&to == &h)
                continue;
            send(h, to, [this, &h, sentAt, incarnation = h.knowledge_.incarnation_](Host& member) {
                const auto evidence = makeEvidence(member.knowledge_, options_.evidence_, localTime(member));
                const Head* head = knownHead(member);
                std::optional<Head> headCopy = head ? std::optional(*head) : std::nullopt;
                send(
                    member, h,
                    [this, sentAt, evidence, headCopy, heads = member.candidates_](Host& asker) {
                        if (headCopy && headCopy->version_ >= asker.knowledge_.newestVersion_)
                            learn(asker, *headCopy);
                        asker.candidates_.insert(heads.begin(), heads.end());
                        if (evidence)
                            recordEvidence(asker.log_, asker.knowledge_, asker.lost_, sentAt, *evidence);
                    },
                    incarnation);
            });
        }
    }

    /// Proposes a change that revokes a key, or removes or adds a member.
    void propose(Host& h)
    {
        Write write;
        write.next_ = *knownHead(h);
        Head& next = write.next_;
        ++next.version_;
        next.nonce_ = randomId(random_);
        const auto ownEntry = std::find_if(
            next.members_.begin(), next.members_.end(), [&](const Member& m) { return m.host_ == h.name_; });
        if (ownEntry == next.members_.end() || ownEntry->incarnation_ != h.knowledge_.incarnation_) {
            if (ownEntry != next.members_.end())
                next.members_.erase(ownEntry);
            next.members_.push_back(
                { h.name_, h.knowledge_.incarnation_, "r", "r-a", "", "", MemberState::Live });
            std::sort(next.members_.begin(), next.members_.end());
            ++next.epoch_;
        } else if (chance(0.4) && next.members_.size() > 2) {
            next.members_.erase(
                next.members_.begin() + static_cast<ptrdiff_t>(randomIndex(next.members_.size())));
            ++next.epoch_;
        } else {
            ++next.revision_;
            next.digest_ = next.nonce_;
            revoked_[next.digest_] = revoked_.at(knownHead(h)->digest_);
            revoked_[next.digest_].insert(nextKey_++);
        }
        write.proposal_.candidate_ = { knownHead(h)->version_, next.nonce_, next.nonce_ };
        if (!acknowledgeCandidate(h.knowledge_, write.proposal_.candidate_))
            return;
        h.candidates_[next.nonce_] = next;
        h.write_ = std::move(write);
    }

    void sendReports(Host& h)
    {
        const TimePoint sentAt = localTime(h);
        const bool outcome = h.write_->committed_;
        for (Host& to : hosts_) {
            if (&to == &h)
                continue;
            send(h, to,
                [this, &h, sentAt, outcome, incarnation = h.knowledge_.incarnation_, next = h.write_->next_,
                    candidate = h.write_->proposal_.candidate_](Host& member) {
                    if (outcome)
                        learn(member, next);
                    else if (!acknowledgeCandidate(member.knowledge_, candidate))
                        return;
                    else
                        member.candidates_[candidate.digest_] = next;
                    send(
                        member, h,
                        [sentAt, outcome, candidate, name = member.name_,
                            from = member.knowledge_.incarnation_](Host& writer) {
                            if (!writer.write_ || writer.write_->proposal_.candidate_ != candidate)
                                return;
                            Proposal& proposal = writer.write_->proposal_;
                            recordAck(
                                outcome ? proposal.outcomeAcks_ : proposal.acks_, name, { from, sentAt });
                        },
                        incarnation);
                });
        }
    }

    void commit(const Head& next)
    {
        if (row_.version_ + 1 != next.version_)
            return;
        for (const int key : revoked_.at(next.digest_))
            revokedAt_.try_emplace(key, now_);
        row_ = next;
    }

    void advanceWrite(Host& h)
    {
        Write& write = *h.write_;
        const Head& base = h.heads_.at(write.proposal_.candidate_.baseVersion_);
        const auto written = h.heads_.find(write.next_.version_);
        const Head& seen = written != h.heads_.end() ? written->second : *knownHead(h);
        const WriteOutcome outcome = writeOutcomeOf(write.proposal_.candidate_, seen);
        if (outcome == WriteOutcome::Lost || outcome == WriteOutcome::Superseded) {
            h.write_ = std::nullopt;
            return;
        }
        write.committed_ = outcome == WriteOutcome::Written;
        if (write.committed_) {
            if (isAccepted(write.proposal_, h.knowledge_, options_.evidence_, base, h.lost_, localTime(h))) {
                acceptedRevisions_.try_emplace(write.next_.revision_, now_);
                h.write_ = std::nullopt;
                return;
            }
        } else if (mayWrite(write.proposal_, h.knowledge_, options_.evidence_, base, h.lost_, localTime(h))
            && storeReachable(h)) {
            // Some writes take effect long after they were sent, whatever has happened to the writer since.
            const Duration commitDelay
                = options_.faults_ && chance(0.2) ? ms(static_cast<int64_t>(randomIndex(8000))) : delay();
            events_.emplace(now_ + commitDelay, [this, next = write.next_] { commit(next); });
        }
        sendReports(h);
    }

    /// Runs one round of the control loop of a host.
    void runControlLoop(Host& h, int64_t round)
    {
        const auto phase = static_cast<int64_t>(&h - hosts_.data());
        if ((round + phase) % 8 == 0) {
            read(h);
            probe(h);
        }
        const Head* head = knownHead(h);
        if (!head)
            return;
        const TimePoint now = localTime(h);
        tryRecover(h.knowledge_, h.log_, options_.evidence_, *head, h.candidates_, h.lost_, now);
        const LeaseExtension extension
            = evaluateEvidence(h.log_, h.knowledge_, options_.evidence_, *head, h.candidates_, h.lost_, now);
        if (extension.start_)
            extendLease(h.lease_, head->version_, *extension.start_);
        if (h.write_ && (round + phase) % 4 == 0)
            advanceWrite(h);
        else if (!h.write_ && hasStoreContact(h.knowledge_, options_.evidence_, now)
            && h.knowledge_.newestVersion_ == head->version_) {
            if (chance(h.knowledge_.listed_ ? 0.004 : 0.1))
                propose(h);
        }
    }

    static const Member& owner(const Head& head)
    {
        return head.members_.at(hash64(std::to_string(head.epoch_)) % head.members_.size());
    }

    void recordViolation(const std::string& description, const Host& h)
    {
        if (violation_.empty())
            violation_ = description + " at " + h.name_ + ", "
                + std::to_string(now_.time_since_epoch().count() / 1000) + " ms, seed "
                + std::to_string(options_.seed_);
    }

    void checkGuarantees()
    {
        size_t shareUsers = 0;
        for (Host& h : hosts_) {
            if (!h.up_ || h.pausedUntil_ > now_)
                continue;
            const EffectiveHeads effective = evaluate(h.lease_, options_.lease_, localTime(h));
            ++(effective.admitKeyed_ ? admitted_ : refused_);
            if (!effective.admitKeyed_)
                continue;
            std::vector<const Head*> applicableHeads { &h.heads_.at(effective.extensions_->version_) };
            for (const HeadId& headId : effective.restrictions_)
                applicableHeads.push_back(&h.heads_.at(headId.version_));
            evidenceServed_ += effective.needsEvidence_ ? 1 : 0;
            // A candidate whose content has not arrived is taken to remove all permissions that it might
            // remove.
            bool contentMissing = false;
            for (const Candidate& c : h.knowledge_.candidates_) {
                const auto it = h.candidates_.find(c.digest_);
                if (effective.needsEvidence_ && it != h.candidates_.end())
                    applicableHeads.push_back(&it->second);
                contentMissing = contentMissing || (effective.needsEvidence_ && it == h.candidates_.end());
            }
            for (const auto& [key, since] : revokedAt_) {
                const bool refused = std::any_of(applicableHeads.begin(), applicableHeads.end(),
                    [&, k = key](const Head* head) { return revoked_.at(head->digest_).contains(k); });
                if (!refused && now_ > since + ms(3000))
                    recordViolation("revoked key admitted", h);
            }
            const uint64_t revision = effective.extensions_->revision_;
            if (revision < h.servedRevision_)
                recordViolation("revision decreased", h);
            h.servedRevision_ = std::max(h.servedRevision_, revision);
            for (const auto& [accepted, since] : acceptedRevisions_) {
                if (revision < accepted && now_ > since + ms(6000))
                    recordViolation("accepted revision not in effect", h);
            }
            const bool usesShare = effective.sharesUsable_ && !contentMissing
                && std::all_of(applicableHeads.begin(), applicableHeads.end(), [&](const Head* head) {
                       return owner(*head).host_ == h.name_
                           && owner(*head).incarnation_ == h.knowledge_.incarnation_;
                   });
            shareUsers += usesShare ? 1 : 0;
            if (shareUsers > 1)
                recordViolation("share used by two hosts", h);
        }
        for (const auto& [accepted, since] : acceptedRevisions_) {
            if (row_.revision_ < accepted)
                violation_ = "accepted revision lost";
        }
    }

    void injectFaults()
    {
        if (chance(0.008))
            storeDown_ = !storeDown_;
        if (chance(0.01)) {
            // Either up to three random partitions, or up to two hosts apart from the others. The store may
            // be in any partition.
            const size_t partitions = 1 + randomIndex(3);
            const bool isolateTwoHosts = chance(0.5);
            for (Host& h : hosts_)
                h.partition_ = isolateTwoHosts ? 0 : randomIndex(partitions);
            if (isolateTwoHosts)
                hosts_[randomIndex(hosts_.size())].partition_ = hosts_[randomIndex(hosts_.size())].partition_
                    = 1;
            storePartition_ = randomIndex(partitions);
        }
        Host& h = hosts_[randomIndex(hosts_.size())];
        if (chance(0.006))
            h.up_ ? void(h.up_ = false) : startProcess(h);
        else if (h.up_ && chance(0.02) && chance(0.5))
            startProcess(h);
        else if (chance(0.01))
            h.pausedUntil_ = now_ + ms(static_cast<int64_t>(randomIndex(6000)));
    }

    void run(Duration length)
    {
        const TimePoint end = now_ + length;
        for (int64_t round = 0; now_ < end && violation_.empty(); ++round, now_ += tick) {
            while (!events_.empty() && events_.begin()->first <= now_) {
                const auto event = events_.begin()->second;
                events_.erase(events_.begin());
                event();
            }
            if (options_.faults_)
                injectFaults();
            for (Host& h : hosts_) {
                if (h.up_ && h.pausedUntil_ <= now_)
                    runControlLoop(h, round);
            }
            checkGuarantees();
        }
    }

    void removeFaults()
    {
        options_.faults_ = storeDown_ = false;
        storePartition_ = 0;
        for (Host& h : hosts_) {
            h.partition_ = 0;
            h.pausedUntil_ = {};
            if (!h.up_)
                startProcess(h);
        }
    }
};

/// Runs seeds 1 to `seeds` with the given options and returns the first violation, or an empty string.
std::string findViolation(SimulationOptions options, uint64_t seeds)
{
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        options.seed_ = seed;
        options.hosts_ = 2 + seed % 7;
        Simulation simulation(options);
        simulation.run(ms(60000));
        if (!simulation.violation_.empty())
            return simulation.violation_;
    }
    return {};
}

} // namespace

TEST_CASE("no schedule breaks the guarantees of the head")
{
    // Guards against admitted revoked keys, decreasing revisions, lost configurations, and shares that two
    // hosts use at once, in any combination of faults.
    CHECK(findViolation({}, 150) == "");
}

TEST_CASE("the schedules find the violation when a rule is off")
{
    // Guards against random schedules whose faults are too mild to reveal a missing rule.
    SimulationOptions options;
    options.evidence_.requireAcks_ = false;
    CHECK(findViolation(options, 150) != "");
    options = {};
    options.lease_.activationDelay_ = ms(0);
    CHECK(findViolation(options, 150) != "");
}

TEST_CASE("after all faults have ended, every host is listed and admits requests")
{
    // Guards against a state that persists after a fault until the host is restarted.
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        Simulation simulation({ .seed_ = seed, .evidence_ = {}, .lease_ = {} });
        simulation.run(ms(40000));
        simulation.removeFaults();
        simulation.run(ms(30000));
        CHECK(simulation.violation_ == "");
        for (Host& h : simulation.hosts_) {
            const EffectiveHeads effective = evaluate(h.lease_, {}, simulation.localTime(h));
            CHECK_MESSAGE(effective.admitKeyed_, h.name_, " refuses requests, seed ", seed);
            CHECK_MESSAGE(h.knowledge_.listed_, h.name_, " is not listed, seed ", seed);
        }
    }
}

TEST_CASE("an outage of the store for all hosts interrupts no service")
{
    // Guards against leases that expire although all members agree that nothing can have changed.
    Simulation simulation({ .seed_ = 1, .hosts_ = 7, .faults_ = false, .evidence_ = {}, .lease_ = {} });
    simulation.run(ms(10000));
    simulation.admitted_ = simulation.refused_ = simulation.evidenceServed_ = 0;
    simulation.storeDown_ = true;
    simulation.run(ms(600000));
    CHECK(simulation.violation_ == "");
    CHECK(simulation.refused_ == 0);
    CHECK(simulation.evidenceServed_ > simulation.admitted_ / 2);
}
