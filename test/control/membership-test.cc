// Tests of membership: observers, suspicion of failed hosts and changes of the member list.
#include "turmericwing/control/membership.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace turmericwing;
using namespace turmericwing::control;

namespace {

TimePoint at(int ms) { return TimePoint {} + std::chrono::milliseconds(ms); }

/// A head with `count` members; host number i is in domain i % domains; two domains form a region.
Head viewOf(size_t count, size_t domains)
{
    Head head;
    for (size_t i = 0; i < count; ++i) {
        const size_t domain = i % domains;
        const std::string id = std::to_string(1000 + i);
        head.members_.push_back({ "h" + id, 1, "r" + std::to_string(domain / 2), "d" + std::to_string(domain),
            "c" + id, "p" + id, MemberState::Live });
    }
    return head;
}

/// Records heartbeats of all members but `silent` every 500 ms, and ticks every 100 ms, from `begin` to
/// `end`.
void recordHeartbeats(HeartbeatTable& table, const MembershipOptions& options, const Head& head,
    const std::string& silent, int begin, int end)
{
    for (int ms = begin; ms <= end; ms += 100) {
        recordTick(table, options, at(ms));
        for (const Member& m : head.members_) {
            if (m.host_ != silent && ms % 500 == 0)
                recordHeartbeat(table, options, m.host_, m.incarnation_, m.peerAddress_, at(ms));
        }
    }
}

} // namespace

TEST_CASE("connections and messages stay flat as the fleet grows")
{
    // Guards against a control cost per host, in any role, that grows with the fleet.
    const MembershipOptions options;
    for (const size_t count : { 115, 230, 810 }) {
        const Head head = viewOf(count, 23);
        size_t relays = 0;
        std::map<std::string, std::set<std::string>> peers;
        for (const Member& m : head.members_) {
            const std::vector<std::string> list = peersOf(head, options, m.host_);
            peers[m.host_].insert(list.begin(), list.end());
            CHECK(observersOf(head, options, m.host_).size() <= 6);
            CHECK(observedBy(head, options, m.host_).size() <= 16);
            CHECK(list.size() <= 55);
            const auto ofDomain = relaysOf(head, options, m.failureDomain_);
            const bool isRelay = std::count(ofDomain.begin(), ofDomain.end(), m.host_) > 0;
            relays += isRelay ? 1 : 0;
            // In a large domain relays do not observe, because both roles together exceed the budget.
            if (count == 810) {
                CHECK((!isRelay || observedBy(head, options, m.host_).empty()));
                CHECK((isRelay || list.size() <= 30));
            }
        }
        // At 2.5 reads/s each, all relays together read 230 times a second.
        CHECK(relays == (count == 810 ? 23 * 4 : 23 * 2));
        // Every host is observed from three failure domains, two of which must suspect it before it is
        // removed.
        std::map<std::string, std::set<std::string>> observerDomains;
        for (const Member& m : head.members_) {
            for (const std::string& host : observedBy(head, options, m.host_)) {
                observerDomains[host].insert(m.failureDomain_);
                CHECK(peers[host].count(m.host_) == 1);
                CHECK(peers[m.host_].count(host) == 1);
                const auto list = observersOf(head, options, host);
                CHECK(std::count(list.begin(), list.end(), m.host_) == 1);
                for (const std::string& other : list)
                    CHECK((other == m.host_ || peers[m.host_].count(other) == 1));
            }
        }
        CHECK(observerDomains["h1100"].count("d8") + observerDomains["h1100"].count("d9") == 2);
        for (const Member& m : head.members_)
            REQUIRE(observerDomains[m.host_].size() == 3);
        HeartbeatTable silent { .records_ = {}, .observingSince_ = at(1), .lastTick_ = at(1) };
        const std::string observer = observedBy(head, options, "h1100").empty() ? "h1000" : "h1100";
        CHECK(summariseSuspicions(silent, options, head, observer, at(1)).suspicions_.empty());
        const size_t suspicions
            = summariseSuspicions(silent, options, head, observer, at(9000)).suspicions_.size();
        CHECK(suspicions == observedBy(head, options, observer).size());
        CHECK(suspicions <= maxSuspicions);
    }
    // A small fleet also meshes each region: domains d0 and d1 have eight hosts together, and d2 observes d0.
    CHECK(peersOf(viewOf(24, 6), options, "h1018").size() == 9);
    CHECK(peersOf(viewOf(24, 6), { .fullMeshLimit_ = 0 }, "h1018")
        == std::vector<std::string> { "h1000", "h1001", "h1002", "h1006", "h1007", "h1008" });
}

