// Tests of the report encoding. They guard against fields lost in encoding and against malformed datagrams.
#include "turmericwing/gateway/report.h"

#include "turmericwing/base/random.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>

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
        = { { { "s", "v2", 5, 9, rollout::RampState::Reverted }, 44, true, { 1, 2, 3, 4, 5, 6, 7, 8 } } },
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

TEST_CASE("damaged reports are rejected without a crash")
{
    const std::string bytes = encodeReport(makeReport());
    Random random(5);
    int rejected = 0;
    for (int i = 0; i < 20'000; ++i) {
        std::string damaged = bytes.substr(0, random() % (bytes.size() + 1));
        for (int flips = 0; flips < 3 && !damaged.empty(); ++flips)
            damaged[random() % damaged.size()] = static_cast<char>(random());
        rejected += decodeReport(damaged) ? 0 : 1;
    }
    CHECK(rejected > 15'000);
    CHECK_FALSE(decodeReport(std::string(70'000, 'x')));
}
