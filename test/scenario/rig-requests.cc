// Path of a request in the rig: caller, rate limit, slot, upstream, response.
#include "rig.h"

#include <algorithm>

namespace turmericwing::scenario {

namespace detail {

    constexpr auto clientDelay = std::chrono::milliseconds(3);
    constexpr auto tokenWait = std::chrono::milliseconds(250);

    WallTime wall(TimePoint now)
    {
        return { std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() };
    }

} // namespace detail

routing::Fingerprint Rig::print(const Request& r) const
{
    const std::string body = r.poison_ ? "poison" : std::to_string(r.id_);
    return routing::fingerprint(r.workspace_, r.route_, "", "", body, body.size());
}

void Rig::finish(const RequestPtr& r, uint64_t Counts::*outcome)
{
    if (r->done_)
        return;
    r->done_ = true;
    open_.erase(r->id_);
    if (!r->poison_)
        ++(counts_[r->workspace_].*outcome);
}

/// The caller tries the next host of its list; a refusal says that the request has not run.
void Rig::refuse(Host& h, const RequestPtr& r, const std::string& reason)
{
    if (r->runs_ > 0) {
        ++reasons_["unknown-" + reason];
        finish(r, &Counts::unknown_);
        return;
    }
    if (r->tokenFrom_ > 1) {
        auto& held = h.workspaces_[r->workspace_].held_;
        const auto share = held.find(r->tokenFrom_ == 2 ? limits::ShareKind::Main : limits::ShareKind::Floor);
        if (share != held.end()) {
            limits::refundTokens(share->second.bucket_, 1, local(h));
            level_[r->workspace_].first += 1;
        }
    }
    r->tokenFrom_ = 0;
    if (reason == "lease" && !r->hosts_.empty()) {
        post(2 * detail::clientDelay, [this, r] { toHost(r); });
        return;
    }
    ++reasons_[reason];
    finish(r, &Counts::refused_);
}

void Rig::toHost(const RequestPtr& r)
{
    if (r->hosts_.empty() || now_ >= r->deadline_) {
        finish(r, r->runs_ > 0 ? &Counts::unknown_ : &Counts::refused_);
        return;
    }
    const std::string name = r->hosts_.front();
    r->hosts_.erase(r->hosts_.begin());
    r->at_ = name;
    post(detail::clientDelay, [this, r, name] {
        // The host was killed while the request was on its way, and the caller has gone on to another one.
        if (r->done_ || r->at_ != name)
            return;
        Host& h = hosts_.at(name);
        if (!h.up_) {
            post(detail::clientDelay, [this, r] { toHost(r); });
            return;
        }
        deliver(name, h.member_.incarnation_, [this, r](Host& host) { admit(host, r); });
    });
}

void Rig::admit(Host& h, const RequestPtr& r)
{
    const bool leased = local(h) < h.leaseEnd_ && !h.use_.empty();
    if (!leased || !keyAccepted(h, r->key_)
        || routing::isQuarantined(h.quarantine_, detail::wall(now_), print(*r))) {
        refuse(h, r, leased ? "key" : "lease");
        return;
    }
    const auto revoked = revokedAt_.find(r->key_);
    if (revoked != revokedAt_.end() && now_ > revoked->second + std::chrono::seconds(3))
        fail("I3", "revoked key admitted at " + h.member_.host_);
    if (!r->idempotent_ && setup_.claims_ && setup_.policy_ == Policy::Project
        && !control::hasStoreContact(h.knowledge_, {}, local(h))) {
        refuse(h, r, "store");
        return;
    }
    limit(h, r);
}

void Rig::limit(Host& h, const RequestPtr& r)
{
    WorkspaceState& workspace = h.workspaces_[r->workspace_];
    r->tokenFrom_ = 0; // A host that was killed may have had one for it.
    r->tokenBy_ = std::min<TimePoint>(r->deadline_, now_ + detail::tokenWait);
    if (setup_.policy_ == Policy::Project)
        limits::recordRequest(workspace.pulled_, local(h), {});
    workspace.waiting_.push_back(r);
    serveTokens(h, workspace);
}

bool Rig::spend(Host& h, const RequestPtr& r)
{
    WorkspaceState& workspace = h.workspaces_[r->workspace_];
    if (setup_.policy_ != Policy::Project) {
        if (!limits::takeTokens(workspace.static_, 1, local(h)))
            return false;
        r->tokenFrom_ = 1;
    } else {
        for (auto& [kind, share] : workspace.held_) {
            if (r->tokenFrom_ == 0 && limits::spendFromShare(share, local(h), {}))
                r->tokenFrom_ = kind == limits::ShareKind::Main ? 2 : 3;
        }
        if (r->tokenFrom_ == 0 && limits::spendToken(workspace.pulled_, local(h), {}))
            r->tokenFrom_ = 1;
        if (r->tokenFrom_ == 0)
            return false;
    }
    auto& [level, since] = level_[r->workspace_];
    const auto* definition = model::find(sets_.at(row_.digest_)->workspaces_, r->workspace_);
    level = std::min(definition->burst_, level + definition->rate_ * seconds(now_ - since));
    since = now_;
    level -= 1;
    // The level of a bucket is rounded to 1 ns, so sums differ by far less than a thousandth of a token.
    if (level < -0.001) {
        ++rateExcess_;
        level = 0;
        fail("I4", "workspace " + r->workspace_ + " above its rate");
    }
    return true;
}

void Rig::pull(Host& h, WorkspaceState& workspace)
{
    uint64_t waiting = workspace.waiting_.size();
    for (const auto& target : workspace.targets_) {
        const auto request
            = limits::nextPull(workspace.pulled_, target, waiting, h.use_[0].head_.epoch_, local(h), {});
        if (!request)
            continue;
        waiting -= std::min(waiting, request->waiting_);
        send(h, target.host_, [this, request = *request, from = h.member_.incarnation_](Host& holder) {
            WorkspaceState& state = holder.workspaces_[request.workspace_];
            if (local(holder) >= holder.leaseEnd_)
                state.held_.clear();
            const auto share = state.held_.find(request.kind_);
            const auto grant = share == state.held_.end()
                ? limits::refusePull(request, 0)
                : limits::answerPull(share->second, request, local(holder), {});
            send(
                holder, request.host_,
                [this, grant](Host& host) {
                    auto& own = host.workspaces_[grant.workspace_];
                    limits::acceptGrant(own.pulled_, grant, local(host), {});
                    serveTokens(host, own);
                },
                from);
        });
        if (waiting == 0)
            break;
    }
}

void Rig::serveTokens(Host& h, WorkspaceState& workspace)
{
    if (setup_.policy_ == Policy::Project) {
        limits::refreshTokens(workspace.pulled_, h.leaseEnd_, local(h), {});
        if (local(h) >= h.leaseEnd_)
            workspace.held_.clear();
    }
    auto& waiting = workspace.waiting_;
    const bool any = !waiting.empty();
    while (!waiting.empty()) {
        const RequestPtr r = waiting.front();
        if (now_ >= r->tokenBy_) {
            waiting.pop_front();
            refuse(h, r, "rate");
        } else if (spend(h, r)) {
            waiting.pop_front();
            routed(h, r);
        } else {
            break;
        }
    }
    if (any && setup_.policy_ == Policy::Project && !h.use_.empty())
        pull(h, workspace);
    else if (any)
        for (; !waiting.empty(); waiting.pop_front())
            refuse(h, waiting.front(), "rate");
}

void Rig::routed(Host& h, const RequestPtr& r)
{
    const VersionInUse& use = h.use_[0];
    const model::Service* service = model::find(use.set_->services_, r->service_);
    r->version_ = service->version_;
    for (const auto& status : use.head_.moves_) {
        const model::Move* move = model::find(use.set_->moves_, status.name_);
        if (!move || move->service_ != r->service_)
            continue;
        MoveTrace& trace = traces_[status.name_];
        while (trace.shares_.size() > 1 && trace.shares_[1].first + std::chrono::seconds(3) < now_)
            trace.shares_.pop_front();
        double share = 0;
        for (const auto& [since, written] : trace.shares_)
            share = std::max(share, written);
        trace.allowed_ += share;
        ++trace.total_;
        bool toNew = rollout::routeToNewSide(h.moves_[status.name_].share_, local(h), r->route_);
        if (setup_.policy_ != Policy::Project)
            toNew = uniform(random_) < status.share_;
        if (!toNew)
            continue;
        r->version_ = move->toVersion_;
        ++trace.new_;
        if (static_cast<double>(trace.new_) > trace.allowed_ + 1e-6)
            fail("I1", "move " + status.name_ + " above its share");
        if (trace.trippedAt_ && now_ > *trace.trippedAt_ + std::chrono::seconds(2)) {
            ++trace.newLate_;
            fail("I5", "request to a bad version 2 s after the trip");
        }
    }
    ServiceState& state = h.services_[r->service_];
    routing::earnRetryToken(state.retries_, {});
    state.waiting_.push_back(r);
    serveSlots(h, state);
}

void Rig::serveSlots(Host& h, ServiceState& service)
{
    // First come, first served within a version: requests to one version do not wait for those to another.
    std::set<std::string> blocked;
    for (size_t i = 0; i < service.waiting_.size();) {
        const RequestPtr r = service.waiting_[i];
        const bool late = now_ >= r->deadline_;
        const bool suspect = routing::isSuspect(h.quarantine_, detail::wall(now_), print(*r));
        if (late || (!blocked.contains(r->version_) && (!suspect || r->poison_))) {
            if (!late && !assign(h, r)) {
                blocked.insert(r->version_);
                borrow(h, r);
                ++i;
                continue;
            }
            if (late)
                refuse(h, r, "slot");
            service.waiting_.erase(service.waiting_.begin() + static_cast<ptrdiff_t>(i));
            continue;
        }
        ++i;
    }
}

bool Rig::assign(Host& h, const RequestPtr& r)
{
    ServiceState& service = h.services_[r->service_];
    const TimePoint now = local(h);
    Duration left = r->deadline_ - now_;
    if (r->idempotent_ && r->attempts_ == 0)
        left = left * 2 / 3;
    std::vector<routing::SlotCount> counts;
    for (const auto& [name, state] : service.choice_.upstreams_) {
        if (upstreams_.at(name).definition_.version_ != r->version_ || state.drain_.any())
            continue;
        const uint32_t free = setup_.policy_ != Policy::Project ? 1000
            : h.slotsBlocked_                                   ? 0
                              : routing::freeSlots(service.slots_, now, h.leaseEnd_, name, now + left);
        counts.push_back({ name, free + state.inFlight_, free });
    }
    std::optional<std::string> chosen;
    if (setup_.policy_ == Policy::RoundRobin && !counts.empty())
        chosen = counts[service.turn_++ % counts.size()].upstream_;
    else if (setup_.policy_ == Policy::LeastInFlight && !counts.empty()) {
        // Ties are broken at random, or all hosts would prefer the same upstream.
        std::shuffle(counts.begin(), counts.end(), random_);
        chosen = std::min_element(counts.begin(), counts.end(), [](const auto& a, const auto& b) {
            return a.held_ < b.held_;
        })->upstream_;
    } else if (setup_.policy_ == Policy::Project)
        chosen = routing::chooseUpstream(service.choice_, now,
            { r->service_, h.member_.region_, 0, r->failed_ }, counts, service.links_, random_);
    if (!chosen)
        return false;
    std::optional<routing::SlotTicket> ticket;
    if (setup_.policy_ == Policy::Project) {
        ticket = routing::acquire(service.slots_, now, h.leaseEnd_, *chosen, now + left);
        if (!ticket)
            return false;
    }
    routing::beginRequest(service.choice_, *chosen);
    ++r->attempts_;
    begin(h, r, *chosen, ticket);
    return true;
}

void Rig::borrow(Host& h, const RequestPtr& r)
{
    if (setup_.policy_ != Policy::Project || local(h) >= h.leaseEnd_)
        return;
    ServiceState& service = h.services_[r->service_];
    std::vector<routing::LoanOffer> offers;
    for (const auto& [upstream, lenders] : service.lenders_) {
        const auto known = service.choice_.upstreams_.find(upstream);
        if (known == service.choice_.upstreams_.end() || known->second.drain_.any()
            || routing::isEjected(known->second, local(h))
            || upstreams_.at(upstream).definition_.version_ != r->version_)
            continue;
        for (const auto& lender : lenders)
            offers.push_back({ upstream, lender });
    }
    std::shuffle(offers.begin(), offers.end(), random_);
    std::stable_partition(offers.begin(), offers.end(),
        [&](const auto& offer) { return upstreams_.at(offer.upstream_).region_ == h.member_.region_; });
    for (const auto& [upstream, lender] : routing::chooseLenders(service.slots_, local(h), offers)) {
        const auto request
            = routing::borrow(service.slots_, local(h), upstream, lender, (r->deadline_ - now_) * 2);
        send(h, lender,
            [this, name = r->service_, request, lender, from = h.member_.incarnation_,
                borrower = h.member_.host_](Host& l) {
                const auto loan = l.slotsBlocked_
                    ? std::nullopt
                    : routing::lend(l.services_[name].slots_, local(l), l.leaseEnd_, request);
                if (!loan)
                    return;
                send(
                    l, borrower,
                    [this, name, lender, loan = *loan](Host& b) {
                        ServiceState& state = b.services_[name];
                        const auto back = routing::acceptLoan(state.slots_, local(b), lender, loan);
                        if (back)
                            send(b, lender, [this, name, r = back->return_](Host& owner) {
                                routing::applyReturn(owner.services_[name].slots_, local(owner), r);
                            });
                        serveSlots(b, state);
                    },
                    from);
            });
    }
}

void Rig::begin(
    Host& h, const RequestPtr& r, const std::string& upstream, std::optional<routing::SlotTicket> ticket)
{
    UpstreamState& u = upstreams_.at(upstream);
    const Duration left = r->deadline_ - now_;
    auto a = std::make_shared<Attempt>(Attempt { r, h.member_.host_, h.member_.incarnation_, upstream, ticket,
        now_, now_ + (r->idempotent_ && r->attempts_ == 1 ? left * 2 / 3 : left), {}, false, false, false });
    // A host's choice is compared with the drain that was written, not with what the host knows of it.
    if (u.drainedAt_) {
        lastAfterDrain_ = std::max(lastAfterDrain_, seconds(now_ - *u.drainedAt_));
        if (now_ > *u.drainedAt_ + std::chrono::seconds(2)) {
            ++afterDrain_;
            fail("I9", "new work on " + upstream + " 2 s after its drain");
        }
    }
    Pool& pool = h.pools_[upstream];
    a->connection_ = { now_, now_, false, true };
    while (!pool.idle_.empty()) {
        const auto connection = pool.idle_.back();
        pool.idle_.pop_back();
        if (setup_.policy_ != Policy::Project || routing::canReuse(connection, pool.health_, {}, now_)) {
            a->connection_ = connection;
            break;
        }
    }
    a->silent_ = a->connection_.opened_ < u.silentBefore_;
    const Duration delay
        = delayBetween(h.member_.region_, h.member_.failureDomain_, u.region_, u.definition_.failureDomain_);
    const TimePoint limit = setup_.policy_ == Policy::Project
        ? std::min(a->deadline_, routing::stallDeadline(now_, a->deadline_, {}))
        : a->deadline_;
    at(limit, [this, a] {
        deliver(a->host_, a->incarnation_, [this, a](Host& host) {
            if (!a->ended_ && a->silent_)
                routing::recordStall(host.pools_[a->upstream_].health_, a->start_);
            ended(host, a, End::Failed);
        });
    });
    post(delay, [this, a] { runOn(a); });
}

void Rig::runOn(const AttemptPtr& a)
{
    UpstreamState& u = upstreams_.at(a->upstream_);
    const Host& h = hosts_.at(a->host_);
    const bool linked = !cutRegions_.contains(h.member_.region_) && !cutRegions_.contains(u.region_);
    if (a->silent_ || (h.member_.region_ != u.region_ && !linked))
        return;
    const Duration back
        = delayBetween(h.member_.region_, h.member_.failureDomain_, u.region_, u.definition_.failureDomain_);
    const auto answer = [this, a, back](End end) {
        post(back, [this, a, end] {
            deliver(a->host_, a->incarnation_, [this, a, end](Host& host) { ended(host, a, end); });
        });
    };
    if (now_ < u.deadUntil_) {
        answer(End::NotSent);
        return;
    }
    Request& r = *a->request_;
    if (++r.runs_ > 1 && !r.idempotent_) {
        ++duplicates_;
        fail("I8", "non-idempotent request executed twice");
    }
    a->onUpstream_ = true;
    u.running_.push_back(a);
    const bool over = u.running_.size() > u.definition_.slots_;
    if (over) {
        ++slotExcess_;
        fail("I2", "upstream " + a->upstream_ + " above its slots");
    }
    const auto& set = *sets_.at(row_.digest_);
    const double typical = model::find(set.services_, r.service_)->typicalMs_;
    double ms = typical * (0.5 + uniform(random_));
    if (over)
        ms *= static_cast<double>(u.running_.size()) / u.definition_.slots_;
    bool failed = uniform(random_) < 0.001;
    for (const auto& [name, trace] : traces_) {
        if (trace.to_ != r.version_ || trace.bad_.empty() || now_ < trace.badFrom_)
            continue;
        failed = failed || trace.bad_ == "errors";
        ms *= trace.bad_ == "slow" ? 6 : 1;
    }
    if (r.poison_) {
        post(std::chrono::milliseconds(5), [this, &u] { crash(u); });
        return;
    }
    const TimePoint done
        = std::min<TimePoint>(now_ + Duration(static_cast<int64_t>(ms * 1000)), a->deadline_);
    at(done, [this, a, answer, failed, &u] {
        if (!a->onUpstream_)
            return;
        a->onUpstream_ = false;
        std::erase(u.running_, a);
        answer(failed ? End::Error : End::Answered);
    });
}

void Rig::crash(UpstreamState& u)
{
    if (now_ < u.deadUntil_)
        return;
    ++crashes_;
    u.deadUntil_ = now_ + std::chrono::seconds(3);
    const auto running = std::move(u.running_);
    u.running_.clear();
    for (const AttemptPtr& a : running) {
        a->onUpstream_ = false;
        post(std::chrono::milliseconds(1), [this, a] {
            deliver(a->host_, a->incarnation_, [this, a](Host& host) { ended(host, a, End::Crashed); });
        });
    }
}

void Rig::ended(Host& h, const AttemptPtr& a, End end)
{
    if (a->ended_)
        return;
    a->ended_ = true;
    const RequestPtr r = a->request_;
    ServiceState& service = h.services_[r->service_];
    const TimePoint now = local(h);
    const bool whole = end == End::Answered || end == End::Error;
    if (a->ticket_)
        routing::finish(service.slots_, now, *a->ticket_,
            whole || end == End::NotSent ? routing::RequestEnd::Complete : routing::RequestEnd::Abandoned);
    bool explained = false;
    if (end == End::Crashed) {
        const std::vector<routing::CrashSuspect> suspects { { print(*r), detail::wall(a->start_) } };
        explained = routing::hasQuarantined(h.quarantine_, detail::wall(now_), suspects);
        routing::CrashReport report { { h.member_.host_, h.member_.incarnation_, ++h.crashes_ }, a->upstream_,
            detail::wall(now_), suspects };
        for (auto& [name, other] : hosts_) {
            const auto add = [this, report](Host& host) {
                for (const auto& record :
                    routing::addCrashReport(host.quarantine_, detail::wall(now_), report).records_)
                    routing::addQuarantine(host.quarantine_, detail::wall(now_), record);
            };
            if (&other == &h)
                add(h);
            else
                send(h, name, add);
        }
    } else if (whole) {
        routing::recordCompletion(h.quarantine_, detail::wall(now_), print(*r));
        a->connection_.idleSince_ = now_;
        h.pools_[a->upstream_].idle_.push_back(a->connection_);
    }
    routing::endRequest(service.choice_, now, a->upstream_,
        end == End::Answered ? routing::Outcome::Success
            : explained      ? routing::Outcome::Ignored
                             : routing::Outcome::Error,
        now_ - a->start_);
    for (const auto& status : h.use_[0].head_.moves_) {
        const model::Move* plan = model::find(h.use_[0].set_->moves_, status.name_);
        if (!plan || plan->service_ != r->service_)
            continue;
        MoveOnHost& move = h.moves_[status.name_];
        move.stats_.host_ = h.member_.host_;
        move.stats_.incarnation_ = h.member_.incarnation_;
        auto& stats = move.stats_.routes_[r->route_];
        const bool isNew = r->version_ == plan->toVersion_;
        const bool bad = end != End::Answered;
        ++(isNew ? stats.errors_.new_ : stats.errors_.old_);
        (isNew ? stats.errors_.newFailed_ : stats.errors_.oldFailed_) += bad ? 1 : 0;
        if (!isNew && !bad)
            stats.oldLatency_ += seconds(now_ - a->start_);
        const auto slow = move.slow_.find(r->route_);
        if (slow != move.slow_.end()) {
            ++(isNew ? stats.slow_.new_ : stats.slow_.old_);
            const bool over = now_ - a->start_ > (isNew ? slow->second.new_ : slow->second.old_);
            (isNew ? stats.slow_.newFailed_ : stats.slow_.oldFailed_) += over ? 1 : 0;
        }
    }
    if (whole) {
        post(detail::clientDelay, [this, r] { finish(r, &Counts::served_); });
    } else {
        const routing::FailedAttempt failed { r->idempotent_, end != End::NotSent, false, false, r->attempts_,
            now + (r->deadline_ - now_), std::chrono::milliseconds(50) };
        const bool again = setup_.policy_ == Policy::Project
            ? routing::spendRetryToken(service.retries_, {}, now, failed)
            : end == End::NotSent && r->attempts_ < 3;
        r->failed_ = a->upstream_;
        if (again && now_ < r->deadline_
            && !routing::isQuarantined(h.quarantine_, detail::wall(now_), print(*r)))
            service.waiting_.push_back(r);
        else if (end == End::NotSent)
            refuse(h, r, "upstream");
        else {
            ++reasons_[end == End::Crashed ? "unknown-crash" : "unknown-timeout"];
            finish(r, &Counts::unknown_);
        }
    }
    serveSlots(h, service);
}

} // namespace turmericwing::scenario
