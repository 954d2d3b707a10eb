// Tests of the head's codec.
#include "turmericwing/control/head.h"

#include <doctest/doctest.h>

using namespace turmericwing;
using namespace turmericwing::control;

namespace {

Head sampleHead()
{
    Head head;
    head.version_ = 7;
    head.revision_ = 3;
    head.digest_ = std::string(64, 'a');
    head.epoch_ = 2;
    head.members_ = { { "h1", 1, "amman", "amman-a", "127.0.0.1:1", "127.0.0.1:2", MemberState::Leaving },
        { "h2", 9, "irbid", "irbid-b", "127.0.0.1:3", "127.0.0.1:4", MemberState::Live } };
    head.moves_ = { { "m", 2, 0.25, MovePhase::RolledBack, "trip" } };
    head.drainedUpstreams_ = { "u1" };
    head.publisher_ = "h1";
    head.nonce_ = "n";
    head.change_ = "join h2";
    head.writtenAt_ = { -5 };
    return head;
}

} // namespace

TEST_CASE("a head survives encoding")
{
    // Guards against a field that is written but not read back.
    CHECK(decodeHead(encodeHead(sampleHead())).value() == sampleHead());
    CHECK(decodeHead(encodeHead({})).value() == Head {});
}

TEST_CASE("malformed heads are refused with the field's name")
{
    // Guards against acting on a damaged row.
    const auto refused = [](const std::string& from, const std::string& to, const std::string& field) {
        std::string text = encodeHead(sampleHead());
        const size_t at = text.find(from);
        REQUIRE(at != std::string::npos);
        text.replace(at, from.size(), to);
        const auto result = decodeHead(text);
        REQUIRE(result.has_error());
        CHECK_MESSAGE(result.error().message_.find(field) != std::string::npos, result.error().message_);
    };
    refused("\"epoch\":2", "\"epoch\":-2", "epoch");
    refused("\"epoch\":2,", "", "epoch");
    refused("\"share\":0.25", "\"share\":1.5", "moves[0].share");
    refused("\"step\":2", "\"step\":4294967296", "moves[0].step");
    refused("\"host\":\"h1\"", "\"host\":\"h3\"", "members[1].host");
    refused("\"live\"", "\"dead\"", "members[1].state");
    refused("\"aaa", "\"AAA", "digest");
    refused("[\"u1\"]", "[1]", "drainedUpstreams");
    refused("-5", "0.5", "writtenAt");
    CHECK(decodeHead("[]").has_error());
    CHECK(decodeHead(std::string(2 << 20, '[')).error().message_ == "head: larger than 1 MiB");
    CHECK(decodeHead(std::string(1 << 19, '[')).has_error());
}
