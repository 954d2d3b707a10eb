// A stopping gateway over sockets. Guards against requests that get neither an answer nor a refusal because
// the process ends.
#include "live.h"

#include "turmericwing/gateway/listener.h"

#include <doctest/doctest.h>

using namespace turmericwing;
using namespace turmericwing::gateway;
using namespace turmericwing::gateway::test;

namespace {

/// Makes an upstream work for a time, or until its caller disconnects.
void workFor(Upstream& upstream, Duration time)
{
    upstream.handler_ = [&upstream, time](const httplib::Request&, httplib::Response& response) {
        if (!standin::Server::waitUntil(monotonicNow() + time))
            upstream.callerDisconnected_ = true;
        response.set_content("late answer of " + upstream.id_, "text/plain");
    };
}

void sendText(int fd, const std::string& text)
{
    REQUIRE(send(fd, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size()));
}

/// Receives until the connection ends, and closes it.
std::string receiveAll(int fd)
{
    std::string received;
    char buffer[4096];
    for (ssize_t size = 1; size > 0;) {
        size = recv(fd, buffer, sizeof(buffer), 0);
        received.append(buffer, static_cast<size_t>(std::max<ssize_t>(size, 0)));
    }
    close(fd);
    return received;
}

std::string writeHead(const std::string& id, size_t bodyBytes)
{
    return "POST /write/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + id
        + "\r\nX-Deadline-Ms: 3000\r\nAuthorization: Token key-1\r\nContent-Length: "
        + std::to_string(bodyBytes) + "\r\n\r\n";
}

} // namespace

// Guards against work that begins when the process is about to end, and is cut without an answer.
TEST_CASE("a request read late in a graceful stop is refused as not run, not passed on and cut")
{
    Fixture fixture;
    Upstream upstream(fixture.store_, "u1");
    workFor(upstream, std::chrono::milliseconds(2000));
    fixture.start();
    REQUIRE(eventually([&] { return fixture.isReady(); }));
    const int caller = connectTo(fixture.settings_.callerAddress_);
    sendText(caller, writeHead("id-1", 8) + "half");
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    fixture.drain();
    std::this_thread::sleep_for(std::chrono::milliseconds(1900));
    sendText(caller, "rest");
    const std::string answer = receiveAll(caller);
    CHECK(answer.starts_with("HTTP/1.1 503 "));
    CHECK(answer.find("Retry-After: ") != std::string::npos);
    CHECK(upstream.requests_ == 0);
}

// Guards against a connection that closes without an answer as the process ends.
TEST_CASE("a request that still runs when a graceful stop ends gets an answer without a promise")
{
    Fixture fixture;
    Upstream upstream(fixture.store_, "u1");
    workFor(upstream, std::chrono::seconds(10));
    fixture.start();
    REQUIRE(eventually([&] { return fixture.isReady(); }));
    const int caller = connectTo(fixture.settings_.callerAddress_);
    sendText(caller, writeHead("id-1", 4) + "body");
    REQUIRE(eventually([&] { return upstream.requests_ == 1; }));
    fixture.drain();
    const std::string answer = receiveAll(caller);
    CHECK(answer.starts_with("HTTP/1.1 502 "));
    CHECK(answer.find("Turmericwing-Outcome: unknown") != std::string::npos);
    CHECK(eventually([&] { return upstream.callerDisconnected_.load(); }));
}

// Guards against requests that are held until the process ends, and then get neither answer nor refusal.
TEST_CASE("a request that waits for an upstream during a graceful stop is refused as not run")
{
    Fixture fixture;
    std::string configured = configuration(1);
    const std::string objective = "\"slo\":\"1000ms\"";
    for (size_t at = configured.find(objective); at != std::string::npos; at = configured.find(objective))
        configured.replace(at, objective.size(), "\"slo\":\"9000ms\"");
    fixture.store_.put("op", "config", configured);
    Upstream upstream(fixture.store_, "u1");
    workFor(upstream, std::chrono::seconds(10));
    fixture.start();
    REQUIRE(eventually([&] { return fixture.isReady(); }));
    std::vector<int> callers;
    for (int i = 0; i < 12; ++i) {
        callers.push_back(connectTo(fixture.settings_.callerAddress_));
        sendText(callers.back(), writeHead("id-" + std::to_string(i), 4) + "body");
    }
    const int running = 5; // PickOptions::maxOccupancy_ of 4 slots.
    REQUIRE(eventually([&] { return upstream.requests_ == running; }));
    fixture.drain();
    int refused = 0;
    int unknown = 0;
    // The requests that came last wait. They are refused while the others still run.
    for (size_t i = callers.size(); i-- > 0;) {
        const std::string answer = receiveAll(callers[i]);
        refused += answer.starts_with("HTTP/1.1 503 ") ? 1 : 0;
        unknown += answer.starts_with("HTTP/1.1 502 ") ? 1 : 0;
        if (refused == 12 - running && unknown == 0)
            CHECK_FALSE(upstream.callerDisconnected_);
    }
    CHECK(refused == 12 - running);
    CHECK(unknown == running);
    CHECK(upstream.requests_ == running);
}

