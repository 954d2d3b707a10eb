// Tests of the exchange of upstreams' limits between hosts. They guard against a limit that only the host
// knows that heard it, and against one that outlives what it was named for.
#include "turmericwing/gateway/upstreamlimits.h"

#include "turmericwing/gateway/summary.h"

#include <doctest/doctest.h>

using namespace turmericwing;
using namespace turmericwing::gateway;

namespace {

const TimePoint start { std::chrono::seconds(100) };

TimePoint after(double time)
{
    return start + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(time));
}

UpstreamEntry makeEntry(const std::string& id, const std::string& domain, int64_t startedMs = 1)
{
    return { .id_ = id, .service_ = "s", .failureDomain_ = domain, .slots_ = 4, .startedMs_ = startedMs };
}

/// One host in failure domain a1 of region a, with one upstream in a2 and one in region b.
struct Host {
    explicit Host(const std::string& name)
        : fleet_ { .self_ = name, .failureDomain_ = "a1" }
    {
        directory_.regionOf_ = { { "a1", "a" }, { "a2", "a" }, { "b1", "b" } };
        upsertEntry(directory_, start, makeEntry("near", "a2"));
        upsertEntry(directory_, start, makeEntry("far", "b1"));
    }

    void hearPeer(const std::string& name, const std::string& domain, TimePoint now, uint64_t sequence = 1)
    {
        receiveReport(fleet_, now,
            { .name_ = name,
                .incarnation_ = 1,
                .sequence_ = sequence,
                .region_ = directory_.regionOf_.at(domain),
                .failureDomain_ = domain });
    }

    std::optional<LimitChange> answer(
        const std::string& upstream, std::optional<double> rate, TimePoint now, TimePoint sentAt = {})
    {
        return recordLimit(limits_, directory_, fleet_, now, { { 1, upstream }, rate, sentAt, true });
    }

    std::optional<TimePoint> nextRequestAt(const std::string& upstream, TimePoint now)
    {
        return limits::nextRequestAt(findUpstream(directory_, upstream).record_->limit_, now);
    }

    bool isLimited(const std::string& upstream, TimePoint now)
    {
        return limits::isLimited(findUpstream(directory_, upstream).record_->limit_, now);
    }

    HostReport report(TimePoint now, bool forSummary = false) const
    {
        return { .name_ = fleet_.self_,
            .region_ = "a",
            .failureDomain_ = "a1",
            .limits_ = limitsToReport(limits_, directory_, now, forSummary) };
    }

    UpstreamLimits limits_;
    Directory directory_;
    Fleet fleet_;
};

} // namespace

TEST_CASE("a host keeps to a limit that only its peer has heard")
{
    // Guards against hosts that send without a limit until their own first answer.
    Host first("h1");
    Host second("h2");
    const auto change = first.answer("near", 3.0, after(1));
    REQUIRE(change);
    CHECK(change->after_ == 3.0);
    hearLimits(second.limits_, second.fleet_, after(1.1), first.report(after(1.05)));
    const auto heard = updateLimits(second.limits_, second.directory_, second.fleet_, after(1.2));
    REQUIRE(heard.size() == 1);
    CHECK(heard.front().upstream_ == "near");
    const bool fromPeer = heard.front().source_ == limits::LimitSource::Peer;
    CHECK(fromPeer);
    CHECK(second.nextRequestAt("near", after(1.2)) > after(1.2));
    // What a host has from a peer it does not report as its own.
    CHECK(second.report(after(1.3)).limits_.empty());
    CHECK(second.report(after(1.3), true).limits_.size() == 1);
}

TEST_CASE("the end of a limit reaches the hosts that have only heard of it")
{
    // Guards against hosts without a part, which get no answers that could tell them.
    Host first("h1");
    Host second("h2");
    first.answer("near", 3.0, after(1));
    hearLimits(second.limits_, second.fleet_, after(1.1), first.report(after(1.05)));
    updateLimits(second.limits_, second.directory_, second.fleet_, after(1.2));
    CHECK_FALSE(first.answer("near", std::nullopt, after(2), after(0.5)));
    const auto end = first.answer("near", std::nullopt, after(3), after(2.5));
    REQUIRE(end);
    CHECK_FALSE(end->after_);
    hearLimits(second.limits_, second.fleet_, after(3.2), first.report(after(3.1)));
    CHECK(updateLimits(second.limits_, second.directory_, second.fleet_, after(3.3)).size() == 1);
    CHECK(second.nextRequestAt("near", after(3.3)) == after(3.3));
}

