// Random schedules of the control head: hosts with drifting clocks, pauses and restarts, a store with
// outages, late writes and lost responses, and partitions of every shape. The seed repeats a run.
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

struct Setup {
    uint64_t seed_ = 0;
    size_t hosts_ = 5;
    bool faults_ = true;
    EvidenceOptions evidence_;
    LeaseOptions lease_;
};

struct Write {
    Head next_;
    Proposal proposal_;
    bool committed_ = false;
    bool accepted_ = false;
};

struct Host {
    std::string name_;
    bool up_ = true;
    TimePoint pausedUntil_;
    Duration offset_ {};
    double rate_ = 1;
    Knowledge knowledge_;
    ReadLease lease_;
    EvidenceLog log_;
    LostHosts lost_;
    CandidateHeads candidates_;
    std::map<uint64_t, Head> heads_;
    std::optional<Write> write_;
    uint64_t servedRevision_ = 0; ///< Newest that this host served under, over all incarnations.
    size_t group_ = 0;
};

/// The fleet, the network and the store. `violation_` names the first broken guarantee.
struct World {
    Setup setup_;
    Random random_;
    TimePoint now_;
    std::multimap<TimePoint, std::function<void()>> events_;
    std::vector<Host> hosts_;
    Head row_;
    std::map<std::string, std::set<int>> revoked_; ///< By configuration digest.
    std::map<int, TimePoint> revokedAt_; ///< Time of the write at the store.
    std::map<uint64_t, TimePoint> acceptedRevisions_;
    size_t storeGroup_ = 0;
    bool storeDown_ = false;
    uint64_t nextIncarnation_ = 1;
    int nextKey_ = 0;
    size_t admitted_ = 0;
    size_t refused_ = 0;
    size_t evidenceServed_ = 0;
    std::string violation_;

    explicit World(const Setup& setup)
        : setup_(setup)
        , random_(setup.seed_)
        , now_(std::chrono::seconds(100))
        , hosts_(setup.hosts_)
    {
        row_.version_ = row_.revision_ = row_.epoch_ = 1;
        row_.digest_ = "d";
        revoked_["d"] = {};
        for (size_t i = 0; i < hosts_.size(); ++i) {
            Host& h = hosts_[i];
            h.name_ = "h" + std::to_string(i);
            h.offset_ = ms(static_cast<int64_t>(pick(100000)));
            h.rate_ = 0.99 + 0.02 * uniform(random_);
            start(h);
            row_.members_.push_back(
                { h.name_, h.knowledge_.incarnation_, "r", "r-a", "", "", MemberState::Live });
        }
    }

    size_t pick(size_t n) { return static_cast<size_t>(uniform(random_) * static_cast<double>(n)); }
    bool chance(double p) { return uniform(random_) < p; }

    TimePoint local(const Host& h) const
    {
        const double us = static_cast<double>(now_.time_since_epoch().count()) * h.rate_;
        return TimePoint { Duration { static_cast<int64_t>(us) } } + h.offset_;
    }

    void start(Host& h)
    {
        h.up_ = true;
        h.knowledge_ = { .host_ = h.name_,
            .incarnation_ = nextIncarnation_++,
            .startedAt_ = local(h),
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
        return ms(1 + static_cast<int64_t>(pick(setup_.faults_ && chance(0.02) ? 1500 : 60)));
    }

    /// Runs `handle` at a process unless it restarted meanwhile; a paused one handles it when it resumes.
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
        if (from.group_ != to.group_ || (setup_.faults_ && chance(0.02)))
            return;
        deliver(to, incarnation, now_ + delay(), std::move(handle));
    }

    void learn(Host& h, const Head& head)
    {
        REQUIRE(learnHead(h.lease_, setup_.lease_, head, local(h)));
        noteHead(h.knowledge_, head);
        h.heads_[head.version_] = head;
        recordPrepared(h.lease_, head.revision_);
    }

