// Messages between this host and the others: heartbeats, and delivery to the parts that they concern.
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

/// Called on the transport's thread; must not block.
struct PeerHandlers {
    std::function<void(const std::string& peer, const peer::Message&)> message_;
    std::function<void(const std::string& peer, const peer::Message&, const peer::Responder&)> request_;
};

struct PeerOptions {
    control::Member self_;
    std::string secret_;
    PeerHandlers handlers_;
};

/// What this host says of itself in heartbeats.
struct OwnState {
    bool lease_ = false;
    bool leaving_ = false;
    control::Head head_;
};

class Peers {
public:
    explicit Peers(PeerOptions);
    ~Peers();

    /// Errors: Unavailable when the address cannot be bound.
    Result<void> start();

    /// Connects to the members of a head that this host needs.
    void setMembers(const control::Head&);

    /// Sends without a response; a host that is not connected is ignored.
    void send(const std::string& host, peer::Message);
    void broadcast(const peer::Message&);

    /// Calls `done` exactly once, on the transport's thread or on this one.
    void request(const std::string& host, peer::Message, Duration timeout,
        std::function<void(Result<peer::Message>)> done);

    /// Heartbeats and failure detection; call on every tick. Returns the members to remove from the view.
    std::vector<std::string> tick(const OwnState&, TimePoint now);

    /// Hosts with a recent heartbeat, and those of them that report no valid lease or that they are leaving.
    std::set<std::string> heard(TimePoint now) const;
    std::set<std::string> unusable() const;

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
    std::vector<std::string> peers_; ///< Hosts that setMembers named.
    TimePoint nextHeartbeat_;
};

} // namespace turmericwing::host
