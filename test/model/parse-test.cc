// Tests of the INI parser and the canonical text.
#include "turmericwing/model/parse.h"

#include <doctest/doctest.h>

using namespace turmericwing::model;

namespace {

const std::string smallSet = R"([region amman]
[failure-domain amman-a]
region = amman
[service orders]
version = orders-v1
typical-ms = 50
[version orders-v1]
service = orders
[upstream orders-1]
service = orders
version = orders-v1
failure-domain = amman-a
address = 127.0.0.1:9001
slots = 3
connections = 400
[route orders-create]
service = orders
path = /create
methods = POST, GET
timeout-ms = 2000
max-body-bytes = 65536
[workspace petra]
region = amman
rate = 12.5
burst = 20
[key petra-1]
workspace = petra
sha256 = aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa
[client-blocks jordan]
region = amman
block = 10.1.0.0/16
block = 10.0.0.0/8
)";

/// The faults of the small set with additional text, as one string.
std::string faultsOf(const std::string& text)
{
    std::string out;
    for (const auto& fault : parseSet({ { "base.ini", smallSet }, { "add.ini", text } }).faults_)
        out += toString(fault) + "\n";
    return out;
}

} // namespace

TEST_CASE("a set survives its canonical text")
{
    // Guards against hosts that apply a different set from the one that was checked.
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
    // Guards against a report that stops at the first fault or names the wrong line.
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
