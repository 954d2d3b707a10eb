// Transport on top of SocketLoop: mutual authentication, request correlation, liveness checks and
// reconnection.
#include "turmericwing/peer/transport.h"

#include "socket.h"

#include "turmericwing/base/hash.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <thread>

namespace turmericwing::peer {

using Json = nlohmann::json;
using detail::SocketId;
using std::chrono::milliseconds;

namespace detail {

    // Interval of tick(), and so the resolution of timeouts, pings and reconnections.
    constexpr milliseconds tickInterval(20);
    constexpr size_t maxHandshakeBytes = 1024;

    // An open connection in either direction, before or after authentication.
    struct PeerConnection {
        bool inbound_ = false;
        bool helloReceived_ = false;
        bool authenticated_ = false;
        std::string expectedHost_; // Name of the host that was dialed; empty for an inbound connection.
        std::string host_; // As claimed in the peer's hello; verified once authenticated_ is set.
        uint64_t incarnation_ = 0;
        std::string ownNonce_;
        std::string peerNonce_;
        TimePoint openedAt_;
        TimePoint lastPong_;
        TimePoint nextPing_;
    };

    // A host to keep an outbound connection to.
    struct DialTarget {
        std::string address_;
        SocketId socket_ = 0; // Current attempt or connection; 0 if none.
        int failures_ = 0; // Failed attempts and lost connections since the last authentication.
        TimePoint nextAttempt_; // Earliest time of the next attempt.
    };

    // A request that was sent and has no response yet.
    struct PendingRequest {
        SocketId socket_ = 0;
        TimePoint deadline_;
        std::function<void(Result<Message>)> done_;
    };

    // Size of a WebSocket frame including its header. Only the side that opened the connection masks its
    // frames.
    size_t frameBytes(size_t payload, bool masked)
    {
        return payload + 2 + (payload > 65535 ? 8 : payload > 125 ? 2 : 0) + (masked ? 4 : 0);
    }

    // Computes the HMAC by which one side proves that it knows the secret. It covers the direction, both
    // names, both nonces and the prover's incarnation, so that a proof can be neither replayed nor reflected.
    std::string computeProof(const std::string& secret, bool byDialer, const std::string& prover,
        uint64_t incarnation, const std::string& proverNonce, const std::string& verifier,
        const std::string& verifierNonce)
    {
        const Json fields = Json::array({ "turmericwing-peer-1", byDialer ? "dialler" : "listener", prover,
            incarnation, proverNonce, verifier, verifierNonce });
        return hmacSha256Hex(secret, fields.dump(-1, ' ', true, Json::error_handler_t::replace));
    }

} // namespace detail

using detail::DialTarget;
using detail::PeerConnection;
using detail::PendingRequest;

// Functions and non-atomic members are used on the loop's thread only, unless noted otherwise.
struct Transport::State {
    State(TransportOptions options, TransportHandlers handlers)
        : options_(std::move(options))
        , handlers_(std::move(handlers))
        , random_(makeRandom())
        , loop_({ .onOpen_ = [this](SocketId id, bool inbound) { handleOpen(id, inbound); },
              .onMessage_ = [this](SocketId id, const std::string& payload) { handleMessage(id, payload); },
              .onPong_ =
                  [this](SocketId id) {
                      if (PeerConnection* connection = findConnection(id))
                          connection->lastPong_ = monotonicNow();
                  },
              .onClose_ = [this](SocketId id) { handleClose(id); } })
    {
    }

    PeerConnection* findConnection(SocketId id)
    {
        const auto it = connections_.find(id);
        return it == connections_.end() ? nullptr : &it->second;
    }

    // Handshake: both sides send a hello, then a proof.

    void handleOpen(SocketId id, bool inbound)
    {
        size_t unauthenticated = 0;
        for (const auto& [other, connection] : connections_)
            unauthenticated += connection.authenticated_ ? 0 : 1;
        if (inbound && unauthenticated >= options_.maxUnauthenticated_) {
            ++rejectedConnections_;
            loop_.close(id);
            return;
        }
        PeerConnection& connection = connections_[id];
        connection.inbound_ = inbound;
        connection.ownNonce_ = randomId(random_);
        connection.openedAt_ = monotonicNow();
        for (const auto& [host, target] : dialTargets_)
            if (target.socket_ == id)
                connection.expectedHost_ = host;
        const Json hello { { "v", protocolVersion }, { "h", options_.host_ }, { "n", options_.incarnation_ },
            { "c", connection.ownNonce_ } };
        transmit(id, connection, cbor(hello));
    }

