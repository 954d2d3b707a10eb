// Tests of MemoryPlatform and its fault injection.
#include "turmericwing/store/memory.h"

#include <doctest/doctest.h>

using namespace turmericwing;
using namespace turmericwing::store;

TEST_CASE("batched writes apply independently, transactions apply all writes or none")
{
    // Guards against a transaction that is applied in part.
    MemoryPlatform memory;
    const Table table = memory.platform().table_;
    auto first = table.writeBatch_({ { "a", "1", 0 }, { "b", "1", 5 } });
    CHECK(first.value()[0].applied_);
    CHECK_FALSE(first.value()[1].applied_);
    CHECK_FALSE(first.value()[1].current_);
    auto second = table.transact_({ { "b", "2", 0 }, { "a", "2", 0 } });
    CHECK_FALSE(second.value()[0].applied_);
    CHECK(second.value()[1].current_ == Row { "a", "1", 1 });
    CHECK_FALSE(table.get_("b").value());
    auto third = table.transact_({ { "b", "3", 0 }, { "a", "3", 1 } });
    CHECK(third.value()[1].applied_);
    CHECK(table.get_("a").value() == Row { "a", "3", 2 });
    CHECK(table.scan_("a", 10).value().size() == 1);
    CHECK(table.scan_("", 1).value().front().key_ == "a");
}

TEST_CASE("writes whose response is lost take effect")
{
    // Guards against a fault that loses the write instead of the response.
    MemoryPlatform memory;
    memory.setFaults({ .lostResponse_ = 1 });
    const Platform platform = memory.platform();
    CHECK(platform.table_.writeBatch_({ { "a", "1", 0 } }).error().code_ == ErrorCode::Unknown);
    CHECK(platform.table_.get_("a").value()->value_ == "1");
}

TEST_CASE("faults can be set for one client, and delays use the sleep function")
{
    // Guards against a fault of one host that affects other hosts.
    Duration slept {};
    MemoryPlatform memory({ .sleep_ = [&](Duration duration) { slept += duration; } });
    memory.setFaults({ .outage_ = true, .delay_ = Duration(50) }, "h1");
    CHECK(memory.platform("h1").table_.get_("a").error().code_ == ErrorCode::Unavailable);
    CHECK(memory.platform("h2").table_.get_("a"));
    CHECK(slept == Duration(50));
    memory.clearFaults("h1");
    CHECK(memory.platform("h1").table_.get_("a"));
    CHECK(memory.counters().reads_ == 3);
}

TEST_CASE("the host list is returned with the configured lag")
{
    // Guards against testing drain code only with an up-to-date host list.
    TimePoint now {};
    MemoryPlatform memory({ .now_ = [&] { return now; } });
    memory.setFaults({ .hostListLag_ = std::chrono::seconds(10) });
    const HostList list = memory.platform().hosts_;
    memory.putHost({ "h1", "127.0.0.1:1", HostState::Live });
    now += std::chrono::seconds(5);
    memory.putHost({ "h1", "127.0.0.1:1", HostState::Leaving });
    CHECK(list.list_().value().empty());
    now += std::chrono::seconds(5);
    CHECK(list.list_().value().front().state_ == HostState::Live);
    now += std::chrono::seconds(5);
    CHECK(list.list_().value().front().state_ == HostState::Leaving);
    memory.removeHost("h1");
    now += std::chrono::seconds(11);
    CHECK(list.list_().value().empty());
}

TEST_CASE("objects are addressed by their digest")
{
    // Guards against a put that is not idempotent.
    const ObjectStore store = MemoryPlatform().platform().objects_;
    const std::string digest = store.put_("x").value();
    CHECK(store.put_("x").value() == digest);
    CHECK(store.get_(digest).value() == "x");
    CHECK(store.get_("none").error().code_ == ErrorCode::NotFound);
}