TEST_CASE("a limit belongs to one run of an upstream")
{
    // Guards against late news that limit a restarted upstream.
    Host host("h1");
    host.answer("near", 0.0, after(1));
    CHECK(host.nextRequestAt("near", after(1)) > after(1));
    upsertEntry(host.directory_, after(2), makeEntry("near", "a2", 2));
    CHECK(host.nextRequestAt("near", after(2)) == after(2));
    // A late answer of the earlier run, and what a peer heard of it, say nothing about this one.
    CHECK_FALSE(host.answer("near", 0.0, after(3)));
    Host peer("h2");
    peer.answer("near", 0.0, after(2.9));
    hearLimits(host.limits_, host.fleet_, after(3), peer.report(after(2.95)));
    CHECK(updateLimits(host.limits_, host.directory_, host.fleet_, after(3.1)).empty());
}

TEST_CASE("a limit survives an entry that lapses and comes back")
{
    // Entries lapse in an outage of the store; no host would know the limit after it.
    Host host("h1");
    host.answer("near", 0.0, after(1));
    removeEntry(host.directory_, after(2), "near");
    expireEntries(host.directory_, after(3));
    REQUIRE_FALSE(findUpstream(host.directory_, "near").target_);
    UpstreamEntry again = makeEntry("near", "a2");
    again.sequence_ = 9;
    REQUIRE(upsertEntry(host.directory_, after(4), again));
    CHECK(host.isLimited("near", after(4)));
}

TEST_CASE("hosts of the upstream's region share its limit, all hosts if there are none")
{
    // A part of a host in another region would stay unused, as it has upstreams nearby.
    Host host("h1");
    host.hearPeer("h2", "b1", after(1));
    host.answer("far", 100.0, after(1));
    host.answer("near", 100.0, after(1));
    CHECK_FALSE(host.nextRequestAt("far", after(1)));
    CHECK(host.nextRequestAt("near", after(1)));
    // The host of region b is not heard any more.
    const TimePoint lost = after(1) + host.fleet_.options_.reportLifetime_;
    updateLimits(host.limits_, host.directory_, host.fleet_, lost);
    CHECK(host.nextRequestAt("far", lost));
    // Its part stays with it.
    const double rate = findUpstream(host.directory_, "far").record_->limit_.part_.limits_.rate_;
    CHECK(rate == doctest::Approx(50));
}

TEST_CASE("a limited upstream in an unknown region is still used")
{
    // No host had a part of its limit, so it got no requests at all.
    Host host("h1");
    upsertEntry(host.directory_, after(1), makeEntry("elsewhere", "new-domain"));
    host.answer("elsewhere", 100.0, after(1));
    REQUIRE(host.isLimited("elsewhere", after(1)));
    CHECK(host.nextRequestAt("elsewhere", after(1)));
}

TEST_CASE("a refusal that names no limit ends none")
{
    // Guards against a full upstream that gets all requests again because its refusals lack the field.
    Host host("h1");
    host.answer("near", 1.0, after(1));
    CHECK_FALSE(recordLimit(host.limits_, host.directory_, host.fleet_, after(3),
        { { 1, "near" }, std::nullopt, after(2), false }));
    CHECK(host.isLimited("near", after(3)));
}

TEST_CASE("limits are reported for some seconds after they were heard")
{
    // Guards against reports that grow with every limit there ever was.
    Host host("h1");
    host.answer("near", 1e300, after(1));
    const auto reported = host.report(after(2)).limits_;
    REQUIRE(reported.size() == 1);
    CHECK(reported.front().rate_ == 1e6);
    CHECK(reported.front().ageMs_ == 1000);
    CHECK(host.report(after(12)).limits_.empty());
}

TEST_CASE("reports and summaries with limits round-trip, and have the earlier form without")
{
    // Hosts of earlier releases reject a report with a member that they do not know.
    HostReport report { .name_ = "h1",
        .incarnation_ = 4,
        .sequence_ = 2,
        .callerAddress_ = { "127.0.0.1", 1 },
        .peerAddress_ = { "127.0.0.1", 2 },
        .region_ = "a",
        .failureDomain_ = "a1" };
    const size_t withoutLimits = encodeReport(report).size();
    CHECK(encodeReport(report).front() == '\x90');
    CHECK(encodeBriefReport(report).front() == '\x89');
    report.limits_ = { { 7, 2.5, 100 }, { 8, std::nullopt, 3 } };
    CHECK(encodeReport(report).size() > withoutLimits);
    CHECK(decodeReport(encodeReport(report)).value() == report);
    const std::string brief = encodeBriefReport(report);
    REQUIRE(isBriefReport(brief));
    CHECK(decodeBriefReport(brief).value().report_.limits_ == report.limits_);
    const SummaryMessage summary { { report, { { "h1", { "127.0.0.1", 1 }, { "127.0.0.1", 2 } } } }, true };
    CHECK(decodeSummary(encodeSummary(summary)).value().summary_.sums_.limits_ == report.limits_);
}
