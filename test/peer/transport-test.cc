// Tests of connections between hosts.
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

bool eventually(const std::function<bool()>& condition, Duration limit = 10s)
{
    const TimePoint end = monotonicNow() + limit;
    while (!condition() && monotonicNow() < end)
        std::this_thread::sleep_for(5ms);
    return condition();
}

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

    Result<Message> ask(const std::string& peer, const Message& message, Duration timeout) const
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

// A peer that sends the given payloads once connected and authenticates never.
struct Stranger {
    Stranger(const std::string& address, std::vector<std::string> payloads)
        : loop_({ .opened_ =
                      [this, payloads = std::move(payloads)](detail::SocketId id, bool) {
                          for (const auto& payload : payloads)
                              loop_.send(id, payload);
                      },
            .message_ = [this](detail::SocketId, const std::string&) { ++messages_; },
            .pong_ = [](detail::SocketId) {},
            .closed_ = [this](detail::SocketId) { closed_ = true; } })
    {
        loop_.connect(address);
        thread_ = std::thread([this] { loop_.run(); });
    }

    ~Stranger()
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
    // Guards against responses that reach the wrong request.
    Host a("a");
    Host b("b");
    a.transport_->setPeers({ b.address_ });
    REQUIRE(eventually([&] { return a.connected() && b.connected(); }));
    for (uint32_t i = 1; i <= 100; ++i) {
        const auto response = a.ask("b", TokenPull { .workspace_ = "w", .waiting_ = i }, 5s);
        REQUIRE(response);
        CHECK(std::get<TokenGrant>(response.value()).tokens_ == i);
    }
    CHECK(b.ask("a", TokenPull { .workspace_ = "w", .waiting_ = 7 }, 5s));
    CHECK(b.transport_->send("a", Heartbeat {}));
    CHECK(eventually([&] { return a.messages_ == 1; }));
    const TimePoint start = monotonicNow();
    CHECK(a.ask("b", Probe {}, 100ms).error().code_ == ErrorCode::Unknown);
    CHECK(monotonicNow() - start >= 100ms);
    CHECK(a.ask("c", Probe {}, 5s).error().code_ == ErrorCode::Unavailable);
    CHECK(a.transport_->send("b", Refusal { 0, std::string(maxMessageBytes, 'x') }).error().code_
        == ErrorCode::Invalid);
    const auto sent = a.transport_->counters();
    CHECK(sent.messagesOut_ == 2 + 101 + 1);
    CHECK(
        eventually([&] { return b.transport_->counters().bytesIn_ == a.transport_->counters().bytesOut_; }));
}

TEST_CASE("hosts that dial each other keep one connection")
{
    // Guards against double traffic, and against both sides closing the other's connection for ever.
    Host a("a");
    Host b("b");
    a.transport_->setPeers({ b.address_ });
    b.transport_->setPeers({ a.address_ });
    REQUIRE(eventually([&] { return a.connected() && b.connected(); }));
    std::this_thread::sleep_for(300ms);
    CHECK(a.ask("b", TokenPull {}, 5s));
    CHECK(b.ask("a", TokenPull {}, 5s));
    CHECK(a.connects_ <= 2);
    CHECK(a.connects_ - a.disconnects_ == 1);
    CHECK(b.connects_ - b.disconnects_ == 1);
}

TEST_CASE("a wrong secret is refused")
{
    // Guards against a host that joins without the secret.
    Host a("a");
    Host b("b", "other");
    a.transport_->setPeers({ b.address_ });
    CHECK(eventually(
        [&] { return a.transport_->counters().refused_ + b.transport_->counters().refused_ >= 2; }));
    CHECK_FALSE(a.connected());
    CHECK_FALSE(b.connected());
    CHECK(a.connects_ + b.connects_ == 0);
}

TEST_CASE("unauthenticated peers are refused")
{
    // Guards against messages accepted before the proof, and against connections held open without one.
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
        Stranger stranger(a.address_.address_, payloads);
        CHECK(eventually([&] { return stranger.closed_.load(); }));
    }
    CHECK(a.messages_ == 0);
    CHECK(a.connects_ == 0);
}

TEST_CASE("a silent connection is closed and opened again")
{
    // Guards against a connection that stays in use after the peer stopped responding.
    Host a("a");
    Host b("b");
    a.transport_->setPeers({ b.address_ });
    REQUIRE(eventually([&] { return a.connected() && b.connected(); }));
    b.blocked_ = true;
    REQUIRE(a.transport_->send("b", MoveTrip {}));
    REQUIRE(eventually([&] { return b.messages_ == 1; }));
    const TimePoint start = monotonicNow();
    CHECK(a.ask("b", TokenPull {}, 30s).error().code_ == ErrorCode::Unknown);
    CHECK(monotonicNow() - start < 10s);
    CHECK(a.transport_->counters().silent_ == 1);
    CHECK_FALSE(a.connected());
    b.blocked_ = false;
    CHECK(eventually([&] { return a.connected() && a.ask("b", TokenPull {}, 1s).has_value(); }, 20s));
}

TEST_CASE("a restarted peer replaces its old connection")
{
    // Guards against messages to an incarnation that has ended.
    Host a("a");
    auto b = std::make_unique<Host>("b");
    a.transport_->setPeers({ b->address_ });
    REQUIRE(eventually([&] { return a.connected(); }));
    b.reset();
    CHECK(eventually([&] { return !a.connected(); }));
    CHECK(a.transport_->send("b", Heartbeat {}).error().code_ == ErrorCode::Unavailable);
    Host again("b", "secret", 2);
    a.transport_->setPeers({ again.address_ });
    CHECK(eventually([&] { return a.connected(); }));
}

TEST_CASE("send queues are bounded")
{
    // Guards against memory that grows while a peer does not read.
    Host a("a");
    Host b("b");
    a.transport_->setPeers({ b.address_ });
    REQUIRE(eventually([&] { return a.connected() && b.connected(); }));
    b.blocked_ = true;
    REQUIRE(a.transport_->send("b", MoveTrip {}));
    const Blob blob { "d", 0, 1, std::vector<uint8_t>(900'000) };
    for (int i = 0; i < 40; ++i)
        (void)a.transport_->send("b", blob);
    CHECK(eventually([&] { return a.transport_->counters().dropped_ > 0; }));
    CHECK(a.transport_->counters().bytesOut_ < 30'000'000);
    b.blocked_ = false;
}