    static std::string cbor(const Json& json)
    {
        std::string out;
        Json::to_cbor(json, out);
        return out;
    }

    // Handshake messages are small flat CBOR maps. Any other payload closes the connection.
    void handleHandshake(SocketId id, PeerConnection& connection, const std::string& payload)
    {
        if (payload.size() > detail::maxHandshakeBytes)
            return reject(id);
        // The size check above also bounds the parser's recursion.
        const Json json = Json::from_cbor(payload, true, false);
        if (!json.is_object())
            return reject(id);
        const bool accepted
            = connection.helloReceived_ ? verifyProof(connection, json) : acceptHello(id, connection, json);
        if (!accepted)
            return reject(id);
        if (connection.authenticated_)
            activate(id);
    }

    bool acceptHello(SocketId id, PeerConnection& connection, const Json& json)
    {
        const Json version = json.value("v", Json());
        const Json host = json.value("h", Json());
        const Json incarnation = json.value("n", Json());
        const Json nonce = json.value("c", Json());
        if (version != protocolVersion || !host.is_string() || !incarnation.is_number_unsigned()
            || !nonce.is_string() || nonce.get_ref<const std::string&>().size() != 32)
            return false;
        connection.host_ = host;
        connection.incarnation_ = incarnation;
        connection.peerNonce_ = nonce;
        if (connection.host_.empty() || connection.host_ == options_.host_
            || (!connection.inbound_ && connection.host_ != connection.expectedHost_))
            return false;
        connection.helloReceived_ = true;
        const Json proofMessage { { "p",
            detail::computeProof(options_.secret_, !connection.inbound_, options_.host_,
                options_.incarnation_, connection.ownNonce_, connection.host_, connection.peerNonce_) } };
        transmit(id, connection, cbor(proofMessage));
        return true;
    }

    bool verifyProof(PeerConnection& connection, const Json& json)
    {
        const Json receivedProof = json.value("p", Json());
        const std::string expectedProof
            = detail::computeProof(options_.secret_, connection.inbound_, connection.host_,
                connection.incarnation_, connection.peerNonce_, options_.host_, connection.ownNonce_);
        connection.authenticated_ = receivedProof.is_string()
            && constantTimeEqual(receivedProof.get_ref<const std::string&>(), expectedProof);
        return connection.authenticated_;
    }

    void reject(SocketId id)
    {
        ++rejectedConnections_;
        closeConnection(id);
    }

    // Makes an authenticated connection the active one for its host, unless the current one belongs to a
    // newer incarnation. If two hosts have dialed each other, both keep the connection that was dialed by the
    // host whose name sorts first; otherwise the new connection replaces the current one.
    void activate(SocketId id)
    {
        PeerConnection& connection = connections_.at(id);
        connection.lastPong_ = monotonicNow();
        connection.nextPing_ = connection.lastPong_ + options_.pingInterval_;
        loop_.setMaxMessageBytes(id, maxMessageBytes);
        const std::string host = connection.host_;
        const uint64_t incarnation = connection.incarnation_;
        const auto current = activeSockets_.find(host);
        if (current != activeSockets_.end()) {
            const PeerConnection& other = connections_.at(current->second);
            if (other.incarnation_ > incarnation
                || (other.incarnation_ == incarnation && other.inbound_ != connection.inbound_
                    && other.inbound_ == (host < options_.host_)))
                return closeConnection(id);
            closeConnection(current->second);
        }
        setActiveSocket(host, id);
        if (const auto target = dialTargets_.find(host); target != dialTargets_.end())
            target->second.failures_ = 0;
        if (handlers_.connected_)
            handlers_.connected_(host, incarnation);
    }

    void setActiveSocket(const std::string& host, SocketId id)
    {
        std::lock_guard lock(mutex_);
        if (id != 0)
            activeSockets_[host] = id;
        else
            activeSockets_.erase(host);
    }

    // Sending and receiving

    bool transmit(SocketId id, const PeerConnection& connection, const std::string& payload)
    {
        if (loop_.bufferedBytes(id) + payload.size() > options_.maxQueueBytes_ || !loop_.send(id, payload)) {
            ++droppedMessages_;
            return false;
        }
        ++messagesOut_;
        bytesOut_ += detail::frameBytes(payload.size(), !connection.inbound_);
        return true;
    }

