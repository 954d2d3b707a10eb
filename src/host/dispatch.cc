// Assignment of upstream slots to request attempts: admission queues, slot loans and per-upstream statistics
// of each service.
#include "turmericwing/host/dispatch.h"

#include "turmericwing/limits/admission.h"
#include "turmericwing/routing/choice.h"

#include <algorithm>
#include <condition_variable>
#include <map>
#include <mutex>

namespace turmericwing::host {

namespace detail {

    /// Part of the remaining time that the first attempt of an idempotent request may use. The last third is
    /// left for a retry in case the upstream does not respond.
    constexpr double firstAttemptShare = 2.0 / 3;
    /// A load report does not end a drain within this time after the upstream's last refusal, because the
    /// report may be older than the refusal.
    constexpr auto drainReportLag = std::chrono::seconds(10);
    /// Interval at which slot releases are sent again.
    constexpr auto releaseInterval = std::chrono::seconds(1);

    /// A slot stays reserved for this long after its request's deadline: the upstream measures the deadline
    /// from the arrival of the request, and a cancellation reaches it only after the latency between regions.
    constexpr auto cancellationMargin = std::chrono::milliseconds(250);
    /// Interval at which a waiting request checks for a free slot again and requests loans.
    constexpr auto slotPollInterval = std::chrono::milliseconds(20);

    /// An attempt that holds a slot.
    struct ActiveAttempt {
        routing::SlotTicket ticket_;
        std::string upstream_;
        std::string queueKey_; ///< Key of the admission queue.
        TimePoint start_;
    };

    /// Admission decision on a queued request.
    struct Waiter {
        bool started_ = false;
        bool refused_ = false;
    };

    /// Key of the request's admission queue. Upstreams of different versions or regions are not
    /// interchangeable, so each side of a move has a queue of its own.
    std::string admissionQueueKey(const DispatchRequest& request)
    {
        return request.version_ + "/" + request.upstreamRegion_;
    }

    /// State of one service.
    struct ServiceShard {
        mutable std::mutex mutex_;
        std::condition_variable changed_;
        routing::SlotTable slots_;
        routing::ChoiceTable choice_;
        routing::RetryBudget retries_;
        std::map<std::string, routing::LinkBudget> links_; ///< By region of the upstream.
        std::map<std::string, model::Upstream> upstreams_;
        std::map<uint64_t, ActiveAttempt> attempts_; ///< By Assignment::ticket_.
        std::map<std::string, limits::Admission> admission_; ///< By queue key.
        std::map<uint64_t, Waiter> waiters_; ///< By id of the admission request.
        std::map<std::string, TimePoint>
            lastDrainRefusal_; ///< By upstream: its last refusal because of draining.
        uint64_t nextTicket_ = 1;
        Random random_ = makeRandom();
        std::set<std::string> drained_;
        std::map<std::string, std::vector<std::string>>
            lenders_; ///< Other hosts with home slots, by upstream.
        TimePoint nextRelease_;
    };

    /// A request for a loan that has been planned but not sent.
    struct PlannedBorrow {
        std::string lender_;
        routing::BorrowRequest request_;
    };

    std::string regionOf(const model::ObjectSet& set, const model::Upstream& upstream)
    {
        const auto* domain = model::find(set.failureDomains_, upstream.failureDomain_);
        return domain ? domain->region_ : std::string();
    }

    /// Longest time that a request of the service can hold a slot.
    Duration longestSlotTime(const model::ObjectSet& set, const std::string& service)
    {
        uint32_t longest = 0;
        for (const model::Route& route : set.routes_) {
            if (route.service_ == service)
                longest = std::max(longest, route.timeoutMs_);
        }
        return std::chrono::milliseconds(longest) + cancellationMargin;
    }

    routing::Placement makePlacement(
        const control::Head& head, const model::ObjectSet& set, const std::string& service)
    {
        routing::Placement placement;
        placement.id_ = { head.revision_, head.epoch_ };
        std::vector<routing::SlotHost> hosts;
        for (const control::Member& member : head.members_)
            hosts.push_back({ member.host_, member.incarnation_, member.region_ });
        const Duration longest = longestSlotTime(set, service);
        for (const model::Upstream& upstream : set.upstreams_) {
            if (upstream.service_ == service)
                placement.upstreams_.push_back({ upstream.name_, service, regionOf(set, upstream),
                    upstream.slots_, upstream.connections_, longest });
        }
        placement.homes_ = routing::slotHomes(hosts, placement.upstreams_);
        return placement;
    }

