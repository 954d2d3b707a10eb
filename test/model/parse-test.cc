// Tests of the INI parser and the canonical text.
#include "small-set.h"

#include <doctest/doctest.h>

using namespace turmericwing::model;

TEST_CASE("a set is equal after a round trip through its canonical text")
{
    // Guards against hosts that apply a set other than the one that was validated.
    const auto parsed = parseSet({ { "base.ini", smallSet } });
    CHECK(faultsOf("") == "");
    CHECK(parsed.set_.workspaces_.at(0).rate_ == 12.5);
    CHECK(parsed.set_.clientBlocks_.size() == 2);
    const auto again = parseSet({ { "canonical", canonicalText(parsed.set_) } });
    CHECK(again.faults_.empty());
    CHECK(again.set_ == parsed.set_);
    CHECK(canonicalText(again.set_) == canonicalText(parsed.set_));
}

TEST_CASE("all faults of the text are reported with their line")
{
    // Guards against a parser that stops at the first fault or reports the wrong line.
    CHECK(faultsOf("[key petra-1]\nsha256 = A\ncolour = red\n\n[planet x]\ny = 1\n[region]\nrubbish\n")
        == "add.ini:1: key petra-1: workspace: required field is missing\n"
           "add.ini:1: key petra-1: name is already used at base.ini:26\n"
           "add.ini:2: key petra-1: sha256: is not 64 lower-case hexadecimal digits\n"
           "add.ini:3: key petra-1: colour: unknown field\n"
           "add.ini:5: planet x: unknown section kind\n"
           "add.ini:7: region: a name has 1 to 32 letters, digits, \"-\", \"_\" or \".\" and starts with a "
           "letter "
           "or digit\n"
           "add.ini:8: is neither a section, a comment nor a line \"field = value\"\n");
}

TEST_CASE("layout variants are parsed unambiguously or refused")
{
    // Guards against lines that inih silently splits, joins or drops.
    CHECK(faultsOf("\xEF\xBB\xBF; comment\r\n[ region  irbid ] ; comment\r\n\r\n  # note\r\n") == "");
    CHECK(faultsOf("colour = red\n") == "add.ini:1: colour: field stands before the first section\n");
    CHECK(faultsOf("[region irbid\n[region a] b\n")
        == "add.ini:1: section heading has no closing bracket\nadd.ini:2: text follows the section "
           "heading\n");
    CHECK(faultsOf("[region irbid]\n" + std::string(300, 'x') + " = 1\n")
              .starts_with("add.ini:2: line is longer than"));
    CHECK(faultsOf(std::string("[region irbid]\na\0b = 1\n", 23))
        == "add.ini:2: line contains a control character\n");
    CHECK(faultsOf("[failure-domain amman-b]\nregion = amman\n  region = amman\n")
        == "add.ini:3: failure-domain amman-b: region: field is set twice\n");
    CHECK(faultsOf("[client-blocks x]\nblock = 1.0.0.0/8\n[client-blocks x]\nregion = mars\n")
        == "add.ini:1: client-blocks x: region: required field is missing\n"
           "add.ini:3: client-blocks x: name is used twice\n"
           "add.ini:4: client-blocks x: region: unknown region \"mars\"\n");
}

TEST_CASE("the longest accepted values fit into canonical lines")
{
    // Guards against a set that passes validation but whose canonical text, which the hosts parse, has a line
    // that is too long.
    const auto withPath = [](size_t size) {
        return parseSet(
            { { "a", replaced(smallSet, "path = /create", "path=/" + std::string(size - 1, 'x')) } });
    };
    CHECK(withPath(161).faults_.size() == 1);
    const auto longest = withPath(160);
    CHECK(longest.faults_.empty());
    CHECK(parseSet({ { "b", canonicalText(longest.set_) } }).set_ == longest.set_);
}

TEST_CASE("field values outside their range are refused")
{
    // Guards against values that overflow or reach the routing and limit code out of range.
    const auto refused = [](const std::string& from, const std::string& to) {
        return faultsOf("", replaced(smallSet, from, to))
                   .find("\"" + to.substr(to.find("= ") + 2) + "\" is not")
            != std::string::npos;
    };
    CHECK(refused("rate = 12.5", "rate = nan"));
    CHECK(refused("rate = 12.5", "rate = -1"));
    CHECK(refused("rate = 12.5", "rate = 0x10"));
    CHECK(refused("slots = 3", "slots = 4294967297"));
    CHECK(refused("slots = 3", "slots = 3.5"));
    CHECK(refused("address = 127.0.0.1:9001", "address = localhost:9001"));
    CHECK(refused("address = 127.0.0.1:9001", "address = 127.0.0.1:65536"));
    CHECK(refused("path = /create", "path = /a//b"));
    CHECK_FALSE(refused("address = 127.0.0.1:9001", "address = [::1]:9001"));
}

TEST_CASE("times are UTC and keep milliseconds")
{
    // Guards against a move whose deadline changes in a round trip through the canonical text.
    const std::string v2
        = "[version orders-v2]\nservice = orders\n[upstream orders-2]\nservice = orders\n"
          "version = orders-v2\nfailure-domain = amman-a\naddress = 127.0.0.1:9002\n"
          "slots = 3\nconnections = 9\n[move m]\nservice = orders\nfrom-version = orders-v1\n"
          "to-version = orders-v2\ncap = 0.5\nstep-ms = 60000\n";
    const auto parsed = parseSet(
        { { "a", smallSet + v2 + "start = 2026-12-04T09:00:00Z\ndeadline = 2026-12-04T09:03:00.250Z\n" } });
    CHECK(parsed.faults_.empty());
    CHECK(parsed.set_.moves_.at(0).startMs_ == 1796374800000);
    CHECK(parsed.set_.moves_.at(0).deadlineMs_ == 1796374980250);
    CHECK(parseSet({ { "b", canonicalText(parsed.set_) } }).set_ == parsed.set_);
    CHECK(faultsOf(v2 + "start = 2026-02-30T09:00:00Z\ndeadline = 2026-12-04T09:03:00+01:00\n")
        == "add.ini:16: move m: start: \"2026-02-30T09:00:00Z\" is not a UTC time like 2026-12-04T09:00:00Z\n"
           "add.ini:17: move m: deadline: \"2026-12-04T09:03:00+01:00\" is not a UTC time like "
           "2026-12-04T09:00:00Z\n");
}
