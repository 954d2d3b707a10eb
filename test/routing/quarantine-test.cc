// Tests of crash evidence and quarantine records.
#include "turmericwing/base/random.h"
#include "turmericwing/routing/quarantine.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

using namespace turmericwing;
using namespace turmericwing::routing;

namespace {

const Fingerprint bad { 1, 1 };
const Fingerprint good { 2, 2 };

CrashReport crash(
    uint64_t serial, const std::string& upstream, int64_t at, std::vector<CrashSuspect> suspects)
{
    return { { "h", 1, serial }, upstream, { at }, std::move(suspects) };
}

/// Simulates repeated crashes by one bad request amid popular requests that complete. Returns whether the bad
/// one was quarantined, and the number of others that were.
std::pair<bool, size_t> simulate(uint64_t seed, QuarantineOptions options)
{
    Random random(seed);
    QuarantineTable table { .options_ = options };
    int64_t now = 0;
    for (uint64_t round = 0; round < 6 && !isQuarantined(table, { now }, bad); ++round) {
        // Popular requests run on many upstreams at once; some of them complete between two crashes.
        std::vector<CrashSuspect> suspects { { bad, { now } } };
        for (uint64_t i = 0; i < 5; ++i)
            suspects.push_back(
                { { 10 + random() % 8, 0 }, { now + 50 - static_cast<int64_t>(random() % 100) } });
        now += 100;
        addCrashReport(table, { now }, crash(round, "u" + std::to_string(round), now, suspects));
        for (uint64_t i = 0; i < 8; ++i) {
            if (random() % 2 == 0)
                recordCompletion(table, { now + 1 }, { 10 + i, 0 });
        }
        now += 10;
    }
    return { isQuarantined(table, { now }, bad),
        table.quarantined_.size() - (isQuarantined(table, { now }, bad) ? 1 : 0) };
}

} // namespace

TEST_CASE("fingerprints distinguish requests by all their parts")
{
    // Guards against quarantining a request for a crash that another one caused.
    const std::string large(maxFingerprintBodyBytes + 10, 'x');
    std::string other = large;
    other.back() = 'y';
    const Fingerprint print = fingerprint("w", "r", "GET", "/p", "b", 1);
    CHECK(print == fingerprint("w", "r", "GET", "/p", "b", 1));
    std::set<Fingerprint> all { print, fingerprint("wr", "", "GET", "/p", "b", 1),
        fingerprint("v", "r", "GET", "/p", "b", 1), fingerprint("w", "r", "PUT", "/p", "b", 1),
        fingerprint("w", "r", "GET", "/q", "b", 1), fingerprint("w", "r", "GET", "/p", "c", 1),
        fingerprint("w", "r", "GET", "/p", "b", 2) };
    CHECK(all.size() == 7);
    CHECK(fingerprint("w", "r", "GET", "/p", large, large.size())
        == fingerprint("w", "r", "GET", "/p", other, other.size()));
}

TEST_CASE("a second crash on another upstream quarantines for ten minutes")
{
    // Guards against a request that is retried on, and crashes, one upstream after another.
    QuarantineTable table;
    CHECK(addCrashReport(table, { 100 }, crash(1, "u1", 100, { { bad, { 0 } }, { good, { 0 } } }))
              .records_.empty());
    CHECK(isSuspect(table, { 100 }, bad));
    // A repeated crash of the same upstream and a repeated report are no further evidence.
    CHECK(addCrashReport(table, { 150 }, crash(2, "u1", 150, { { bad, { 110 } } })).records_.empty());
    CHECK(addCrashReport(table, { 160 }, crash(2, "u1", 150, { { bad, { 110 } } })).records_.empty());
    const QuarantineChange change = addCrashReport(table, { 200 }, crash(3, "u2", 200, { { bad, { 160 } } }));
    REQUIRE(change.records_.size() == 1);
    CHECK(change.records_[0] == QuarantineRecord { bad, { 200 + 600000 } });
    CHECK(std::set<std::string>(change.attributedUpstreams_.begin(), change.attributedUpstreams_.end())
        == std::set<std::string> { "u1", "u2" });
    CHECK(hasQuarantined(table, { 300 }, { { good, { 250 } }, { bad, { 250 } } }));
    CHECK_FALSE(hasQuarantined(table, { 300 }, { { good, { 250 } } }));
    // A request that crashes more upstreams stays quarantined; one in flight beside it is not suspected.
    addCrashReport(table, { 300 }, crash(4, "u3", 300, { { bad, { 250 } }, { good, { 250 } } }));
    CHECK(isQuarantined(table, { 300 + 599999 }, bad));
    CHECK_FALSE(isQuarantined(table, { 300 + 600000 }, bad));
    CHECK_FALSE(isQuarantined(table, { 300 }, good));
    expireQuarantine(table, { 300 + 600000 });
    CHECK(table.quarantined_.empty());
    // Crashes are also attributed to quarantines received from another host.
    addQuarantine(table, { 700000 }, { bad, { 900000 } });
    addCrashReport(table, { 700000 }, crash(5, "u1", 700000, { { good, { 699000 } } }));
    addCrashReport(table, { 701000 }, crash(6, "u2", 701000, { { good, { 700500 } }, { bad, { 700500 } } }));
    CHECK_FALSE(isQuarantined(table, { 701000 }, good));
}

