// The gateway process: startup, periodic tasks, drain and reload.
#include "turmericwing/gateway/gateway.h"

#include "hostregistry.h"
#include "reporter.h"
#include "rolloutwriter.h"
#include "statelog.h"

#include "turmericwing/gateway/connectionlimits.h"
#include "turmericwing/gateway/dispatcher.h"
#include "turmericwing/gateway/listener.h"
#include "turmericwing/gateway/lookupchoice.h"
#include "turmericwing/gateway/orders.h"
#include "turmericwing/gateway/relay.h"
#include "turmericwing/gateway/state.h"
#include "turmericwing/gateway/upstreams.h"
#include "turmericwing/gateway/watch.h"
#include "turmericwing/host/log.h"
#include "turmericwing/host/metrics.h"
#include "turmericwing/host/problem.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <filesystem>
#include <limits>

namespace turmericwing::gateway {

using host::logEvent;
using host::LogLevel;

namespace detail {

    constexpr Duration tickInterval = reportInterval; ///< Beliefs about peers change with their reports.
    constexpr Duration housekeepingInterval = std::chrono::seconds(1);
    /// Limit of the TTL of lookup answers, besides the configured one.
    constexpr Duration maxLookupLifetime = std::chrono::seconds(3);
    constexpr const char* explainTarget = "/explain"; ///< On the metrics port, with a query.

    constexpr uint64_t maxAuxiliaryBodyBytes = 65536;

    uint64_t memoryBytes(const Settings& settings)
    {
        return static_cast<uint64_t>(settings.memoryMb_ * 1'048'576);
    }

    ConnectionLimits connectionLimits(const Settings& settings)
    {
        uint64_t descriptors = systemDescriptorLimit();
        if (settings.maxDescriptors_ > 0)
            descriptors = std::min(descriptors, static_cast<uint64_t>(settings.maxDescriptors_));
        return gateway::connectionLimits(descriptors, memoryBytes(settings));
    }

    /// Limits of the listeners that callers send no bodies to.
    CallerLimits auxiliaryLimits()
    {
        CallerLimits limits;
        limits.bodyBytes_ = maxAuxiliaryBodyBytes;
        return limits;
    }

    /// A third crash is needed, as kept connections break for many causes, and at least two moments.
    constexpr routing::QuarantineOptions quarantineOptions {
        .ttlMs_ = 60'000, .maxReports_ = 300, .minUpstreams_ = 3, .minSpanMs_ = 500
    };

    /// Time in which the host's link can send what a relay has passed to its followers' connections.
    constexpr double relaySendSeconds = 0.5;

    RelayOptions relayOptions(const Settings& settings)
    {
        const double bytesPerSecond = settings.linkMbps_ * 1e6 / 8;
        return { .maxOutgoingBytes_ = static_cast<uint64_t>(bytesPerSecond * relaySendSeconds) };
    }

    std::filesystem::file_time_type modificationTime(const std::string& path)
    {
        std::error_code error;
        const auto time = std::filesystem::last_write_time(path, error);
        return error ? std::filesystem::file_time_type() : time;
    }

    Response plainResponse(unsigned status, std::string body = {}, const char* type = "text/plain")
    {
        return { .status_ = status, .headers_ = { { "Content-Type", type } }, .body_ = std::move(body) };
    }

} // namespace detail

struct Gateway::Core : std::enable_shared_from_this<Core> {
    Core(boost::asio::io_context& loop, GatewayOptions options)
        : loop_(loop)
        , settingsPath_(std::move(options.settingsPath_))
        , store_(std::move(options.store_))
        , state_(makeState(options))
        , relayOptions_(detail::relayOptions(state_.settings_))
        , connectionLimits_(detail::connectionLimits(state_.settings_))
        , requestMemory_(makeRequestMemory(detail::memoryBytes(state_.settings_)))
        , upstreamClient_(
              loop, { .maxHeldAnswerBytes_ = requestMemory_->answers_->limit_, .memory_ = requestMemory_ })
        , dispatcher_(loop, state_, upstreamClient_, metrics_, dispatchOptions_)
        , reporter_(loop, state_, [this](const HostReport& report) { onPeerReport(report); })
        , relayedStore_(makeRelayedStore(loop, store_, relayOptions_, [this] { return relayChoice_; }))
        , relayServer_(relayOptions_, [this] { return isRelayFresh(); })
        , rolloutWriter_(state_, store_)
        , hostRegistry_(loop, state_, store_, [this] { reporter_.sendAtOnce(monotonicNow()); })
        , tickTimer_(loop)
        , housekeepingTimer_(loop)
        , stopTimer_(loop)
        , settingsModifiedAt_(detail::modificationTime(settingsPath_))
    {
    }

