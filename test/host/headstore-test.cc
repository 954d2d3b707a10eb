// Tests of writes of the head and of its audit rows.
#include "turmericwing/host/headstore.h"

#include "turmericwing/store/memory.h"

#include <doctest/doctest.h>

using namespace turmericwing;
using namespace turmericwing::host;

namespace {

control::Head withMember(const control::Head& base, uint64_t incarnation, Random& random)
{
    control::Head edited = base;
    edited.members_ = { { .host_ = "h1", .incarnation_ = incarnation } };
    ++edited.epoch_;
    return nextHead(base, edited, "salma", "join", random);
}

} // namespace

TEST_CASE("a write whose response is lost is distinguished from a conflict")
{
    // Guards against a writer that mistakes its own write for another writer's, or the reverse.
    store::MemoryPlatform memory;
    const store::Table table = memory.platform().table_;
    Random random(1);
    const control::Head first = withMember({}, 1, random);
    memory.setFaults({ .lostResponse_ = 1 });
    CHECK(writeHead(table, {}, first));
    memory.setFaults({});
    const auto lost = writeHead(table, {}, withMember({}, 2, random));
    REQUIRE_FALSE(lost);
    CHECK((lost.error().code_ == ErrorCode::Conflict));
    CHECK(lost.error().message_ == "version 1 was written by salma: join");
    CHECK(readHead(table).value().nonce_ == first.nonce_);
    CHECK(readAudit(table, 1, 10).value().size() == 1);
}

TEST_CASE("a clock that was set back does not lower a host's incarnation")
{
    // Guards against a restarted host that takes its own old entry for a newer process and stops.
    store::MemoryPlatform memory;
    const store::Table table = memory.platform().table_;
    Random random(1);
    CHECK(newIncarnation(table, "h1", { 500 }) == 500);
    REQUIRE(writeHead(table, {}, withMember({}, 1000, random)));
    CHECK(newIncarnation(table, "h1", { 500 }) == 1001);
    CHECK(newIncarnation(table, "h1", { 2000 }) == 2000);
    CHECK(newIncarnation(table, "h2", { 500 }) == 500);
    memory.setFaults({ .outage_ = true });
    CHECK(newIncarnation(table, "h1", { 500 }) == 500);
}