    void handleMessage(SocketId id, const std::string& payload)
    {
        PeerConnection* connection = findConnection(id);
        if (!connection)
            return;
        ++messagesIn_;
        bytesIn_ += detail::frameBytes(payload.size(), connection->inbound_);
        if (!connection->authenticated_)
            return handleHandshake(id, *connection, payload);
        const DecodeResult decoded = decode(payload);
        if (!decoded) {
            // Messages of unknown types come from newer releases and are ignored. If the message is a
            // request, it times out at the sender.
            if (decoded.error().code_ == DecodeErrorCode::UnknownType)
                return;
            ++malformedMessages_;
            return closeConnection(id);
        }
        dispatch(id, connection->host_, decoded.value());
    }

    void dispatch(SocketId id, const std::string& peer, const Envelope& envelope)
    {
        if (envelope.replyTo_ != 0) {
            const auto it = pendingRequests_.find(envelope.replyTo_);
            // Ignores late responses to requests that have timed out, and responses on another connection
            // than the request's, because only the peer that received the request may answer it.
            if (it == pendingRequests_.end() || it->second.socket_ != id)
                return;
            const auto done = std::move(it->second.done_);
            pendingRequests_.erase(it);
            done(envelope.message_);
        } else if (envelope.id_ != 0) {
            if (handlers_.request_)
                handlers_.request_(peer, envelope.message_, makeResponder(id, envelope.id_));
        } else if (handlers_.message_) {
            handlers_.message_(peer, envelope.message_);
        }
    }

    // Returns a responder, which may outlive the transport and therefore refers to it through stateHandle_.
    Responder makeResponder(SocketId socket, uint64_t request)
    {
        return [handle = stateHandle_, socket, request](Message message) {
            std::lock_guard lock(handle->mutex_);
            if (!handle->state_)
                return;
            State& state = *handle->state_;
            auto payload = encode({ .id_ = 0, .replyTo_ = request, .message_ = std::move(message) });
            if (!payload || !state.reservePostedBytes(payload.value().size())) {
                ++state.droppedMessages_;
                return;
            }
            state.loop_.post([&state, socket, payload = std::move(payload.value())] {
                state.postedBytes_ -= payload.size();
                if (const PeerConnection* connection = state.findConnection(socket))
                    state.transmit(socket, *connection, payload);
            });
        };
    }

    // Accounts for bytes that are posted to the loop. Returns false if they exceed the bound. Thread-safe.
    bool reservePostedBytes(size_t bytes)
    {
        if (postedBytes_ + bytes > options_.maxQueueBytes_)
            return false;
        postedBytes_ += bytes;
        return true;
    }

    // Finds the active connection and encodes the message on the calling thread. Thread-safe.
    Result<std::pair<SocketId, std::string>> prepareSend(const std::string& peer, const Envelope& envelope)
    {
        SocketId socket = 0;
        {
            std::lock_guard lock(mutex_);
            const auto it = activeSockets_.find(peer);
            if (it != activeSockets_.end())
                socket = it->second;
        }
        if (socket == 0) {
            ++droppedMessages_;
            return makeError(ErrorCode::Unavailable, "not connected to host " + peer);
        }
        BOOST_OUTCOME_TRY(payload, encode(envelope));
        if (!reservePostedBytes(payload.size())) {
            ++droppedMessages_;
            return makeError(ErrorCode::Unavailable, "send queue is full");
        }
        return std::pair(socket, std::move(payload));
    }

    // Liveness and reconnection

    void tick()
    {
        const TimePoint now = monotonicNow();
        std::vector<SocketId> unresponsive;
        std::vector<SocketId> handshakeTimedOut;
        for (auto& [id, connection] : connections_) {
            if (!connection.authenticated_) {
                if (now - connection.openedAt_ > options_.handshakeTimeout_)
                    handshakeTimedOut.push_back(id);
            } else if (now - connection.lastPong_ > options_.pongTimeout_) {
                unresponsive.push_back(id);
            } else if (now >= connection.nextPing_) {
                loop_.ping(id);
                connection.nextPing_ = now + options_.pingInterval_;
            }
        }
        for (const SocketId id : handshakeTimedOut)
            reject(id);
        for (const SocketId id : unresponsive) {
            ++pongTimeouts_;
            closeConnection(id);
        }
        expireRequests(now);
        for (auto& [host, target] : dialTargets_) {
            if (target.socket_ == 0 && activeSockets_.count(host) == 0 && now >= target.nextAttempt_) {
                target.socket_ = loop_.connect(target.address_);
                if (target.socket_ == 0)
                    scheduleReconnect(target);
            }
        }
        loop_.callAfter(detail::tickInterval, [this] { tick(); });
    }

