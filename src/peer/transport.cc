// Authentication, correlation, liveness and reconnection on top of the socket loop.
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

    // Bounds the delay of request deadlines, pings and reconnections.
    constexpr milliseconds tickInterval(20);
    constexpr size_t maxHandshakeBytes = 1024;

    struct Link {
        bool inbound_ = false;
        bool greeted_ = false; // The peer's hello has arrived.
        bool authenticated_ = false;
        std::string expectedHost_; // Of an outgoing connection.
        std::string host_; // As the peer states it; proved once authenticated_ is set.
        uint64_t incarnation_ = 0;
        std::string ownNonce_;
        std::string peerNonce_;
        TimePoint openedAt_;
        TimePoint lastPong_;
        TimePoint nextPing_;
    };

    struct Dial {
        std::string address_;
        SocketId socket_ = 0; // Attempt or connection in progress.
        int failures_ = 0;
        TimePoint next_;
    };

    struct Pending {
        SocketId socket_ = 0;
        TimePoint deadline_;
        std::function<void(Result<Message>)> done_;
    };

    // Size of a frame with its header; only the side that opened the connection masks its frames.
    size_t frameBytes(size_t payload, bool masked)
    {
        return payload + 2 + (payload > 65535 ? 8 : payload > 125 ? 2 : 0) + (masked ? 4 : 0);
    }

    // The proof of one side covers its direction, both names, both nonces and its incarnation, so that a
    // proof can be neither replayed nor reflected.
    std::string proof(const std::string& secret, bool byDialler, const std::string& prover,
        uint64_t incarnation, const std::string& proverNonce, const std::string& verifier,
        const std::string& verifierNonce)
    {
        const Json fields = Json::array({ "turmericwing-peer-1", byDialler ? "dialler" : "listener", prover,
            incarnation, proverNonce, verifier, verifierNonce });
        return hmacSha256Hex(secret, fields.dump(-1, ' ', true, Json::error_handler_t::replace));
    }

} // namespace detail

using detail::Dial;
using detail::Link;
using detail::Pending;

// Members without a comment are used on the loop's thread only.
struct Transport::State {
    State(TransportOptions options, TransportHandlers handlers)
        : options_(std::move(options))
        , handlers_(std::move(handlers))
        , random_(makeRandom())
        , loop_({ .opened_ = [this](SocketId id, bool inbound) { opened(id, inbound); },
              .message_ = [this](SocketId id, const std::string& payload) { received(id, payload); },
              .pong_ =
                  [this](SocketId id) {
                      if (Link* link = find(id))
                          link->lastPong_ = monotonicNow();
                  },
              .closed_ = [this](SocketId id) { ended(id); } })
    {
    }

    Link* find(SocketId id)
    {
        const auto it = links_.find(id);
        return it == links_.end() ? nullptr : &it->second;
    }

    // Handshake

    void opened(SocketId id, bool inbound)
    {
        size_t unauthenticated = 0;
        for (const auto& [other, link] : links_)
            unauthenticated += link.authenticated_ ? 0 : 1;
        if (inbound && unauthenticated >= options_.maxUnauthenticated_) {
            ++refused_;
            loop_.close(id);
            return;
        }
        Link& link = links_[id];
        link.inbound_ = inbound;
        link.ownNonce_ = randomId(random_);
        link.openedAt_ = monotonicNow();
        for (const auto& [host, dial] : dials_)
            if (dial.socket_ == id)
                link.expectedHost_ = host;
        const Json hello { { "v", protocolVersion }, { "h", options_.host_ }, { "n", options_.incarnation_ },
            { "c", link.ownNonce_ } };
        transmit(id, link, cbor(hello));
    }

    static std::string cbor(const Json& json)
    {
        std::string out;
        Json::to_cbor(json, out);
        return out;
    }

    // Handshake messages are small flat maps; anything else refuses the connection.
    void handshake(SocketId id, Link& link, const std::string& payload)
    {
        if (payload.size() > detail::maxHandshakeBytes)
            return refuse(id);
        // The size limit also bounds the parser's recursion.
        const Json json = Json::from_cbor(payload, true, false);
        if (!json.is_object())
            return refuse(id);
        const bool accepted = link.greeted_ ? verify(link, json) : greet(id, link, json);
        if (!accepted)
            return refuse(id);
        if (link.authenticated_)
            admit(id);
    }

