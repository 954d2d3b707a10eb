// Tests of callers that leave while their host is behind. They guard against requests that are sent on after
// their callers have left.
#include "live.h"

#include "turmericwing/gateway/upstreams.h"

#include <boost/asio/post.hpp>

#include <doctest/doctest.h>

using namespace turmericwing;
using namespace turmericwing::gateway::test;

namespace {

/// Keeps the event loop of a gateway busy until release(), as a slow turn or a frozen process does.
class BusyLoop {
public:
    explicit BusyLoop(Fixture& fixture)
    {
        boost::asio::post(fixture.loop_, [this] {
            busy_ = true;
            while (!released_)
                std::this_thread::sleep_for(std::chrono::milliseconds(1));
        });
        REQUIRE(eventually([this] { return busy_.load(); }));
    }

    ~BusyLoop() { release(); }
    BusyLoop(const BusyLoop&) = delete;
    BusyLoop& operator=(const BusyLoop&) = delete;

    void release() { released_ = true; }

private:
    std::atomic<bool> busy_ = false;
    std::atomic<bool> released_ = false;
};

std::string requestBytes(const std::string& id)
{
    return "GET /read/" + id + " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + id
        + "\r\nX-Deadline-Ms: 3000\r\nAuthorization: Token key-1\r\n\r\n";
}

void sendRequest(int fd, const std::string& id)
{
    const std::string bytes = requestBytes(id);
    REQUIRE(send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
}

/// Ends a connection with a reset, as a caller's host does that is killed.
void resetConnection(int fd)
{
    const linger atOnce { 1, 0 };
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &atOnce, sizeof(atOnce));
    close(fd);
}

/// Sends one request that is answered, so that all requests before it have been handled.
void waitForHandling(const Fixture& fixture)
{
    const auto answer = fixture.client()->Get("/read/last", Fixture::headers("last"));
    REQUIRE(answer);
    REQUIRE(answer->status == 200);
}

} // namespace

TEST_CASE("a request whose caller left before it was read is not sent on")
{
    // The host read the request, sent it to an upstream, and only then read the end of the connection.
    Fixture fixture;
    Upstream upstream(fixture.store_, "u1");
    fixture.start();
    REQUIRE(eventually([&] { return fixture.isReady(); }));
    {
        BusyLoop busy(fixture);
        for (int i = 0; i < 8; ++i) {
            const int fd = connectTo(fixture.settings_.callerAddress_);
            sendRequest(fd, "gone-" + std::to_string(i));
            i % 2 == 0 ? static_cast<void>(close(fd)) : resetConnection(fd);
        }
    }
    waitForHandling(fixture);
    CHECK(upstream.requests_ == 1);
}

TEST_CASE("a request on a used connection whose caller left while the host was behind is not sent on")
{
    // Guards against a look that only new connections get: callers keep theirs for many requests.
    Fixture fixture;
    Upstream upstream(fixture.store_, "u1");
    fixture.start();
    REQUIRE(eventually([&] { return fixture.isReady(); }));
    const int fd = connectTo(fixture.settings_.callerAddress_);
    sendRequest(fd, "first");
    REQUIRE(eventually([&] { return upstream.requests_ == 1; }));
    char buffer[4096];
    REQUIRE(recv(fd, buffer, sizeof(buffer), 0) > 0);
    {
        BusyLoop busy(fixture);
        sendRequest(fd, "gone");
        close(fd);
    }
    waitForHandling(fixture);
    CHECK(upstream.requests_ == 2);
}

TEST_CASE("a caller that stays is served after the host was behind")
{
    // Guards against a check for callers that have left which takes a caller with more to say for one.
    Fixture fixture;
    Upstream upstream(fixture.store_, "u1");
    fixture.start();
    REQUIRE(eventually([&] { return fixture.isReady(); }));
    const int fd = connectTo(fixture.settings_.callerAddress_);
    {
        BusyLoop busy(fixture);
        sendRequest(fd, "one");
        sendRequest(fd, "two");
    }
    std::string received;
    char buffer[4096];
    while (received.find("answer of u1") == received.rfind("answer of u1")) {
        const ssize_t size = recv(fd, buffer, sizeof(buffer), 0);
        REQUIRE(size > 0);
        received.append(buffer, static_cast<size_t>(size));
    }
    close(fd);
    CHECK(upstream.requests_ == 2);
}

