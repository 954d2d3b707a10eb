// Tests of the validation across objects.
#include "small-set.h"

#include "schema.h"

#include "turmericwing/model/move.h"

#include <doctest/doctest.h>

#include <fstream>
#include <iterator>

using namespace turmericwing::model;

namespace {

const std::string digest(64, 'b');
const std::string secondVersionText
    = "[version orders-v2]\nservice = orders\n[upstream orders-2]\nservice = orders\nversion "
      "= orders-v2\nfailure-domain = amman-a\naddress = 127.0.0.1:9002\nslots = "
      "3\nconnections = 9\n";

/// Returns the INI text of a move; `timeRange` is in hours, "START-DEADLINE", for example "09-10".
std::string move(const std::string& name, const std::string& from, const std::string& to,
    const std::string& timeRange, const std::string& extraFields = "step-ms = 60000\n")
{
    const size_t dash = timeRange.find('-');
    return "[move " + name + "]\nservice = orders\nfrom-version = " + from + "\nto-version = " + to
        + "\nstart = 2026-12-04T" + timeRange.substr(0, dash) + ":00:00Z\ndeadline = 2026-12-04T"
        + timeRange.substr(dash + 1) + ":00:00Z\ncap = 0.5\n" + extraFields;
}

} // namespace

TEST_CASE("each rule across objects reports position, object, field and reason")
{
    // Guards against an invalid set that passes validation and reaches the hosts.
    struct Case {
        std::string text_;
        std::string expected_;
    };
    const Case cases[] = {
        { "[link a]\nfrom = amman\nto = mars\ncapacity-mbps = 1\n",
            "add.ini:3: link a: to: unknown region \"mars\"\n" },
        { "[link a]\nfrom = amman\nto = amman\ncapacity-mbps = 1\n",
            "add.ini:3: link a: to: a link connects two different regions\n" },
        { "[key z]\nworkspace = petra\nsha256 = " + std::string(64, 'a') + "\n",
            "add.ini:3: key z: sha256: is the same as that of key \"petra-1\"\n" },
        { "[key b]\nworkspace = nobody\nsha256 = " + digest + "\n",
            "add.ini:2: key b: workspace: unknown workspace \"nobody\"\n" },
        { "[route z]\nservice = orders\npath = /create\nmethods = GET\ntimeout-ms = 1\nmax-body-bytes = 0\n",
            "add.ini:3: route z: path: GET /create is already handled by route \"orders-create\"\n" },
        { "[client-blocks b]\nregion = amman\nblock = 10.0.0.0/8\nblock = 10.0.0.1/8\nblock = 10.0.0/8\n",
            "add.ini:3: client-blocks b: block: 10.0.0.0/8 is already listed in client-blocks jordan at "
            "base.ini:32\n"
            "add.ini:4: client-blocks b: block: \"10.0.0.1/8\" has address bits set beyond its length\n"
            "add.ini:5: client-blocks b: block: \"10.0.0/8\" is not a block a.b.c.d/length\n" },
        { "[workspace big]\nregion = amman\nrate = 100\nburst = 1\n",
            "base.ini:6: service orders: typical-ms: workspaces may send 112.5 requests/s, but 3 slots at 50 "
            "ms carry "
            "60\n" },
        { secondVersionText + move("a", "orders-v1", "orders-v2", "09-10", "step-ms = 1200001\n"),
            "add.ini:15: move a: deadline: 3 steps of 1200001 ms need 3600003 ms, but the deadline is "
            "3600000 ms after "
            "the start\n" },
        { secondVersionText + move("a", "orders-v1", "orders-v2", "09-10")
                + move("b", "orders-v2", "orders-v1", "10-11"),
            "add.ini:13: move a: to-version: moves lead from version orders-v2 back to version orders-v1\n"
            "add.ini:21: move b: to-version: moves lead from version orders-v1 back to version orders-v2\n" },
        { secondVersionText + move("a", "orders-v1", "orders-v2", "09-10")
                + move("b", "orders-v1", "orders-v2", "09-11"),
            "add.ini:22: move b: start: overlaps with move \"a\" of service \"orders\"\n" },
        { secondVersionText
                + move("a", "orders-v1", "orders-v2", "09-10", "step-ms = 60000\nstate = rolled-back\n")
                + move("b", "orders-v1", "orders-v2", "10-11"),
            "add.ini:22: move b: to-version: version \"orders-v2\" was rolled back by move \"a\"\n" },
        { secondVersionText
                + move("a", "orders-v1", "orders-v2", "09-10", "step-ms = 60000\nfrom-region = amman\n"),
            "add.ini:12: move a: from-version: a move has either from-version and to-version or from-region "
            "and "
            "to-region\n" },
        { "[upstream b]\nservice = orders\nversion = x-v1\nfailure-domain = amman-a\naddress = "
          "127.0.0.1:9001\nslots = "
          "1\nconnections = 1\n[service x]\nversion = x-v1\ntypical-ms = 1\nmin-slots = 0\nrate-fraction = "
          "1e-6\n"
          "[version x-v1]\nservice = x\n",
            "add.ini:3: upstream b: version: version \"x-v1\" belongs to service \"x\", not to \"orders\"\n"
            "add.ini:10: service x: typical-ms: workspaces may send 1.25e-05 requests/s, but 0 slots at 1 ms "
            "carry 0\n"
            "base.ini:13: upstream orders-1: address: 127.0.0.1:9001 is already used by upstream \"b\"\n" },
        { secondVersionText + move("a", "orders-v1", "orders-v2", "10-09"),
            "add.ini:15: move a: deadline: is not after the start\n" },
        { "[version orders-v2]\nservice = orders\n" + move("a", "orders-v1", "orders-v2", "09-10"),
            "add.ini:6: move a: to-version: the service has no upstream without drain there\n" },
        { "[link a]\nfrom = amman\nto = irbid\ncapacity-mbps = 1\n[region irbid]\n"
          "[link b]\nfrom = amman\nto = irbid\ncapacity-mbps = 1\n",
            "add.ini:7: link b: from: link \"a\" already has this direction\n" },
    };
    for (const auto& testCase : cases)
        CHECK(faultsOf(testCase.text_) == testCase.expected_);
    CHECK(faultsOf(secondVersionText + move("a", "orders-v1", "orders-v2", "09-10")) == "");
}