TEST_CASE("two other failure domains detect the loss of a whole domain")
{
    // Guards against a lost domain that stays in the view because only one other domain observes it.
    for (const size_t count : { 12, 230, 810 }) {
        const Head head = viewOf(count, count == 12 ? 4 : 23);
        SuspicionLog log;
        for (const Member& m : head.members_) {
            if (m.failureDomain_ == "d1")
                continue;
            HeartbeatTable table;
            for (const std::string& host : observedBy(head, {}, m.host_)) {
                const bool lost = std::any_of(head.members_.begin(), head.members_.end(),
                    [&](const Member& other) { return other.host_ == host && other.failureDomain_ == "d1"; });
                recordHeartbeat(table, {}, host, 1, host, at(lost ? 0 : 2000));
            }
            summariseSuspicions(table, {}, head, m.host_, at(0));
            log[m.host_] = { at(2000), summariseSuspicions(table, {}, head, m.host_, at(2000)) };
        }
        const std::vector<std::string> removed = membersToRemove(log, {}, head, at(2000));
        CHECK(withoutMembers(head, removed).members_.size() == count - removed.size());
        CHECK(removed.size()
            == static_cast<size_t>(std::count_if(head.members_.begin(), head.members_.end(),
                [](const Member& m) { return m.failureDomain_ == "d1"; })));
    }
}

TEST_CASE("a new observer waits before it suspects hosts without a heartbeat")
{
    // Guards against the removal of live hosts by observers that a change of the view has just assigned.
    Head head = viewOf(12, 4);
    HeartbeatTable table;
    recordHeartbeats(table, {}, head, "", 100, 4000);
    table.records_.clear();
    CHECK(summariseSuspicions(table, {}, head, "h1004", at(4000)).suspicions_.empty());
    CHECK(summariseSuspicions(table, {}, head, "h1004", at(5400)).suspicions_.empty());
    CHECK(!summariseSuspicions(table, {}, head, "h1004", at(5500)).suspicions_.empty());
}

TEST_CASE("two observers in different domains remove a silent host, one bad link does not")
{
    // Guards against the removal of a live host because one link has failed.
    const Head head = viewOf(12, 4);
    for (const bool requireTwoDomains : { true, false }) {
        const MembershipOptions options { .requireTwoDomains_ = requireTwoDomains };
        SuspicionLog log;
        const auto observe = [&](const std::string& observer, const std::string& silent) {
            HeartbeatTable table;
            summariseSuspicions(table, options, head, observer, at(100));
            recordHeartbeats(table, options, head, silent, 100, 4000);
            log[observer] = { at(4000), summariseSuspicions(table, options, head, observer, at(4000)) };
        };
        observe("h1000", "h1008");
        observe("h1004", "h1008");
        CHECK(log.at("h1000").second.suspicions_ == std::vector<Suspicion> { { "h1008", 1 } });
        observe("h1001", "");
        CHECK(membersToRemove(log, options, head, at(4000)).empty() == requireTwoDomains);
        observe("h1001", "h1008");
        CHECK(membersToRemove(log, options, head, at(4500)) == std::vector<std::string> { "h1008" });
        CHECK(membersToRemove(log, options, head, at(5000)).empty());
        Head renewed = head;
        renewed.members_[8].incarnation_ = 2;
        CHECK(membersToRemove(log, options, renewed, at(4500)).empty());
    }
}

TEST_CASE("a host alone in its domain and a domain that fails as a whole are removed")
{
    // Guards against failed members that keep their shares forever because only one domain observes them.
    for (const auto& [count, dead] : { std::pair<size_t, std::string> { 7, "d3" }, { 16, "d2" } }) {
        Head head = viewOf(count, 4);
        const auto inDomain = [dead = dead](const Member& m) { return m.failureDomain_ == dead; };
        for (int round = 0; round < 2; ++round) {
            SuspicionLog log;
            for (const Member& observer : head.members_) {
                HeartbeatTable table;
                recordTick(table, {}, at(0));
                for (int ms = 100; ms <= 4000; ms += 100) {
                    recordTick(table, {}, at(ms));
                    for (const Member& m : head.members_) {
                        if (!inDomain(m) && ms % 500 == 0)
                            recordHeartbeat(table, {}, m.host_, m.incarnation_, m.peerAddress_, at(ms));
                    }
                    if (ms % 500 == 0)
                        static_cast<void>(summariseSuspicions(table, {}, head, observer.host_, at(ms)));
                }
                if (!inDomain(observer))
                    log[observer.host_]
                        = { at(4000), summariseSuspicions(table, {}, head, observer.host_, at(4000)) };
            }
            head = withoutMembers(head, membersToRemove(log, {}, head, at(4000)));
        }
        CHECK(std::none_of(head.members_.begin(), head.members_.end(), inDomain));
        CHECK(head.members_.size() == count - count / 4);
    }
}

