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

TEST_CASE("a head is the same whatever its pieces, and its fields take no memory before its end")
{
    // Guards against heads that stop before their end: once parsed, a field of four bytes took 85.
    const std::string line = "GET /x HTTP/1.1\r\n";
    std::string fields = "Host: a\r\n";
    while (fields.size() < 4000)
        fields += "a:\r\n";
    for (const size_t piece : { size_t { 1 }, size_t { 7 }, size_t { 100'000 } }) {
        CAPTURE(piece);
        const auto memory = makeMemory();
        Caller caller(memory);
        const std::string unfinished = line + fields + "\r";
        for (size_t sent = 0; sent < unfinished.size(); sent += piece)
            REQUIRE(caller.read(std::string_view(unfinished).substr(sent, piece)) == State::Head);
        CHECK(memory->budget_.heldBytes_ > 4000);
        CHECK(memory->budget_.heldBytes_ < 12'000);
        CHECK(caller.read("\n") == State::Complete);
        CHECK(memory->budget_.heldBytes_ > 64'000);
        const Request request = caller.reader_.take();
        CHECK(request.target_ == "/x");
        CHECK(request.headers_.size() == 999);
        CHECK(headerValue(request.headers_, "Host") == "a");
    }
}

TEST_CASE("heads without fields, over their limit, and bytes that begin no request")
{
    const auto memory = makeMemory();
    Caller bare(memory);
    CHECK(bare.read("GET / HTTP/1.1\r\n") == State::Head);
    CHECK(bare.read("\r\nGET /2 HTTP/1.1\r\n\r\n") == State::Complete);
    CHECK(bare.reader_.take().headers_.empty());
    CHECK(bare.read({}) == State::Complete);
    CHECK(bare.reader_.take().target_ == "/2");
    Caller longLine(memory);
    longLine.limits_.headerBytes_ = 100;
    CHECK(longLine.read("GET /" + std::string(80, 'a')) == State::Head);
    CHECK(longLine.read(std::string(20, 'a')) == State::Failed);
    CHECK(longLine.reader_.status() == 431);
    for (const char* end : { "", "\r\n\r\n" }) {
        Caller longFields(memory);
        longFields.limits_.headerBytes_ = 100;
        CHECK(longFields.read("GET / HTTP/1.1\r\nHost: a\r\n") == State::Head);
        CHECK(longFields.read("b: " + std::string(80, 'b') + end) == State::Failed);
        CHECK(longFields.reader_.status() == 431);
    }
    for (const char* bytes : { "\x01\x02", "GET / HTTP/9.9\r\n", "GET\r\n", "\r\n" }) {
        Caller wrong(memory);
        CHECK(wrong.read(bytes) == State::Failed);
        CHECK(wrong.reader_.status() == 400);
    }
    Caller wrongField(memory);
    CHECK(wrongField.read("GET / HTTP/1.1\r\nno field\r\n\r\n") == State::Failed);
    CHECK(wrongField.reader_.status() == 400);
}

TEST_CASE("a head whose fields have no room waits for it, and is read when there is some")
{
    const auto memory = makeMemory();
    std::optional<Caller> holding(memory);
    CHECK(holding->read(head(2 * mebibyte + 800'000)) == State::Body);
    Caller caller(memory);
    std::string fields;
    for (int i = 0; i < 3000; ++i)
        fields += "a:\r\n";
    CHECK(caller.read("GET / HTTP/1.1\r\n" + fields) == State::Head);
    CHECK(caller.read("\r\n") == State::Waiting);
    holding.reset();
    CHECK(caller.read({}) == State::Complete);
    CHECK(caller.reader_.take().headers_.size() == 3000);
}

TEST_CASE("chunk sizes that overflow fail, and chunks of one byte do not")
{
    const auto memory = makeMemory();
    const std::string chunkedHead = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const char* size :
        { "ffffffffffffffffff\r\n", "10000000000000000\r\n", "-1\r\n", "x\r\n", "\r\n" }) {
        CAPTURE(size);
        Caller caller(memory);
        CHECK(caller.read(chunkedHead + size) == State::Failed);
        CHECK(caller.reader_.status() == 400);
    }
    Caller over(memory);
    CHECK(over.read(chunkedHead + "ffffffffffffffff\r\n") == State::Failed);
    CHECK(over.reader_.status() == 413);
    Caller small(memory);
    State state = small.read(chunkedHead);
    for (int i = 0; i < 10'000; ++i)
        state = small.read("1\r\na\r\n");
    CHECK(state == State::Body);
    CHECK(memory->budget_.heldBytes_ < 64'000);
    CHECK(small.read("0\r\n\r\n") == State::Complete);
    CHECK(small.reader_.take().body_.text() == std::string(10'000, 'a'));
}

TEST_CASE("trailers are dropped, and fail beyond their limit")
{
    // Guards against trailer fields that pass for those of the head, and that nothing counted.
    const auto memory = makeMemory();
    const std::string body
        = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n";
    Caller caller(memory);
    CHECK(caller.read(body + "Authorization: other\r\n\r\n") == State::Complete);
    CHECK(caller.reader_.take().headers_.size() == 2);
    Caller endless(memory);
    State state = endless.read(body);
    for (int i = 0; i < 100 && state == State::Body; ++i)
        state = endless.read("Field: " + std::string(1000, 'a') + "\r\n");
    CHECK(state == State::Failed);
    CHECK(endless.reader_.status() == 400);
}
