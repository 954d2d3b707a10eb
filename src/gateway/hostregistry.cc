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
            if (const auto host = decodeHostRow(row.value_))
                registerPeer(state_.fleet_, now, row.key_, host.value().peerAddress_, host.value().location_);
            else
                logEvent(LogLevel::Warning, "host-unreadable",
                    { { "key", row.key_ }, { "reason", host.error().message_ } });
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

void HostRegistry::removeExpiredPeers(TimePoint now)
{
    Transaction removal;
    for (const std::string& name : expiredPeers(state_.fleet_, now)) {
        logEvent(LogLevel::Info, "peer-forgotten", { { "peer", name } });
        unregisterPeer(state_.fleet_, now, name);
        removal.removals_.push_back({ hostsTable, name });
    }
    if (removal.removals_.empty() || !state_.reachesStore_ || !isDesignatedWriter(state_.fleet_, now))
        return;
    store_.transact_(removal, [](const Result<TableRead>& answer) {
        if (!answer)
            logEvent(LogLevel::Warning, "host-removal-failed", { { "reason", answer.error().message_ } });
    });
}

} // namespace turmericwing::gateway::detail
