// Tests of Transport: authentication, request correlation, liveness, reconnection and queue bounds.
#include "turmericwing/peer/transport.h"

#include "socket.h"

#include <nlohmann/json.hpp>

#include <doctest/doctest.h>

#include <atomic>
#include <future>
#include <thread>

using namespace turmericwing;
using namespace turmericwing::peer;
using namespace std::chrono_literals;

namespace {

bool waitUntil(const std::function<bool()>& condition, Duration limit = 10s)
{
    const TimePoint end = monotonicNow() + limit;
    while (!condition() && monotonicNow() < end)
        std::this_thread::sleep_for(5ms);
    return condition();
}

// A host with a transport. It answers TokenPull, ignores other requests, and can block the transport's
// thread.
struct Host {
    explicit Host(const std::string& name, std::string secret = "secret", uint64_t incarnation = 1)
    {
        TransportHandlers handlers {
            .message_ =
                [this](const std::string&, const Message& message) {
                    ++messages_;
                    if (std::holds_alternative<MoveTrip>(message))
                        while (blocked_)
                            std::this_thread::sleep_for(5ms);
                },
            .request_ =
                [](const std::string&, const Message& message, const Responder& respond) {
                    if (const auto* pull = std::get_if<TokenPull>(&message))
                        respond(TokenGrant { .workspace_ = pull->workspace_, .tokens_ = pull->waiting_ });
                },
            .connected_ = [this](const std::string&, uint64_t) { ++connects_; },
            .disconnected_ = [this](const std::string&) { ++disconnects_; },
        };
        transport_ = Transport::start(
            { .host_ = name, .incarnation_ = incarnation, .ip_ = "127.0.0.1", .secret_ = std::move(secret) },
            std::move(handlers))
                         .value();
        address_ = { name, "127.0.0.1:" + std::to_string(transport_->port()) };
    }

    bool connected() const { return !transport_->connected().empty(); }

    Result<Message> requestAndWait(const std::string& peer, const Message& message, Duration timeout) const
    {
        std::promise<Result<Message>> promise;
        transport_->request(
            peer, message, timeout, [&](Result<Message> r) { promise.set_value(std::move(r)); });
        return promise.get_future().get();
    }

    std::atomic<int> messages_ = 0;
    std::atomic<int> connects_ = 0;
    std::atomic<int> disconnects_ = 0;
    std::atomic<bool> blocked_ = false;
    PeerAddress address_;
    std::unique_ptr<Transport> transport_;
};

// A peer that sends the given payloads when connected and never authenticates.
struct UnauthenticatedPeer {
    UnauthenticatedPeer(const std::string& address, std::vector<std::string> payloads)
        : loop_({ .onOpen_ =
                      [this, payloads = std::move(payloads)](detail::SocketId id, bool) {
                          for (const auto& payload : payloads)
                              loop_.send(id, payload);
                      },
            .onMessage_ = [this](detail::SocketId, const std::string&) { ++messages_; },
            .onPong_ = [](detail::SocketId) {},
            .onClose_ = [this](detail::SocketId) { closed_ = true; } })
    {
        loop_.connect(address);
        thread_ = std::thread([this] { loop_.run(); });
    }

    ~UnauthenticatedPeer()
    {
        loop_.stop();
        thread_.join();
    }

    std::atomic<int> messages_ = 0;
    std::atomic<bool> closed_ = false;
    detail::SocketLoop loop_;
    std::thread thread_;
};

} // namespace

TEST_CASE("hosts exchange messages and responses")
{
    // Guards against delivering a response to the wrong request.
    Host a("a");
    Host b("b");
    a.transport_->setPeers({ b.address_ });
    REQUIRE(waitUntil([&] { return a.connected() && b.connected(); }));
    for (uint32_t i = 1; i <= 100; ++i) {
        const auto response = a.requestAndWait("b", TokenPull { .workspace_ = "w", .waiting_ = i }, 5s);
        REQUIRE(response);
        CHECK(std::get<TokenGrant>(response.value()).tokens_ == i);
    }
    CHECK(b.requestAndWait("a", TokenPull { .workspace_ = "w", .waiting_ = 7 }, 5s));
    CHECK(b.transport_->send("a", Heartbeat {}));
    CHECK(waitUntil([&] { return a.messages_ == 1; }));
    const TimePoint start = monotonicNow();
    CHECK(a.requestAndWait("b", Probe {}, 100ms).error().code_ == ErrorCode::Unknown);
    CHECK(monotonicNow() - start >= 100ms);
    CHECK(a.requestAndWait("c", Probe {}, 5s).error().code_ == ErrorCode::Unavailable);
    CHECK(a.transport_->send("b", Refusal { 0, std::string(maxMessageBytes, 'x') }).error().code_
        == ErrorCode::Invalid);
    const auto senderCounters = a.transport_->counters();
    CHECK(senderCounters.messagesOut_ == 2 + 101 + 1);
    CHECK(waitUntil([&] { return b.transport_->counters().bytesIn_ == a.transport_->counters().bytesOut_; }));
}

