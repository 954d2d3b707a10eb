// Heartbeats, failure detection and message delivery over the peer transport.
#include "turmericwing/host/peers.h"

#include "turmericwing/host/log.h"

#include <algorithm>

namespace turmericwing::host {

namespace detail {

    constexpr auto heartbeatInterval = std::chrono::milliseconds(500);

    /// Members of the head that this host connects to.
    std::vector<std::string> hostsToConnect(
        const control::Head& head, const control::MembershipOptions& options, const std::string& self)
    {
        if (head.members_.size() > options.fullMeshLimit_)
            return control::peersOf(head, options, self);
        // A small fleet is a full mesh, so that token owners and slot lenders are reached directly.
        std::vector<std::string> hosts;
        for (const control::Member& member : head.members_) {
            if (member.host_ != self)
                hosts.push_back(member.host_);
        }
        return hosts;
    }

} // namespace detail

Peers::Peers(PeerOptions options)
    : options_(std::move(options))
{
}

Peers::~Peers() { stop(); }

Result<void> Peers::start()
{
    const std::string& address = options_.self_.peerAddress_;
    const size_t colon = address.rfind(':');
    peer::TransportOptions transport { .host_ = options_.self_.host_,
        .incarnation_ = options_.self_.incarnation_,
        .ip_ = address.substr(0, colon),
        .port_ = std::stoi(address.substr(colon + 1)),
        .secret_ = options_.secret_ };
    peer::TransportHandlers handlers;
    handlers.message_
        = [this](const std::string& from, const peer::Message& message) { onMessage(from, message); };
    handlers.request_ = options_.handlers_.request_;
    handlers.connected_ = [](const std::string& peer, uint64_t incarnation) {
        logEvent(LogLevel::Info, "peer-connected",
            { { "peer", peer }, { "incarnation", std::to_string(incarnation) } });
    };
    handlers.disconnected_ = [](const std::string& peer) {
        logEvent(LogLevel::Info, "peer-disconnected", { { "peer", peer } });
    };
    BOOST_OUTCOME_TRY(started, peer::Transport::start(std::move(transport), std::move(handlers)));
    heartbeats_.observingSince_ = monotonicNow();
    heartbeats_.lastTick_ = heartbeats_.observingSince_;
    transport_ = std::move(started);
    return boost::outcome_v2::success();
}

void Peers::setMembers(const control::Head& head)
{
    if (!transport_)
        return;
    const auto wanted = detail::hostsToConnect(head, membership_, options_.self_.host_);
    std::vector<peer::PeerAddress> addresses;
    for (const control::Member& member : head.members_) {
        if (std::find(wanted.begin(), wanted.end(), member.host_) != wanted.end())
            addresses.push_back({ member.host_, member.peerAddress_ });
    }
    {
        std::lock_guard lock(mutex_);
        selectedPeers_ = wanted;
    }
    transport_->setPeers(std::move(addresses));
}

void Peers::send(const std::string& host, peer::Message message)
{
    if (transport_ && !transport_->send(host, std::move(message)))
        logEvent(LogLevel::Debug, "peer-message-dropped", { { "peer", host } });
}

void Peers::broadcast(const peer::Message& message)
{
    std::vector<std::string> hosts;
    {
        std::lock_guard lock(mutex_);
        hosts = selectedPeers_;
    }
    for (const std::string& host : hosts)
        send(host, message);
}

void Peers::request(const std::string& host, peer::Message message, Duration timeout,
    std::function<void(Result<peer::Message>)> done)
{
    if (transport_)
        transport_->request(host, std::move(message), timeout, std::move(done));
    else
        done(makeError(ErrorCode::Unavailable, "the transport has not started"));
}

void Peers::onMessage(const std::string& peer, const peer::Message& message)
{
    if (const auto* heartbeat = std::get_if<peer::Heartbeat>(&message))
        onHeartbeat(peer, *heartbeat);
    options_.handlers_.message_(peer, message);
}

void Peers::onHeartbeat(const std::string& peer, const peer::Heartbeat& heartbeat)
{
    std::lock_guard lock(mutex_);
    const TimePoint now = monotonicNow();
    const auto outcome = control::recordHeartbeat(
        heartbeats_, membership_, peer, heartbeat.incarnation_, heartbeat.address_, now);
    if (outcome == control::HeartbeatOutcome::DuplicateName)
        logEvent(LogLevel::Error, "duplicate-host-name", { { "peer", peer } });
    if (outcome == control::HeartbeatOutcome::DuplicateAddress)
        logEvent(LogLevel::Error, "duplicate-peer-address",
            { { "peer", peer }, { "address", heartbeat.address_ } });
    const auto update = [&](std::set<std::string>& hosts, bool contained) {
        if (contained)
            hosts.insert(peer);
        else
            hosts.erase(peer);
    };
    update(withoutLease_, !heartbeat.lease_);
    update(leaving_, heartbeat.leaving_);
    if (!heartbeat.summary_.relay_.empty())
        suspicions_[peer] = { now, heartbeat.summary_ };
}

std::vector<std::string> Peers::tick(const HeartbeatState& own, TimePoint now)
{
    peer::Heartbeat heartbeat { options_.self_.incarnation_, options_.self_.peerAddress_, own.lease_,
        own.leaving_, own.head_.version_, {} };
    std::vector<std::string> failed;
    bool due = false;
    {
        std::lock_guard lock(mutex_);
        control::recordTick(heartbeats_, membership_, now);
        const std::string& self = options_.self_.host_;
        heartbeat.summary_ = control::summariseSuspicions(heartbeats_, membership_, own.head_, self, now);
        suspicions_[self] = { now, heartbeat.summary_ };
        failed = control::membersToRemove(suspicions_, membership_, own.head_, now);
        due = now >= nextHeartbeatAt_;
        if (due)
            nextHeartbeatAt_ = now + detail::heartbeatInterval;
    }
    // Observers only need each other's suspicions; a summary without any would add half to the heartbeat's
    // size.
    if (heartbeat.summary_.suspicions_.empty())
        heartbeat.summary_ = {};
    if (due)
        broadcast(heartbeat);
    return failed;
}

std::set<std::string> Peers::heardHosts(TimePoint now) const
{
    std::lock_guard lock(mutex_);
    std::set<std::string> hosts;
    for (const auto& [host, record] : heartbeats_.records_) {
        if (now - record.lastHeard_ < membership_.suspectAfter_)
            hosts.insert(host);
    }
    return hosts;
}

std::set<std::string> Peers::unusableHosts() const
{
    std::lock_guard lock(mutex_);
    std::set<std::string> hosts = withoutLease_;
    hosts.insert(leaving_.begin(), leaving_.end());
    return hosts;
}

peer::TransportCounters Peers::counters() const
{
    return transport_ ? transport_->counters() : peer::TransportCounters {};
}

void Peers::stop() { transport_.reset(); }

} // namespace turmericwing::host