    /// The newest version that is known to be written; the version in force if there is none newer.
    Version newestWrittenVersion(const Snapshot& snapshot)
    {
        Version newest { snapshot.head_, snapshot.set_ };
        for (const Version& version : snapshot.newer_) {
            if (!version.candidate_)
                newest = version;
        }
        return newest;
    }

    /// Adds the upstreams of which this host holds a slot that the other placement does not assign to it.
    void addLostUpstreams(std::set<std::string>& upstreams, const routing::SlotTable& table,
        const std::string& host, const routing::Placement& other)
    {
        for (const auto& [name, slots] : table.upstreams_) {
            for (const routing::HomeSlot& slot : slots.home_) {
                const auto home = other.homes_.find(slot.id_);
                if (home == other.homes_.end() || home->second.host_ != host)
                    upstreams.insert(name);
            }
        }
    }

    /// Byte budgets of the links that leave the region. Each link's capacity is divided equally among the
    /// hosts of the region and the services.
    std::map<std::string, routing::LinkBudget> makeLinks(const Snapshot& snapshot, const std::string& region)
    {
        const auto& members = snapshot.head_.members_;
        const auto hosts = std::max<int64_t>(1,
            std::count_if(members.begin(), members.end(),
                [&](const auto& member) { return member.region_ == region; }));
        const double shareCount
            = static_cast<double>(hosts) * static_cast<double>(snapshot.set_->services_.size());
        std::map<std::string, routing::LinkBudget> links;
        for (const model::Link& link : snapshot.set_->links_) {
            if (link.from_ != region)
                continue;
            const double bytesPerSecond = link.capacityMbps_ * 1e6 / 8 / shareCount;
            links[link.to_] = { bytesPerSecond, bytesPerSecond / 10, 0, monotonicNow() };
        }
        return links;
    }

    routing::Outcome outcomeOf(const AttemptResult& result)
    {
        switch (result.end_) {
        case AttemptEnd::Answered:
            return result.status_ >= 500 ? routing::Outcome::Error : routing::Outcome::Success;
        case AttemptEnd::Overloaded:
            return routing::Outcome::Overload;
        case AttemptEnd::Draining:
        case AttemptEnd::Canceled:
            return routing::Outcome::Ignored;
        case AttemptEnd::NotSent:
        case AttemptEnd::Crashed:
        case AttemptEnd::Failed:
            break;
        }
        return routing::Outcome::Error;
    }

    /// Whether the upstream may still run the request: a connection can fail in the network while the
    /// upstream continues.
    bool mayStillRun(AttemptEnd end)
    {
        return end == AttemptEnd::Failed || end == AttemptEnd::Crashed || end == AttemptEnd::Canceled;
    }

} // namespace detail

struct DispatchState {
    std::string host_;
    std::string region_;
    uint64_t incarnation_ = 0;
    const SharedState& shared_;
    Dispatch::Outbox outbox_;
    mutable std::mutex
        mutex_; ///< Guards shards_ and lastPlacement_; shards have locks of their own and are never removed.
    std::map<std::string, std::unique_ptr<detail::ServiceShard>> shards_;
    std::optional<routing::PlacementId>
        lastPlacement_; ///< The last placement that the existing shards learned.
    const limits::AdmissionOptions admissionOptions_ {};

    detail::ServiceShard* find(const std::string& service) const
    {
        std::lock_guard lock(mutex_);
        const auto found = shards_.find(service);
        return found == shards_.end() ? nullptr : found->second.get();
    }

    detail::ServiceShard* findByUpstream(const std::string& upstream) const
    {
        std::lock_guard lock(mutex_);
        for (const auto& [service, shard] : shards_) {
            std::lock_guard inner(shard->mutex_);
            if (shard->upstreams_.count(upstream) > 0)
                return shard.get();
        }
        return nullptr;
    }