    bool greet(SocketId id, Link& link, const Json& json)
    {
        const Json version = json.value("v", Json());
        const Json host = json.value("h", Json());
        const Json incarnation = json.value("n", Json());
        const Json nonce = json.value("c", Json());
        if (version != protocolVersion || !host.is_string() || !incarnation.is_number_unsigned()
            || !nonce.is_string() || nonce.get_ref<const std::string&>().size() != 32)
            return false;
        link.host_ = host;
        link.incarnation_ = incarnation;
        link.peerNonce_ = nonce;
        if (link.host_.empty() || link.host_ == options_.host_
            || (!link.inbound_ && link.host_ != link.expectedHost_))
            return false;
        link.greeted_ = true;
        const Json answer { { "p",
            detail::proof(options_.secret_, !link.inbound_, options_.host_, options_.incarnation_,
                link.ownNonce_, link.host_, link.peerNonce_) } };
        transmit(id, link, cbor(answer));
        return true;
    }

    bool verify(Link& link, const Json& json)
    {
        const Json given = json.value("p", Json());
        const std::string expected = detail::proof(options_.secret_, link.inbound_, link.host_,
            link.incarnation_, link.peerNonce_, options_.host_, link.ownNonce_);
        link.authenticated_
            = given.is_string() && constantTimeEqual(given.get_ref<const std::string&>(), expected);
        return link.authenticated_;
    }

    void refuse(SocketId id)
    {
        ++refused_;
        drop(id);
    }

    // Makes an authenticated connection the one in use for its host. When two hosts have dialled each other,
    // both sides keep the connection that the lesser name dialled; otherwise the newer one replaces the
    // older.
    void admit(SocketId id)
    {
        Link& link = links_.at(id);
        link.lastPong_ = monotonicNow();
        link.nextPing_ = link.lastPong_ + options_.pingInterval_;
        loop_.limitMessages(id, maxMessageBytes);
        const std::string host = link.host_;
        const uint64_t incarnation = link.incarnation_;
        const auto current = active_.find(host);
        if (current != active_.end()) {
            const Link& other = links_.at(current->second);
            if (other.incarnation_ > incarnation
                || (other.incarnation_ == incarnation && other.inbound_ != link.inbound_
                    && other.inbound_ == (host < options_.host_)))
                return drop(id);
            drop(current->second);
        }
        setActive(host, id);
        if (const auto dial = dials_.find(host); dial != dials_.end())
            dial->second.failures_ = 0;
        if (handlers_.connected_)
            handlers_.connected_(host, incarnation);
    }

    void setActive(const std::string& host, SocketId id)
    {
        std::lock_guard lock(mutex_);
        if (id != 0)
            active_[host] = id;
        else
            active_.erase(host);
    }

    // Messages

    bool transmit(SocketId id, const Link& link, const std::string& payload)
    {
        if (loop_.buffered(id) + payload.size() > options_.maxQueueBytes_ || !loop_.send(id, payload)) {
            ++dropped_;
            return false;
        }
        ++messagesOut_;
        bytesOut_ += detail::frameBytes(payload.size(), !link.inbound_);
        return true;
    }

    void received(SocketId id, const std::string& payload)
    {
        Link* link = find(id);
        if (!link)
            return;
        ++messagesIn_;
        bytesIn_ += detail::frameBytes(payload.size(), link->inbound_);
        if (!link->authenticated_)
            return handshake(id, *link, payload);
        const DecodeResult decoded = decode(payload);
        if (!decoded) {
            // An unknown type comes from a newer release and does not concern this host. A sender that waits
            // for a response gets none and times out.
            if (decoded.error().code_ == DecodeErrorCode::UnknownType)
                return;
            ++malformed_;
            return drop(id);
        }
        dispatch(id, link->host_, decoded.value());
    }

    void dispatch(SocketId id, const std::string& peer, const Envelope& envelope)
    {
        if (envelope.replyTo_ != 0) {
            const auto it = pending_.find(envelope.replyTo_);
            // A late response finds its request gone, and one from another peer is not accepted.
            if (it == pending_.end() || it->second.socket_ != id)
                return;
            const auto done = std::move(it->second.done_);
            pending_.erase(it);
            done(envelope.message_);
        } else if (envelope.id_ != 0) {
            if (handlers_.request_)
                handlers_.request_(peer, envelope.message_, responder(id, envelope.id_));
        } else if (handlers_.message_) {
            handlers_.message_(peer, envelope.message_);
        }
    }

    // Responders may outlive the transport, so they hold its gate instead of the transport.
    Responder responder(SocketId socket, uint64_t request)
    {
        return [gate = gate_, socket, request](Message message) {
            std::lock_guard lock(gate->mutex_);
            if (!gate->state_)
                return;
            State& state = *gate->state_;
            auto payload = encode({ .id_ = 0, .replyTo_ = request, .message_ = std::move(message) });
            if (!payload || !state.reserve(payload.value().size())) {
                ++state.dropped_;
                return;
            }
            state.loop_.post([&state, socket, payload = std::move(payload.value())] {
                state.handedOver_ -= payload.size();
                if (const Link* link = state.find(socket))
                    state.transmit(socket, *link, payload);
            });
        };
    }

