// A gateway with large answers, which are sent to callers while they arrive. Guards against answers that are
// held back until they are complete, parts that look complete, and memory that grows with slow callers.
#include "rawupstream.h"

#include <doctest/doctest.h>

using namespace turmericwing;
using namespace turmericwing::gateway;
using namespace turmericwing::gateway::test;

namespace {

constexpr size_t bodyBytes = 600'000;
/// More than the sockets on the way of an answer buffer.
constexpr size_t hugeBodyBytes = size_t { 32 } << 20;

/// Returns a body in which no part is like another.
std::string makeBody(size_t bytes)
{
    std::string body;
    body.reserve(bytes + 16);
    for (size_t i = 0; body.size() < bytes; ++i)
        body += std::to_string(i) + ' ';
    body.resize(bytes);
    return body;
}

std::string lengthField(size_t bytes) { return "Content-Length: " + std::to_string(bytes) + "\r\n\r\n"; }

/// Sends a request and returns the socket, which has received nothing yet.
int sendRequest(const Fixture& fixture, int receiveBytes)
{
    const int fd = connectTo(fixture.settings_.callerAddress_);
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBytes, sizeof(receiveBytes));
    std::string request = "GET /read/x HTTP/1.1\r\n";
    for (const auto& [name, value] : Fixture::headers("id-1"))
        request.append(name).append(": ").append(value).append("\r\n");
    request += "\r\n";
    send(fd, request.data(), request.size(), MSG_NOSIGNAL);
    return fd;
}

/// Value of a metric of the host; 0 if it has none.
double metric(const Fixture& fixture, const std::string& name)
{
    httplib::Client client("127.0.0.1", fixture.settings_.metricsAddress_.port_);
    const auto text = client.Get("/metrics");
    const size_t found = text ? text->body.find("\n" + name) : std::string::npos;
    if (found == std::string::npos)
        return 0;
    const size_t end = text->body.find('\n', found + 1);
    const size_t value = text->body.rfind(' ', end) + 1;
    return std::stod(text->body.substr(value, end - value));
}

/// Metric of requests whose begun response was given up.
const std::string brokenMetric = R"(turmericwing_requests_total{result="answer-broken")";

} // namespace