TEST_CASE("hosts that dial each other keep only one connection")
{
    // Guards against duplicate traffic, and against both sides repeatedly closing the other's connection.
    Host a("a");
    Host b("b");
    a.transport_->setPeers({ b.address_ });
    b.transport_->setPeers({ a.address_ });
    REQUIRE(waitUntil([&] { return a.connected() && b.connected(); }));
    std::this_thread::sleep_for(300ms);
    CHECK(a.requestAndWait("b", TokenPull {}, 5s));
    CHECK(b.requestAndWait("a", TokenPull {}, 5s));
    CHECK(a.connects_ <= 2);
    CHECK(a.connects_ - a.disconnects_ == 1);
    CHECK(b.connects_ - b.disconnects_ == 1);
}

TEST_CASE("a host with a wrong secret is rejected")
{
    // Guards against accepting a host that does not know the secret.
    Host a("a");
    Host b("b", "other");
    a.transport_->setPeers({ b.address_ });
    CHECK(waitUntil([&] {
        return a.transport_->counters().rejectedConnections_ + b.transport_->counters().rejectedConnections_
            >= 2;
    }));
    CHECK_FALSE(a.connected());
    CHECK_FALSE(b.connected());
    CHECK(a.connects_ + b.connects_ == 0);
}

TEST_CASE("unauthenticated peers are rejected")
{
    // Guards against processing messages before authentication, and against unauthenticated connections that
    // stay open.
    Host a("a");
    const std::string hello = [] {
        std::string out;
        nlohmann::json::to_cbor({ { "v", 1 }, { "h", "x" }, { "n", 1 }, { "c", std::string(32, '0') } }, out);
        return out;
    }();
    const std::string heartbeat = encode({ 0, 0, Heartbeat {} }).value();
    for (const auto& payloads : std::vector<std::vector<std::string>> { { heartbeat }, { hello, heartbeat },
             { hello, hello }, { std::string(2000, '\x81') }, { std::string(900, '\x81') }, {} }) {
        CAPTURE(payloads.size());
        UnauthenticatedPeer unauthenticated(a.address_.address_, payloads);
        CHECK(waitUntil([&] { return unauthenticated.closed_.load(); }));
    }
    CHECK(a.messages_ == 0);
    CHECK(a.connects_ == 0);
}

TEST_CASE("an unresponsive connection is closed and reopened")
{
    // Guards against a connection that stays active after the peer has stopped responding.
    Host a("a");
    Host b("b");
    a.transport_->setPeers({ b.address_ });
    REQUIRE(waitUntil([&] { return a.connected() && b.connected(); }));
    b.blocked_ = true;
    REQUIRE(a.transport_->send("b", MoveTrip {}));
    REQUIRE(waitUntil([&] { return b.messages_ == 1; }));
    const TimePoint start = monotonicNow();
    CHECK(a.requestAndWait("b", TokenPull {}, 30s).error().code_ == ErrorCode::Unknown);
    CHECK(monotonicNow() - start < 10s);
    CHECK(a.transport_->counters().pongTimeouts_ == 1);
    CHECK_FALSE(a.connected());
    b.blocked_ = false;
    CHECK(
        waitUntil([&] { return a.connected() && a.requestAndWait("b", TokenPull {}, 1s).has_value(); }, 20s));
}

TEST_CASE("a restarted peer is connected again")
{
    // Guards against sending messages to an incarnation that no longer runs.
    Host a("a");
    auto b = std::make_unique<Host>("b");
    a.transport_->setPeers({ b->address_ });
    REQUIRE(waitUntil([&] { return a.connected(); }));
    b.reset();
    CHECK(waitUntil([&] { return !a.connected(); }));
    CHECK(a.transport_->send("b", Heartbeat {}).error().code_ == ErrorCode::Unavailable);
    Host restarted("b", "secret", 2);
    a.transport_->setPeers({ restarted.address_ });
    CHECK(waitUntil([&] { return a.connected(); }));
}

TEST_CASE("send queues are bounded")
{
    // Guards against unbounded memory use while a peer does not read.
    Host a("a");
    Host b("b");
    a.transport_->setPeers({ b.address_ });
    REQUIRE(waitUntil([&] { return a.connected() && b.connected(); }));
    b.blocked_ = true;
    REQUIRE(a.transport_->send("b", MoveTrip {}));
    const Blob blob { "d", 0, 1, std::vector<uint8_t>(900'000) };
    for (int i = 0; i < 40; ++i)
        (void)a.transport_->send("b", blob);
    CHECK(waitUntil([&] { return a.transport_->counters().droppedMessages_ > 0; }));
    CHECK(a.transport_->counters().bytesOut_ < 30'000'000);
    b.blocked_ = false;
}