    detail::ServiceShard& findOrCreate(const std::string& service)
    {
        std::lock_guard lock(mutex_);
        auto& shard = shards_[service];
        if (!shard) {
            shard = std::make_unique<detail::ServiceShard>();
            shard->slots_.host_ = host_;
            shard->slots_.incarnation_ = incarnation_;
            shard->choice_.host_ = host_;
            // The last placement had no upstreams of this service. If it was that of revision 0, slots of the
            // next one have no previous home, and the slot table does not delay their use.
            if (lastPlacement_)
                routing::applyPlacement(shard->slots_, monotonicNow(), { *lastPlacement_, {}, {} }, true);
        }
        return *shard;
    }

    std::vector<detail::ServiceShard*> allShards() const
    {
        std::lock_guard lock(mutex_);
        std::vector<detail::ServiceShard*> shards;
        for (const auto& [service, shard] : shards_)
            shards.push_back(shard.get());
        return shards;
    }

    void applyService(const Snapshot& snapshot, const std::string& service);
    /// Chooses an upstream and acquires one of its slots; empty when none is free. Before
    /// `waitForOtherUntil`, a retry does not take a slot of the upstream of the last attempt while another
    /// one is in service.
    std::optional<Assignment> tryAssign(
        detail::ServiceShard&, const DispatchRequest&, TimePoint waitForOtherUntil);
    size_t concurrency(detail::ServiceShard&, const std::string& queueKey) const;
    void updateAdmission(detail::ServiceShard&, const std::string& queueKey, const limits::AdmissionChanges&);
    /// Records loan requests in the slot table; the caller must send them.
    std::vector<detail::PlannedBorrow> planBorrows(detail::ServiceShard&, const DispatchRequest&);
    /// Whether the upstream has the request's version and region and is not drained.
    bool isEligible(const detail::ServiceShard&, const model::Upstream&, const DispatchRequest&) const;
};

Dispatch::Dispatch(
    std::string host, std::string region, uint64_t incarnation, const SharedState& shared, Outbox outbox)
    : state_(new DispatchState {
        std::move(host), std::move(region), incarnation, shared, std::move(outbox), {}, {} })
{
}

Dispatch::~Dispatch() = default;

void DispatchState::applyService(const Snapshot& snapshot, const std::string& service)
{
    detail::ServiceShard& shard = findOrCreate(service);
    std::lock_guard lock(shard.mutex_);
    const TimePoint now = monotonicNow();
    const bool first = shard.upstreams_.empty();
    shard.upstreams_.clear();
    for (const model::Upstream& upstream : snapshot.set_->upstreams_) {
        if (upstream.service_ != service)
            continue;
        shard.upstreams_.emplace(upstream.name_, upstream);
        if (shard.choice_.upstreams_.count(upstream.name_) == 0)
            routing::addUpstream(shard.choice_, now, upstream.name_, service,
                detail::regionOf(*snapshot.set_, upstream), !first);
        auto drain = shard.choice_.upstreams_.at(upstream.name_).drain_;
        drain.head_ = snapshot.drained_.count(upstream.name_) > 0;
        routing::setDrain(shard.choice_, now, upstream.name_, drain);
    }
    std::vector<std::string> removed;
    for (const auto& [name, state] : shard.choice_.upstreams_) {
        if (shard.upstreams_.count(name) == 0)
            removed.push_back(name);
    }
    for (const std::string& name : removed)
        routing::removeUpstream(shard.choice_, now, name);
    shard.drained_ = snapshot.drained_;
    if (shard.links_.empty() || first)
        shard.links_ = detail::makeLinks(snapshot, region_);

    // A candidate may or may not be written: slots that it takes from this host are not used, and slots that
    // it assigns to this host are not learned yet.
    for (const Version& newer : snapshot.newer_) {
        if (newer.candidate_)
            detail::addLostUpstreams(shard.drained_, shard.slots_, host_,
                detail::makePlacement(newer.head_, *newer.set_, service));
    }
    // A placement is learned as soon as its head is known, so this uses the newest version instead of
    // the one in force: lost slots stop at once, and the slot table itself delays the use of gained slots.
    const Version newest = detail::newestWrittenVersion(snapshot);
    const auto placement = detail::makePlacement(newest.head_, *newest.set_, service);
    routing::applyPlacement(shard.slots_, now, placement, snapshot.sharesUsable_);
    shard.lenders_.clear();
    for (const auto& [slot, home] : placement.homes_) {
        auto& lenders = shard.lenders_[slot.upstream_];
        if (home.host_ != host_ && std::find(lenders.begin(), lenders.end(), home.host_) == lenders.end())
            lenders.push_back(home.host_);
    }
    shard.changed_.notify_all();
}

void Dispatch::apply(const Snapshot& snapshot)
{
    const Version newest = detail::newestWrittenVersion(snapshot);
    std::set<std::string> services;
    for (const model::Service& service : snapshot.set_->services_)
        services.insert(service.name_);
    // Learns the slots of services that are not in force yet, so that they are usable once the services
    // are.
    for (const model::Service& service : newest.set_->services_)
        services.insert(service.name_);
    for (const std::string& service : services)
        state_->applyService(snapshot, service);
    std::lock_guard lock(state_->mutex_);
    state_->lastPlacement_ = routing::PlacementId { newest.head_.revision_, newest.head_.epoch_ };
}

bool DispatchState::isEligible(
    const detail::ServiceShard& shard, const model::Upstream& upstream, const DispatchRequest& request) const
{
    if (upstream.version_ != request.version_ || shard.drained_.count(upstream.name_) > 0)
        return false;
    return request.upstreamRegion_.empty()
        || shard.choice_.upstreams_.at(upstream.name_).region_ == request.upstreamRegion_;
}

std::optional<Assignment> DispatchState::tryAssign(
    detail::ServiceShard& shard, const DispatchRequest& request, TimePoint waitForOtherUntil)
{
    const TimePoint now = monotonicNow();
    const TimePoint leaseEnd = shared_.leaseEnd();
    TimePoint deadline = request.deadline_;
    if (request.idempotent_ && request.exclude_.empty())
        deadline = now
            + std::chrono::duration_cast<Duration>((request.deadline_ - now) * detail::firstAttemptShare);
    std::vector<routing::SlotCount> counts;
    for (const auto& [name, upstream] : shard.upstreams_) {
        if (!isEligible(shard, upstream, request))
            continue;
        const uint32_t free
            = routing::freeSlots(shard.slots_, now, leaseEnd, name, deadline + detail::cancellationMargin);
        const auto& state = shard.choice_.upstreams_.at(name);
        counts.push_back({ name, free + state.inFlight_, free });
    }
    const routing::ChoiceRequest choice { .service_ = request.service_,
        .region_ = region_,
        .except_ = request.exclude_.empty() ? std::string() : request.exclude_.back(),
        .waitForOther_ = now < waitForOtherUntil };
    const auto chosen
        = routing::chooseUpstream(shard.choice_, now, choice, counts, shard.links_, shard.random_);
    if (!chosen)
        return std::nullopt;
    const auto ticket
        = routing::acquire(shard.slots_, now, leaseEnd, *chosen, deadline + detail::cancellationMargin);
    if (!ticket)
        return std::nullopt;
    routing::beginRequest(shard.choice_, *chosen);
    const uint64_t number = shard.nextTicket_++;
    shard.attempts_.emplace(
        number, detail::ActiveAttempt { *ticket, *chosen, detail::admissionQueueKey(request), now });
    const model::Upstream& upstream = shard.upstreams_.at(*chosen);
    return Assignment { request.service_, *chosen, upstream.address_, request.version_, request.route_, now,
        deadline, number };
}

std::vector<detail::PlannedBorrow> DispatchState::planBorrows(
    detail::ServiceShard& shard, const DispatchRequest& request)
{
    const TimePoint now = monotonicNow();
    std::vector<routing::LoanOffer> offers;
    for (const auto& [name, lenders] : shard.lenders_) {
        const auto upstream = shard.upstreams_.find(name);
        const auto choiceEntry = shard.choice_.upstreams_.find(name);
        if (upstream == shard.upstreams_.end() || choiceEntry == shard.choice_.upstreams_.end()
            || !isEligible(shard, upstream->second, request))
            continue;
        const bool near
            = choiceEntry->second.region_ == region_ || shard.links_.count(choiceEntry->second.region_) > 0;
        if (!near || choiceEntry->second.drain_.any() || routing::isEjected(choiceEntry->second, now))
            continue;
        for (const std::string& lender : lenders)
            offers.push_back({ name, lender });
    }
    std::shuffle(offers.begin(), offers.end(), shard.random_);
    // Upstreams of the own region come first: using another region's upstream costs a round trip between
    // regions.
    std::stable_partition(offers.begin(), offers.end(), [&](const routing::LoanOffer& offer) {
        return shard.choice_.upstreams_.at(offer.upstream_).region_ == region_;
    });
    std::vector<detail::PlannedBorrow> plannedBorrows;
    const Duration duration
        = (std::chrono::duration_cast<Duration>(request.deadline_ - now) + detail::cancellationMargin) * 2;
    for (const auto& [upstream, lender] : routing::chooseLenders(shard.slots_, now, offers))
        plannedBorrows.push_back({ lender, routing::borrow(shard.slots_, now, upstream, lender, duration) });
    return plannedBorrows;
}

/// Number of requests of a queue that this host can run at once: running requests, free slots, and one more
/// if a slot can be borrowed.
size_t DispatchState::concurrency(detail::ServiceShard& shard, const std::string& queueKey) const
{
    const TimePoint now = monotonicNow();
    size_t slots = shard.admission_[queueKey].running_;
    bool lenders = false;
    for (const auto& [name, upstream] : shard.upstreams_) {
        const std::string& region = shard.choice_.upstreams_.at(name).region_;
        const bool belongsToQueue
            = queueKey == upstream.version_ + "/" || queueKey == upstream.version_ + "/" + region;
        if (!belongsToQueue || shard.drained_.count(name) > 0)
            continue;
        slots += routing::freeSlots(
            shard.slots_, now, shared_.leaseEnd(), name, now + detail::cancellationMargin);
        const auto lender = shard.lenders_.find(name);
        lenders = lenders || (lender != shard.lenders_.end() && !lender->second.empty());
    }
    return slots + (lenders ? 1 : 0);
}

/// Applies admission decisions, then starts or refuses further requests of the queue.
void DispatchState::updateAdmission(
    detail::ServiceShard& shard, const std::string& queueKey, const limits::AdmissionChanges& changes)
{
    const auto applyDecisions = [&](const limits::AdmissionChanges& decided) {
        for (const uint64_t id : decided.start_)
            shard.waiters_[id].started_ = true;
        for (const uint64_t id : decided.refuse_)
            shard.waiters_[id].refused_ = true;
    };
    applyDecisions(changes);
    applyDecisions(limits::pollAdmission(
        shard.admission_[queueKey], concurrency(shard, queueKey), monotonicNow(), admissionOptions_));
    shard.changed_.notify_all();
}

std::variant<Assignment, Refusal> Dispatch::acquire(const DispatchRequest& request)
{
    detail::ServiceShard* shard = state_->find(request.service_);
    if (!shard)
        return Refusal { Reason::NotReady, "this host has not loaded any upstreams of the service yet",
            std::chrono::seconds(1) };
    const std::string queueKey = detail::admissionQueueKey(request);
    const Duration retryAfter = std::chrono::seconds(1);
    std::unique_lock lock(shard->mutex_);
    if (request.exclude_.empty())
        routing::earnRetryToken(shard->retries_, {});
    limits::Admission& admission = shard->admission_[queueKey];
    const TimePoint now = monotonicNow();
    const auto typicalServiceTime
        = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(admission.serviceSeconds_));
    const uint64_t id = shard->nextTicket_++;
    const auto decision = limits::admit(admission,
        { id, request.workspace_, request.weight_, request.deadline_ - typicalServiceTime },
        state_->concurrency(*shard, queueKey), now, state_->admissionOptions_);
    if (decision == limits::AdmissionDecision::Refused)
        return Refusal { Reason::Overloaded,
            "the request cannot be served before its deadline at the current load", retryAfter };
    detail::Waiter& waiter = shard->waiters_[id];
    waiter.started_ = decision == limits::AdmissionDecision::Start;
    std::optional<Assignment> assignment;
    const TimePoint latestStart = request.deadline_ - typicalServiceTime;
    // A request that crashed one upstream is quarantined only once it has crashed another. A loan of a slot
    // of the same upstream must not come first and have it crash there again.
    const TimePoint waitForOtherUntil = now + (latestStart - now) / 2;
    while (!waiter.refused_) {
        if (waiter.started_ && (assignment = state_->tryAssign(*shard, request, waitForOtherUntil)))
            break;
        if (monotonicNow() >= latestStart)
            break;
        const auto plannedBorrows = state_->planBorrows(*shard, request);
        if (!plannedBorrows.empty()) {
            lock.unlock();
            for (const detail::PlannedBorrow& borrow : plannedBorrows)
                state_->outbox_.borrow_(borrow.lender_, borrow.request_);
            lock.lock();
        }
        shard->changed_.wait_until(
            lock, std::min<TimePoint>(latestStart, monotonicNow() + detail::slotPollInterval));
        if (!waiter.started_ && !waiter.refused_)
            state_->updateAdmission(*shard, queueKey, {});
    }
    const bool started = waiter.started_;
    shard->waiters_.erase(id);
    if (assignment)
        return *assignment;
    if (started)
        state_->updateAdmission(*shard, queueKey,
            limits::finishAdmitted(admission, typicalServiceTime, state_->concurrency(*shard, queueKey),
                monotonicNow(), state_->admissionOptions_));
    else
        limits::cancelQueued(admission, id);
    return Refusal { Reason::Overloaded, "no upstream had a free slot before the deadline", retryAfter };
}