TEST_CASE("a caller that leaves is noticed while the memory for requests is in use")
{
    // Beyond half of the memory, bytes behind an unanswered request were not read, and so not the end of the
    // connection behind them either: the upstream worked on for a caller that had left.
    constexpr size_t largeBytes = 50'000'000;
    Fixture fixture;
    auto document = nlohmann::json::parse(configuration(2));
    for (auto& resource : document["resources"]) {
        if (resource["type"] == "limits")
            resource["spec"]["max_body_bytes"] = largeBytes;
    }
    fixture.store_.put("op", "config", document.dump());
    Upstream upstream(fixture.store_, "u1");
    upstream.handler_ = [&](const httplib::Request&, httplib::Response&) {
        if (!standin::Server::waitUntil(monotonicNow() + std::chrono::seconds(2)))
            upstream.callerDisconnected_ = true;
    };
    fixture.start();
    REQUIRE(eventually([&] { return fixture.isReady(); }));
    const int stalling = connectTo(fixture.settings_.callerAddress_);
    const std::string head = "POST /write/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: s\r\nX-Deadline-Ms: "
                             "3000\r\nAuthorization: Token key-1\r\nContent-Length: "
        + std::to_string(largeBytes) + "\r\n\r\n";
    REQUIRE(send(stalling, head.data(), head.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(head.size()));
    const int leaving = connectTo(fixture.settings_.callerAddress_);
    sendRequest(leaving, "leaves");
    REQUIRE(eventually([&] { return upstream.requests_ == 1; }));
    const std::string behind = "GET /read/behind";
    REQUIRE(send(leaving, behind.data(), behind.size(), MSG_NOSIGNAL) > 0);
    close(leaving);
    CHECK(eventually([&] { return upstream.callerDisconnected_.load(); }));
    close(stalling);
}

TEST_CASE("a caller that leaves is noticed behind bytes that are not read")
{
    // Behind an unanswered request only 16 KB are read; the end of the connection came after the rest.
    Fixture fixture;
    Upstream upstream(fixture.store_, "u1");
    upstream.handler_ = [&](const httplib::Request&, httplib::Response&) {
        if (!standin::Server::waitUntil(monotonicNow() + std::chrono::seconds(2)))
            upstream.callerDisconnected_ = true;
    };
    fixture.start();
    REQUIRE(eventually([&] { return fixture.isReady(); }));
    const int leaving = connectTo(fixture.settings_.callerAddress_);
    // Nothing is parsed behind a request that has to run alone.
    std::string request = requestBytes("leaves");
    request.replace(0, sizeof("GET /read") - 1, "POST /write");
    REQUIRE(send(leaving, request.data(), request.size(), MSG_NOSIGNAL) > 0);
    REQUIRE(eventually([&] { return upstream.requests_ == 1; }));
    const std::string behind(20'000, 'x');
    REQUIRE(send(leaving, behind.data(), behind.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(behind.size()));
    // Not a reset, which would show at once.
    shutdown(leaving, SHUT_WR);
    CHECK(eventually([&] { return upstream.callerDisconnected_.load(); }));
    close(leaving);
}

TEST_CASE("the rest of a request that is given up does not reach its upstream any more")
{
    // The socket was closed in the ordinary way, and the system went on sending: requests that had been
    // answered with 504 ran seconds later in a failure domain that was evacuated meanwhile.
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    REQUIRE(bind(listener, reinterpret_cast<sockaddr*>(&address), size) == 0);
    REQUIRE(listen(listener, 1) == 0);
    REQUIRE(getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size) == 0);
    boost::asio::io_context loop { 1 };
    gateway::UpstreamClient client(loop);
    // More than the buffers of a connection hold, to an upstream that does not read.
    const std::string body(32 << 20, 'x');
    const auto cancel = client.send({ .upstream_ = "u1",
                                        .address_ = { "127.0.0.1", ntohs(address.sin_port) },
                                        .head_ = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: "
                                            + std::to_string(body.size()) + "\r\n\r\n",
                                        .body_ = std::make_shared<const gateway::Body>(body) },
        [](const gateway::UpstreamAnswer&) {});
    loop.run_for(std::chrono::milliseconds(300));
    const int upstream = accept(listener, nullptr, nullptr);
    REQUIRE(upstream >= 0);
    cancel();
    loop.restart();
    loop.run_for(std::chrono::milliseconds(50));
    ssize_t got = 1;
    for (std::vector<char> buffer(1 << 20); got > 0;)
        got = recv(upstream, buffer.data(), buffer.size(), 0);
    CHECK(got < 0);
    CHECK(errno == ECONNRESET);
    close(upstream);
    close(listener);
}
