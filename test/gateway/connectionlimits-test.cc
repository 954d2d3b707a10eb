// Test of the shares of descriptors. It guards against callers that leave none for upstreams and the store.
#include "turmericwing/gateway/connectionlimits.h"

#include <doctest/doctest.h>

#include <initializer_list>

using namespace turmericwing::gateway;

TEST_CASE("callers leave descriptors to the rest of the host, also on small hosts")
{
    constexpr uint64_t memoryBytes = uint64_t { 160 } << 20;
    CHECK(connectionLimits(4096, memoryBytes)
        == ConnectionLimits { .callers_ = 2048, .lookups_ = 512, .operators_ = 128 });
    CHECK(connectionLimits(1'000'000, memoryBytes).callers_ == 5120);
    CHECK(connectionLimits(64, memoryBytes)
        == ConnectionLimits { .callers_ = 32, .lookups_ = 8, .operators_ = 4 });
    for (const uint64_t descriptors : std::initializer_list<uint64_t> { 64, 256, 1024, 4096 }) {
        const ConnectionLimits limits = connectionLimits(descriptors, memoryBytes);
        CHECK(limits.callers_ + limits.lookups_ + 2 * limits.operators_ <= descriptors * 3 / 4);
    }
}
