// Upstreams that write an answer without end, in each part of an answer. Guards against a host that runs out
// of memory, or that keeps such a connection until the request's deadline.
#include "endless.h"
#include "live.h"

#include "turmericwing/gateway/httpchannel.h"
#include "turmericwing/gateway/upstreams.h"

#include <boost/asio/steady_timer.hpp>

#include <doctest/doctest.h>

#include <netinet/in.h>

using namespace turmericwing;
using namespace turmericwing::gateway;
using namespace turmericwing::gateway::test;

namespace {

/// A server whose only answer is given, and a client for it.
struct ClientFixture {
    explicit ClientFixture(std::function<void(httplib::Response&)> answer, UpstreamOptions options)
        : client_(loop_, options)
    {
        server_.Get(".*", [answer = std::move(answer)](const httplib::Request&, httplib::Response& response) {
            answer(response);
        });
        port_ = static_cast<uint16_t>(server_.start("127.0.0.1", 0));
    }

    /// Sends `count` requests at once, and runs the loop until all have ended or 20 s have passed.
    std::vector<UpstreamAnswer> send(size_t count)
    {
        std::vector<UpstreamAnswer> answers;
        for (size_t i = 0; i < count; ++i) {
            client_.send({ .upstream_ = "u1",
                             .address_ = { "127.0.0.1", port_ },
                             .head_ = "GET / HTTP/1.1\r\nHost: a\r\nX-Attempt-Id: id\r\n\r\n",
                             .echoName_ = "X-Attempt-Id",
                             .echoValue_ = "id" },
                [&](UpstreamAnswer answer) { answers.push_back(std::move(answer)); });
        }
        for (const TimePoint end = monotonicNow() + std::chrono::seconds(20);
             answers.size() < count && monotonicNow() < end;) {
            loop_.run_one_for(std::chrono::milliseconds(100));
            loop_.restart();
            mostHeld_ = std::max(mostHeld_, client_.heldAnswerBytes());
        }
        return answers;
    }

    standin::Server server_;
    uint16_t port_ = 0;
    boost::asio::io_context loop_ { 1 };
    UpstreamClient client_;
    uint64_t mostHeld_ = 0;
};

constexpr uint64_t mebibyte = uint64_t { 1 } << 20;
/// More than one read of a connection, by which an answer may exceed the limit before it is ended.
constexpr uint64_t readSlack = 3 * 65536;

} // namespace

TEST_CASE("an answer without end breaks soon, within the bound on memory")
{
    // A chunk's size, extension or trailer, interim answers and small chunks had no bound at all.
    for (const std::string& part : parts) {
        CAPTURE(part);
        std::atomic<bool> closed = false;
        ClientFixture fixture([&](httplib::Response&) { closed = writeWithoutEnd(endlessAnswer(part)); },
            { .maxHeldAnswerBytes_ = 8 * mebibyte });
        const TimePoint begin = monotonicNow();
        const auto answers = fixture.send(1);
        // Far below the deadlines of requests, on a busy machine too.
        CHECK(monotonicNow() - begin < std::chrono::milliseconds(1500));
        REQUIRE(answers.size() == 1);
        CHECK(answers[0].outcome_ == SendOutcome::Broken);
        CHECK_FALSE(answers[0].failureReason_.empty());
        CHECK(answers[0].answerBegun_);
        CHECK(fixture.mostHeld_ <= 8 * mebibyte + readSlack);
        CHECK(fixture.client_.heldAnswerBytes() == 0);
        CHECK(eventually([&] { return closed.load(); }));
        fixture.server_.shutDown();
    }
}

TEST_CASE("many answers without end at once stay within the bound on memory")
{
    for (const std::string part : { "body without a length", "chunks", "body with a length" }) {
        CAPTURE(part);
        ClientFixture fixture([&](httplib::Response&) { writeWithoutEnd(endlessAnswer(part)); },
            { .maxHeldAnswerBytes_ = 8 * mebibyte });
        const auto answers = fixture.send(40);
        REQUIRE(answers.size() == 40);
        for (const UpstreamAnswer& answer : answers)
            CHECK(answer.outcome_ == SendOutcome::Broken);
        CHECK(fixture.mostHeld_ <= 8 * mebibyte + readSlack);
        CHECK(fixture.client_.heldAnswerBytes() == 0);
        fixture.server_.shutDown();
    }
}

TEST_CASE("a large answer passes while there is room, and counts until it is released")
{
    ClientFixture fixture(
        [](httplib::Response& response) {
            response.set_header("X-Attempt-Id", "id");
            response.set_content(std::string(3 * mebibyte, 'x'), "text/plain");
        },
        { .maxHeldAnswerBytes_ = 8 * mebibyte });
    auto answers = fixture.send(2);
    REQUIRE(answers.size() == 2);
    for (const UpstreamAnswer& answer : answers) {
        CHECK(answer.outcome_ == SendOutcome::Answered);
        CHECK(answer.response_.body_.size() == 3 * mebibyte);
    }
    CHECK(fixture.client_.heldAnswerBytes() >= 6 * mebibyte);
    const auto third = fixture.send(1);
    REQUIRE(third.size() == 1);
    CHECK(third[0].outcome_ == SendOutcome::Broken);
    answers.clear();
    CHECK(fixture.client_.heldAnswerBytes() == 0);
    CHECK(fixture.send(1)[0].outcome_ == SendOutcome::Answered);
    fixture.server_.shutDown();
}

