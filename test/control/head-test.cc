// Tests of the codec of the head and of deltas between heads.
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

TEST_CASE("decoding an encoded head yields the same head")
{
    // Guards against a field that is written but not read back.
    CHECK(decodeHead(encodeHead(sampleHead())).value() == sampleHead());
    CHECK(decodeHead(encodeHead({})).value() == Head {});
}

TEST_CASE("malformed heads are rejected with an error that names the field")
{
    // Guards against a host that acts on a corrupt row.
    const auto checkRejected = [](const std::string& from, const std::string& to, const std::string& field) {
        std::string text = encodeHead(sampleHead());
        const size_t at = text.find(from);
        REQUIRE(at != std::string::npos);
        text.replace(at, from.size(), to);
        const auto result = decodeHead(text);
        REQUIRE(result.has_error());
        CHECK_MESSAGE(result.error().message_.find(field) != std::string::npos, result.error().message_);
    };
    checkRejected("\"epoch\":2", "\"epoch\":-2", "epoch");
    checkRejected("\"epoch\":2,", "", "epoch");
    checkRejected("\"share\":0.25", "\"share\":1.5", "moves[0].share");
    checkRejected("\"step\":2", "\"step\":4294967296", "moves[0].step");
    checkRejected("[\"h1\"", "[\"h3\"", "members[1].host");
    checkRejected("[\"h1\"", "[1", "members[0].host");
    checkRejected("[\"h1\",", "[", "members[0]");
    checkRejected("\"h2\",9", "\"h2\",-9", "members[1].incarnation");
    checkRejected("\"h2\",9,1", "\"h2\",9,2", "members[1].place");
    checkRejected("[\"amman\",", "[", "places[0]");
    checkRejected("\"live\"", "\"dead\"", "members[1].state");
    checkRejected("\"aaa", "\"AAA", "digest");
    checkRejected("[\"u1\"]", "[1]", "drainedUpstreams");
    checkRejected("-5", "0.5", "writtenAt");
    CHECK(decodeHead("[]").has_error());
    CHECK(decodeHead(std::string(2 << 20, '[')).error().message_ == "head: larger than 1 MiB");
    CHECK(decodeHead(std::string(1 << 19, '[')).has_error());
}

TEST_CASE("a delta yields the next head and applies only to its own base")
{
    // Guards against a host that applies a delta to another head than its base, and against deltas whose size
    // grows with the fleet.
    const Head base = sampleHead();
    Head next = base;
    ++next.version_;
    next.nonce_ = "n8";
    next.moves_.clear();
    next.members_[1].incarnation_ = 10;
    next.members_.erase(next.members_.begin());
    next.members_.push_back({ "h3", 1, "sfax", "sfax-a", "127.0.0.2:3", "127.0.0.3:4", MemberState::Live });
    const std::string change = encodeHeadDelta(base, next);
    CHECK(decodeHeadDelta(base, change).value() == next);
    CHECK(decodeHeadDelta(next, encodeHeadDelta(next, base)).value() == base);
    CHECK(decodeHeadDelta({}, encodeHeadDelta({}, base)).value() == base);
    CHECK(decodeHeadDelta({}, encodeHead(next)).value() == next);
    Head other = base;
    other.nonce_ = "m";
    CHECK((decodeHeadDelta(other, change).error().code_ == ErrorCode::Conflict));
    other = base;
    ++other.version_;
    CHECK((decodeHeadDelta(other, change).error().code_ == ErrorCode::Conflict));

    Head large = base;
    large.members_.clear();
    for (int i = 0; i < 810; ++i) {
        const std::string address = "10.0." + std::to_string(i / 200) + "." + std::to_string(i % 200);
        large.members_.push_back({ "host-" + std::to_string(1000 + i), 1796377825488, "region-1", "domain-1",
            address + ":7100", address + ":7200", MemberState::Live });
    }
    next = large;
    next.members_[500].state_ = MemberState::Leaving;
    CHECK(decodeHead(encodeHead(large)).value() == large);
    CHECK(decodeHeadDelta(large, encodeHeadDelta(large, next)).value() == next);
    CHECK(encodeHeadDelta(large, next).size() < 1024);
    // The budgets of 128 MB and 5 KB/s allow about 80 bytes for each member.
    CHECK(encodeHead(large).size() < size_t { 810 } * 80);
}
