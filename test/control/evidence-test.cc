// Tests of evidence, acknowledgements and the recovery delay of new incarnations.
#include "turmericwing/control/evidence.h"

#include <doctest/doctest.h>

using namespace turmericwing;
using namespace turmericwing::control;

namespace {

TimePoint at(int ms) { return TimePoint {} + std::chrono::milliseconds(ms); }

std::string hostName(size_t i) { return "h" + std::to_string(i); }

/// A head of version 5 with `count` members in three regions.
Head viewOf(size_t count)
{
    Head head;
    head.version_ = 5;
    for (size_t i = 0; i < count; ++i) {
        const std::string region = "r" + std::to_string(i % 3);
        head.members_.push_back({ hostName(i), 1, region, region + "-a", "", "", MemberState::Live });
    }
    return head;
}

/// A fleet whose processes exchange evidence without delay.
struct Fleet {
    Head head_;
    EvidenceOptions options_;
    CandidateHeads heads_;
    LostHostsDeclaration lost_;
    std::vector<HeadKnowledge> hosts_;
    std::vector<EvidenceLog> logs_;

    explicit Fleet(size_t count)
        : head_(viewOf(count))
        , logs_(count)
    {
        for (size_t i = 0; i < count; ++i) {
            hosts_.push_back({ .host_ = hostName(i),
                .incarnation_ = 1,
                .startedAt_ = at(0),
                .candidates_ = {},
                .lastContact_ = {} });
            recordHead(hosts_[i], head_);
        }
    }

    void probe(size_t prober, const std::vector<size_t>& from, TimePoint now)
    {
        for (const size_t i : from) {
            if (const auto evidence = makeEvidence(hosts_[i], options_, now))
                recordEvidence(logs_[prober], hosts_[prober], lost_, now, *evidence);
        }
    }

    LeaseExtension evaluate(size_t host, TimePoint now) const
    {
        return evaluateEvidence(logs_[host], hosts_[host], options_, head_, heads_, lost_, now);
    }

    void restart(size_t host, TimePoint now)
    {
        hosts_[host] = { .host_ = hostName(host),
            .incarnation_ = hosts_[host].incarnation_ + 1,
            .startedAt_ = now,
            .candidates_ = {},
            .lastContact_ = {} };
        logs_[host] = {};
        recordHead(hosts_[host], head_);
    }
};

const Candidate candidate { 5, "n", "digest" };

} // namespace

TEST_CASE("all members but f must answer, and the oldest needed answer starts the lease")
{
    // Guards against a minority of the members that extends its own leases.
    CHECK(maxMissingMembers(2) == 0);
    CHECK(maxMissingMembers(3) == 1);
    CHECK(maxMissingMembers(7) == 2);
    Fleet fleet(4);
    fleet.probe(0, { 1 }, at(100));
    CHECK_FALSE(fleet.evaluate(0, at(300)).start_);
    fleet.probe(0, { 2 }, at(200));
    CHECK(fleet.evaluate(0, at(300)).start_ == at(100));
    fleet.probe(0, { 3 }, at(300));
    CHECK(fleet.evaluate(0, at(300)).start_ == at(200));
    CHECK_FALSE(fleet.evaluate(0, at(2150)).start_);
}

TEST_CASE("evidence of a process that the view has replaced does not count")
{
    // Guards against an old process that still runs and answers without the candidate that its successor
    // holds.
    Fleet fleet(4);
    fleet.head_.members_[1].incarnation_ = 2;
    fleet.probe(0, { 1, 2 }, at(0));
    CHECK_FALSE(fleet.evaluate(0, at(0)).start_);
    fleet.hosts_[1].incarnation_ = 2;
    fleet.probe(0, { 1 }, at(0));
    CHECK(fleet.evaluate(0, at(0)).start_);
}

