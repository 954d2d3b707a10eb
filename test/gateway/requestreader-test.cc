// Tests of reading requests. They guard against memory that is kept after its request has ended, and against
// requests that are read though there is no room.
#include "../../src/gateway/requestreader.h"

#include <doctest/doctest.h>

using namespace turmericwing;
using namespace turmericwing::gateway;
using State = detail::RequestReader::State;

namespace {

const TimePoint start = TimePoint() + std::chrono::hours(1);
constexpr uint64_t mebibyte = uint64_t { 1 } << 20;

std::shared_ptr<RequestMemory> makeMemory()
{
    return std::make_shared<RequestMemory>(
        RequestMemory { .budget_ = { .options_ = { .limit_ = 4 * mebibyte, .reserve_ = mebibyte } } });
}

std::string head(uint64_t bodyBytes)
{
    return "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n";
}

struct Caller {
    explicit Caller(const std::shared_ptr<RequestMemory>& memory)
        : reader_(memory, [this] { ended_ = true; })
    {
    }
    State read(std::string_view bytes, TimePoint now = start) { return reader_.read(bytes, limits_, now); }

    CallerLimits limits_ {};
    bool ended_ = false;
    detail::RequestReader reader_;
};

} // namespace

TEST_CASE("a request holds its memory until it is destroyed, and its body too")
{
    const auto memory = makeMemory();
    {
        Caller caller(memory);
        CHECK(caller.read(head(3)) == State::Body);
        CHECK(caller.read("abcGET") == State::Complete);
        std::optional<Request> request = caller.reader_.take();
        CHECK(request->body_ == "abc");
        CHECK(memory->budget_.heldBytes_ > 0);
        auto body = takeBody(*request);
        request.reset();
        CHECK(*body == "abc");
        CHECK(memory->budget_.heldBytes_ > 2048);
        body.reset();
        CHECK(memory->budget_.heldBytes_ < 2048); // The bytes behind it.
        CHECK(caller.read(" / HTTP/1.1\r\n\r\n") == State::Complete);
    }
    CHECK(memory->budget_.heldBytes_ == 0);
    CHECK(memory->budget_.largeBytes_ == 0);
}

TEST_CASE("a large body takes the room of one that stalls, and a small one is read beside both")
{
    const auto memory = makeMemory();
    Caller stalling(memory);
    CHECK(stalling.read(head(2 * mebibyte) + "a") == State::Body);
    Caller other(memory);
    CHECK(other.read(head(2 * mebibyte) + "a") == State::Waiting);
    Caller small(memory);
    CHECK(small.read(head(1) + "a") == State::Complete);
    CHECK_FALSE(stalling.ended_);
    CHECK(other.read({}, start + std::chrono::seconds(2)) == State::Body);
    CHECK(stalling.ended_);
    CHECK(stalling.reader_.status() == 503);
    CHECK(other.read(std::string(2 * mebibyte - 1, 'a'), start + std::chrono::seconds(2)) == State::Complete);
    CHECK(other.reader_.take().body_.size() == 2 * mebibyte);
}

TEST_CASE("bodies over the limit fail at their head, or where they pass it")
{
    const auto memory = makeMemory();
    Caller announced(memory);
    announced.limits_.bodyBytes_ = 10;
    CHECK(announced.read(head(11)) == State::Failed);
    CHECK(announced.reader_.status() == 413);
    Caller sent(memory);
    sent.limits_.bodyBytes_ = 10;
    CHECK(sent.read("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n8\r\n12345678\r\n")
        == State::Body);
    CHECK(sent.read("8\r\n12345678\r\n") == State::Failed);
    CHECK(sent.reader_.status() == 413);
    Caller extension(memory);
    CHECK(extension.read("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1;a=")
        == State::Body);
    CHECK(extension.read(std::string(70'000, 'a')) == State::Failed);
    CHECK(extension.reader_.status() == 400);
    CHECK(memory->budget_.heldBytes_ == 0);
}

TEST_CASE("a body of unknown length grows within the budget and fails beyond it")
{
    const auto memory = makeMemory();
    Caller caller(memory);
    std::string chunks = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    State state = caller.read(chunks);
    uint64_t sent = 0;
    const std::string chunk = "4000\r\n" + std::string(16'384, 'a') + "\r\n";
    for (; state == State::Body; sent += 16'384)
        state = caller.read(chunk);
    CHECK(state == State::Failed);
    CHECK(caller.reader_.status() == 503);
    CHECK(sent > mebibyte);
    CHECK(sent <= 3 * mebibyte);
    CHECK(memory->budget_.heldBytes_ == 0);
}