TEST_CASE("a large answer reaches its caller unchanged and while it arrives")
{
    Fixture fixture;
    const std::string body = makeBody(bodyBytes);
    std::string extra;
    SUBCASE("alone") { extra = ""; }
    SUBCASE("with further bytes after it") { extra = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"; }
    bool drains = false;
    SUBCASE("as the host stops") { drains = true; }
    std::atomic<bool> begun = false;
    std::atomic<bool> begunEarly = false;
    RawUpstream upstream(fixture.store_, "u1", [&](const RawConnection& connection) {
        connection.send(connection.head() + lengthField(bodyBytes) + body.substr(0, bodyBytes / 2));
        begunEarly = eventually([&] { return begun.load(); });
        if (drains)
            fixture.drain();
        connection.send(body.substr(bodyBytes / 2) + extra);
    });
    fixture.start();
    REQUIRE(eventually([&] { return fixture.isReady(); }));
    std::string received;
    const auto client = fixture.client();
    const auto answer = client->Get("/read/x", fixture.headers("id-1"), [&](const char* data, size_t size) {
        begun = true;
        received.append(data, size);
        return true;
    });
    REQUIRE(answer);
    CHECK(answer->status == 200);
    CHECK(answer->get_header_value("X-Response-Seal") == "s");
    CHECK(answer->get_header_value("Content-Length") == std::to_string(bodyBytes));
    CHECK(begunEarly);
    const bool isUnchanged = received == body; // Too long to be printed.
    CHECK(isUnchanged);
}

TEST_CASE("an answer that ends after a part of it was sent on is not complete and not retried")
{
    Fixture fixture;
    std::string end;
    SUBCASE("by a close") { end = "close"; }
    SUBCASE("by a reset") { end = "reset"; }
    SUBCASE("by the deadline") { end = "stall"; }
    const auto breakOff = [&](const RawConnection& connection) {
        connection.send(connection.head() + lengthField(bodyBytes) + std::string(bodyBytes / 2, 'x'));
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        if (end == "reset")
            connection.resetAtEnd();
        if (end == "stall")
            connection.readToEnd();
    };
    RawUpstream first(fixture.store_, "u1", breakOff);
    RawUpstream second(fixture.store_, "u2", breakOff);
    fixture.start();
    REQUIRE(eventually([&] { return fixture.isReady(); }));
    size_t received = 0;
    const auto answer
        = fixture.client()->Get("/read/x", fixture.headers("id-1"), [&](const char*, size_t size) {
              received += size;
              return true;
          });
    CHECK_FALSE(answer);
    CHECK(received < bodyBytes);
    CHECK(first.requests_ + second.requests_ == 1);
    CHECK(metric(fixture, brokenMetric) == 1);
}

TEST_CASE("an answer that breaks off before any of it was sent on is retried")
{
    Fixture fixture;
    const std::string body = makeBody(bodyBytes);
    std::atomic<bool> breaks = false;
    std::atomic<int> broken = 0;
    const RawUpstream faulty(fixture.store_, "u1", [&](const RawConnection& connection) {
        broken += breaks ? 1 : 0;
        const std::string part = breaks ? std::string(1000, 'x') : body;
        // It closes each connection, so that a whole answer says so: the next request could meet the end.
        const std::string close = breaks ? "" : "Connection: close\r\n";
        connection.send(connection.head() + close + lengthField(bodyBytes) + part);
    });
    Upstream sound(fixture.store_, "u2");
    sound.handler_ = [&](const httplib::Request&, httplib::Response& response) {
        response.set_content(body, "application/octet-stream");
    };
    fixture.start();
    REQUIRE(eventually([&] { return fixture.isReady(); }));
    int failed = 0; // Retries have a budget, which grows with the requests.
    for (int i = 0; i < 60; ++i) {
        breaks = i >= 30;
        const auto answer = fixture.client()->Get("/read/x", fixture.headers("id-" + std::to_string(i)));
        REQUIRE(answer);
        const bool isWhole = answer->status == 200 && answer->body == body;
        CHECK((isWhole || answer->status == 502));
        failed += isWhole ? 0 : 1;
    }
    CHECK(broken > failed);
    CHECK(failed <= 3);
}

TEST_CASE("a broken answer to a request that must not run twice is a status")
{
    Fixture fixture;
    const RawUpstream upstream(fixture.store_, "u1", [&](const RawConnection& connection) {
        connection.send(connection.head() + lengthField(bodyBytes) + std::string(bodyBytes / 2, 'x'));
    });
    fixture.start();
    REQUIRE(eventually([&] { return fixture.isReady(); }));
    const auto answer = fixture.client()->Post("/write/x", fixture.headers("id-1"), "x", "text/plain");
    REQUIRE(answer);
    CHECK(answer->status == 502);
}

TEST_CASE("a caller that does not read costs little memory, and its request ends at the deadline")
{
    Fixture fixture;
    std::atomic<bool> ended = false;
    const RawUpstream upstream(fixture.store_, "u1", [&](const RawConnection& connection) {
        const std::string part(1 << 20, 'x');
        bool open = connection.send(connection.head() + lengthField(hugeBodyBytes));
        for (size_t sent = 0; open && sent < hugeBodyBytes; sent += part.size())
            open = connection.send(part);
        ended = true;
    });
    fixture.start();
    REQUIRE(eventually([&] { return fixture.isReady(); }));
    const int fd = sendRequest(fixture, 4096);
    double held = 0;
    CHECK(eventually([&] {
        held = std::max(held, metric(fixture, "turmericwing_answer_bytes_held"));
        return ended.load();
    }));
    CHECK(held > 0);
    CHECK(held <= 262'144);
    CHECK(eventually([&] { return metric(fixture, brokenMetric) == 1; }));
    CHECK(eventually([&] { return metric(fixture, "turmericwing_answer_bytes_held") == 0; }));
    close(fd);
}

TEST_CASE("an upstream is notified when its caller leaves in the middle of the answer")
{
    Fixture fixture;
    std::atomic<bool> ended = false;
    const RawUpstream upstream(fixture.store_, "u1", [&](const RawConnection& connection) {
        connection.send(connection.head() + lengthField(bodyBytes) + std::string(bodyBytes / 2, 'x'));
        const TimePoint begin = monotonicNow();
        connection.readToEnd();
        ended = monotonicNow() - begin < std::chrono::seconds(2);
    });
    fixture.start();
    REQUIRE(eventually([&] { return fixture.isReady(); }));
    const int fd = sendRequest(fixture, 1 << 20);
    char byte = 0;
    REQUIRE(recv(fd, &byte, 1, 0) == 1);
    close(fd);
    CHECK(eventually([&] { return ended.load(); }));
}
