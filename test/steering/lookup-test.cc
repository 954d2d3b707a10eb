// Tests of lookups and of the prefix index.
#include "turmericwing/steering/lookup.h"

#include "turmericwing/base/random.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace turmericwing;
using namespace turmericwing::steering;

namespace {

/// Two regions with two failure domains each; every domain has one site and `perDomain` hosts.
struct Sample {
    model::ObjectSet set_;
    control::Head head_;

    explicit Sample(size_t perDomain)
    {
        set_.regions_ = { { "east" }, { "west" } };
        set_.failureDomains_ = { { "e1", "east" }, { "e2", "east" }, { "w1", "west" }, { "w2", "west" } };
        set_.services_ = { { "photos", "v1" } };
        for (const model::FailureDomain& domain : set_.failureDomains_) {
            set_.sites_.push_back({ "s-" + domain.name_, domain.name_, 1 });
            for (size_t i = 0; i < perDomain; ++i)
                head_.members_.push_back({ domain.name_ + "-h" + std::to_string(i), 1, domain.region_,
                    domain.name_, "a", "p", control::MemberState::Live });
        }
        set_.workspaces_ = { { "small", "east", 1, 1, 1 } };
        set_.clientBlocks_ = { { 0x0a000000, 8, 0 }, { 0x0a010000, 16, 1 } };
    }

    LookupTable table(const LookupOptions& options = {}, const std::set<std::string>& withoutLease = {}) const
    {
        return buildLookupTable(set_, head_, options, { 0, 2 }, withoutLease);
    }
};

std::set<uint16_t> domainsOf(const LookupAnswer& answer)
{
    std::set<uint16_t> out;
    for (const HostEntry* host : answer.hosts_)
        out.insert(host->domain_);
    return out;
}

} // namespace

TEST_CASE("the longest prefix matches, as in a linear search")
{
    // Guards against steering a client by a less specific block than its own.
    Random random(7);
    std::vector<model::ClientBlock> blocks;
    for (int i = 0; i < 2000; ++i) {
        const auto length = static_cast<uint8_t>(random() % 33);
        const uint32_t mask = length == 0 ? 0 : UINT32_MAX << (32 - length);
        // Few distinct upper bytes make nested blocks likely.
        blocks.push_back({ static_cast<uint32_t>(random() % 4 << 30 | random() % 65536) & mask, length, 0 });
    }
    std::sort(blocks.begin(), blocks.end());
    blocks.erase(std::unique(blocks.begin(), blocks.end()), blocks.end());
    const auto check = [](const std::vector<model::ClientBlock>& list, uint32_t address) {
        uint32_t expected = noBlock;
        for (uint32_t i = 0; i < list.size(); ++i) {
            const uint8_t length = list[i].length_;
            const uint32_t mask = length == 0 ? 0 : UINT32_MAX << (32 - length);
            if ((address & mask) == list[i].prefix_
                && (expected == noBlock || length > list[expected].length_))
                expected = i;
        }
        return expected;
    };
    for (const size_t skip : { size_t { 0 }, blocks.size() / 2 }) {
        const std::vector<model::ClientBlock> list(
            blocks.begin() + static_cast<ptrdiff_t>(skip), blocks.end());
        const PrefixIndex index = buildIndex(list);
        for (const uint32_t edge : { 0u, UINT32_MAX })
            CHECK(findBlock(index, edge) == check(list, edge));
        for (int i = 0; i < 3000; ++i) {
            const auto address = static_cast<uint32_t>(random() % 4 << 30 | random() % 70000);
            REQUIRE(findBlock(index, address) == check(list, address));
        }
    }
}

TEST_CASE("addresses are parsed strictly")
{
    // Guards against steering by a malformed address.
    CHECK(parseAddress("10.1.2.255").value() == 0x0a0102ff);
    for (const char* bad :
        { "", "10.1.2", "10.1.2.256", "10.1.2.3.4", "10.1.2.", "10..2.3", "0010.1.2.3", "-1.1.1.1" })
        CHECK_MESSAGE(parseAddress(bad).has_error(), bad);
}

TEST_CASE("an answer contains no leaving host and none without a lease")
{
    // Guards against new requests to a stopping host, and against refusals that callers could have avoided.
    Sample sample(3);
    sample.head_.members_[0].state_ = control::MemberState::Leaving;
    const LookupTable table = sample.table({}, { "e1-h1", "w2-h0" });
    for (uint64_t rotation = 0; rotation < 50; ++rotation) {
        for (const char* workspace : { "small", "" }) {
            const LookupAnswer answer = lookup(table, "photos", workspace, 0x0a000001, rotation).value();
            for (const HostEntry* host : answer.hosts_) {
                REQUIRE(host->host_ != "e1-h0");
                REQUIRE(host->host_ != "e1-h1");
                REQUIRE(host->host_ != "w2-h0");
            }
        }
    }
}

TEST_CASE("answers span two failure domains and begin near the client")
{
    // Guards against callers that lose all their hosts in the outage of one failure domain.
    const Sample sample(8);
    for (const bool twoDomains : { true, false }) {
        const LookupTable table = sample.table({ .requireTwoDomains_ = twoDomains });
        bool always = true;
        for (uint64_t rotation = 0; rotation < 40; ++rotation) {
            const LookupAnswer open = lookup(table, "photos", "", 0x0a010001, rotation).value();
            CHECK(open.hosts_[0]->host_.substr(0, 2) == "w1");
            CHECK(open.hosts_.size() <= 6);
            CHECK(open.ttl_ == std::chrono::seconds(5));
            always = always && domainsOf(open).size() >= 2;
            const LookupAnswer keyed = lookup(table, "photos", "small", 0x0a000001, rotation).value();
            CHECK(keyed.hosts_[0]->host_.substr(0, 2) == "e1");
            CHECK(domainsOf(keyed).size() >= 2);
        }
        CHECK(always == twoDomains);
    }
}

TEST_CASE("callers are spread over hosts of equal rank, and a workspace stays on its preferred hosts")
{
    // Guards against a host that receives all first attempts, and against spreading a workspace's token
    // buckets over the whole fleet.
    const Sample sample(8);
    for (const bool spread : { true, false }) {
        const LookupTable table = sample.table({ .rotate_ = spread });
        std::set<std::string> firstOpen;
        std::set<std::string> firstKeyed;
        for (uint64_t rotation = 0; rotation < 64; ++rotation) {
            firstOpen.insert(lookup(table, "photos", "", 0x0a000001, rotation).value().hosts_[0]->host_);
            // The address is outside all blocks, so all preferred hosts have equal rank.
            firstKeyed.insert(
                lookup(table, "photos", "small", 0x0b000001, rotation).value().hosts_[0]->host_);
        }
        CHECK(firstOpen.size() == (spread ? 8 : 1));
        CHECK(firstKeyed.size() == (spread ? 4 : 1));
        const auto preferred = preferredHosts(sample.head_, {}, "small", "east");
        CHECK(preferred.size() == 4);
        for (const std::string& host : firstKeyed)
            CHECK(std::find(preferred.begin(), preferred.end(), host) != preferred.end());
    }
}

TEST_CASE("unknown names and an empty fleet are errors")
{
    // Guards against an answer without hosts.
    Sample sample(1);
    CHECK((lookup(sample.table(), "x", "small", 0, 0).error().code_ == ErrorCode::NotFound));
    CHECK((lookup(sample.table(), "photos", "x", 0, 0).error().code_ == ErrorCode::NotFound));
    sample.head_.members_.clear();
    CHECK((lookup(sample.table(), "photos", "small", 0, 0).error().code_ == ErrorCode::Unavailable));
}
