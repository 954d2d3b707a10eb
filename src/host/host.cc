// Creates the components of a host, dispatches peer messages to them and runs the graceful stop.
#include "turmericwing/host/host.h"

#include "turmericwing/control/drain.h"
#include "turmericwing/host/claimstore.h"
#include "turmericwing/host/controller.h"
#include "turmericwing/host/log.h"
#include "turmericwing/host/lookup.h"
#include "turmericwing/host/operatorapi.h"
#include "turmericwing/host/path.h"
#include "turmericwing/host/peers.h"
#include "turmericwing/host/upstreamwatch.h"
#include "turmericwing/store/http.h"

#include <algorithm>

namespace turmericwing::host {

namespace detail {

    constexpr size_t maxExecutorThreads = 1024;

    constexpr auto drainPollInterval = std::chrono::milliseconds(10);
    /// Time for the last slot releases to reach other hosts before the process ends.
    constexpr auto slotReleaseDelay = std::chrono::milliseconds(200);
    constexpr auto housekeepingInterval = std::chrono::milliseconds(50);
    /// For token pulls, slot loans and reports of moves.
    constexpr auto peerRequestTimeout = std::chrono::milliseconds(400);

    std::string formatAddress(const Address& address)
    {
        return address.ip_ + ":" + std::to_string(address.port_);
    }

    control::Member makeMember(const Settings& settings, uint64_t incarnation)
    {
        return { settings.name_, incarnation, settings.region_, settings.failureDomain_,
            formatAddress(settings.callerAddress_), formatAddress(settings.peerAddress_),
            control::MemberState::Live };
    }

    /// Whether the host answers a path itself instead of routing the request to an upstream.
    bool isLocalPath(const std::string& path) { return path.rfind("/v1/", 0) == 0 || path == "/v1"; }

} // namespace detail

struct Host::State {
    explicit State(Settings settings)
        : settings_(std::move(settings))
        , platform_({ .address_ = detail::formatAddress(settings_.platformAddress_) })
        , incarnation_(newIncarnation(platform_.platform().table_, settings_.name_, wallNow()))
        , executor_(detail::maxExecutorThreads)
        , peers_({ .self_ = detail::makeMember(settings_, incarnation_),
              .secret_ = settings_.peerSecret_,
              .handlers_ = { [this](const std::string& from, const peer::Message& message) {
                                handleMessage(from, message);
                            },
                  [this](const std::string& from, const peer::Message& message,
                      const peer::Responder& respond) { respond(answer(from, message)); } } })
        , tokens_(settings_.name_, incarnation_, shared_,
              { [this](const std::string& to, const limits::PullRequest& pull) { sendPull(to, pull); },
                  [this](const std::string& to, const limits::TokenReturn& tokens) {
                      peers_.send(to, tokens);
                  } })
        , dispatch_(settings_.name_, settings_.region_, incarnation_, shared_,
              { [this](
                    const std::string& to, const routing::BorrowRequest& borrow) { sendBorrow(to, borrow); },
                  [this](const std::string& to, const routing::LoanReturn& loan) { peers_.send(to, loan); },
                  [this](const std::string& to, const routing::SlotRelease& release) {
                      peers_.send(to, release);
                  } })
        , moves_(settings_.name_, settings_.region_, incarnation_,
              { [this](const std::string& to, const peer::MoveStats& report) { sendMoveReport(to, report); },
                  [this](const peer::MoveTrip& trip) { peers_.broadcast(trip); },
                  [this](const std::string& move, const rollout::Proposal& proposal) {
                      proposeMoveStep(move, proposal);
                  } })
        , quarantines_(settings_.name_, incarnation_,
              { [this](const routing::CrashReport& report) { peers_.broadcast(report); },
                  [this](const routing::QuarantineRecord& record) { peers_.broadcast(record); } })
        , claims_(settings_.name_, incarnation_, platform_.platform().table_, shared_)
        , upstreams_(executor_)
        , controller_({ .self_ = detail::makeMember(settings_, incarnation_),
                          .platform_ = platform_.platform(),
                          .onSnapshot_ =
                              [this](const Snapshot& snapshot) {
                                  tokens_.apply(snapshot);
                                  dispatch_.apply(snapshot);
                                  moves_.apply(snapshot);
                                  lookups_.apply(snapshot);
                              },
                          .onLeave_ = [this] { drain(); },
                          .onHead_ = [this](const control::Head& head) { peers_.setMembers(head); },
                          .request_ =
                              [this](const std::string& to, peer::Message message, Duration timeout,
                                  std::function<void(Result<peer::Message>)> done) {
                                  peers_.request(to, std::move(message), timeout, std::move(done));
                              } },
              shared_, executor_)
        , upstreamWatch_(settings_.region_, shared_, platform_.platform().hosts_, dispatch_, executor_)
        , pathParts_ { shared_, tokens_, dispatch_, moves_, claims_, quarantines_, upstreams_, metrics_,
            trace_, inFlight_ }
        , operatorParts_ { settings_, shared_, controller_, dispatch_, metrics_, trace_,
            platform_.platform().table_, [this] { refreshGauges(); }, [this] { drain(); },
            [this](const LocalRequest& request) { return lookups_.handle(metrics_, request); } }
    {
    }