void Dispatch::release(const Assignment& assignment, const AttemptResult& result)
{
    detail::ServiceShard* shard = state_->find(assignment.service_);
    if (!shard)
        return;
    std::lock_guard lock(shard->mutex_);
    const auto found = shard->attempts_.find(assignment.ticket_);
    if (found == shard->attempts_.end())
        return;
    const TimePoint now = monotonicNow();
    const detail::ActiveAttempt attempt = found->second;
    shard->attempts_.erase(found);
    routing::finish(shard->slots_, now, attempt.ticket_,
        detail::mayStillRun(result.end_) ? routing::RequestEnd::Abandoned : routing::RequestEnd::Complete);
    const auto serviceTime = std::chrono::duration_cast<Duration>(now - attempt.start_);
    state_->updateAdmission(*shard, attempt.queueKey_,
        limits::finishAdmitted(shard->admission_[attempt.queueKey_], serviceTime,
            state_->concurrency(*shard, attempt.queueKey_), now, state_->admissionOptions_));
    const auto choiceEntry = shard->choice_.upstreams_.find(attempt.upstream_);
    if (choiceEntry != shard->choice_.upstreams_.end()) {
        routing::endRequest(shard->choice_, now, attempt.upstream_, detail::outcomeOf(result), serviceTime);
        if (result.end_ == AttemptEnd::Draining) {
            auto drain = choiceEntry->second.drain_;
            drain.response_ = true;
            shard->lastDrainRefusal_[attempt.upstream_] = now;
            routing::setDrain(shard->choice_, now, attempt.upstream_, drain);
        }
    }
}

