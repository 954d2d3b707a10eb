// Tests of the report encoding. They guard against fields lost in encoding and against malformed datagrams.
#include "turmericwing/gateway/report.h"

#include "damaged.h"

#include "turmericwing/base/random.h"
#include "turmericwing/gateway/fleet.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>

#include <functional>
#include <limits>

using namespace turmericwing;
using namespace turmericwing::gateway;

namespace {

HostReport makeReport()
{
    return { .name_ = "h1",
        .incarnation_ = 0xfedcba9876543210U,
        .sequence_ = 7,
        .callerAddress_ = { "10.0.0.1", 80 },
        .peerAddress_ = { "10.0.0.1", 81 },
        .region_ = "a",
        .failureDomain_ = "a1",
        .ready_ = true,
        .leaving_ = false,
        .reachesStore_ = true,
        .storeReachableMs_ = 1500,
        .inFlight_ = { { shortHash("u1"), 3 } },
        .demands_ = { { shortHash("w"), 12.5, 99 } },
        .services_ = { { shortHash("s"), 12.5, { { shortHash("a"), 0.75 }, { shortHash("b"), 0.25 } },
            { { shortHash("a"), 1.5 } } } },
        .ramps_
        = { { { "s", "v2", 5, 9, rollout::RampState::Reverted }, 44, true, { 1, 2, 3, 4, 5, 6, 7, 8 }, 3 } },
        .crashes_ = { { { "h1", 3, 1 }, "u1", { 1000 }, { { { 1, 2 }, { 990 } } } } } };
}

} // namespace

TEST_CASE("a report round-trips through its encoding")
{
    const auto decoded = decodeReport(encodeReport(makeReport()));
    REQUIRE(decoded);
    CHECK(decoded.value() == makeReport());
}

TEST_CASE("a report without counts of overdue requests is read")
{
    // Guards against hosts of two releases that cannot read each other's reports.
    const std::string bytes = encodeReport(makeReport());
    nlohmann::json value = nlohmann::json::from_cbor(bytes);
    const nlohmann::json counts { 1, 2, 3, 4, 5, 6, 7, 8 };
    const std::function<void(nlohmann::json&)> shorten = [&](nlohmann::json& part) {
        if (part == counts)
            part = { 1, 2, 3, 4, 5, 6 };
        else if (part.is_array())
            std::for_each(part.begin(), part.end(), shorten);
    };
    shorten(value);
    std::string earlier;
    nlohmann::json::to_cbor(value, earlier);
    REQUIRE(earlier.size() < bytes.size());
    const auto decoded = decodeReport(earlier);
    REQUIRE(decoded);
    CHECK(decoded.value().ramps_[0].counts_ == rollout::RampCounts { 1, 2, 3, 4, 5, 6 });
}

TEST_CASE("a report tells the host's capacity, and hosts of earlier releases read it")
{
    // Guards against a fleet that takes the hosts of the other release for dead during an upgrade.
    HostReport report = makeReport();
    report.capacity_ = { .cores_ = 0.07, .memoryMb_ = 112, .linkMbps_ = 12.5 };
    const std::string bytes = encodeReport(report);
    CHECK(decodeReport(bytes).value() == report);
    // What these hosts check: the number of members, and the first values of each service.
    nlohmann::json value = nlohmann::json::from_cbor(bytes);
    CHECK(value.size() == 16);
    for (nlohmann::json& service : value.at(13))
        service.erase(service.begin() + 4, service.end());
    std::string earlier;
    nlohmann::json::to_cbor(value, earlier);
    const HostReport read = decodeReport(earlier).value();
    CHECK(read.capacity_ == HostCapacity {});
    CHECK(read.services_.back() == ServiceReport {});
}

