// Tests workspace placement and the split of limits into shares.
#include "turmericwing/limits/placement.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

using namespace turmericwing::limits;

namespace {

std::vector<PlacementHost> makeHosts(size_t count)
{
    std::vector<PlacementHost> hosts;
    for (size_t i = 0; i < count; ++i)
        hosts.push_back(
            { "h" + std::to_string(i), "r" + std::to_string(i % 3), "d" + std::to_string(i % 6) });
    return hosts;
}

size_t homeDomains(const Placement& placement, const std::vector<PlacementHost>& hosts)
{
    std::set<std::string> domains;
    for (const auto& host : hosts)
        if (host.region_ == "r0"
            && std::count(placement.preferred_.begin(), placement.preferred_.end(), host.name_) > 0)
            domains.insert(host.failureDomain_);
    return domains.size();
}

} // namespace

TEST_CASE("placement spans two failure domains of the home region")
{
    // Guards against a workspace that loses all its floors when one failure domain fails.
    const auto hosts = makeHosts(60);
    size_t withoutSpread = 0;
    for (int w = 0; w < 500; ++w) {
        const std::string workspace = "w" + std::to_string(w);
        const auto placement = placeWorkspace(workspace, "r0", hosts);
        CHECK(placement.preferred_.size() == 4);
        CHECK(homeDomains(placement, hosts) == 2);
        withoutSpread
            += homeDomains(placeWorkspace(workspace, "r0", hosts, { .spreadDomains_ = false }), hosts) < 2;
    }
    CHECK(withoutSpread > 0);
}

TEST_CASE("a placement depends only on the hosts that it contains")
{
    // Guards against token buckets that move to another host, where they start empty, when an unrelated host
    // joins or leaves.
    CHECK(rc::check([] {
        auto hosts = makeHosts(*rc::gen::inRange<size_t>(2, 40));
        const std::string workspace = "w" + std::to_string(*rc::gen::inRange(0, 1000));
        const auto before = placeWorkspace(workspace, "r0", hosts);
        const size_t removed = *rc::gen::inRange<size_t>(0, hosts.size());
        const std::string name = hosts[removed].name_;
        hosts.erase(hosts.begin() + static_cast<ptrdiff_t>(removed));
        std::reverse(hosts.begin(), hosts.end());
        auto after = placeWorkspace(workspace, "r0", hosts);
        if (std::count(before.preferred_.begin(), before.preferred_.end(), name) == 0)
            RC_ASSERT(after == before);
        else if (name != before.owner_)
            RC_ASSERT(after.owner_ == before.owner_);
    }));
}

TEST_CASE("shares sum to the limits and floors hold whole tokens")
{
    // Guards against shares that together exceed the limits, and against floors too small to yield a token.
    CHECK(rc::check([] {
        const auto hosts = makeHosts(*rc::gen::inRange<size_t>(0, 12));
        const BucketLimits limits { *rc::gen::inRange(0, 5000) / 10.0, *rc::gen::inRange(0, 500) / 10.0 };
        const auto shares = splitLimits(placeWorkspace("w", "r0", hosts), limits);
        double rate = 0;
        double burst = 0;
        for (const auto& share : shares) {
            rate += share.limits_.rate_;
            burst += share.limits_.burst_;
            RC_ASSERT(share.kind_ == ShareKind::Main || share.limits_.burst_ >= 1);
        }
        RC_ASSERT(shares.empty() == hosts.empty());
        RC_ASSERT(rate <= limits.rate_ * (1 + 1e-12) && burst <= limits.burst_ * (1 + 1e-12));
        if (!shares.empty())
            RC_ASSERT(rate >= limits.rate_ * (1 - 1e-12));
    }));
}