void Dispatch::forgive(const std::vector<std::string>& upstreams)
{
    for (const std::string& upstream : upstreams) {
        if (detail::ServiceShard* shard = state_->findByUpstream(upstream)) {
            std::lock_guard lock(shard->mutex_);
            routing::revertError(shard->choice_, upstream);
        }
    }
}

bool Dispatch::mayRetry(const std::string& service, const routing::FailedAttempt& failed)
{
    detail::ServiceShard* shard = state_->find(service);
    if (!shard)
        return false;
    std::lock_guard lock(shard->mutex_);
    return routing::spendRetryToken(shard->retries_, {}, monotonicNow(), failed);
}

void Dispatch::report(const std::string& service, const std::string& upstream, const UpstreamReport& report)
{
    detail::ServiceShard* shard = state_->find(service);
    if (!shard)
        return;
    std::lock_guard lock(shard->mutex_);
    const auto choiceEntry = shard->choice_.upstreams_.find(upstream);
    if (choiceEntry == shard->choice_.upstreams_.end())
        return;
    const TimePoint now = monotonicNow();
    routing::recordUsableFraction(shard->choice_, now, upstream, report.usable_);
    auto drain = choiceEntry->second.drain_;
    // A report may be older than the last refusal, so it ends a drain only drainReportLag after it.
    const bool recentRefusal = now < shard->lastDrainRefusal_[upstream] + detail::drainReportLag;
    drain.response_ = report.draining_ || (drain.response_ && recentRefusal);
    routing::setDrain(shard->choice_, now, upstream, drain);
}

