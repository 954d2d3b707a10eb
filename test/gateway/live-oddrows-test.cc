// A gateway with odd rows of another writer in all tables that it reads. Guards against rows that end the
// process or stop it from following a table.
#include "live.h"

#include <doctest/doctest.h>

using namespace turmericwing;
using namespace turmericwing::gateway;
using namespace turmericwing::gateway::test;

namespace {

std::string upstreamEntry(const std::string& address, const std::string& slots)
{
    return R"({"service":"s","address":")" + address + R"(","zone":"a1","version":"v1","slots":)" + slots
        + R"(,"state":"ready","cold_left":"0ms","seq":1,"born":1})";
}

std::vector<std::string> oddValues()
{
    return { "", "\xff\xfe not readable", "7", "null", "[]", "{}", std::string(100, '['),
        std::string(100'000, '['), std::string(100'000, '['), R"({"a":)" + std::string(100'000, '{'),
        upstreamEntry("127.0.0.1:99999999999", "4"), upstreamEntry("127.0.0.1:0", "4"),
        upstreamEntry("127.0.0.1:65536", "4"), upstreamEntry("127.0.0.1:9", "1e400"),
        upstreamEntry("127.0.0.1:9", "18446744073709551616"), upstreamEntry("127.0.0.1:9", "-1"),
        upstreamEntry("127.0.0.1:9", std::string(100'000, '[') + std::string(100'000, ']')),
        std::string(65'536, '\x81') };
}

/// Writes a row with each odd value to each table, under new keys that begin with `prefix`.
void putOddRows(standin::RowStore& store, const std::string& prefix)
{
    int number = 0;
    for (const std::string& value : oddValues()) {
        const std::string key = prefix + std::to_string(++number);
        store.put("servers", key, value);
        store.put("op", key, value);
        store.put("op", "rollout/" + key, value);
        store.put("op", "evacuate/" + key, value);
        store.put("rollouts", key, value);
        store.put("hosts", key, value);
    }
}

} // namespace

TEST_CASE("odd rows in all tables neither end a gateway nor stop it from following them")
{
    Fixture fixture;
    Upstream first(fixture.store_, "u1");
    // Rows before and after the good ones in the order of keys.
    putOddRows(fixture.store_, "0-");
    putOddRows(fixture.store_, "z-");
    fixture.start();
    REQUIRE(eventually([&] { return fixture.isReady(); }));
    const auto client = fixture.client();
    const auto statusWith = [&](const std::string& key) {
        const auto answer = client->Get("/read/x", fixture.headers("id", key));
        return answer ? answer->status : 0;
    };
    for (int i = 0; i < 10; ++i)
        CHECK(statusWith("key-1") == 200);

    putOddRows(fixture.store_, "1-");
    fixture.store_.put("op", "config", std::string(100'000, '['));
    fixture.store_.put("servers", "u1", std::string(100'000, '['));
    Upstream second(fixture.store_, "u2");
    fixture.store_.put("op", "config", configuration(2, "key-2"));
    CHECK(eventually([&] { return statusWith("key-2") == 200; }));
    CHECK(statusWith("key-1") == 401);
    // The tables are followed separately, so the change of upstreams may arrive later.
    CHECK(eventually([&] {
        statusWith("key-2");
        return second.requests_ > 0;
    }));
    const int before = first.requests_;
    for (int i = 0; i < 10; ++i)
        CHECK(statusWith("key-2") == 200);
    CHECK(first.requests_ == before);
    CHECK(fixture.isReady());
}