TEST_CASE("requests in flight by coincidence are not quarantined")
{
    // Guards against quarantining popular requests when many connections break.
    for (const bool order : { true, false }) {
        // A network failure breaks the connections to two upstreams while both process a popular request.
        QuarantineTable table { .options_ = { .requireStartAfterCrash_ = order } };
        addCrashReport(table, { 100 }, crash(1, "u1", 100, { { good, { 50 } } }));
        addCrashReport(table, { 101 }, crash(2, "u2", 101, { { good, { 60 } } }));
        CHECK(isQuarantined(table, { 101 }, good) == !order);
    }
    QuarantineTable table;
    addCrashReport(table, { 100 }, crash(1, "u1", 100, { { good, { 50 } } }));
    recordCompletion(table, { 150 }, good);
    CHECK_FALSE(isSuspect(table, { 150 }, good));
    addCrashReport(table, { 200 }, crash(2, "u2", 200, { { good, { 160 } } }));
    CHECK_FALSE(isQuarantined(table, { 200 }, good));
    for (const bool sole : { true, false }) {
        size_t caught = 0;
        size_t wrong = 0;
        for (uint64_t seed = 0; seed < 1000; ++seed) {
            const auto [found, others] = simulate(seed, { .requireUniqueSuspect_ = sole });
            caught += found ? 1 : 0;
            wrong += others;
        }
        MESSAGE("sole ", sole, ": caught ", caught, " of 1000, others quarantined ", wrong);
        CHECK(caught == 1000);
        CHECK((wrong < 10) == sole);
    }
}

TEST_CASE("reports and records merge in any order")
{
    // Guards against hosts that disagree because messages were reordered or duplicated.
    CHECK(rc::check("quarantine merge", [](uint64_t seed) {
        Random random(seed);
        std::vector<CrashReport> reports;
        for (uint64_t i = 0; i < 6; ++i) {
            const int64_t at = static_cast<int64_t>(100 + 100 * i);
            reports.push_back(crash(i, "u" + std::to_string(random() % 3), at,
                { { { random() % 4, 0 }, { at - static_cast<int64_t>(random() % 150) } } }));
        }
        std::vector<QuarantineRecord> records;
        for (uint64_t i = 0; i < 4; ++i)
            records.push_back({ { random() % 4, 9 }, { static_cast<int64_t>(2000 + random() % 1000) } });
        std::vector<std::map<Fingerprint, WallTime>> results;
        for (int run = 0; run < 3; ++run) {
            QuarantineTable table;
            reports.push_back(reports[random() % reports.size()]);
            std::shuffle(reports.begin(), reports.end(), random);
            std::shuffle(records.begin(), records.end(), random);
            for (const CrashReport& report : reports)
                addCrashReport(table, { 1000 }, report);
            for (const QuarantineRecord& record : records)
                addQuarantine(table, { 1000 }, record);
            results.push_back(table.quarantined_);
        }
        RC_ASSERT(results[0] == results[1]);
        RC_ASSERT(results[0] == results[2]);
    }));
}

TEST_CASE("a crash report with a time far ahead is ignored")
{
    // Guards against a report from a host with another clock, which would keep its request quarantined for as
    // long as the clocks differ.
    QuarantineTable table;
    const int64_t day = 86'400'000;
    addCrashReport(table, { 1000 }, crash(1, "u1", day, { { bad, { day - 10 } } }));
    addCrashReport(table, { 1000 }, crash(2, "u2", day + 100, { { bad, { day + 50 } } }));
    CHECK(table.reports_.empty());
    CHECK_FALSE(isQuarantined(table, { 1000 }, bad));
    // Clocks of hosts that read the same one differ by little.
    addCrashReport(table, { 1000 }, crash(3, "u1", 1200, { { bad, { 1100 } } }));
    CHECK(table.reports_.size() == 1);
}

TEST_CASE("upstreams that crash at about the same time are no evidence against what is retried among them")
{
    // A request that was retried while a failure domain went down ran on two upstreams as they ended.
    QuarantineTable table { .options_ = { .minUpstreams_ = 3, .minSpanMs_ = 500 } };
    for (int64_t i = 0; i < 5; ++i) {
        const auto serial = static_cast<uint64_t>(i);
        addCrashReport(table, { 100 + 40 * i },
            crash(serial, "u" + std::to_string(i), 100 + 40 * i, { { good, { 95 + 40 * i } } }));
    }
    CHECK_FALSE(isQuarantined(table, { 300 }, good));
    // One that comes again later and does the same is the cause.
    addCrashReport(table, { 900 }, crash(9, "u9", 900, { { good, { 890 } } }));
    CHECK(isQuarantined(table, { 900 }, good));
}

TEST_CASE("an upstream that returns under its id and crashes again is one more")
{
    // A service with two upstreams would never have had a third crash.
    QuarantineTable table { .options_ = { .minUpstreams_ = 3, .minSpanMs_ = 500 } };
    addCrashReport(table, { 1000 }, crash(1, "u1/10", 1000, { { bad, { 990 } } }));
    addCrashReport(table, { 2000 }, crash(2, "u2/10", 2000, { { bad, { 1990 } } }));
    CHECK_FALSE(isQuarantined(table, { 2000 }, bad));
    addCrashReport(table, { 5000 }, crash(3, "u1/4000", 5000, { { bad, { 4990 } } }));
    CHECK(isQuarantined(table, { 5000 }, bad));
}