TEST_CASE("damaged reports are rejected without a crash")
{
    const std::string bytes = encodeReport(makeReport());
    CHECK(countRejected(bytes, decodeReport) > 15'000);
    CHECK_FALSE(decodeReport(std::string(70'000, 'x')));
}

TEST_CASE("a deeply nested report is rejected")
{
    // The CBOR decoder recurses for each level, so a datagram of nested arrays overflowed the stack.
    const char arrayOfOne = '\x81';
    const char indefiniteText = '\x7f';
    for (const size_t levels : { size_t { 100 }, size_t { 59'000 } }) {
        CHECK_FALSE(decodeReport(std::string(levels, arrayOfOne)));
        CHECK_FALSE(decodeReport(std::string(levels, indefiniteText)));
    }
}

TEST_CASE("a report with texts or numbers out of range is rejected")
{
    // Names that are not UTF-8 ended the process when it wrote them to the store, and a demand that is not
    // finite stayed in the smoothed values of this host.
    const auto isRejected = [](const std::function<void(HostReport&)>& change) {
        HostReport report = makeReport();
        change(report);
        return !decodeReport(encodeReport(report));
    };
    const double nan = std::numeric_limits<double>::quiet_NaN();
    const double infinity = std::numeric_limits<double>::infinity();
    const int64_t latest = std::numeric_limits<int64_t>::max();
    CHECK_FALSE(isRejected([](HostReport& report) { report.name_ = "\xc3\xa4"; }));
    CHECK(isRejected([](HostReport& report) { report.name_ = "\xff"; }));
    CHECK(isRejected([](HostReport& report) { report.ramps_[0].ramp_.service_ = "\xc3"; }));
    CHECK(isRejected([](HostReport& report) { report.ramps_[0].ramp_.version_ = "\xff"; }));
    CHECK(isRejected([&](HostReport& report) { report.ramps_[0].ramp_.deadlineMs_ = latest; }));
    CHECK(isRejected([](HostReport& report) { report.ramps_[0].ramp_.startMs_ = -1; }));
    CHECK(isRejected([&](HostReport& report) { report.crashes_[0].at_.ms_ = latest; }));
    CHECK(isRejected([&](HostReport& report) { report.crashes_[0].suspects_[0].started_.ms_ = latest; }));
    for (const double odd : { nan, infinity, -infinity, -1.0, 1e30 }) {
        CHECK(isRejected([&](HostReport& report) { report.demands_[0].rate_ = odd; }));
        CHECK(isRejected([&](HostReport& report) { report.services_[0].unboundDemand_ = odd; }));
        CHECK(isRejected([&](HostReport& report) { report.services_[0].split_[0].second = odd; }));
        CHECK(isRejected([&](HostReport& report) { report.services_[0].boundDemand_[0].second = odd; }));
    }
}

TEST_CASE("a brief report stands for the full one after a full report of the same run")
{
    // Guards against load, flags or splits that the shorter form loses, and against one that is taken for the
    // report of another host or of an earlier run.
    Fleet fleet { .self_ = "h2" };
    const TimePoint now { std::chrono::seconds(100) };
    HostReport later = makeReport();
    later.sequence_ = 8;
    later.ready_ = false;
    later.leaving_ = true;
    later.inFlight_ = { { shortHash("u1"), 4 }, { shortHash("u2"), 1 } };
    const std::string bytes = encodeBriefReport(later);
    CHECK(isBriefReport(bytes));
    CHECK_FALSE(isBriefReport(encodeReport(later)));
    const auto decoded = decodeBriefReport(bytes);
    REQUIRE(decoded);
    CHECK_FALSE(expandReport(fleet, decoded.value()));
    REQUIRE(receiveReport(fleet, now, makeReport()));
    const auto expanded = expandReport(fleet, decoded.value());
    REQUIRE(expanded);
    CHECK(*expanded == later);
    CHECK(receiveReport(fleet, now, *expanded));
    HostReport restarted = later;
    restarted.incarnation_ = 3;
    CHECK_FALSE(expandReport(fleet, decodeBriefReport(encodeBriefReport(restarted)).value()));
}

TEST_CASE("a brief report takes less than half of the bytes of a full one")
{
    // Reports to nine peers in other failure domains cost a small fleet more traffic between them than the
    // requests did.
    HostReport report = makeReport();
    report.ramps_.clear();
    report.crashes_.clear();
    report.callerAddress_ = { "10.200.100.101", 8389 };
    report.peerAddress_ = { "10.200.100.101", 7460 };
    report.name_ = "edge-amman-a-1";
    report.region_ = "amman";
    report.failureDomain_ = "amman-a";
    CHECK(2 * encodeBriefReport(report).size() < encodeReport(report).size());
}

TEST_CASE("damaged brief reports are rejected without a crash")
{
    // Guards against one malformed datagram that ends the process.
    const std::string bytes = encodeBriefReport(makeReport());
    CHECK(countRejected(bytes, decodeBriefReport) > 19'000);
    CHECK_FALSE(decodeBriefReport(encodeReport(makeReport())));
}