    void expireRequests(TimePoint now)
    {
        std::vector<PendingRequest> expired;
        for (auto it = pendingRequests_.begin(); it != pendingRequests_.end();) {
            if (it->second.deadline_ <= now) {
                expired.push_back(std::move(it->second));
                it = pendingRequests_.erase(it);
            } else {
                ++it;
            }
        }
        for (const PendingRequest& pending : expired)
            pending.done_(makeError(ErrorCode::Unknown, "no response within the timeout"));
    }

    // Closes a connection. SocketLoop::close() reports no event, so handleClose() is called here.
    void closeConnection(SocketId id)
    {
        loop_.close(id);
        handleClose(id);
    }

    void handleClose(SocketId id)
    {
        for (auto& [host, target] : dialTargets_) {
            if (target.socket_ == id) {
                target.socket_ = 0;
                scheduleReconnect(target);
            }
        }
        const auto it = connections_.find(id);
        if (it == connections_.end())
            return;
        const std::string host = it->second.host_;
        connections_.erase(it);
        const auto current = activeSockets_.find(host);
        const bool wasActive = current != activeSockets_.end() && current->second == id;
        if (wasActive)
            setActiveSocket(host, 0);
        std::vector<PendingRequest> aborted;
        for (auto pending = pendingRequests_.begin(); pending != pendingRequests_.end();) {
            if (pending->second.socket_ == id) {
                aborted.push_back(std::move(pending->second));
                pending = pendingRequests_.erase(pending);
            } else {
                ++pending;
            }
        }
        for (const PendingRequest& pending : aborted)
            pending.done_(makeError(ErrorCode::Unknown, "connection closed before the response arrived"));
        if (wasActive && handlers_.disconnected_)
            handlers_.disconnected_(host);
    }

    // Exponential backoff with a random delay in its upper half, so that hosts do not reconnect
    // simultaneously.
    void scheduleReconnect(DialTarget& target)
    {
        const auto backoff = std::min(
            options_.maxBackoff_, options_.minBackoff_ * (int64_t { 1 } << std::min(target.failures_, 16)));
        ++target.failures_;
        target.nextAttempt_
            = monotonicNow() + std::chrono::duration_cast<Duration>(backoff * (0.5 + 0.5 * uniform(random_)));
    }

    void setPeers(const std::vector<PeerAddress>& peers)
    {
        std::map<std::string, DialTarget> targets;
        for (const auto& peer : peers) {
            if (peer.host_ == options_.host_)
                continue;
            const auto it = dialTargets_.find(peer.host_);
            if (it != dialTargets_.end() && it->second.address_ == peer.address_)
                targets[peer.host_] = it->second;
            else
                targets[peer.host_].address_ = peer.address_;
        }
        std::vector<SocketId> obsolete;
        for (const auto& [host, target] : dialTargets_)
            if (target.socket_ != 0 && (targets.count(host) == 0 || targets[host].socket_ != target.socket_))
                obsolete.push_back(target.socket_);
        dialTargets_ = std::move(targets);
        for (const SocketId id : obsolete)
            closeConnection(id);
    }

    // Gives responders access to the State until the transport is destroyed. Used on any thread with its
    // mutex held.
    struct StateHandle {
        std::mutex mutex_;
        State* state_ = nullptr; // Null after the transport has been destroyed.
    };

