// Tests of the adapter with odd rows, as another writer of the store may leave them: very deeply nested, with
// numbers or ports out of range, of other types, or unreadable. They guard against a row that ends the host
// or stops the reading of the others.
#include "platform/documents.h"
#include "platform/store.h"

#include <doctest/doctest.h>

#include <limits>
#include <string>
#include <vector>

using namespace turmericwing;
using namespace turmericwing::platform;

namespace {

const std::string entry = R"({"service":"s1","address":"10.1.2.3:80","zone":"a1","version":"v1","slots":9,)"
                          R"("state":"ready","cold_left":"1500ms","seq":4,"born":1700000000000})";

const std::string route
    = R"({"type":"routes","metadata":{"name":"r1"},"spec":{"host":"a.example",)"
      R"("prefix":"/x/","kind":"idempotent","timeout":"2000ms","slo":"400ms","priority":2,)"
      R"("attempts":2,"backends":[{"service":"s1","weight":90}]}})";
const std::string workspace = R"({"type":"tenants","metadata":{"name":"t1"},"spec":{"api_keys":["k1"],)"
                              R"("priority":1,"rate_per_s":325,"burst":320}})";
const std::string limits
    = R"({"type":"limits","metadata":{},"spec":{"header_bytes":16384,)"
      R"("max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}})";
const std::string service
    = R"({"type":"services","metadata":{"name":"s1"},"spec":{"max_conns":360,"cold_per_s":14.0}})";
const std::string configuration
    = R"({"version":7,"resources":[)" + route + "," + workspace + "," + limits + "," + service + "]}";