TEST_CASE("a listener that stops answers the requests that have reached the host")
{
    // The event loop does not run between the caller's bytes and stop(), as on a busy host.
    boost::asio::io_context loop(1);
    const Address address { "127.0.0.1", freePort() };
    int handled = 0;
    Listener listener(loop,
        ListenerOptions {
            .address_ = address, .handler_ = [&](Request&&, const std::shared_ptr<Exchange>& exchange) {
                ++handled;
                exchange->respond({ .status_ = 503 });
            } });
    REQUIRE(listener.start());
    const int accepted = connectTo(address);
    loop.poll();
    SUBCASE("on a connection that was not accepted yet")
    {
        const int queued = connectTo(address);
        sendText(queued, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        listener.stop();
        loop.run_for(std::chrono::milliseconds(300));
        CHECK(receiveAll(queued).starts_with("HTTP/1.1 503 "));
        CHECK(receiveAll(accepted).empty());
    }
    SUBCASE("on an idle connection that was not read yet")
    {
        sendText(accepted, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        listener.stop();
        loop.run_for(std::chrono::milliseconds(300));
        CHECK(receiveAll(accepted).starts_with("HTTP/1.1 503 "));
    }
    CHECK(handled == 1);
}

TEST_CASE("a listener that stops keeps a connection whose accept has completed and not been handled")
{
    // Accepting one connection starts the next accept, which completes at once if another is queued. Its
    // handler runs after stop() if the stop is already due.
    boost::asio::io_context loop(1);
    const Address address { "127.0.0.1", freePort() };
    int handled = 0;
    Listener listener(loop,
        ListenerOptions {
            .address_ = address, .handler_ = [&](Request&&, const std::shared_ptr<Exchange>& exchange) {
                ++handled;
                exchange->respond({ .status_ = 503 });
            } });
    REQUIRE(listener.start());
    const int first = connectTo(address);
    const int second = connectTo(address);
    sendText(first, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    sendText(second, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    while (listener.connections() == 0)
        loop.run_one();
    listener.stop();
    loop.run_for(std::chrono::milliseconds(300));
    CHECK(receiveAll(first).starts_with("HTTP/1.1 503 "));
    CHECK(receiveAll(second).starts_with("HTTP/1.1 503 "));
    CHECK(handled == 2);
}

TEST_CASE("a stopping host keeps the back-off of refusals that full upstreams cause")
{
    // Another host cannot serve the request at once if the upstreams are full.
    Fixture fixture;
    Upstream upstream(fixture.store_, "u1");
    workFor(upstream, std::chrono::seconds(10));
    fixture.start();
    REQUIRE(eventually([&] { return fixture.isReady(); }));
    std::vector<int> callers;
    for (int i = 0; i < 12; ++i) {
        callers.push_back(connectTo(fixture.settings_.callerAddress_));
        sendText(callers.back(), writeHead("id-" + std::to_string(i), 4) + "body");
    }
    REQUIRE(eventually([&] { return upstream.requests_ >= 4; }));
    std::this_thread::sleep_for(std::chrono::milliseconds(800));
    const auto retryAfter = [&](const std::string& id) {
        const int caller = connectTo(fixture.settings_.callerAddress_);
        sendText(caller, writeHead(id, 4) + "body");
        char buffer[4096];
        const ssize_t size = recv(caller, buffer, sizeof(buffer), 0);
        close(caller);
        const std::string answer(buffer, static_cast<size_t>(std::max<ssize_t>(size, 0)));
        CHECK(answer.starts_with("HTTP/1.1 503 "));
        const size_t at = answer.find("Retry-After: ");
        return at == std::string::npos ? 0.0 : std::stod(answer.substr(at + 13));
    };
    const double before = retryAfter("id-before");
    CHECK(before >= 0.2);
    fixture.drain();
    const double during = retryAfter("id-during");
    CHECK(during >= 0.2);
    for (const int caller : callers)
        receiveAll(caller);
}
