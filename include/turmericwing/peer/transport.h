// Mutually authenticated connections between hosts, which carry requests, responses and one-way messages.
#pragma once

#include "turmericwing/base/random.h"
#include "turmericwing/base/time.h"
#include "turmericwing/peer/message.h"

#include <functional>
#include <memory>

namespace turmericwing::peer {

struct TransportOptions {
    std::string host_; ///< Name of this host, unique in the fleet.
    uint64_t incarnation_ = 0; ///< A connection of a newer incarnation replaces those of older ones.
    std::string ip_; ///< Address to listen on.
    int port_ = 0; ///< 0 selects a free port.
    std::string secret_; ///< Shared by all hosts. Never sent; each side proves with an HMAC that it knows it.
    Duration pingInterval_ = std::chrono::milliseconds(500);
    /// A connection is closed when no pong has arrived for this time.
    Duration pongTimeout_ = std::chrono::milliseconds(1500);
    Duration handshakeTimeout_ = std::chrono::milliseconds(1500); ///< From connection to authentication.
    /// Bounds of the exponential backoff between connection attempts to one peer.
    Duration minBackoff_ = std::chrono::milliseconds(100);
    Duration maxBackoff_ = std::chrono::seconds(5);
    /// Upper bound on the bytes buffered for one connection, and on the bytes posted by other threads that
    /// the transport's thread has not yet processed. Messages that exceed it fail as Unavailable.
    size_t maxQueueBytes_ = size_t { 4 } << 20;
    /// At this number of unauthenticated connections, further inbound connections are closed.
    size_t maxUnauthenticated_ = 64;
};

/// A host to connect to.
struct PeerAddress {
    std::string host_;
    std::string address_; ///< "ip:port"
    friend bool operator==(const PeerAddress&, const PeerAddress&) = default;
};

/// Totals since the start. Byte counts include WebSocket frame headers, but not TCP and IP headers.
struct TransportCounters {
    uint64_t messagesIn_ = 0;
    uint64_t messagesOut_ = 0;
    uint64_t bytesIn_ = 0;
    uint64_t bytesOut_ = 0;
    /// Connections closed because authentication failed or timed out, or because of maxUnauthenticated_.
    uint64_t rejectedConnections_ = 0;
    uint64_t malformedMessages_ = 0; ///< Messages that could not be decoded; each closes its connection.
    uint64_t pongTimeouts_ = 0; ///< Connections closed because of pongTimeout_.
    uint64_t droppedMessages_ = 0; ///< Messages not sent: the queue was full or the peer not connected.
};

/// Sends the response to a request. May be called at most once, from any thread, also after the transport has
/// been destroyed.
using Responder = std::function<void(Message)>;

/// Event handlers, called on the transport's thread. They must not block, which would stall all connections.
struct TransportHandlers {
    std::function<void(const std::string& peer, const Message&)> message_;
    std::function<void(const std::string& peer, const Message&, const Responder&)> request_;
    std::function<void(const std::string& peer, uint64_t incarnation)> connected_;
    std::function<void(const std::string& peer)> disconnected_;
};

/// Connections to the other hosts, served by a thread of its own. All functions are thread-safe.
///
///     auto transport = Transport::start({ .host_ = "h1", .ip_ = "127.0.0.1", .secret_ = secret }, handlers);
///     transport.value()->setPeers({ { "h2", "127.0.0.1:9002" } });
///     transport.value()->request("h2", TokenPull { "w1", 7, 10 }, std::chrono::milliseconds(500),
///         [](Result<Message> response) { ... });
class Transport {
public:
    /// Listens on the address and starts the thread. Errors: Invalid if the host name or secret is empty,
    /// Unavailable if the address cannot be bound.
    static Result<std::unique_ptr<Transport>> start(TransportOptions, TransportHandlers);

    /// Closes all connections. Pending requests complete with Unknown before it returns.
    ~Transport();
    Transport(const Transport&) = delete;
    Transport& operator=(const Transport&) = delete;

    /// The port that the transport listens on.
    int port() const;

    /// Sets the hosts to keep a connection to. Inbound connections are accepted from any authenticated host.
    void setPeers(std::vector<PeerAddress>);

    /// Sends a one-way message. Errors: Unavailable if the peer is not connected or the queue is full,
    /// Invalid if the message is too large. Success does not guarantee delivery.
    Result<void> send(const std::string& peer, Message);

    /// Sends a request and calls `done` exactly once, on the transport's thread. Errors: those of send() if
    /// the request was not sent; Unknown if the timeout elapsed or the connection closed after it was sent.
    void request(
        const std::string& peer, Message, Duration timeout, std::function<void(Result<Message>)> done);

    /// Names of the connected, authenticated peers, sorted.
    std::vector<std::string> connected() const;

    TransportCounters counters() const;

private:
    struct State;
    explicit Transport(std::unique_ptr<State>);
    std::unique_ptr<State> state_;
};

} // namespace turmericwing::peer
