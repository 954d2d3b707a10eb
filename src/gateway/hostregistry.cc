// Registration of this host in the store's list of hosts.
#include "hostregistry.h"

#include "turmericwing/host/log.h"

namespace turmericwing::gateway::detail {

using host::logEvent;
using host::LogLevel;

namespace {

    constexpr const char* hostsTable = "hosts"; ///< Rows: name to address, region and failure domain.
    /// Time per host over which the hosts spread their writes after a restore of the store.
    constexpr Duration restoreInterval = std::chrono::milliseconds(10);
    /// Time between registrations of a host that may be cut off.
    constexpr Duration rejoinInterval = std::chrono::seconds(10);
    /// Time for which a host that was forgotten counts as a member again unless it is heard. Meanwhile this
    /// host admits less, as the other one may be alive.
    constexpr Duration trialTime = std::chrono::seconds(2);
    constexpr Duration retryDelay = std::chrono::milliseconds(500); ///< After a failed write or read.

} // namespace

HostRegistry::HostRegistry(
    boost::asio::io_context& loop, State& state, TableStore& store, std::function<void()> onRead)
    : state_(state)
    , store_(store)
    , onRead_(std::move(onRead))
    , retryTimer_(loop)
{
}

void HostRegistry::writeRow(const std::function<void()>& onWritten)
{
    const StoredRow row { .table_ = hostsTable,
        .key_ = state_.settings_.name_,
        .value_ = encodeHostRow({ state_.settings_.peerAddress_,
            { state_.settings_.region_, state_.settings_.failureDomain_ } }) };
    store_.transact_({ .writes_ = { row } }, [this, onWritten](const Result<TableRead>& answer) {
        if (!answer)
            return retry(answer.error());
        onWritten();
    });
}

void HostRegistry::registerHost()
{
    writeRow([this] { read(); });
}

void HostRegistry::restoreRow()
{
    const auto hosts = static_cast<double>(state_.fleet_.peers_.size() + 1);
    const double share = uniform(state_.random_);
    retryTimer_.expires_after(std::chrono::duration_cast<Duration>(restoreInterval * (hosts * share)));
    retryTimer_.async_wait([this](boost::system::error_code cancelled) {
        if (cancelled || isDraining(state_))
            return;
        writeRow([this] {
            if (!listRead_ || isDesignatedWriter(state_.fleet_, monotonicNow()))
                read();
        });
    });
}

void HostRegistry::read()
{
    store_.read_(hostsTable, [this](const Result<TableRead>& answer) {
        if (!answer)
            return retry(answer.error());
        listRead_ = true;
        const TimePoint now = monotonicNow();
        for (const StoredRow& row : answer.value().rows_) {
            const auto host = decodeHostRow(row.value_);
            if (!host) {
                logEvent(LogLevel::Warning, "host-unreadable",
                    { { "key", row.key_ }, { "reason", host.error().message_ } });
                continue;
            }
            const bool isKnown = state_.fleet_.peers_.contains(row.key_);
            registerPeer(state_.fleet_, now, row.key_, host.value().peerAddress_, host.value().location_);
            const auto peer = state_.fleet_.peers_.find(row.key_);
            if (rejoinAt_ && !isKnown && peer != state_.fleet_.peers_.end())
                peer->second.registeredAt_ = now + trialTime - state_.fleet_.options_.removalDelay_;
        }
        logEvent(LogLevel::Info, "registered", { { "peers", std::to_string(state_.fleet_.peers_.size()) } });
        onRead_();
    });
}

void HostRegistry::retry(const Error& error)
{
    logEvent(LogLevel::Warning, "registration-failed", { { "reason", error.message_ } });
    if (isDraining(state_))
        return;
    retryTimer_.expires_after(retryDelay);
    retryTimer_.async_wait([this](boost::system::error_code cancelled) {
        if (!cancelled)
            registerHost();
    });
}

void HostRegistry::deregisterHost()
{
    store_.transact_(
        { .removals_ = { { hostsTable, state_.settings_.name_ } } }, [](const Result<TableRead>& answer) {
            if (!answer)
                logEvent(
                    LogLevel::Warning, "deregistration-failed", { { "reason", answer.error().message_ } });
        });
}

bool HostRegistry::hearsMostPeers(TimePoint now) const
{
    return 2 * deadPeerCount(state_.fleet_, now) <= state_.fleet_.peers_.size();
}

void HostRegistry::removeExpiredPeers(TimePoint now)
{
    if (now < state_.attentiveSince_ + state_.fleet_.options_.reportLifetime_)
        return;
    if (rejoinAt_ && now >= *rejoinAt_ && !isDraining(state_)) {
        rejoinAt_ = now + rejoinInterval;
        registerHost();
    }
    const bool hearsMost = hearsMostPeers(now);
    const bool hearsAny = !activeReports(state_.fleet_, now).empty();
    if (hearsMost && hearsAny)
        rejoinAt_.reset();
    Transaction removal;
    for (const std::string& name : expiredPeers(state_.fleet_, now)) {
        logEvent(LogLevel::Info, "peer-forgotten", { { "peer", name } });
        unregisterPeer(state_.fleet_, now, name);
        removal.removals_.push_back({ hostsTable, name });
    }
    if (removal.removals_.empty())
        return;
    if (!hearsMost) {
        if (!rejoinAt_)
            rejoinAt_ = now + rejoinInterval;
        return;
    }
    if (!state_.reachesStore_ || !isDesignatedWriter(state_.fleet_, now))
        return;
    store_.transact_(removal, [](const Result<TableRead>& answer) {
        if (!answer)
            logEvent(LogLevel::Warning, "host-removal-failed", { { "reason", answer.error().message_ } });
    });
}

} // namespace turmericwing::gateway::detail
