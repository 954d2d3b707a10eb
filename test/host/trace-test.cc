// Tests of the ring buffer of request traces.
#include "turmericwing/host/trace.h"

#include <doctest/doctest.h>

using namespace turmericwing;
using namespace turmericwing::host;

TEST_CASE("the trace log is bounded and every filter returns the newest traces first")
{
    // Guards against unbounded growth and against a search that returns another request's trace.
    TraceLog log;
    for (int i = 0; i < 5000; ++i)
        log.add({ .requestId_ = std::to_string(i), .service_ = i % 2 ? "a" : "b", .workspace_ = "w" });
    const auto all = log.search("", "", "", 10000);
    REQUIRE(all.size() == 4096);
    CHECK(all.front().requestId_ == "4999");
    CHECK(all.back().requestId_ == "904");
    CHECK(log.search("903", "", "", 1).empty());
    CHECK(log.search("904", "b", "w", 1).size() == 1);
    CHECK(log.search("904", "a", "", 1).empty());
    CHECK(log.search("904", "", "v", 1).empty());
    CHECK(log.search("", "a", "", 3).size() == 3);
    CHECK(log.search("", "", "", 0).empty());
}