/// JSON texts that replace a field's value; none is valid for any of the fields below.
std::vector<std::string> oddValues()
{
    const auto nested = [](size_t levels) { return std::string(levels, '[') + std::string(levels, ']'); };
    return { "1e400", "-1e400", "1e300", "18446744073709551616", "18446744073709551615", "-1", "2.5e-1000x",
        "null", "[]", "{}", "[1]", "{\"a\":1}", "\"\"", "\"x\"", "\"\xff\"", "\"\\ud800\"", "NaN", "Infinity",
        nested(100), nested(100'000), std::string(100'000, '['), "\"" + std::string(65'536, 'x') + "\"" };
}

/// The document with the value of one field replaced. `field` is the field with its present value.
std::string withValue(std::string document, const std::string& field, const std::string& value)
{
    const size_t at = document.find(field);
    REQUIRE(at != std::string::npos);
    return document.replace(at, field.size(), field.substr(0, field.find(':') + 1) + value);
}

std::vector<std::string> unreadableDocuments()
{
    return { "", "x", "\xff\xfe", "null", "7", "[]", "{}", std::string(65'536, '\0'),
        std::string(65'536, '\xff'), std::string(100'000, '['), std::string(100'000, '{'),
        "{\"a\":" + std::string(100'000, '[') };
}

} // namespace

TEST_CASE("odd entries of upstreams are errors")
{
    for (const std::string& document : unreadableDocuments())
        CHECK_FALSE(decodeUpstream("u1", document));
    for (const std::string field : { "\"address\":\"10.1.2.3:80\"", "\"slots\":9", "\"state\":\"ready\"",
             "\"cold_left\":\"1500ms\"", "\"seq\":4" }) {
        for (const std::string& value : oddValues()) {
            CAPTURE(field);
            CAPTURE(value.substr(0, 30));
            CHECK_FALSE(decodeUpstream("u1", withValue(entry, field, value)));
        }
    }
    for (const std::string port : { "", "0", "65536", "99999999999", "-1", "80x", "8 0", "1e3" })
        CHECK_FALSE(decodeUpstream(
            "u1", withValue(entry, "\"address\":\"10.1.2.3:80\"", "\"10.1.2.3:" + port + "\"")));
    for (const std::string time :
        { "1e300s", "nans", "infs", "-1s", "99999999999s", "1500", "1e400ms", "ms" })
        CHECK_FALSE(decodeUpstream("u1", withValue(entry, "\"cold_left\":\"1500ms\"", "\"" + time + "\"")));
    CHECK(decodeUpstream("u1", withValue(entry, "\"slots\":9", "9000000000")).value().slots_ == 100'000);
}

TEST_CASE("a configuration with an odd value is an error")
{
    // A negative rate or weight was read as none.
    REQUIRE(decodeConfiguration(configuration));
    for (const std::string& document : unreadableDocuments())
        CHECK_FALSE(decodeConfiguration(document));
    const auto isRejected = [](const std::string& field, const std::string& value) {
        CAPTURE(field);
        CAPTURE(value.substr(0, 30));
        CHECK_FALSE(decodeConfiguration(withValue(configuration, field, value)));
    };
    for (const std::string& value : oddValues()) {
        // Fields that are null count as missing, and most have a default.
        if (value == "null")
            continue;
        for (const std::string field : { "\"timeout\":\"2000ms\"", "\"header_timeout\":\"3000ms\"" })
            isRejected(field, value);
        const bool isLargeInteger = value.starts_with("184467");
        const bool isLarge = isLargeInteger || value == "1e300";
        for (const std::string field :
            { "\"version\":7", "\"priority\":2", "\"attempts\":2", "\"priority\":1", "\"header_bytes\":16384",
                "\"max_body_bytes\":67108864", "\"max_conns\":360" })
            isRejected(field, value);
        for (const std::string field :
            { "\"weight\":90", "\"rate_per_s\":325", "\"burst\":320", "\"cold_per_s\":14.0" }) {
            if (!isLarge)
                isRejected(field, value);
        }
    }
}

TEST_CASE("large numbers of a configuration keep their meaning")
{
    // A priority of 2^32 was read as 0, the highest one, and a header limit of 2^32 bytes as one of 0 bytes.
    std::string large = configuration;
    for (const std::string field : { "\"priority\":2", "\"attempts\":2", "\"priority\":1",
             "\"header_bytes\":16384", "\"max_conns\":360" })
        large = withValue(large, field, "4294967296");
    for (const std::string field : { "\"weight\":90", "\"rate_per_s\":325" })
        large = withValue(large, field, "1e300");
    const auto decoded = decodeConfiguration(large);
    REQUIRE(decoded);
    const gateway::Route& decodedRoute = decoded.value().routes_[0];
    CHECK(decodedRoute.priority_ == std::numeric_limits<int>::max());
    CHECK(decodedRoute.attempts_ == std::numeric_limits<uint32_t>::max());
    CHECK(decodedRoute.backends_[0].weight_ == 1e9);
    CHECK(decoded.value().workspaces_[0].priority_ == std::numeric_limits<int>::max());
    CHECK(decoded.value().workspaces_[0].rate_ == 1e9);
    CHECK(decoded.value().limits_.headerBytes_ == std::numeric_limits<uint32_t>::max());
    CHECK(decoded.value().services_[0].maxConnections_ == std::numeric_limits<uint32_t>::max());
}

TEST_CASE("odd orders are errors or have no effect")
{
    const std::string order = R"({"service":"s1","to":"v2","duration":"12s"})";
    for (const std::string& document : unreadableDocuments())
        CHECK_FALSE(decodeOrder({ .key_ = "rollout/s1", .value_ = document }));
    for (const std::string& value : oddValues()) {
        CAPTURE(value.substr(0, 30));
        CHECK_FALSE(
            decodeOrder({ .key_ = "rollout/s1", .value_ = withValue(order, "\"duration\":\"12s\"", value) }));
    }
    // What an evacuation's row holds does not matter.
    for (const std::string& document : unreadableDocuments())
        CHECK(decodeOrder({ .key_ = "evacuate/a1", .value_ = document }).value().subject_ == "a1");
}

TEST_CASE("an odd row does not hide the other rows of a page")
{
    // One row with a field of another type made the whole answer an error, again and again.
    const std::string good = R"({"table":"servers","part":"","key":"u9","ver":5,"value":"eA=="})";
    const std::vector<std::string> oddRows { "1", "null", "\"x\"", "[]", "{}", R"({"key":7})",
        R"({"key":["u1"],"ver":3})", R"({"key":"u1","ver":"4","value":"eA=="})", R"({"key":"u1","ver":-4})",
        R"({"key":"u1","ver":1e300})", R"({"key":"u1","ver":3,"tombstone":"yes"})",
        R"({"key":"u1","ver":3,"table":7})", R"({"key":"u1","ver":3,"value":7})",
        R"({"key":"u1","ver":3,"value":"not base64"})", R"({"key":"u1","ver":18446744073709551615})",
        R"({"key":"u1","extra":)" + std::string(1000, '[') + std::string(1000, ']') + "}" };
    for (const std::string& odd : oddRows) {
        CAPTURE(odd.substr(0, 60));
        const auto page = decodePage(R"({"now":"5ms","ver":9,"rows":[)" + odd + "," + good + "]}");
        REQUIRE(page);
        const auto& rows = page.value().read_.rows_;
        REQUIRE_FALSE(rows.empty());
        CHECK(rows.back() == gateway::StoredRow { "servers", "u9", "x", 5, false });
        CHECK(page.value().read_.version_ == 9);
        // The row under a known key is kept, so that its own decoder reports it and an older one is replaced.
        if (rows.size() == 2) {
            CHECK(rows[0].key_ == "u1");
            CHECK(rows[0].version_ <= 9);
            CHECK_FALSE(rows[0].removed_);
            CHECK_FALSE(decodeUpstream(rows[0].key_, rows[0].value_));
        }
    }
    for (const std::string body : { "", "x", "[]", R"({"ver":"9","now":"5ms"})", R"({"ver":9,"now":5})",
             R"({"ver":-9,"now":"5ms"})", R"({"ver":9,"now":"5ms","rows":7})" })
        CHECK_FALSE(decodePage(body));
}

TEST_CASE("a store that has been up for more than a day can be read")
{
    // Its clock was held to the limit of a setting's time, so every answer was an error from then on.
    const auto page = decodePage(R"({"ver":9,"now":"172800.5s","rows":[]})");
    REQUIRE(page);
    CHECK(page.value().read_.storeMs_ == 172'800'500);
    CHECK(decodePage(R"({"ver":9,"now":"1796000000000ms","rows":[]})"));
    CHECK_FALSE(decodePage(R"({"ver":9,"now":"1e300s","rows":[]})"));
}
