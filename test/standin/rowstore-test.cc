// Guards against a simulated store that restores a copy in another way than the platform's protocol page
// says.
#include "rowstore.h"

#include "turmericwing/base/base64.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace turmericwing;
using namespace turmericwing::standin;
using nlohmann::json;

TEST_CASE("a restored copy loses later rows, gives out versions again and raises the era of all answers")
{
    RowStore store;
    httplib::Client client("127.0.0.1", store.start());
    const auto feed = [&](uint64_t after) {
        return client.Get("/api/rows-feed?table=t&wait_ms=0&after=" + std::to_string(after));
    };
    store.put("t", "kept", "1");
    store.takeCopy();
    store.put("t", "kept", "2");
    store.put("t", "lost", "1");
    const auto before = client.Get("/api/rows-get?table=t&part=");
    REQUIRE(before);
    CHECK(before->get_header_value("Store-Era") == "1");
    CHECK(json::parse(before->body)["ver"] == 3);
    store.restoreCopy();
    const auto after = client.Get("/api/rows-get?table=t&part=");
    REQUIRE(after);
    CHECK(after->get_header_value("Store-Era") == "2");
    CHECK(json::parse(after->body)["ver"] == 1);
    CHECK(store.get("t", "kept") == "1");
    CHECK_FALSE(store.get("t", "lost"));
    const auto refused = feed(3);
    REQUIRE(refused);
    CHECK(refused->status == 410);
    CHECK(refused->get_header_value("Store-Era") == "2");
    store.put("t", "new", "1");
    CHECK(json::parse(feed(1)->body)["rows"][0]["ver"] == 2);
    store.setFaults({ .refuse_ = true });
    const auto unavailable = feed(1);
    REQUIRE(unavailable);
    CHECK(unavailable->status == 503);
    CHECK(unavailable->get_header_value("Store-Era") == "2");
}