TEST_CASE("a newer version or an unknown candidate stops the extension")
{
    // Guards against serving under the old head although a member knows of a change.
    Fleet fleet(4);
    CHECK(acknowledgeCandidate(fleet.hosts_[1], candidate));
    fleet.probe(0, { 1, 2, 3 }, at(0));
    CHECK_FALSE(fleet.evaluate(0, at(0)).start_);
    CHECK(fleet.evaluate(0, at(0)).unknown_ == std::vector { candidate });
    fleet.heads_["digest"] = fleet.head_;
    CHECK(fleet.evaluate(0, at(0)).start_);
    CHECK(fleet.evaluate(0, at(0)).restrictBy_ == std::vector { candidate });
    // The view of the candidate contains only h1, which then stops answering.
    fleet.heads_["digest"].members_ = { fleet.head_.members_[1] };
    fleet.probe(0, { 2, 3 }, at(1900));
    CHECK(fleet.evaluate(0, at(1899)).start_);
    CHECK_FALSE(fleet.evaluate(0, at(1900)).start_);
    fleet.head_.version_ = 6;
    recordHead(fleet.hosts_[2], fleet.head_);
    fleet.head_.version_ = 5;
    fleet.probe(0, { 1, 2, 3 }, at(2000));
    CHECK(fleet.evaluate(0, at(2000)).newerVersion_ == 6);
    CHECK_FALSE(fleet.evaluate(0, at(2000)).start_);
    CHECK(fleet.hosts_[0].candidates_.empty());
    CHECK_FALSE(acknowledgeCandidate(fleet.hosts_[0], candidate));
}

TEST_CASE("a write needs recent acknowledgements of f members and contact with the store")
{
    // Guards against a host that is partitioned with the store and changes the head while all others serve
    // under the old one.
    for (const bool requireAcks : { true, false }) {
        Fleet fleet(3);
        fleet.options_.requireAcks_ = requireAcks;
        Proposal proposal { .candidate_ = candidate, .acks_ = {}, .outcomeAcks_ = {} };
        const auto writeAllowed = [&](int ms) {
            return mayWrite(proposal, fleet.hosts_[0], fleet.options_, fleet.head_, {}, at(ms)).has_value();
        };
        acknowledgeCandidate(fleet.hosts_[0], candidate);
        recordStoreContact(fleet.hosts_[0], at(0));
        // Without the rule, h0 may write here while h1 and h2 still extend their leases, which is unsafe.
        fleet.probe(1, { 2 }, at(0));
        CHECK(fleet.evaluate(1, at(0)).start_);
        CHECK(writeAllowed(0) == !requireAcks);
        if (!requireAcks)
            continue;
        recordAck(proposal.acks_, "h1", { 0, at(0) });
        CHECK_FALSE(writeAllowed(0));
        recordAck(proposal.acks_, "h1", { 1, at(100) });
        CHECK(writeAllowed(999));
        CHECK_FALSE(writeAllowed(1000));
        recordStoreContact(fleet.hosts_[0], at(1000));
        CHECK(writeAllowed(1099));
        CHECK_FALSE(writeAllowed(1100));
        // Once a change is accepted, every later quorum contains a host that knows the version.
        CHECK_FALSE(isAccepted(proposal, fleet.hosts_[0], {}, fleet.head_, {}, at(2000)));
        recordAck(proposal.outcomeAcks_, "h2", { 1, at(2000) });
        CHECK(isAccepted(proposal, fleet.hosts_[0], {}, fleet.head_, {}, at(2000)));
        // A writer that is not a member of the view needs one more acknowledgement.
        fleet.hosts_[0].host_ = "new";
        CHECK_FALSE(isAccepted(proposal, fleet.hosts_[0], {}, fleet.head_, {}, at(2000)));
    }
}

TEST_CASE("a new incarnation is not eligible before its predecessor's acknowledgements have expired")
{
    // Guards against this schedule: h1 acknowledges h0's candidate and restarts. It probes h2 before h2
    // acknowledges too. Then h0, h2 and the store are partitioned off, and the other five members, with h1,
    // continue to serve under the old head.
    for (const int wait : { 2000, 0 }) {
        Fleet fleet(7);
        fleet.options_.recoveryDelay_ = std::chrono::milliseconds(wait);
        const auto recover = [&](int ms) {
            return tryRecover(fleet.hosts_[1], fleet.logs_[1], fleet.options_, fleet.head_, {}, {}, at(ms));
        };
        Proposal proposal { .candidate_ = candidate, .acks_ = {}, .outcomeAcks_ = {} };
        acknowledgeCandidate(fleet.hosts_[0], candidate);
        recordStoreContact(fleet.hosts_[0], at(0));
        REQUIRE(acknowledgeCandidate(fleet.hosts_[1], candidate));
        recordAck(proposal.acks_, "h1", { 1, at(0) });
        fleet.restart(1, at(100));
        fleet.probe(1, { 2, 3, 4, 5, 6 }, at(200));
        CHECK(recover(200) == (wait == 0));
        REQUIRE(acknowledgeCandidate(fleet.hosts_[2], candidate));
        recordAck(proposal.acks_, "h2", { 1, at(300) });
        REQUIRE(mayWrite(proposal, fleet.hosts_[0], fleet.options_, fleet.head_, {}, at(400)));
        fleet.probe(1, { 3, 4, 5, 6 }, at(2200));
        recover(2200);
        for (const size_t i : { 1, 4, 5, 6 })
            fleet.probe(3, { i }, at(5000));
        const bool servesOldHead = fleet.evaluate(3, at(5000)).start_.has_value();
        CHECK(servesOldHead == (wait == 0));
    }
}