    static State makeState(GatewayOptions& options);

    boost::asio::io_context& loop_;
    const std::string settingsPath_;
    TableStore store_;
    State state_;
    const RelayOptions relayOptions_;
    const ConnectionLimits connectionLimits_;
    const std::shared_ptr<RequestMemory> requestMemory_;
    host::Metrics metrics_;
    UpstreamClient upstreamClient_;
    const DispatchOptions dispatchOptions_ {};
    Dispatcher dispatcher_;
    detail::Reporter reporter_;
    RelayChoice relayChoice_;
    TableStore relayedStore_; ///< Reads followed tables through a relay if there is one.
    RelayServer relayServer_;
    detail::RolloutWriter rolloutWriter_;
    detail::HostRegistry hostRegistry_;
    detail::StateLog stateLog_;
    std::unique_ptr<Listener> callerListener_;
    std::vector<std::unique_ptr<Listener>> auxiliaryListeners_; ///< Readiness, lookups, metrics, relay.
    std::vector<std::unique_ptr<TableWatch>> watches_;
    boost::asio::steady_timer tickTimer_;
    boost::asio::steady_timer housekeepingTimer_;
    boost::asio::steady_timer stopTimer_;
    std::filesystem::file_time_type settingsModifiedAt_;
    bool accepting_ = true;
    std::set<std::string> lostTables_;
    UnconfirmedOrders unconfirmedOrders_;
    uint64_t ordersEra_ = 0; ///< Era of the store of the last answer for the orders.
    uint64_t upstreamsEra_ = 0; ///< Era of the store of the last answer for the upstreams.

