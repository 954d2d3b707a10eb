// Tests of the choice of hosts for callers. They guard against small hosts that get as many callers as large
// ones, so that large answers queue on their links, and against shares that a loss of the large ones can't
// bear.
#include "turmericwing/gateway/lookupchoice.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

using namespace turmericwing;
using namespace turmericwing::gateway;

namespace {

const TimePoint start { std::chrono::seconds(100) };
constexpr HostCapacity smallHost { .cores_ = 0.1, .memoryMb_ = 160, .linkMbps_ = 10 };
constexpr HostCapacity largeHost { .cores_ = 0.5, .memoryMb_ = 512, .linkMbps_ = 200 };

/// State of a host that isn't ready itself and hears `hosts`, 14 in each failure domain.
State stateWith(const std::vector<HostCapacity>& hosts)
{
    constexpr size_t hostsPerDomain = 14;
    State state;
    state.fleet_.self_ = "self";
    for (size_t i = 0; i < hosts.size(); ++i) {
        const Address address { "10.0.0." + std::to_string(i), 80 };
        receiveReport(state.fleet_, start,
            { .name_ = std::to_string(i),
                .sequence_ = 1,
                .callerAddress_ = address,
                .peerAddress_ = address,
                .region_ = "r",
                .failureDomain_ = std::to_string(i / hostsPerDomain),
                .ready_ = true,
                .capacity_ = hosts[i] });
    }
    return state;
}

/// 83 hosts, of which the first two of each of the six failure domains are large.
std::vector<HostCapacity> unequalHosts()
{
    std::vector<HostCapacity> hosts(83, smallHost);
    for (size_t i = 0; i < hosts.size(); i += 14)
        hosts[i] = hosts[i + 1] = largeHost;
    return hosts;
}

/// Fraction of the callers of each host, by address.
std::map<std::string, double> callerShares(const std::vector<std::string>& addresses)
{
    std::map<std::string, double> shares;
    for (const std::string& address : addresses)
        shares[address] += 1.0 / static_cast<double>(addresses.size());
    return shares;
}

} // namespace

TEST_CASE("callers choose hosts by capacity, and every ready host gets some")
{
    // Load: hosts with a twentieth of the link and a fifth of the cores got a fourteenth of the callers each.
    const State state = stateWith(unequalHosts());
    const auto addresses = lookupAddresses(state, start, { "r", "0" });
    const auto shares = callerShares(addresses);
    CHECK(shares.size() == 14);
    CHECK(addresses.size() <= 64);
    const double large = shares.at("10.0.0.0:80");
    const double small = shares.at("10.0.0.13:80");
    // Today's rule gives both 0.071. The memory for requests is 4.1 times as large, the least of all
    // multiples.
    CHECK(large == doctest::Approx(0.2));
    CHECK(small == doctest::Approx(0.05));
    CHECK(lookupAddresses(state, start, { "r", "0" }) == addresses);
}

TEST_CASE("the callers of the large hosts are spread evenly when these are lost")
{
    // Load: the loss of all large hosts. The others must be named in the same answers before and after it.
    State state = stateWith(unequalHosts());
    for (const char* lost : { "0", "1" })
        state.fleet_.peers_.erase(lost);
    const auto shares = callerShares(lookupAddresses(state, start, { "r", "0" }));
    CHECK(shares.size() == 12);
    for (const auto& [address, share] : shares)
        CHECK(share == doctest::Approx(1.0 / 12));
}

TEST_CASE("equal hosts are named once each, in the order of their names")
{
    // Guards earlier deployments, and fleets of which some hosts run an earlier release.
    std::vector<HostCapacity> hosts(14, largeHost);
    const auto expected = lookupAddresses(stateWith(std::vector<HostCapacity>(14)), start, { "r", "0" });
    CHECK(expected.size() == 14);
    CHECK(lookupAddresses(stateWith(hosts), start, { "r", "0" }) == expected);
    hosts[3] = smallHost;
    hosts[7] = {};
    CHECK(lookupAddresses(stateWith(hosts), start, { "r", "0" }) == expected);
}

TEST_CASE("no host gets more callers than the others can take over, or its scarcest resource carries")
{
    // Guards against a single point of failure among very unequal hosts, and against a host with a fast link
    // and a slow processor that is taken for a large one.
    const LookupOptions options;
    const HostCapacity huge { .cores_ = 100, .memoryMb_ = 100'000, .linkMbps_ = 100'000 };
    for (size_t count = 2; count <= 70; ++count) {
        std::vector<HostCapacity> hosts(count, smallHost);
        hosts[0] = huge;
        const auto repeats = lookupRepeats(options, hosts);
        size_t total = 0;
        for (const size_t repeat : repeats)
            total += repeat;
        const auto bound = std::max(0.25, 2.0 / static_cast<double>(count)) * static_cast<double>(total);
        CHECK(static_cast<double>(repeats[0]) <= bound);
        CHECK(*std::min_element(repeats.begin(), repeats.end()) == 1);
        CHECK((total <= 64 || total == count));
    }
    HostCapacity fastLink = smallHost;
    fastLink.linkMbps_ = 1000;
    const std::vector<HostCapacity> hosts { smallHost, smallHost, smallHost, fastLink };
    CHECK(lookupRepeats(options, hosts) == std::vector<size_t> { 1, 1, 1, 1 });
}