TEST_CASE("a new incarnation recovers by evidence but not while a candidate is in doubt")
{
    // Guards against a revision that decreases on a host across a restart, and against a fleet that shrinks
    // with each restart during an outage.
    Fleet fleet(4);
    fleet.restart(1, at(0));
    CHECK_FALSE(makeEvidence(fleet.hosts_[1], {}, at(0)));
    fleet.heads_["digest"] = fleet.head_;
    acknowledgeCandidate(fleet.hosts_[2], candidate);
    fleet.probe(1, { 0, 2, 3 }, at(2000));
    CHECK_FALSE(tryRecover(fleet.hosts_[1], fleet.logs_[1], {}, fleet.head_, fleet.heads_, {}, at(2000)));
    fleet.hosts_[1].candidates_.clear();
    CHECK(tryRecover(fleet.hosts_[1], fleet.logs_[1], {}, fleet.head_, fleet.heads_, {}, at(2000)));
    CHECK(makeEvidence(fleet.hosts_[1], {}, at(2000))->incarnation_ == 2);
}

TEST_CASE("an operator's declaration replaces a lost region's evidence until one of its hosts answers")
{
    // Guards against an outage that lasts as long as the loss of the store's region.
    Fleet fleet(9);
    const std::vector<size_t> otherRegions { 1, 2, 4, 5, 7, 8 };
    fleet.probe(1, otherRegions, at(0));
    CHECK_FALSE(fleet.evaluate(1, at(0)).start_);
    fleet.lost_ = declareRegionLost(fleet.head_, "r0", 6);
    CHECK_FALSE(fleet.evaluate(1, at(0)).start_);
    fleet.lost_ = declareRegionLost(fleet.head_, "r0", 5);
    CHECK(fleet.lost_.hosts_ == std::vector<std::string> { "h0", "h3", "h6" });
    CHECK(fleet.evaluate(1, at(0)).start_);
    fleet.probe(1, { 3 }, at(100));
    CHECK(fleet.lost_.hosts_.empty());
}

TEST_CASE("summaries of domains count as their members' evidence, with their age")
{
    // Guards against messages that grow with the fleet, and against old evidence passed on as new.
    Fleet fleet(9);
    acknowledgeCandidate(fleet.hosts_[5], candidate);
    fleet.heads_["digest"] = fleet.head_;
    fleet.probe(2, { 5, 8 }, at(100));
    const Summary summary
        = summariseEvidence(fleet.logs_[2], fleet.hosts_[2], {}, fleet.head_, fleet.heads_, "r2-a", at(300));
    CHECK(summary.age_ == std::chrono::milliseconds(200));
    CHECK(summary.counts_ == std::vector<ViewCount> { { "", 3 }, { "n", 3 } });
    CHECK(summary.withoutContact_ == 3);
    CHECK(summary.notHeard_ == 0);
    CHECK(summary.candidates_ == std::vector { candidate });
    recordEvidenceSummary(fleet.logs_[0], fleet.hosts_[0], at(400), summary);
    fleet.probe(0, { 1, 3, 4 }, at(400));
    const LeaseExtension extension = fleet.evaluate(0, at(400));
    CHECK(extension.heard_ == 7);
    CHECK(extension.start_ == at(200));
    CHECK(extension.restrictBy_ == std::vector { candidate });
}

TEST_CASE("the nonce tells a lost response from a lost race")
{
    // Guards against a writer that reports another writer's change as its own.
    Head head;
    head.version_ = 5;
    CHECK(writeOutcomeOf(candidate, head) == WriteOutcome::InDoubt);
    head.version_ = 6;
    CHECK(writeOutcomeOf(candidate, head) == WriteOutcome::Lost);
    head.nonce_ = "n";
    CHECK(writeOutcomeOf(candidate, head) == WriteOutcome::Written);
    head.version_ = 7;
    CHECK(writeOutcomeOf(candidate, head) == WriteOutcome::Superseded);
}
