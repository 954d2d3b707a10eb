// Authenticated connections between hosts, with requests, responses and one-way messages.
#pragma once

#include "turmericwing/base/random.h"
#include "turmericwing/base/time.h"
#include "turmericwing/peer/message.h"

#include <functional>
#include <memory>

namespace turmericwing::peer {

struct TransportOptions {
    std::string host_; ///< Name of this host, unique in the fleet.
    uint64_t incarnation_ = 0;
    std::string ip_;
    int port_ = 0; ///< 0 picks a free port.
    std::string secret_; ///< Shared by all hosts. Never sent; each side proves that it knows it.
    Duration pingInterval_ = std::chrono::milliseconds(500);
    Duration silenceLimit_ = std::chrono::milliseconds(1500); ///< Without a response to a ping.
    Duration handshakeTimeout_ = std::chrono::milliseconds(1500);
    Duration minBackoff_ = std::chrono::milliseconds(100);
    Duration maxBackoff_ = std::chrono::seconds(5);
    /// Bound on the bytes that wait for one connection, and on those handed over by other threads. Messages
    /// beyond it are refused as Unavailable.
    size_t maxQueueBytes_ = size_t { 4 } << 20;
    size_t maxUnauthenticated_ = 64; ///< Further connections are closed until some have authenticated.
};

struct PeerAddress {
    std::string host_;
    std::string address_; ///< "ip:port"
    friend bool operator==(const PeerAddress&, const PeerAddress&) = default;
};

/// Totals since the start. Bytes include WebSocket frame headers, but no TCP and IP headers.
struct TransportCounters {
    uint64_t messagesIn_ = 0;
    uint64_t messagesOut_ = 0;
    uint64_t bytesIn_ = 0;
    uint64_t bytesOut_ = 0;
    uint64_t refused_ = 0; ///< Connections closed for a failed or late authentication.
    uint64_t malformed_ = 0; ///< Messages that could not be decoded; the connection is closed.
    uint64_t silent_ = 0; ///< Connections closed for silence.
    uint64_t dropped_ = 0; ///< Messages not sent because of a full queue or a missing connection.
};

/// Sends the response to a request. May be called once, from any thread.
using Responder = std::function<void(Message)>;

/// Called on the transport's thread; must not block, because no connection is served meanwhile.
struct TransportHandlers {
    std::function<void(const std::string& peer, const Message&)> message_;
    std::function<void(const std::string& peer, const Message&, const Responder&)> request_;
    std::function<void(const std::string& peer, uint64_t incarnation)> connected_;
    std::function<void(const std::string& peer)> disconnected_;
};

/// Runs its own thread. All functions may be called from any thread.
///
///     auto transport = Transport::start({ .host_ = "h1", .ip_ = "127.0.0.1", .secret_ = secret }, handlers);
///     transport.value()->setPeers({ { "h2", "127.0.0.1:9002" } });
///     transport.value()->request("h2", TokenPull { "w1", 7, 10 }, std::chrono::milliseconds(500),
///         [](Result<Message> response) { ... });
class Transport {
public:
    /// Errors: Invalid for an empty name or secret, Unavailable when the address cannot be bound.
    static Result<std::unique_ptr<Transport>> start(TransportOptions, TransportHandlers);

    /// Closes all connections. Requests without a response end as Unknown before it returns.
    ~Transport();
    Transport(const Transport&) = delete;
    Transport& operator=(const Transport&) = delete;

    int port() const;

    /// Hosts to keep a connection to. Connections opened by other hosts are accepted in any case.
    void setPeers(std::vector<PeerAddress>);

    /// Errors: Unavailable when the peer is not connected or the queue is full, Invalid when the message is
    /// too large. Success does not mean that the message arrives.
    Result<void> send(const std::string& peer, Message);

    /// Calls `done` exactly once, on the transport's thread. Errors: as send, when the peer has not received
    /// the request; Unknown when the timeout elapsed or the connection ended after it was sent.
    void request(
        const std::string& peer, Message, Duration timeout, std::function<void(Result<Message>)> done);

    /// Names of the authenticated peers, sorted.
    std::vector<std::string> connected() const;

    TransportCounters counters() const;

private:
    struct State;
    explicit Transport(std::unique_ptr<State>);
    std::unique_ptr<State> state_;
};

} // namespace turmericwing::peer