    const Head* known(const Host& h) const
    {
        return h.lease_.known_ ? &h.heads_.at(h.lease_.known_->version_) : nullptr;
    }

    bool storeReachable(const Host& h) const { return !storeDown_ && h.group_ == storeGroup_; }

    void read(Host& h)
    {
        if (!storeReachable(h))
            return;
        const TimePoint sentAt = local(h);
        events_.emplace(now_ + delay(), [this, &h, sentAt, incarnation = h.knowledge_.incarnation_] {
            if (!storeReachable(h))
                return;
            deliver(h, incarnation, now_ + delay(), [this, sentAt, head = row_](Host& reader) {
                learn(reader, head);
                REQUIRE(recordRead(reader.lease_, setup_.lease_, head, sentAt, local(reader)));
                noteContact(reader.knowledge_, sentAt);
            });
        });
    }

    void probe(Host& h)
    {
        const TimePoint sentAt = local(h);
        for (Host& to : hosts_) {
            if (&to == &h)
                continue;
            send(h, to, [this, &h, sentAt, incarnation = h.knowledge_.incarnation_](Host& member) {
                const auto evidence = giveEvidence(member.knowledge_, setup_.evidence_, local(member));
                const Head* head = known(member);
                std::optional<Head> copy = head ? std::optional(*head) : std::nullopt;
                send(
                    member, h,
                    [this, sentAt, evidence, copy, heads = member.candidates_](Host& asker) {
                        if (copy && copy->version_ >= asker.knowledge_.newestVersion_)
                            learn(asker, *copy);
                        asker.candidates_.insert(heads.begin(), heads.end());
                        if (evidence)
                            recordEvidence(asker.log_, asker.knowledge_, asker.lost_, sentAt, *evidence);
                    },
                    incarnation);
            });
        }
    }

    /// Starts a change: revokes a key, or removes or adds a member.
    void propose(Host& h)
    {
        Write write;
        write.next_ = *known(h);
        Head& next = write.next_;
        ++next.version_;
        next.nonce_ = randomId(random_);
        const auto self = std::find_if(
            next.members_.begin(), next.members_.end(), [&](const Member& m) { return m.host_ == h.name_; });
        if (self == next.members_.end() || self->incarnation_ != h.knowledge_.incarnation_) {
            if (self != next.members_.end())
                next.members_.erase(self);
            next.members_.push_back(
                { h.name_, h.knowledge_.incarnation_, "r", "r-a", "", "", MemberState::Live });
            std::sort(next.members_.begin(), next.members_.end());
            ++next.epoch_;
        } else if (chance(0.4) && next.members_.size() > 2) {
            next.members_.erase(next.members_.begin() + static_cast<ptrdiff_t>(pick(next.members_.size())));
            ++next.epoch_;
        } else {
            ++next.revision_;
            next.digest_ = next.nonce_;
            revoked_[next.digest_] = revoked_.at(known(h)->digest_);
            revoked_[next.digest_].insert(nextKey_++);
        }
        write.proposal_.candidate_ = { known(h)->version_, next.nonce_, next.nonce_ };
        if (!acknowledgeCandidate(h.knowledge_, write.proposal_.candidate_))
            return;
        h.candidates_[next.nonce_] = next;
        h.write_ = std::move(write);
    }

    void announce(Host& h)
    {
        const TimePoint sentAt = local(h);
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
        const Head& seen = written != h.heads_.end() ? written->second : *known(h);
        const WriteOutcome outcome = outcomeOf(write.proposal_.candidate_, seen);
        if (outcome == WriteOutcome::Lost || outcome == WriteOutcome::Superseded) {
            h.write_ = std::nullopt;
            return;
        }
        write.committed_ = outcome == WriteOutcome::Written;
        if (write.committed_) {
            if (isAccepted(write.proposal_, h.knowledge_, setup_.evidence_, base, h.lost_, local(h))) {
                acceptedRevisions_.try_emplace(write.next_.revision_, now_);
                h.write_ = std::nullopt;
                return;
            }
        } else if (mayWrite(write.proposal_, h.knowledge_, setup_.evidence_, base, h.lost_, local(h))
            && storeReachable(h)) {
            // Some writes reach the row long after they were sent, whatever happened to the writer meanwhile.
            const Duration late
                = setup_.faults_ && chance(0.2) ? ms(static_cast<int64_t>(pick(8000))) : delay();
            events_.emplace(now_ + late, [this, next = write.next_] { commit(next); });
        }
        announce(h);
    }

