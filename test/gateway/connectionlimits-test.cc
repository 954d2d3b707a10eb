// Test of the shares of descriptors. It guards against callers that leave none for upstreams and the store.
#include "turmericwing/gateway/connectionlimits.h"

#include <doctest/doctest.h>

using namespace turmericwing::gateway;

TEST_CASE("callers leave descriptors to the rest of the host, also on small hosts")
{
    constexpr uint64_t memoryBytes = uint64_t { 160 } << 20;
    CHECK(connectionLimits(4096, memoryBytes)
        == ConnectionLimits { .callers_ = 3072, .lookups_ = 512, .operators_ = 128 });
    CHECK(connectionLimits(1'000'000, memoryBytes).callers_ == 5120);
    CHECK(connectionLimits(64, memoryBytes)
        == ConnectionLimits { .callers_ = 48, .lookups_ = 8, .operators_ = 4 });
}