TEST_CASE("requests are served while an upstream answers without end")
{
    Fixture fixture;
    Upstream endless(fixture.store_, "u1");
    Upstream sound(fixture.store_, "u2");
    std::string part;
    SUBCASE("chunks") { part = "chunks"; }
    SUBCASE("trailer") { part = "trailer"; }
    SUBCASE("interim answers") { part = "interim answers"; }
    endless.handler_
        = [&](const httplib::Request&, httplib::Response&) { writeWithoutEnd(endlessAnswer(part)); };
    fixture.start();
    REQUIRE(eventually([&] { return fixture.isReady(); }));
    const auto client = fixture.client();
    int failed = 0;
    for (int i = 0; i < 30; ++i) {
        const TimePoint begin = monotonicNow();
        const auto read = client->Get("/read/x", fixture.headers("id"));
        REQUIRE(read);
        // Requests earn the retry budget, so a request that fails early may have none.
        failed += read->status == 200 ? 0 : 1;
        const int before = endless.requests_ + sound.requests_;
        const auto write = client->Post("/write/x", fixture.headers("id"), "x", "text/plain");
        REQUIRE(write);
        // Not only at the request's deadline of 3 s.
        CHECK(monotonicNow() - begin < std::chrono::milliseconds(2500));
        CHECK((write->status == 200 || write->status == 502));
        CHECK(endless.requests_ + sound.requests_ == before + 1);
    }
    CHECK(failed <= 3);
    CHECK(endless.requests_ > 0);
}

TEST_CASE("an answer takes room until its caller has read it")
{
    // Guards against large answers to slow callers that are not counted. Requests that must not run twice
    // have their answers read whole; for others see stream-live-test.cc.
    Fixture fixture;
    Upstream upstream(fixture.store_, "u1");
    // More than the buffers of a connection hold.
    constexpr size_t bodyBytes = 30 * mebibyte;
    upstream.handler_ = [](const httplib::Request&, httplib::Response& response) {
        response.set_content(std::string(bodyBytes, 'x'), "text/plain");
    };
    fixture.start();
    REQUIRE(eventually([&] { return fixture.isReady(); }));
    const auto heldBytes = [&] {
        httplib::Client client("127.0.0.1", fixture.settings_.metricsAddress_.port_);
        const std::string metrics = client.Get("/metrics")->body;
        const std::string name = "\nturmericwing_answer_bytes_held";
        const size_t at = metrics.find(' ', metrics.find(name));
        return metrics.find(name) == std::string::npos ? -1 : std::stod(metrics.substr(at));
    };
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(fixture.settings_.callerAddress_.port_);
    REQUIRE(connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
    const std::string request = "POST /write/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: id\r\n"
                                "Authorization: Token key-1\r\nContent-Length: 0\r\n\r\n";
    REQUIRE(send(fd, request.data(), request.size(), MSG_NOSIGNAL) > 0);
    CHECK(eventually([&] { return heldBytes() >= bodyBytes; }));
    close(fd);
    CHECK(eventually([&] { return heldBytes() == 0; }));
}

TEST_CASE("a store's answer without end is an error before its timeout")
{
    boost::asio::io_context loop { 1 };
    standin::Server server;
    const std::string part = [] {
        std::string named;
        SUBCASE("head") { named = "head"; }
        SUBCASE("chunks") { named = "chunks"; }
        SUBCASE("chunk extension") { named = "chunk extension"; }
        SUBCASE("trailer") { named = "trailer"; }
        return named;
    }();
    server.Get(
        ".*", [part](const httplib::Request&, httplib::Response&) { writeWithoutEnd(endlessAnswer(part)); });
    const int port = server.start("127.0.0.1", 0);
    HttpChannel channel(loop, { "127.0.0.1", static_cast<uint16_t>(port) });
    std::optional<Result<HttpAnswer>> received;
    channel.call({ .target_ = "/", .timeout_ = std::chrono::seconds(10) },
        [&](const Result<HttpAnswer>& answer) { received = answer; });
    const TimePoint begin = monotonicNow();
    while (!received && monotonicNow() < begin + std::chrono::seconds(15)) {
        loop.run_one_for(std::chrono::milliseconds(100));
        loop.restart();
    }
    REQUIRE(received);
    CHECK_FALSE(*received);
    CHECK(monotonicNow() - begin < std::chrono::seconds(5));
    channel.reset();
    server.shutDown();
}