TEST_CASE("a paused observer suspects no host, and a short pause raises no suspicion")
{
    // Guards against a process that resumes after a pause with unread heartbeats and removes its peers.
    const Head head = viewOf(12, 4);
    for (const bool detect : { true, false }) {
        const MembershipOptions options { .detectPauses_ = detect };
        HeartbeatTable table;
        recordHeartbeats(table, options, head, "", 100, 4000);
        CHECK(summariseSuspicions(table, options, head, "h1000", at(5400)).suspicions_.empty());
        recordTick(table, options, at(20000));
        CHECK(summariseSuspicions(table, options, head, "h1000", at(20000)).suspicions_.empty() == detect);
    }
}

TEST_CASE("a host heard with a newer incarnation is suspected at once in the listed one")
{
    // Guards against shares that stay assigned to a process that has ended.
    const Head head = viewOf(12, 4);
    HeartbeatTable table;
    recordHeartbeats(table, {}, head, "", 100, 4000);
    recordHeartbeat(table, {}, "h1008", 2, "p1008", at(4050));
    CHECK(summariseSuspicions(table, {}, head, "h1000", at(4100)).suspicions_
        == std::vector<Suspicion> { { "h1008", 1 } });
}

TEST_CASE("half of the fleet is never removed at once")
{
    // Guards against observers that are themselves partitioned from the fleet.
    const Head head = viewOf(4, 2);
    const SuspicionLog log {
        { "h1000", { at(0), { "h1000", "d0", 2, 1, { { "h1002", 1 }, { "h1003", 1 } } } } },
        { "h1001", { at(0), { "h1001", "d1", 2, 1, { { "h1002", 1 }, { "h1003", 1 } } } } },
    };
    CHECK(membersToRemove(log, {}, head, at(0)).empty());
    CHECK(membersToRemove(log, {}, viewOf(5, 2), at(0)).size() == 2);
}

TEST_CASE("two live processes with the same name or address are detected")
{
    // Guards against two processes that both act as the holder of a member's shares.
    HeartbeatTable table;
    const auto heartbeat = [&](const char* host, uint64_t incarnation, const char* address, int ms) {
        return recordHeartbeat(table, {}, host, incarnation, address, at(ms));
    };
    CHECK(heartbeat("a", 1, "p1", 0) == HeartbeatOutcome::Recorded);
    CHECK(heartbeat("b", 1, "p1", 500) == HeartbeatOutcome::DuplicateAddress);
    CHECK(heartbeat("a", 2, "p1", 600) == HeartbeatOutcome::NewIncarnation);
    CHECK(heartbeat("a", 1, "p1", 700) == HeartbeatOutcome::Delayed);
    CHECK(heartbeat("a", 2, "p1", 2000) == HeartbeatOutcome::Recorded);
    CHECK(heartbeat("a", 1, "p1", 2200) == HeartbeatOutcome::DuplicateName);
    CHECK(heartbeat("b", 1, "p1", 3600) == HeartbeatOutcome::Recorded);
}

TEST_CASE("joining replaces the earlier incarnation and refuses live duplicates")
{
    // Guards against a view that lists a process twice, and against an old process that rejoins.
    Head head = viewOf(3, 3);
    Member member = head.members_[1];
    member.incarnation_ = 2;
    const Head joined = withMember(head, member, { "h1001" }).value();
    CHECK(joined.members_.size() == 3);
    CHECK(joined.members_[1].incarnation_ == 2);
    CHECK(joined.epoch_ == head.epoch_ + 1);
    CHECK(joined.version_ == head.version_ + 1);
    CHECK(withMember(joined, head.members_[1], {}).has_error());
    member.host_ = "h0999";
    CHECK(withMember(head, member, { "h1001" }).has_error());
    const Head replaced = withMember(head, member, {}).value();
    CHECK(replaced.members_.size() == 3);
    CHECK(replaced.members_[0].host_ == "h0999");
    CHECK(withLeaving(head, "h1001", 1).value().members_[1].state_ == MemberState::Leaving);
    CHECK(withLeaving(head, "h1001", 2).has_error());
    CHECK(withoutMembers(head, { "h1000", "h1002" }).members_.size() == 1);
}