    Result<void> start();
    bool mayOverlap(const Request&) const;
    CallerLimits callerLimits() const;
    Result<void> listen(const Address&, size_t maxConnections, RequestHandler);
    void follow(const std::string& table, const std::function<void(const TableRead&, bool isFullRead)>&);
    void onStoreAnswer(const TableRead&);
    void onStoreEra(uint64_t era);
    void updateRelay(TimePoint now);
    bool isRelayFresh() const;
    void onStoreContact(const std::string& table, bool reached, const std::string& reason);
    void onOrders(const TableRead&, bool isFullRead);
    void onOrder(const StoredRow&);
    void onConfiguration(Configuration);
    void onRollout(const OrderChange&, uint64_t rowVersion);
    void onUpstreams(const TableRead&, bool isFullRead);
    void onUpstream(TimePoint now, const StoredRow&);
    void onPeerReport(const HostReport&);
    void onTick();
    void onHousekeeping();
    void scheduleTick();
    void scheduleHousekeeping();
    void onLookup(const Request&, const std::shared_ptr<Exchange>&);
    void onOperatorRequest(const Request&, const std::shared_ptr<Exchange>&);
    void drain();
    void checkDrained(TimePoint now);
    void scheduleStopPhase(TimePoint now);
    void reload();
};

State Gateway::Core::makeState(GatewayOptions& options)
{
    State state;
    state.settings_ = std::move(options.settings_);
    state.protocol_ = std::move(options.protocol_);
    state.directory_.regionOf_ = state.settings_.regionOf_;
    state.fleet_.self_ = state.settings_.name_;
    state.fleet_.failureDomain_ = state.settings_.failureDomain_;
    state.quarantine_.options_ = detail::quarantineOptions;
    state.rollouts_.observedSinceMs_ = std::numeric_limits<int64_t>::max();
    state.incarnation_ = state.random_();
    return state;
}

Result<void> Gateway::Core::listen(const Address& address, size_t maxConnections, RequestHandler handler)
{
    auxiliaryListeners_.push_back(std::make_unique<Listener>(loop_,
        ListenerOptions { .address_ = address,
            .limits_ = detail::auxiliaryLimits,
            .handler_ = std::move(handler),
            .memory_ = requestMemory_,
            .maxConnections_ = maxConnections,
            .windowBytes_ = auxiliaryWindowBytes,
            .queueLength_ = listenQueueLength(detail::memoryBytes(state_.settings_)) }));
    return auxiliaryListeners_.back()->start();
}

/// A request that changes something must not run beside others of its caller, who may rely on their order.
bool Gateway::Core::mayOverlap(const Request& request) const
{
    if (!state_.catalog_ || (request.method_ != "GET" && request.method_ != "HEAD"))
        return false;
    const Route* route = state_.catalog_->findRoute(headerValue(request.headers_, "Host"), request.target_);
    return route && route->kind_ == RequestKind::Idempotent;
}

CallerLimits Gateway::Core::callerLimits() const
{
    return state_.catalog_ ? state_.catalog_->configuration().limits_ : CallerLimits();
}

Result<void> Gateway::Core::start()
{
    const Settings& settings = state_.settings_;
    callerListener_ = std::make_unique<Listener>(loop_,
        ListenerOptions { .address_ = settings.callerAddress_,
            .limits_ = [this] { return callerLimits(); },
            .handler_ =
                [this](Request&& request, const std::shared_ptr<Exchange>& exchange) {
                    dispatcher_.handle(std::move(request), exchange);
                },
            .mayOverlap_ = [this](const Request& request) { return mayOverlap(request); },
            .memory_ = requestMemory_,
            .maxConnections_ = connectionLimits_.callers_,
            .queueLength_ = listenQueueLength(detail::memoryBytes(settings)) });
    BOOST_OUTCOME_TRY(callerListener_->start());
    BOOST_OUTCOME_TRY(listen(settings.readinessAddress_, connectionLimits_.operators_,
        [this](Request&& request, const auto& exchange) {
            const bool known = request.target_ == state_.protocol_.readinessTarget_;
            exchange->respond(detail::plainResponse(!known ? 404 : isReady(state_) ? 200 : 503));
        }));
    BOOST_OUTCOME_TRY(listen(settings.lookupAddress_, connectionLimits_.lookups_,
        [this](Request&& request, const auto& exchange) { onLookup(request, exchange); }));
    BOOST_OUTCOME_TRY(listen(settings.metricsAddress_, connectionLimits_.operators_,
        [this](Request&& request, const auto& exchange) { onOperatorRequest(request, exchange); }));
    BOOST_OUTCOME_TRY(listen(settings.peerAddress_, std::numeric_limits<size_t>::max(),
        [this](Request&& request, const auto& exchange) { relayServer_.handle(request, exchange); }));
    BOOST_OUTCOME_TRY(reporter_.open(settings.peerAddress_));
    follow(state_.protocol_.ordersTable_,
        [this](const TableRead& read, bool isFullRead) { onOrders(read, isFullRead); });
    follow(state_.protocol_.upstreamsTable_,
        [this](const TableRead& read, bool isFullRead) { onUpstreams(read, isFullRead); });
    hostRegistry_.registerHost();
    rolloutWriter_.readRollouts();
    scheduleTick();
    scheduleHousekeeping();
    logEvent(LogLevel::Info, "start",
        { { "callers", addressText(settings.callerAddress_) },
            { "store", addressText(settings.storeAddress_) }, { "region", settings.region_ },
            { "failure-domain", settings.failureDomain_ } });
    return boost::outcome_v2::success();
}

void Gateway::Core::follow(
    const std::string& table, const std::function<void(const TableRead&, bool isFullRead)>& handler)
{
    WatchHandlers handlers { .onReplaced_ =
                                 [this, table, handler](const TableRead& read) {
                                     onStoreAnswer(read);
                                     relayServer_.onReplaced(table, read);
                                     handler(read, true);
                                 },
        .onChanged_ =
            [this, table, handler](const TableRead& read) {
                onStoreAnswer(read);
                relayServer_.onChanged(table, read);
                handler(read, false);
            },
        .onLost_ = [this, table](const Error& error) { onStoreContact(table, false, error.message_); },
        .onRegained_ = [this, table] { onStoreContact(table, true, {}); } };
    watches_.push_back(std::make_unique<TableWatch>(
        loop_, relayedStore_, WatchOptions { .table_ = table }, std::move(handlers)));
    watches_.back()->start();
}

void Gateway::Core::onStoreAnswer(const TableRead& read)
{
    state_.reachesStore_ = lostTables_.empty();
    onStoreEra(read.era_);
    storeAnswered(state_, monotonicNow());
    if (read.storeMs_ == 0)
        return;
    if (state_.storeReadAt_ == TimePoint())
        state_.rollouts_.observedSinceMs_ = read.storeMs_;
    state_.storeMs_ = read.storeMs_;
    state_.storeReadAt_ = monotonicNow();
}

/// Detects that the store was restored from an older copy: what was written there since the copy is gone
/// until it is written again.
void Gateway::Core::onStoreEra(uint64_t era)
{
    const uint64_t known = std::exchange(state_.storeEra_, era);
    if (known == era || known == 0)
        return;
    logEvent(LogLevel::Warning, "store-restored",
        { { "old", std::to_string(known) }, { "new", std::to_string(era) } });
    hostRegistry_.restoreRow();
    rolloutWriter_.onStoreRestored(monotonicNow());
}

/// Chooses the relay again as hosts come and go; on a change, aborts the calls to the previous one.
void Gateway::Core::updateRelay(TimePoint now)
{
    relayServer_.expirePending(now);
    const bool usable = state_.reachesStore_ && !isDraining(state_);
    const RelayChoice choice
        = chooseRelay(relayOptions_, state_.fleet_, now, state_.settings_.region_, usable);
    if (choice == relayChoice_)
        return;
    const std::string relay = choice.relay_ ? addressText(*choice.relay_) : std::string();
    logEvent(LogLevel::Info, "relay", { { "relay", relay }, { "self", choice.isRelay_ ? "yes" : "no" } });
    relayChoice_ = choice;
    relayedStore_.reset_();
}

bool Gateway::Core::isRelayFresh() const
{
    return relayChoice_.isRelay_ && state_.reachesStore_
        && monotonicNow() - state_.storeAnsweredAt_ <= relayOptions_.maxStoreAge_;
}

void Gateway::Core::onStoreContact(const std::string& table, bool reached, const std::string& reason)
{
    if (reached)
        lostTables_.erase(table);
    else
        lostTables_.insert(table);
    state_.reachesStore_ = lostTables_.empty();
    logEvent(reached ? LogLevel::Info : LogLevel::Warning, reached ? "store-regained" : "store-lost",
        { { "table", table }, { "reason", reason } });
    if (table != state_.protocol_.upstreamsTable_)
        return;
    if (reached)
        onStoreRegained(state_.directory_, monotonicNow());
    else
        onStoreLost(state_.directory_, monotonicNow());
}

void Gateway::Core::onOrders(const TableRead& read, bool isFullRead)
{
    const TimePoint now = monotonicNow();
    const uint64_t knownEra = std::exchange(ordersEra_, read.era_);
    if (knownEra != 0 && knownEra != read.era_) {
        onStoreRestored(unconfirmedOrders_, now);
        onStoreRestored(state_.rollouts_, now);
    }
    if (isFullRead)
        beginFullRead(unconfirmedOrders_, state_.directory_, state_.rollouts_, now);
    for (const StoredRow& row : read.rows_)
        onOrder(row);
}

void Gateway::Core::onOrder(const StoredRow& row)
{
    auto decoded = state_.protocol_.decodeOrder_(row);
    if (!decoded) {
        logEvent(LogLevel::Warning, "order-unreadable",
            { { "key", row.key_ }, { "version", std::to_string(row.version_) },
                { "reason", decoded.error().message_ } });
        return;
    }
    OrderChange& change = decoded.value();
    switch (change.kind_) {
    case OrderChange::Kind::Configuration:
        if (change.configuration_)
            onConfiguration(std::move(*change.configuration_));
        return;
    case OrderChange::Kind::Rollout:
        return onRollout(change, row.version_);
    case OrderChange::Kind::Evacuation:
        unconfirmedOrders_.evacuations_.erase(change.subject_);
        if (change.removed_)
            state_.directory_.evacuated_.erase(change.subject_);
        else
            state_.directory_.evacuated_.insert(change.subject_);
        logEvent(LogLevel::Info, change.removed_ ? "evacuation-ended" : "evacuation",
            { { "failure-domain", change.subject_ }, { "version", std::to_string(row.version_) } });
        return;
    case OrderChange::Kind::Ignored:
        return;
    }
}

void Gateway::Core::onConfiguration(Configuration configuration)
{
    const uint64_t version = configuration.version_;
    if (state_.catalog_ && state_.catalog_->configuration().version_ >= version)
        return;
    const std::string routes = std::to_string(configuration.routes_.size());
    for (const std::string& notice : configuration.notices_)
        logEvent(LogLevel::Warning, "configuration-part-unknown",
            { { "config", std::to_string(version) }, { "reason", notice } });
    metrics_.setGauge(
        "turmericwing_config_unknown_parts", "", "", static_cast<double>(configuration.notices_.size()));
    state_.catalog_ = std::make_shared<const Catalog>(std::move(configuration));
    updateQuotas(state_.quotas_, monotonicNow(), state_.catalog_->configuration(), state_.fleet_);
    logEvent(
        LogLevel::Info, "configuration", { { "config", std::to_string(version) }, { "routes", routes } });
}

void Gateway::Core::onRollout(const OrderChange& change, uint64_t rowVersion)
{
    unconfirmedOrders_.rollouts_.erase(change.subject_);
    if (change.removed_ || !change.rollout_) {
        state_.rollouts_.orders_.erase(change.subject_);
        return;
    }
    const RolloutOrder& order = *change.rollout_;
    addOrder(state_.rollouts_, monotonicNow(), { order, rowVersion, ordersEra_ });
    logEvent(LogLevel::Info, "rollout-ordered",
        { { "service", order.service_ }, { "to", order.version_ },
            { "version", std::to_string(rowVersion) } });
}

void Gateway::Core::onUpstreams(const TableRead& read, bool isFullRead)
{
    const TimePoint now = monotonicNow();
    const uint64_t knownEra = std::exchange(upstreamsEra_, read.era_);
    if (knownEra != 0 && knownEra != read.era_) {
        onStoreRestored(state_.directory_, now);
        state_.storeReachableSince_ = now;
    }
    std::set<std::string> ids;
    for (const StoredRow& row : read.rows_) {
        ids.insert(row.key_);
        onUpstream(now, row);
    }
    if (isFullRead)
        removeEntriesExcept(state_.directory_, now, ids);
    state_.directory_.loaded_ = true;
    dispatcher_.serveWaiting();
}

void Gateway::Core::onUpstream(TimePoint now, const StoredRow& row)
{
    const std::string version = std::to_string(row.version_);
    if (row.removed_) {
        logEvent(LogLevel::Info, "upstream-removed", { { "upstream", row.key_ }, { "version", version } });
        return removeEntry(state_.directory_, now, row.key_);
    }
    const auto entry = state_.protocol_.decodeUpstream_(row);
    if (!entry) {
        // A malformed entry must not leave an older one of the upstream in use.
        logEvent(LogLevel::Warning, "upstream-unreadable",
            { { "upstream", row.key_ }, { "version", version }, { "reason", entry.error().message_ } });
        return removeEntry(state_.directory_, now, row.key_);
    }
    if (!upsertEntry(state_.directory_, now, entry.value())) {
        logEvent(LogLevel::Info, "upstream-outdated", { { "upstream", row.key_ }, { "version", version } });
        return;
    }
    if (entry.value().leaving_)
        upstreamClient_.closeIdleConnections(row.key_);
    logEvent(LogLevel::Info, entry.value().leaving_ ? "upstream-leaving" : "upstream-ready",
        { { "upstream", row.key_ }, { "service", entry.value().service_ },
            { "address", addressText(entry.value().address_) }, { "version", version } });
}

/// Takes over what a peer, or the summary of a failure domain, says about the store, rollouts, upstreams'
/// limits and crashes.
void Gateway::Core::onPeerReport(const HostReport& report)
{
    onPeerStoreContact(
        state_.directory_, monotonicNow(), std::chrono::milliseconds(report.storeReachableMs_));
    for (const RampReport& ramp : report.ramps_) {
        if (mergeRamp(state_.rollouts_, { ramp.ramp_, ramp.orderVersion_, ramp.orderEra_ }))
            logRamp(ramp.ramp_, "peer");
    }
    hearLimits(state_.upstreamLimits_, state_.fleet_, monotonicNow(), report);
    for (const auto& crash : report.crashes_)
        routing::addCrashReport(state_.quarantine_, evidenceNow(state_, monotonicNow()), crash);
}

void Gateway::Core::onLookup(const Request& request, const std::shared_ptr<Exchange>& exchange)
{
    const size_t queryStart = request.target_.find('?');
    if (request.target_.substr(0, queryStart) != state_.protocol_.lookupTarget_)
        return exchange->respond(detail::plainResponse(404));
    const std::string query
        = queryStart == std::string::npos ? std::string() : request.target_.substr(queryStart + 1);
    const auto addresses = lookupAddresses(state_, monotonicNow(), state_.protocol_.parseLookupQuery_(query));
    metrics_.countLookup();
    if (addresses.empty())
        return exchange->respond(detail::plainResponse(503));
    const Duration lifetime = std::min(detail::maxLookupLifetime, state_.settings_.bounds_.lookupLifetime_);
    exchange->respond(detail::plainResponse(
        200, state_.protocol_.encodeLookupAnswer_(addresses, lifetime), "application/json"));
}

/// Serves what operators read: metrics, and explanations of where a request would go.
void Gateway::Core::onOperatorRequest(const Request& request, const std::shared_ptr<Exchange>& exchange)
{
    if (request.target_ == "/metrics")
        return exchange->respond(detail::plainResponse(200, metrics_.text()));
    const size_t queryStart = request.target_.find('?');
    if (request.target_.substr(0, queryStart) != detail::explainTarget)
        return exchange->respond(detail::plainResponse(404));
    if (request.method_ != "GET")
        return exchange->respond(detail::plainResponse(405));
    const std::string query
        = queryStart == std::string::npos ? std::string() : request.target_.substr(queryStart + 1);
    auto parsed = parseExplainQuery(query);
    if (!parsed)
        return exchange->respond(detail::plainResponse(400,
            host::problemJson(host::Reason::BadRequest, parsed.error().message_, {}),
            "application/problem+json"));
    parsed.value().authorization_ = headerValue(request.headers_, "Authorization");
    exchange->respond(
        detail::plainResponse(200, explanationJson(dispatcher_.explain(parsed.value())), "application/json"));
}

void Gateway::Core::onTick()
{
    const TimePoint now = monotonicNow();
    recordTick(state_, now);
    for (const std::string& id : expireEntries(state_.directory_, now))
        upstreamClient_.closeIdleConnections(id);
    for (const std::string& domain :
        expireOrders(unconfirmedOrders_, state_.directory_, state_.rollouts_, now))
        logEvent(LogLevel::Info, "evacuation-ended",
            { { "failure-domain", domain }, { "reason", "not written again after the store was restored" } });
    applyPeerLoads(state_, now, dispatchOptions_.pick_);
    for (const LimitChange& change :
        updateLimits(state_.upstreamLimits_, state_.directory_, state_.fleet_, now))
        detail::logLimitChange(change, {});
    updateRelay(now);
    updateSplits(state_, now);
    if (state_.catalog_)
        updateQuotas(state_.quotas_, now, state_.catalog_->configuration(), state_.fleet_);
    for (const std::string& service :
        evaluateRamps(state_.rollouts_, loadReports(state_.fleet_, now, LeavingPeers::Excluded)))
        logEvent(LogLevel::Warning, "rollout-bad", { { "service", service } });
    rolloutWriter_.startAndEndRollouts(now);
    reporter_.sendDue(now);
    dispatcher_.serveWaiting();
    if (isDraining(state_))
        checkDrained(now);
    host::flushLog();
}

void Gateway::Core::onHousekeeping()
{
    const TimePoint now = monotonicNow();
    stateLog_.logChanges(state_, now);
    endUnreadAnswers(*requestMemory_, now - callerLimits().idleTimeout_);
    stateLog_.logRequests(*requestMemory_);
    upstreamClient_.closeExpired();
    hostRegistry_.removeExpiredPeers(now);
    routing::expireQuarantine(state_.quarantine_, evidenceNow(state_, monotonicNow()));
    const auto changed = detail::modificationTime(settingsPath_);
    if (changed != settingsModifiedAt_) {
        settingsModifiedAt_ = changed;
        reload();
    }
    metrics_.setGauge(
        "turmericwing_connections", "", "", static_cast<double>(callerListener_->connections()));
    metrics_.setGauge("turmericwing_upstream_connections_opened", "", "",
        static_cast<double>(upstreamClient_.connectionAttempts()));
    metrics_.setGauge(
        "turmericwing_answer_bytes_held", "", "", static_cast<double>(upstreamClient_.heldAnswerBytes()));
    const RequestBudget& requests = requestMemory_->budget_;
    metrics_.setGauge("turmericwing_request_bytes_held", "", "", static_cast<double>(requests.heldBytes_));
    metrics_.setGauge(
        "turmericwing_other_bytes_held", "", "", static_cast<double>(otherBytes(requestMemory_->host_)));
    metrics_.setGauge(
        "turmericwing_requests_waiting_for_room", "", "", static_cast<double>(waitingCount(requests)));
    metrics_.setGauge("turmericwing_requests_without_memory", "", "",
        static_cast<double>(requests.refusedCount_ + requests.endedCount_));
    metrics_.setGauge("turmericwing_connections_closed_for_room", "", "",
        static_cast<double>(requestMemory_->connectionsClosed_));
    metrics_.setGauge(
        "turmericwing_requests_running", "", "", static_cast<double>(dispatcher_.pendingCount()));
    metrics_.setGauge(
        "turmericwing_peers_heard", "", "", static_cast<double>(activeReports(state_.fleet_, now).size()));
    metrics_.setGauge("turmericwing_store_reached", "", "", state_.reachesStore_ ? 1 : 0);
    metrics_.setGauge("turmericwing_upstreams_limited", "", "",
        static_cast<double>(limitedCount(state_.upstreamLimits_, state_.directory_, now)));
    metrics_.setGauge("turmericwing_configuration_version", "", "",
        state_.catalog_ ? static_cast<double>(state_.catalog_->configuration().version_) : 0);
    reporter_.exportTo(metrics_);
}

void Gateway::Core::scheduleTick()
{
    tickTimer_.expires_after(detail::tickInterval);
    tickTimer_.async_wait([this](boost::system::error_code cancelled) {
        if (cancelled)
            return;
        scheduleTick();
        onTick();
    });
}

void Gateway::Core::scheduleHousekeeping()
{
    housekeepingTimer_.expires_after(detail::housekeepingInterval);
    housekeepingTimer_.async_wait([this](boost::system::error_code cancelled) {
        if (cancelled)
            return;
        scheduleHousekeeping();
        onHousekeeping();
    });
}

void Gateway::Core::drain()
{
    if (isDraining(state_))
        return;
    const TimePoint now = monotonicNow();
    state_.drain_ = makeDrainSchedule(dispatchOptions_.drain_, now, state_.settings_.bounds_.stopTime_);
    logEvent(LogLevel::Info, "drain", { { "running", std::to_string(dispatcher_.pendingCount()) } });
    callerListener_->closeAfterAnswers();
    reporter_.sendAtOnce(now);
    hostRegistry_.deregisterHost();
    scheduleStopPhase(now);
}

/// Checks again as soon as the next phase of the stop begins; the tick alone would be late by its interval.
void Gateway::Core::scheduleStopPhase(TimePoint now)
{
    const DrainSchedule& stop = *state_.drain_;
    for (const TimePoint phase : { stop.acceptUntil_, stop.answerBy_, stop.exitBy_ }) {
        if (phase <= now)
            continue;
        stopTimer_.expires_at(phase);
        return stopTimer_.async_wait([this](boost::system::error_code cancelled) {
            if (cancelled)
                return;
            const TimePoint reached = monotonicNow();
            checkDrained(reached);
            scheduleStopPhase(reached);
        });
    }
}

void Gateway::Core::checkDrained(TimePoint now)
{
    if (accepting_ && now >= state_.drain_->acceptUntil_) {
        accepting_ = false;
        callerListener_->stop();
        dispatcher_.refuseWaiting();
    }
    if (now >= state_.drain_->answerBy_)
        dispatcher_.endAll();
    const bool finished
        = !accepting_ && dispatcher_.pendingCount() == 0 && callerListener_->connections() == 0;
    if (!finished && now < state_.drain_->exitBy_)
        return;
    logEvent(LogLevel::Info, "stop",
        { { "running", std::to_string(dispatcher_.pendingCount()) },
            { "connections", std::to_string(callerListener_->connections()) } });
    host::flushLog();
    loop_.stop();
}

void Gateway::Core::reload()
{
    auto loaded = loadSettings(settingsPath_);
    if (!loaded) {
        logEvent(LogLevel::Error, "reload-failed", { { "reason", loaded.error().message_ } });
        return;
    }
    Settings& settings = loaded.value();
    const bool needsRestart = settings.callerAddress_ != state_.settings_.callerAddress_
        || settings.name_ != state_.settings_.name_
        || settings.storeAddress_ != state_.settings_.storeAddress_;
    if (needsRestart)
        logEvent(LogLevel::Warning, "reload-partial",
            { { "reason", "name, addresses and store take effect at the next start" } });
    state_.settings_.bounds_ = settings.bounds_;
    state_.settings_.regionOf_ = settings.regionOf_;
    state_.directory_.regionOf_ = settings.regionOf_;
    logEvent(LogLevel::Info, "reload", { { "path", settingsPath_ } });
}

Gateway::Gateway(boost::asio::io_context& loop, GatewayOptions options)
    : core_(std::make_shared<Core>(loop, std::move(options)))
{
}

Gateway::~Gateway() = default;

Result<void> Gateway::start() { return core_->start(); }

void Gateway::drain() { core_->drain(); }

void Gateway::reload() { core_->reload(); }

} // namespace turmericwing::gateway
