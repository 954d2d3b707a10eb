// Tests of pipelined requests. They guard against a read that waits for the one before it: the second of two
// reads of 200 ms with an objective of 250 ms was late before it started. And against one that runs beside a
// request that changes something, or is passed on behind an answer that closes the connection.
#include "turmericwing/gateway/pipeline.h"

#include <doctest/doctest.h>

using namespace turmericwing::gateway;

using Numbers = std::vector<uint64_t>;

namespace {

PipelinedRequest read(uint64_t number) { return { .number_ = number, .mayOverlap_ = true }; }
PipelinedRequest write(uint64_t number) { return { .number_ = number }; }

} // namespace

TEST_CASE("reads run side by side, up to the bound")
{
    Pipeline pipeline { .maxRequests_ = 3, .requests_ = { read(1), read(2) } };
    CHECK(mayReadNext(pipeline));
    CHECK(startRequests(pipeline, false) == Numbers { 1, 2 });
    CHECK(startRequests(pipeline, false).empty());
    pipeline.requests_.push_back(read(3));
    CHECK_FALSE(mayReadNext(pipeline));
    CHECK(startRequests(pipeline, false) == Numbers { 3 });
}

TEST_CASE("a request that changes something runs alone, in its turn")
{
    Pipeline pipeline { .requests_ = { read(1), write(2) } };
    CHECK_FALSE(mayReadNext(pipeline));
    CHECK(startRequests(pipeline, false) == Numbers { 1 });
    pipeline.requests_.pop_front();
    CHECK(startRequests(pipeline, false) == Numbers { 2 });
    pipeline.requests_.push_back(read(3));
    CHECK(startRequests(pipeline, false).empty());
    pipeline.requests_.pop_front();
    CHECK(startRequests(pipeline, false) == Numbers { 3 });
}

TEST_CASE("a connection closes after the last request that has started, and starts none behind another")
{
    Pipeline pipeline { .requests_ = { read(1), read(2) } };
    startRequests(pipeline, false);
    pipeline.requests_.push_back(read(3));
    CHECK(startRequests(pipeline, true).empty());
    CHECK_FALSE(closesAfterFirst(pipeline, false));
    CHECK_FALSE(closesAfterFirst(pipeline, true));
    pipeline.requests_.pop_front();
    CHECK(closesAfterFirst(pipeline, true));
    Pipeline alone { .requests_ = { read(1) } };
    CHECK(startRequests(alone, true) == Numbers { 1 });
}

TEST_CASE("nothing is read behind a request that ends the connection")
{
    Pipeline pipeline { .requests_ = { read(1), { .number_ = 2, .mayOverlap_ = true, .isLast_ = true } } };
    CHECK_FALSE(mayReadNext(pipeline));
    CHECK_FALSE(closesAfterFirst(pipeline, false));
    pipeline.requests_.pop_front();
    CHECK(closesAfterFirst(pipeline, false));
}