    const TransportOptions options_;
    const TransportHandlers handlers_;
    Random random_;
    std::shared_ptr<StateHandle> stateHandle_ = std::make_shared<StateHandle>();
    std::map<SocketId, PeerConnection> connections_;
    std::map<std::string, DialTarget> dialTargets_;
    std::map<uint64_t, PendingRequest> pendingRequests_;
    // Active connection of each host. The loop's thread writes it with the mutex held and reads it without;
    // other threads read it with the mutex held.
    std::map<std::string, SocketId> activeSockets_;
    mutable std::mutex mutex_;
    std::atomic<uint64_t> lastRequestId_ = 0;
    std::atomic<size_t> postedBytes_ = 0; // Bytes posted to the loop and not yet processed.
    std::atomic<uint64_t> messagesIn_ = 0;
    std::atomic<uint64_t> messagesOut_ = 0;
    std::atomic<uint64_t> bytesIn_ = 0;
    std::atomic<uint64_t> bytesOut_ = 0;
    std::atomic<uint64_t> rejectedConnections_ = 0;
    std::atomic<uint64_t> malformedMessages_ = 0;
    std::atomic<uint64_t> pongTimeouts_ = 0;
    std::atomic<uint64_t> droppedMessages_ = 0;
    detail::SocketLoop loop_;
    int port_ = 0;
    std::thread thread_;
};

Transport::Transport(std::unique_ptr<State> state)
    : state_(std::move(state))
{
}

Result<std::unique_ptr<Transport>> Transport::start(TransportOptions options, TransportHandlers handlers)
{
    if (options.host_.empty() || options.secret_.empty())
        return makeError(ErrorCode::Invalid, "host name and secret must not be empty");
    auto state = std::make_unique<State>(std::move(options), std::move(handlers));
    std::string reason;
    state->port_ = state->loop_.listen(state->options_.ip_, state->options_.port_, reason);
    if (state->port_ == 0)
        return makeError(ErrorCode::Unavailable,
            "cannot listen on " + state->options_.ip_ + ":" + std::to_string(state->options_.port_) + ": "
                + reason);
    State* raw = state.get();
    raw->stateHandle_->state_ = raw;
    raw->loop_.callAfter(detail::tickInterval, [raw] { raw->tick(); });
    raw->thread_ = std::thread([raw] { raw->loop_.run(); });
    return std::unique_ptr<Transport>(new Transport(std::move(state)));
}

Transport::~Transport()
{
    {
        std::lock_guard lock(state_->stateHandle_->mutex_);
        state_->stateHandle_->state_ = nullptr;
    }
    state_->loop_.stop();
    state_->thread_.join();
    // Requests that are still queued must complete their callbacks.
    state_->loop_.runQueuedTasks();
    for (const auto& [id, pending] : state_->pendingRequests_)
        pending.done_(makeError(ErrorCode::Unknown, "transport stopped before the response arrived"));
}

int Transport::port() const { return state_->port_; }

void Transport::setPeers(std::vector<PeerAddress> peers)
{
    state_->loop_.post([state = state_.get(), peers = std::move(peers)] { state->setPeers(peers); });
}

Result<void> Transport::send(const std::string& peer, Message message)
{
    BOOST_OUTCOME_TRY(
        prepared, state_->prepareSend(peer, { .id_ = 0, .replyTo_ = 0, .message_ = std::move(message) }));
    state_->loop_.post([state = state_.get(), prepared = std::move(prepared)] {
        state->postedBytes_ -= prepared.second.size();
        if (const PeerConnection* connection = state->findConnection(prepared.first))
            state->transmit(prepared.first, *connection, prepared.second);
        else
            ++state->droppedMessages_;
    });
    return boost::outcome_v2::success();
}

void Transport::request(
    const std::string& peer, Message message, Duration timeout, std::function<void(Result<Message>)> done)
{
    const uint64_t id = ++state_->lastRequestId_;
    const TimePoint deadline = monotonicNow() + timeout;
    auto prepared = state_->prepareSend(peer, { .id_ = id, .replyTo_ = 0, .message_ = std::move(message) });
    state_->loop_.post(
        [state = state_.get(), prepared = std::move(prepared), id, deadline, done = std::move(done)] {
            if (!prepared)
                return done(prepared.error());
            const auto& [socket, payload] = prepared.value();
            state->postedBytes_ -= payload.size();
            const PeerConnection* connection = state->findConnection(socket);
            if (!connection || !state->transmit(socket, *connection, payload))
                return done(makeError(ErrorCode::Unavailable,
                    "connection closed or send queue full before the request was sent"));
            state->pendingRequests_[id] = { .socket_ = socket, .deadline_ = deadline, .done_ = done };
        });
}

std::vector<std::string> Transport::connected() const
{
    std::lock_guard lock(state_->mutex_);
    std::vector<std::string> hosts;
    for (const auto& [host, socket] : state_->activeSockets_)
        hosts.push_back(host);
    return hosts;
}

TransportCounters Transport::counters() const
{
    const State& state = *state_;
    return { .messagesIn_ = state.messagesIn_,
        .messagesOut_ = state.messagesOut_,
        .bytesIn_ = state.bytesIn_,
        .bytesOut_ = state.bytesOut_,
        .rejectedConnections_ = state.rejectedConnections_,
        .malformedMessages_ = state.malformedMessages_,
        .pongTimeouts_ = state.pongTimeouts_,
        .droppedMessages_ = state.droppedMessages_ };
}

} // namespace turmericwing::peer