    // Bounds the bytes posted to the loop. Called from any thread.
    bool reserve(size_t bytes)
    {
        if (handedOver_ + bytes > options_.maxQueueBytes_)
            return false;
        handedOver_ += bytes;
        return true;
    }

    // Encodes on the calling thread and finds the connection. Called from any thread.
    Result<std::pair<SocketId, std::string>> prepare(const std::string& peer, const Envelope& envelope)
    {
        SocketId socket = 0;
        {
            std::lock_guard lock(mutex_);
            const auto it = active_.find(peer);
            if (it != active_.end())
                socket = it->second;
        }
        if (socket == 0) {
            ++dropped_;
            return makeError(ErrorCode::Unavailable, "no connection to " + peer);
        }
        BOOST_OUTCOME_TRY(payload, encode(envelope));
        if (!reserve(payload.size())) {
            ++dropped_;
            return makeError(ErrorCode::Unavailable, "send queue is full");
        }
        return std::pair(socket, std::move(payload));
    }

    // Liveness and reconnection

    void tick()
    {
        const TimePoint now = monotonicNow();
        std::vector<SocketId> silent;
        std::vector<SocketId> late;
        for (auto& [id, link] : links_) {
            if (!link.authenticated_) {
                if (now - link.openedAt_ > options_.handshakeTimeout_)
                    late.push_back(id);
            } else if (now - link.lastPong_ > options_.silenceLimit_) {
                silent.push_back(id);
            } else if (now >= link.nextPing_) {
                loop_.ping(id);
                link.nextPing_ = now + options_.pingInterval_;
            }
        }
        for (const SocketId id : late)
            refuse(id);
        for (const SocketId id : silent) {
            ++silent_;
            drop(id);
        }
        expire(now);
        for (auto& [host, dial] : dials_) {
            if (dial.socket_ == 0 && active_.count(host) == 0 && now >= dial.next_) {
                dial.socket_ = loop_.connect(dial.address_);
                if (dial.socket_ == 0)
                    retryLater(dial);
            }
        }
        loop_.after(detail::tickInterval, [this] { tick(); });
    }

    void expire(TimePoint now)
    {
        std::vector<Pending> expired;
        for (auto it = pending_.begin(); it != pending_.end();) {
            if (it->second.deadline_ <= now) {
                expired.push_back(std::move(it->second));
                it = pending_.erase(it);
            } else {
                ++it;
            }
        }
        for (const Pending& pending : expired)
            pending.done_(makeError(ErrorCode::Unknown, "no response within the timeout"));
    }

    // Closes a connection that reports no further events.
    void drop(SocketId id)
    {
        loop_.close(id);
        ended(id);
    }

    void ended(SocketId id)
    {
        for (auto& [host, dial] : dials_) {
            if (dial.socket_ == id) {
                dial.socket_ = 0;
                retryLater(dial);
            }
        }
        const auto it = links_.find(id);
        if (it == links_.end())
            return;
        const std::string host = it->second.host_;
        links_.erase(it);
        const auto current = active_.find(host);
        const bool wasActive = current != active_.end() && current->second == id;
        if (wasActive)
            setActive(host, 0);
        std::vector<Pending> lost;
        for (auto pending = pending_.begin(); pending != pending_.end();) {
            if (pending->second.socket_ == id) {
                lost.push_back(std::move(pending->second));
                pending = pending_.erase(pending);
            } else {
                ++pending;
            }
        }
        for (const Pending& pending : lost)
            pending.done_(makeError(ErrorCode::Unknown, "connection ended before the response"));
        if (wasActive && handlers_.disconnected_)
            handlers_.disconnected_(host);
    }

    // Full jitter over the upper half of the backoff, so that hosts do not reconnect in step.
    void retryLater(Dial& dial)
    {
        const auto backoff = std::min(
            options_.maxBackoff_, options_.minBackoff_ * (int64_t { 1 } << std::min(dial.failures_, 16)));
        ++dial.failures_;
        dial.next_
            = monotonicNow() + std::chrono::duration_cast<Duration>(backoff * (0.5 + 0.5 * uniform(random_)));
    }