void Dispatch::setLeaving(const std::set<std::string>& upstreams)
{
    for (detail::ServiceShard* shard : state_->allShards()) {
        std::lock_guard lock(shard->mutex_);
        for (const auto& [name, upstream] : shard->upstreams_) {
            auto drain = shard->choice_.upstreams_.at(name).drain_;
            drain.list_ = upstreams.count(name) > 0;
            routing::setDrain(shard->choice_, monotonicNow(), name, drain);
        }
    }
}

std::optional<routing::Loan> Dispatch::lend(const routing::BorrowRequest& request)
{
    detail::ServiceShard* shard = state_->findByUpstream(request.upstream_);
    if (!shard)
        return std::nullopt;
    std::lock_guard lock(shard->mutex_);
    return routing::lend(shard->slots_, monotonicNow(), state_->shared_.leaseEnd(), request);
}

void Dispatch::acceptLoan(const std::string& lender, const routing::Loan& loan)
{
    detail::ServiceShard* shard = state_->findByUpstream(loan.slot_.upstream_);
    if (!shard)
        return;
    std::optional<routing::AddressedLoanReturn> unwanted;
    {
        std::lock_guard lock(shard->mutex_);
        unwanted = routing::acceptLoan(shard->slots_, monotonicNow(), lender, loan);
        shard->changed_.notify_all();
    }
    if (unwanted)
        state_->outbox_.returnLoan_(unwanted->lender_, unwanted->return_);
}