TEST_CASE("a set that leaves a region fewer slots than it needs is refused")
{
    // Guards against a publication that drains the capacity which a region needs.
    CHECK(faultsOf("", replaced(smallSet, "typical-ms = 50\n", "typical-ms = 50\nmin-slots = 4\n"))
        == "base.ini:7: service orders: min-slots: region \"amman\" has 3 slots without drain, needs 4\n");
    CHECK(faultsOf("", replaced(smallSet, "slots = 3\n", "slots = 3\ndrain = true\n"))
              .find("has 0 slots without drain")
        != std::string::npos);
    CHECK(faultsOf("", replaced(smallSet, "typical-ms = 50\n", "typical-ms = 50\nrate-fraction = 0.5\n"))
              .find("sum up to 0.5, at least 1")
        != std::string::npos);
}

TEST_CASE("the step count covers all traffic")
{
    // Guards against a deadline that is accepted although the move cannot finish before it.
    CHECK(minimumSteps(1) == 2);
    CHECK(minimumSteps(0.33) == 4);
    CHECK(minimumSteps(0.1) == 11);
    CHECK(minimumSteps(0.005) == 200);
}

TEST_CASE("the interface page lists every field of every kind")
{
    // Guards against undocumented fields, and against an empty file that removes all objects of a deployment.
    std::ifstream stream("docs/interface.md");
    const std::string page(std::istreambuf_iterator<char>(stream), {});
    detail::forEachKind(ObjectSet {}, [&]<typename T>(const std::vector<T>&) {
        const size_t start = page.find(std::string("#### `") + detail::kindName<T>() + "`");
        REQUIRE(start != std::string::npos);
        const auto section = page.substr(start, page.find("\n#", start) - start);
        for (const auto& field : detail::fieldsOf<T>())
            CHECK_MESSAGE(
                section.find(std::string("`") + field.name_ + "`") != std::string::npos, field.name_);
    });
    CHECK(faultsOf("", "; nothing\n") == "base.ini:1: a set has at least one region\n");
}

TEST_CASE("example sets have no faults and the documented sizes")
{
    // Guards against examples that no longer pass validation or differ from the design page.
    const auto read = [](const std::string& file) {
        std::ifstream stream(file);
        return Source { file, std::string(std::istreambuf_iterator<char>(stream), {}) };
    };
    for (const std::string name : { "sanad", "darna" }) {
        const std::string root = "examples/" + name + "/";
        const auto parsed = parseSet({ read(root + "objects.ini") });
        for (const auto& fault : parsed.faults_)
            FAIL_CHECK(toString(fault));
        CHECK(parsed.set_.upstreams_.size() == (name == "sanad" ? 44 : 42));
        CHECK(parsed.set_.workspaces_.size() == 8);
        CHECK(parsed.set_.failureDomains_.size() == 6);
        CHECK(parseSet({ { "canonical", canonicalText(parsed.set_) } }).set_ == parsed.set_);
        CHECK(parseSet({ read(root + "objects.ini"), read(root + "move.ini") }).faults_.empty());
    }
}