    void drain()
    {
        {
            std::lock_guard lock(mutex_);
            if (shared_.draining())
                return;
            shared_.setDraining();
        }
        wake_.notify_all();
    }

    void sendPull(const std::string& to, const limits::PullRequest&);
    void sendBorrow(const std::string& to, const routing::BorrowRequest&);
    void sendMoveReport(const std::string& to, const peer::MoveStats&);
    void proposeMoveStep(const std::string& move, const rollout::Proposal&);
    void handleMessage(const std::string& from, const peer::Message&);
    peer::Message answer(const std::string& from, const peer::Message&);
    void tickMembership();
    void refreshGauges();
    void runDrain();
    bool writeLeaveChange(bool remove);
    Duration longestTimeout() const;

    const Settings settings_;
    store::HttpPlatform platform_;
    const uint64_t incarnation_;
    SharedState shared_;
    Metrics metrics_;
    TraceLog trace_;
    Lookups lookups_;
    std::atomic<int> inFlight_ { 0 };
    Executor executor_;
    Peers peers_;
    Tokens tokens_;
    Dispatch dispatch_;
    Moves moves_;
    std::atomic<bool> moveProposalPending_ { false }; ///< A step of a move is being written to the head.
    Quarantines quarantines_;
    ClaimStore claims_;
    UpstreamPool upstreams_;
    Controller controller_;
    UpstreamWatch upstreamWatch_;
    PathParts pathParts_;
    OperatorParts operatorParts_;
    std::unique_ptr<Server> callerServer_;
    std::unique_ptr<Server> operatorServer_;
    std::thread housekeepingThread_;
    std::mutex mutex_;
    std::condition_variable wake_;
    bool stopping_ = false;
};

Host::Host(Settings settings)
    : state_(std::make_unique<State>(std::move(settings)))
{
}

Host::~Host() = default;

/// Pulls tokens from another host. The response arrives on the transport's thread.
void Host::State::sendPull(const std::string& to, const limits::PullRequest& pull)
{
    peers_.request(to, pull, detail::peerRequestTimeout, [this, pull](Result<peer::Message> reply) {
        const auto* grant = reply ? std::get_if<limits::Grant>(&reply.value()) : nullptr;
        if (grant) {
            tokens_.acceptGrant(*grant);
            return;
        }
        // The pull was not sent, so it cannot yield tokens. An empty grant lets the next holder be asked at
        // once.
        if (!reply && reply.error().code_ == ErrorCode::Unavailable) {
            limits::Grant none = limits::refusePull(pull, pull.epoch_);
            none.retryAfter_ = detail::peerRequestTimeout;
            tokens_.acceptGrant(none);
        }
    });
}

void Host::State::sendBorrow(const std::string& to, const routing::BorrowRequest& borrow)
{
    peers_.request(to, borrow, detail::peerRequestTimeout, [this, to](Result<peer::Message> reply) {
        if (const auto* loan = reply ? std::get_if<routing::Loan>(&reply.value()) : nullptr)
            dispatch_.acceptLoan(to, *loan);
    });
}

void Host::State::sendMoveReport(const std::string& to, const peer::MoveStats& report)
{
    const TimePoint sentAt = monotonicNow();
    peers_.request(to, report, detail::peerRequestTimeout, [this, sentAt](Result<peer::Message> reply) {
        if (const auto* share = reply ? std::get_if<peer::MoveShare>(&reply.value()) : nullptr)
            moves_.acceptShare(*share, sentAt);
    });
}

/// Writes a step of a move to the head, unless another step is being written.
void Host::State::proposeMoveStep(const std::string& move, const rollout::Proposal& proposal)
{
    if (moveProposalPending_.exchange(true))
        return;
    executor_.post([this, move, proposal] {
        const std::string what = "move " + move + ": step " + std::to_string(proposal.next_.step_)
            + ", share " + std::to_string(proposal.next_.share_)
            + (proposal.next_.reason_.empty() ? std::string() : ", " + proposal.next_.reason_);
        const auto written
            = controller_.changeHead(settings_.name_, what, [&](control::Head& head) -> Result<void> {
                  const auto next = rollout::applyProposal(moveRecord(head, move), proposal);
                  if (!next)
                      return makeError(ErrorCode::Conflict, "another writer has changed the move");
                  putMoveRecord(head, move, *next);
                  return boost::outcome_v2::success();
              });
        static_cast<void>(written);
        moveProposalPending_ = false;
    });
}

/// Passes a message that needs no response to the component that it concerns.
void Host::State::handleMessage(const std::string& from, const peer::Message& message)
{
    static_cast<void>(from);
    if (const auto* tokens = std::get_if<limits::TokenReturn>(&message))
        tokens_.acceptReturn(*tokens);
    else if (const auto* loan = std::get_if<routing::LoanReturn>(&message))
        dispatch_.applyReturn(*loan);
    else if (const auto* release = std::get_if<routing::SlotRelease>(&message))
        dispatch_.applyRelease(*release);
    else if (const auto* report = std::get_if<routing::CrashReport>(&message))
        dispatch_.forgive(quarantines_.acceptReport(*report));
    else if (const auto* record = std::get_if<routing::QuarantineRecord>(&message))
        quarantines_.acceptRecord(*record);
    else if (const auto* trip = std::get_if<peer::MoveTrip>(&message))
        moves_.acceptTrip(*trip);
}

/// Answers a request of another host; unknown requests get a refusal.
peer::Message Host::State::answer(const std::string& from, const peer::Message& message)
{
    // A request is accepted only for the sender itself; the transport has authenticated the sender's name.
    if (const auto* pull = std::get_if<limits::PullRequest>(&message); pull && pull->host_ == from)
        return tokens_.answer(*pull);
    if (const auto* borrow = std::get_if<routing::BorrowRequest>(&message);
        borrow && borrow->id_.borrower_ == from) {
        if (auto loan = dispatch_.lend(*borrow))
            return *loan;
        return peer::Refusal { static_cast<uint32_t>(ErrorCode::Unavailable), "no slot is free" };
    }
    if (const auto* report = std::get_if<peer::MoveStats>(&message); report && report->stats_.host_ == from)
        return moves_.answer(*report);
    if (auto reply = controller_.answer(message))
        return std::move(*reply);
    return peer::Refusal { static_cast<uint32_t>(ErrorCode::Invalid), "not a request" };
}

/// Runs heartbeats and failure detection, and passes the results to the components that depend on them.
void Host::State::tickMembership()
{
    const ControlStatus control = controller_.status();
    const TimePoint now = monotonicNow();
    const auto failed = peers_.tick({ control.leaseValid_, shared_.draining(), control.newestHead_ }, now);
    controller_.removeFailed(failed, peers_.heardHosts(now));
    moves_.tick(control.storeContact_);
    auto unusable = peers_.unusableHosts();
    if (shared_.draining())
        unusable.insert(settings_.name_);
    lookups_.tick(unusable, now);
}

void Host::State::refreshGauges()
{
    const ControlStatus control = controller_.status();
    metrics_.setGauge("turmericwing_config_revision", "", "", static_cast<double>(control.activeRevision_));
    metrics_.setGauge("turmericwing_lease_remaining_seconds", "", "",
        static_cast<double>(control.leaseRemainingMs_) / 1000);
    metrics_.setGauge("turmericwing_store_contact", "", "", control.storeContact_ ? 1 : 0);
    metrics_.setGauge(
        "turmericwing_members", "", "", static_cast<double>(control.newestHead_.members_.size()));
    metrics_.setGauge("turmericwing_requests_in_flight", "", "", inFlight_.load());
    metrics_.setGauge("turmericwing_quarantined_requests", "", "", static_cast<double>(quarantines_.size()));
    const auto traffic = peers_.counters();
    metrics_.setGauge("turmericwing_peer_bytes", "direction", "in", static_cast<double>(traffic.bytesIn_));
    metrics_.setGauge("turmericwing_peer_bytes", "direction", "out", static_cast<double>(traffic.bytesOut_));
    metrics_.setGauge(
        "turmericwing_peer_messages", "direction", "in", static_cast<double>(traffic.messagesIn_));
    metrics_.setGauge(
        "turmericwing_peer_messages", "direction", "out", static_cast<double>(traffic.messagesOut_));
    metrics_.setGauge("turmericwing_control_cpu_seconds", "", "", controller_.cpuSeconds());
    const auto counters = platform_.counters();
    metrics_.setGauge("turmericwing_store_requests", "kind", "read", static_cast<double>(counters.reads_));
    metrics_.setGauge("turmericwing_store_requests", "kind", "write", static_cast<double>(counters.writes_));
    const auto snapshot = shared_.snapshot();
    for (const model::Service& service :
        snapshot ? snapshot->set_->services_ : std::vector<model::Service>()) {
        std::map<std::string, uint32_t> freeByRegion;
        for (const UpstreamStatus& row : dispatch_.status(service.name_)) {
            metrics_.setGauge("turmericwing_upstream_free_slots", "upstream", row.upstream_, row.free_);
            freeByRegion[row.region_] += row.free_;
        }
        for (const auto& [region, free] : freeByRegion)
            metrics_.setGauge(
                "turmericwing_headroom_slots", "service_region", service.name_ + "/" + region, free);
    }
}

/// Marks this host as leaving in the head, or removes it. Returns whether nothing is left to write.
bool Host::State::writeLeaveChange(bool remove)
{
    const std::string& self = settings_.name_;
    const auto edit = [&](control::Head& head) -> Result<void> {
        BOOST_OUTCOME_TRY(leaving, control::withLeaving(head, self, incarnation_));
        head = remove ? control::withoutMembers(head, { self }) : leaving;
        return boost::outcome_v2::success();
    };
    const auto written
        = controller_.changeHead(self, "host " + self + (remove ? " has left" : " is leaving"), edit);
    // NotFound means that the view has no entry of this process, so there is nothing to announce.
    return written || written.error().code_ == ErrorCode::NotFound;
}

/// Longest timeout of any route in force.
Duration Host::State::longestTimeout() const
{
    const auto snapshot = shared_.snapshot();
    uint32_t longest = 0;
    for (const model::Route& route : snapshot ? snapshot->set_->routes_ : std::vector<model::Route>())
        longest = std::max(longest, route.timeoutMs_);
    return std::chrono::milliseconds(longest);
}

/// Drains this host: leaves the view, finishes requests in flight and returns tokens and slots. Blocks.
void Host::State::runDrain()
{
    const control::DrainOptions options { .lookupTtl_ = lookupTimeToLive,
        .longestTimeout_ = longestTimeout() };
    control::Drain drain;
    control::DrainInputs inputs;
    control::beginDrain(drain, options, monotonicNow());
    for (;;) {
        inputs.inFlight_ = static_cast<size_t>(std::max(0, inFlight_.load()));
        const auto actions = control::advanceDrain(drain, options, inputs, monotonicNow());
        if (actions.exit_)
            break;
        if (!actions.admit_)
            shared_.stopAdmitting();
        if (actions.announce_ && drain.phase_ == control::DrainPhase::Leaving)
            inputs.announced_ = writeLeaveChange(false);
        std::this_thread::sleep_for(detail::drainPollInterval);
    }
    callerServer_->stop();
    claims_.stop();
    tokens_.returnAll();
    if (!writeLeaveChange(true))
        logEvent(LogLevel::Warning, "leave-not-written",
            { { "detail", "other hosts remove this host when it is silent" } });
    // The control loop has released this host's slots; their new holders are notified before the process
    // ends.
    std::this_thread::sleep_for(detail::slotReleaseDelay);
}

Result<void> Host::start()
{
    State& state = *state_;
    const Settings& settings = state.settings_;
    ServerOptions options { .address_ = settings.callerAddress_,
        .tlsCertificate_ = settings.tlsCertificate_,
        .tlsPrivateKey_ = settings.tlsPrivateKey_ };
    options.callers_
        = [&state](const CallerRequest& request) { return handleRequest(state.pathParts_, request); };
    options.local_
        = [&state](const LocalRequest& request) { return state.lookups_.handle(state.metrics_, request); };
    options.isLocal_ = detail::isLocalPath;
    options.closing_ = [&state] { return state.shared_.draining(); };
    state.callerServer_ = std::make_unique<Server>(options);
    options.address_ = settings.operatorAddress_;
    options.callers_ = nullptr;
    options.local_
        = [&state](const LocalRequest& request) { return handleOperator(state.operatorParts_, request); };
    state.operatorServer_ = std::make_unique<Server>(options);
    BOOST_OUTCOME_TRY(state.peers_.start());
    BOOST_OUTCOME_TRY(state.operatorServer_->start());
    BOOST_OUTCOME_TRY(state.callerServer_->start());
    state.controller_.start();
    state.upstreamWatch_.start();
    state.housekeepingThread_ = std::thread([&state] {
        std::unique_lock lock(state.mutex_);
        while (!state.stopping_) {
            lock.unlock();
            state.tokens_.tick();
            state.dispatch_.tick();
            state.quarantines_.tick();
            state.tickMembership();
            lock.lock();
            state.wake_.wait_for(lock, detail::housekeepingInterval, [&state] { return state.stopping_; });
        }
    });
    logEvent(LogLevel::Info, "started",
        { { "incarnation", std::to_string(state.incarnation_) },
            { "callers", detail::formatAddress(settings.callerAddress_) },
            { "operators", detail::formatAddress(settings.operatorAddress_) } });
    return boost::outcome_v2::success();
}

void Host::drain() { state_->drain(); }

void Host::waitStopped()
{
    State& state = *state_;
    {
        std::unique_lock lock(state.mutex_);
        state.wake_.wait(lock, [&state] { return state.shared_.draining(); });
    }
    logEvent(LogLevel::Info, "draining");
    state.runDrain();
    state.operatorServer_->stop();
    {
        std::lock_guard lock(state.mutex_);
        state.stopping_ = true;
    }
    state.wake_.notify_all();
    state.housekeepingThread_.join();
    state.upstreamWatch_.stop();
    state.controller_.stop();
    state.peers_.stop();
    state.executor_.shutdown();
    logEvent(LogLevel::Info, "stopped");
}

} // namespace turmericwing::host