void Dispatch::applyReturn(const routing::LoanReturn& loan)
{
    if (detail::ServiceShard* shard = state_->findByUpstream(loan.slot_.upstream_)) {
        std::lock_guard lock(shard->mutex_);
        routing::applyReturn(shard->slots_, monotonicNow(), loan);
        shard->changed_.notify_one();
    }
}

void Dispatch::applyRelease(const routing::SlotRelease& release)
{
    if (detail::ServiceShard* shard = state_->findByUpstream(release.slot_.upstream_)) {
        std::lock_guard lock(shard->mutex_);
        routing::applyRelease(shard->slots_, monotonicNow(), release);
        shard->changed_.notify_one();
    }
}

void Dispatch::tick()
{
    std::vector<routing::AddressedLoanReturn> returns;
    std::vector<std::pair<std::string, routing::SlotRelease>> releases;
    for (detail::ServiceShard* shard : state_->allShards()) {
        std::lock_guard lock(shard->mutex_);
        const TimePoint now = monotonicNow();
        const auto collect = [&](std::vector<routing::AddressedLoanReturn> more) {
            returns.insert(returns.end(), more.begin(), more.end());
        };
        collect(routing::tick(shard->slots_, now));
        if (now >= state_->shared_.leaseEnd())
            collect(routing::discardLoans(shard->slots_, now));
        for (const auto& [name, upstream] : shard->upstreams_)
            collect(routing::returnIdleLoans(shard->slots_, now, name, 0));
        if (now >= shard->nextRelease_) {
            shard->nextRelease_ = now + detail::releaseInterval;
            for (const routing::SlotRelease& release : routing::releases(shard->slots_, now)) {
                for (const std::string& host : shard->lenders_[release.slot_.upstream_])
                    releases.emplace_back(host, release);
            }
        }
        shard->changed_.notify_all();
    }
    for (const auto& loan : returns)
        state_->outbox_.returnLoan_(loan.lender_, loan.return_);
    for (const auto& [host, release] : releases)
        state_->outbox_.release_(host, release);
}

std::vector<UpstreamStatus> Dispatch::status(const std::string& service) const
{
    std::vector<UpstreamStatus> rows;
    const detail::ServiceShard* shard = state_->find(service);
    if (!shard)
        return rows;
    std::lock_guard lock(shard->mutex_);
    const TimePoint now = monotonicNow();
    for (const auto& [name, upstream] : shard->upstreams_) {
        const auto& choiceEntry = shard->choice_.upstreams_.at(name);
        const uint32_t free = routing::freeSlots(
            shard->slots_, now, state_->shared_.leaseEnd(), name, now + detail::cancellationMargin);
        rows.push_back({ name, upstream.version_, choiceEntry.region_, free + choiceEntry.inFlight_, free,
            choiceEntry.inFlight_, choiceEntry.drain_.any() || shard->drained_.count(name) > 0,
            routing::isEjected(choiceEntry, now), choiceEntry.meanLatency_ });
    }
    return rows;
}

} // namespace turmericwing::host