    void setPeers(const std::vector<PeerAddress>& peers)
    {
        std::map<std::string, Dial> dials;
        for (const auto& peer : peers) {
            if (peer.host_ == options_.host_)
                continue;
            const auto it = dials_.find(peer.host_);
            if (it != dials_.end() && it->second.address_ == peer.address_)
                dials[peer.host_] = it->second;
            else
                dials[peer.host_].address_ = peer.address_;
        }
        std::vector<SocketId> obsolete;
        for (const auto& [host, dial] : dials_)
            if (dial.socket_ != 0 && (dials.count(host) == 0 || dials[host].socket_ != dial.socket_))
                obsolete.push_back(dial.socket_);
        dials_ = std::move(dials);
        for (const SocketId id : obsolete)
            drop(id);
    }

    struct Gate {
        std::mutex mutex_;
        State* state_ = nullptr;
    };

    const TransportOptions options_;
    const TransportHandlers handlers_;
    Random random_;
    std::shared_ptr<Gate> gate_ = std::make_shared<Gate>();
    std::map<SocketId, Link> links_;
    std::map<std::string, Dial> dials_;
    std::map<uint64_t, Pending> pending_;
    // Written on the loop's thread with the mutex held; other threads read it with the mutex held.
    std::map<std::string, SocketId> active_;
    mutable std::mutex mutex_;
    std::atomic<uint64_t> lastRequest_ = 0;
    std::atomic<size_t> handedOver_ = 0;
    std::atomic<uint64_t> messagesIn_ = 0;
    std::atomic<uint64_t> messagesOut_ = 0;
    std::atomic<uint64_t> bytesIn_ = 0;
    std::atomic<uint64_t> bytesOut_ = 0;
    std::atomic<uint64_t> refused_ = 0;
    std::atomic<uint64_t> malformed_ = 0;
    std::atomic<uint64_t> silent_ = 0;
    std::atomic<uint64_t> dropped_ = 0;
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
    raw->gate_->state_ = raw;
    raw->loop_.after(detail::tickInterval, [raw] { raw->tick(); });
    raw->thread_ = std::thread([raw] { raw->loop_.run(); });
    return std::unique_ptr<Transport>(new Transport(std::move(state)));
}

Transport::~Transport()
{
    {
        std::lock_guard lock(state_->gate_->mutex_);
        state_->gate_->state_ = nullptr;
    }
    state_->loop_.stop();
    state_->thread_.join();
    // Requests that were handed over last still owe their callbacks.
    state_->loop_.drain();
    for (const auto& [id, pending] : state_->pending_)
        pending.done_(makeError(ErrorCode::Unknown, "transport stopped"));
}

int Transport::port() const { return state_->port_; }

void Transport::setPeers(std::vector<PeerAddress> peers)
{
    state_->loop_.post([state = state_.get(), peers = std::move(peers)] { state->setPeers(peers); });
}

Result<void> Transport::send(const std::string& peer, Message message)
{
    BOOST_OUTCOME_TRY(
        prepared, state_->prepare(peer, { .id_ = 0, .replyTo_ = 0, .message_ = std::move(message) }));
    state_->loop_.post([state = state_.get(), prepared = std::move(prepared)] {
        state->handedOver_ -= prepared.second.size();
        if (const Link* link = state->find(prepared.first))
            state->transmit(prepared.first, *link, prepared.second);
        else
            ++state->dropped_;
    });
    return boost::outcome_v2::success();
}

void Transport::request(
    const std::string& peer, Message message, Duration timeout, std::function<void(Result<Message>)> done)
{
    const uint64_t id = ++state_->lastRequest_;
    const TimePoint deadline = monotonicNow() + timeout;
    auto prepared = state_->prepare(peer, { .id_ = id, .replyTo_ = 0, .message_ = std::move(message) });
    state_->loop_.post(
        [state = state_.get(), prepared = std::move(prepared), id, deadline, done = std::move(done)] {
            if (!prepared)
                return done(prepared.error());
            const auto& [socket, payload] = prepared.value();
            state->handedOver_ -= payload.size();
            const Link* link = state->find(socket);
            if (!link || !state->transmit(socket, *link, payload))
                return done(makeError(ErrorCode::Unavailable, "connection ended or send queue is full"));
            state->pending_[id] = { .socket_ = socket, .deadline_ = deadline, .done_ = done };
        });
}

std::vector<std::string> Transport::connected() const
{
    std::lock_guard lock(state_->mutex_);
    std::vector<std::string> hosts;
    for (const auto& [host, socket] : state_->active_)
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
        .refused_ = state.refused_,
        .malformed_ = state.malformed_,
        .silent_ = state.silent_,
        .dropped_ = state.dropped_ };
}

} // namespace turmericwing::peer