    /// What a host's control loop does in one round.
    void step(Host& h, int64_t round)
    {
        const auto phase = static_cast<int64_t>(&h - hosts_.data());
        if ((round + phase) % 8 == 0) {
            read(h);
            probe(h);
        }
        const Head* head = known(h);
        if (!head)
            return;
        const TimePoint now = local(h);
        tryRecover(h.knowledge_, h.log_, setup_.evidence_, *head, h.candidates_, h.lost_, now);
        const Extension extension
            = evaluateEvidence(h.log_, h.knowledge_, setup_.evidence_, *head, h.candidates_, h.lost_, now);
        if (extension.start_)
            extendLease(h.lease_, head->version_, *extension.start_);
        if (h.write_ && (round + phase) % 4 == 0)
            advanceWrite(h);
        else if (!h.write_ && hasContact(h.knowledge_, setup_.evidence_, now)
            && h.knowledge_.newestVersion_ == head->version_) {
            if (chance(h.knowledge_.listed_ ? 0.004 : 0.1))
                propose(h);
        }
    }

    static const Member& owner(const Head& head)
    {
        return head.members_.at(hash64(std::to_string(head.epoch_)) % head.members_.size());
    }

    void fail(const std::string& what, const Host& h)
    {
        if (violation_.empty())
            violation_ = what + " at " + h.name_ + ", "
                + std::to_string(now_.time_since_epoch().count() / 1000) + " ms, seed "
                + std::to_string(setup_.seed_);
    }

    void check()
    {
        size_t users = 0;
        for (Host& h : hosts_) {
            if (!h.up_ || h.pausedUntil_ > now_)
                continue;
            const Effective effective = evaluate(h.lease_, setup_.lease_, local(h));
            ++(effective.admitKeyed_ ? admitted_ : refused_);
            if (!effective.admitKeyed_)
                continue;
            std::vector<const Head*> apply { &h.heads_.at(effective.extensions_->version_) };
            for (const HeadMark& mark : effective.restrictions_)
                apply.push_back(&h.heads_.at(mark.version_));
            evidenceServed_ += effective.needsEvidence_ ? 1 : 0;
            // A candidate whose content has not arrived takes away everything that it might.
            bool unknown = false;
            for (const Candidate& c : h.knowledge_.candidates_) {
                const auto it = h.candidates_.find(c.digest_);
                if (effective.needsEvidence_ && it != h.candidates_.end())
                    apply.push_back(&it->second);
                unknown = unknown || (effective.needsEvidence_ && it == h.candidates_.end());
            }
            for (const auto& [key, since] : revokedAt_) {
                const bool refused = std::any_of(apply.begin(), apply.end(),
                    [&, k = key](const Head* head) { return revoked_.at(head->digest_).contains(k); });
                if (!refused && now_ > since + ms(3000))
                    fail("revoked key admitted", h);
            }
            const uint64_t revision = effective.extensions_->revision_;
            if (revision < h.servedRevision_)
                fail("revision fell", h);
            h.servedRevision_ = std::max(h.servedRevision_, revision);
            for (const auto& [accepted, since] : acceptedRevisions_) {
                if (revision < accepted && now_ > since + ms(6000))
                    fail("accepted revision not in effect", h);
            }
            const bool uses = effective.sharesUsable_ && !unknown
                && std::all_of(apply.begin(), apply.end(), [&](const Head* head) {
                       return owner(*head).host_ == h.name_
                           && owner(*head).incarnation_ == h.knowledge_.incarnation_;
                   });
            users += uses ? 1 : 0;
            if (users > 1)
                fail("share held twice", h);
        }
        for (const auto& [accepted, since] : acceptedRevisions_) {
            if (row_.revision_ < accepted)
                violation_ = "accepted revision lost";
        }
    }

