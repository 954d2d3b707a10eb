// Messages between this host and other hosts: heartbeats, failure detection, and delivery of messages to
// their handlers.
#pragma once

#include "turmericwing/base/result.h"
#include "turmericwing/control/head.h"
#include "turmericwing/control/membership.h"
#include "turmericwing/peer/transport.h"

#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace turmericwing::host {

/// Handlers of received messages and requests. Called on the transport's thread; must not block.
struct PeerHandlers {
    std::function<void(const std::string& peer, const peer::Message&)> message_;
    std::function<void(const std::string& peer, const peer::Message&, const peer::Responder&)> request_;
};

/// Identity, secret and handlers of this host.
struct PeerOptions {
    control::Member self_;
    std::string secret_; ///< Shared by all hosts; authenticates connections between them.
    PeerHandlers handlers_;
};

/// State of this host that its heartbeats report.
struct HeartbeatState {
    bool lease_ = false; ///< The read lease is valid.
    bool leaving_ = false;
    control::Head head_; ///< Newest head learned.
};

/// The other hosts of the view as this host sees them.
class Peers {
public:
    explicit Peers(PeerOptions);
    ~Peers();

    /// Errors: Unavailable when the address cannot be bound.
    Result<void> start();

    /// Connects to those members of the head that this host exchanges messages with. Does nothing before
    /// start.
    void setMembers(const control::Head&);

    /// Sends a message without waiting for a response; drops it if the host is not connected.
    void send(const std::string& host, peer::Message);

    /// Sends a message to all hosts that setMembers has selected.
    void broadcast(const peer::Message&);

    /// Sends a request. Calls `done` exactly once, on the transport's thread or on the calling thread.
    void request(const std::string& host, peer::Message, Duration timeout,
        std::function<void(Result<peer::Message>)> done);

    /// Sends heartbeats and detects failures; call on every tick. Returns the members to remove from the
    /// view.
    std::vector<std::string> tick(const HeartbeatState&, TimePoint now);

    /// Hosts with a recent heartbeat.
    std::set<std::string> heardHosts(TimePoint now) const;

    /// Hosts whose last heartbeat reported no valid lease or that they are leaving.
    std::set<std::string> unusableHosts() const;

    peer::TransportCounters counters() const;
    void stop();

private:
    void onMessage(const std::string& peer, const peer::Message&);
    void onHeartbeat(const std::string& peer, const peer::Heartbeat&);

    const PeerOptions options_;
    const control::MembershipOptions membership_;
    std::unique_ptr<peer::Transport> transport_;
    mutable std::mutex mutex_;
    control::HeartbeatTable heartbeats_;
    control::SuspicionLog suspicions_;
    std::set<std::string> withoutLease_;
    std::set<std::string> leaving_;
    std::vector<std::string> selectedPeers_; ///< Hosts that setMembers has selected.
    TimePoint nextHeartbeatAt_;
};

} // namespace turmericwing::host