    void disturb()
    {
        if (chance(0.008))
            storeDown_ = !storeDown_;
        if (chance(0.01)) {
            // Any shape: up to three random groups, or up to two hosts apart; the store may be in any group.
            const size_t groups = 1 + pick(3);
            const bool few = chance(0.5);
            for (Host& h : hosts_)
                h.group_ = few ? 0 : pick(groups);
            if (few)
                hosts_[pick(hosts_.size())].group_ = hosts_[pick(hosts_.size())].group_ = 1;
            storeGroup_ = pick(groups);
        }
        Host& h = hosts_[pick(hosts_.size())];
        if (chance(0.006))
            h.up_ ? void(h.up_ = false) : start(h);
        else if (h.up_ && chance(0.02) && chance(0.5))
            start(h);
        else if (chance(0.01))
            h.pausedUntil_ = now_ + ms(static_cast<int64_t>(pick(6000)));
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
            if (setup_.faults_)
                disturb();
            for (Host& h : hosts_) {
                if (h.up_ && h.pausedUntil_ <= now_)
                    step(h, round);
            }
            check();
        }
    }

    void heal()
    {
        setup_.faults_ = storeDown_ = false;
        storeGroup_ = 0;
        for (Host& h : hosts_) {
            h.group_ = 0;
            h.pausedUntil_ = {};
            if (!h.up_)
                start(h);
        }
    }
};

/// First violation over `seeds` seeds with the given options, or empty.
std::string search(Setup setup, uint64_t seeds)
{
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        setup.seed_ = seed;
        setup.hosts_ = 2 + seed % 7;
        World world(setup);
        world.run(ms(60000));
        if (!world.violation_.empty())
            return world.violation_;
    }
    return {};
}

} // namespace

TEST_CASE("no schedule breaks the guarantees of the head")
{
    // Guards against revoked keys that are admitted, falling revisions, lost configurations, and shares that
    // two hosts hold at once, in any combination of failures.
    CHECK(search({}, 150) == "");
}

TEST_CASE("the schedules find the violation when a rule is off")
{
    // Guards against random schedules that are too tame to break anything.
    Setup setup;
    setup.evidence_.requireAcks_ = false;
    CHECK(search(setup, 150) != "");
    setup = {};
    setup.lease_.activationDelay_ = ms(0);
    CHECK(search(setup, 150) != "");
}

TEST_CASE("after healing, every host serves the newest head")
{
    // Guards against a state that a fault leaves behind and that only a restart clears.
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        World world({ .seed_ = seed, .evidence_ = {}, .lease_ = {} });
        world.run(ms(40000));
        world.heal();
        world.run(ms(30000));
        CHECK(world.violation_ == "");
        for (Host& h : world.hosts_) {
            const Effective effective = evaluate(h.lease_, {}, world.local(h));
            CHECK_MESSAGE(effective.admitKeyed_, h.name_, " refuses, seed ", seed);
            CHECK_MESSAGE(h.knowledge_.listed_, h.name_, " is not listed, seed ", seed);
        }
    }
}

TEST_CASE("a store outage for all hosts stops no service")
{
    // Guards against leases that expire although all members agree that nothing can have changed.
    World world({ .seed_ = 1, .hosts_ = 7, .faults_ = false, .evidence_ = {}, .lease_ = {} });
    world.run(ms(10000));
    world.admitted_ = world.refused_ = world.evidenceServed_ = 0;
    world.storeDown_ = true;
    world.run(ms(600000));
    CHECK(world.violation_ == "");
    CHECK(world.refused_ == 0);
    CHECK(world.evidenceServed_ > world.admitted_ / 2);
}
