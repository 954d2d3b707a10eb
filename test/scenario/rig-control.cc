// Control loop of a host in the rig: head, lease, evidence, membership, configurations and moves.
#include "rig.h"

#include "turmericwing/base/hash.h"
#include "turmericwing/limits/placement.h"

#include <algorithm>

namespace turmericwing::scenario {

namespace detail {

    constexpr auto longestWrite = std::chrono::seconds(20);

    rollout::MoveRecord recordOf(const control::MoveStatus& status)
    {
        return { status.step_, status.share_, static_cast<rollout::Phase>(status.phase_), status.reason_ };
    }

    control::MoveStatus statusOf(const std::string& name, const rollout::MoveRecord& record)
    {
        return { name, record.step_, record.share_, static_cast<control::MovePhase>(record.phase_),
            record.reason_ };
    }

    routing::Placement placementOf(const VersionInUse& version, const std::string& service,
        const std::map<std::string, std::string>& regions)
    {
        routing::Placement placement { { version.head_.revision_, version.head_.epoch_ }, {}, {} };
        std::vector<routing::SlotHost> hosts;
        for (const auto& member : version.head_.members_)
            hosts.push_back({ member.host_, member.incarnation_, member.region_ });
        uint32_t longest = 0;
        for (const auto& route : version.set_->routes_)
            longest = route.service_ == service ? std::max(longest, route.timeoutMs_) : longest;
        for (const auto& upstream : version.set_->upstreams_) {
            if (upstream.service_ == service)
                placement.upstreams_.push_back({ upstream.name_, service, regions.at(upstream.failureDomain_),
                    upstream.slots_, upstream.connections_, std::chrono::milliseconds(longest) });
        }
        placement.homes_ = routing::slotHomes(hosts, placement.upstreams_);
        return placement;
    }

    std::vector<limits::Share> sharesOf(const model::Workspace& workspace, const control::Head& head)
    {
        std::vector<limits::PlacementHost> hosts;
        for (const auto& member : head.members_)
            hosts.push_back({ member.host_, member.region_, member.failureDomain_ });
        return limits::splitLimits(limits::placeWorkspace(workspace.name_, workspace.region_, hosts),
            { workspace.rate_, workspace.burst_ });
    }

} // namespace detail

void Rig::read(Host& h)
{
    if (!storeReachable(h))
        return;
    const TimePoint sentAt = local(h);
    const Duration delay = storeDelay(h);
    post(delay, [this, &h, sentAt, delay, incarnation = h.member_.incarnation_] {
        if (!storeReachable(h))
            return;
        post(delay, [this, &h, sentAt, incarnation, head = row_] {
            deliver(h.member_.host_, incarnation, [this, sentAt, head](Host& reader) {
                learn(reader, head);
                if (!control::recordRead(reader.lease_, {}, head, sentAt, local(reader)))
                    fail("I11 head", "a read of the head was refused at " + reader.member_.host_);
                control::recordStoreContact(reader.knowledge_, sentAt);
            });
        });
    });
}

void Rig::learn(Host& h, const control::Head& head)
{
    if (!control::learnHead(h.lease_, {}, head, local(h)))
        return;
    control::recordHead(h.knowledge_, head);
    h.heads_[head.version_] = head;
    control::learnRevision(h.config_, {}, control::headIdOf(head), local(h));
    if (h.prepared_.contains(head.digest_))
        prepare(h, head.digest_);
}

void Rig::prepare(Host& h, const std::string& digest)
{
    h.prepared_.insert(digest);
    for (const auto& [version, head] : h.heads_) {
        if (head.digest_ == digest)
            control::recordPrepared(h.lease_, head.revision_);
    }
    for (auto& entry : h.config_.entries_) {
        if (entry.digest_ == digest && entry.phase_ == control::ConfigPhase::Fetching)
            (void)control::acceptBlob(h.config_, h.lease_, digest, texts_.at(digest));
    }
}

void Rig::probe(Host& h)
{
    const TimePoint sentAt = local(h);
    std::optional<control::SuspicionSummary> summary;
    const control::Head* known = h.lease_.known_ ? &h.heads_.at(h.lease_.known_->version_) : nullptr;
    if (known) {
        summary = control::summariseSuspicions(h.heard_, {}, *known, h.member_.host_, local(h));
        h.suspicions_[h.member_.host_] = { local(h), *summary };
    }
    for (auto& [name, other] : hosts_) {
        if (&other == &h)
            continue;
        send(h, name, [this, from = h.member_, sentAt, summary](Host& member) {
            control::recordHeartbeat(
                member.heard_, {}, from.host_, from.incarnation_, from.peerAddress_, local(member));
            if (summary)
                member.suspicions_[from.host_] = { local(member), *summary };
            const auto evidence = control::makeEvidence(member.knowledge_, {}, local(member));
            std::optional<control::Head> head;
            if (member.lease_.known_)
                head = member.heads_.at(member.lease_.known_->version_);
            send(
                member, from.host_,
                [this, sentAt, evidence, head, heads = member.candidates_](Host& asker) {
                    if (head && head->version_ >= asker.knowledge_.newestVersion_)
                        learn(asker, *head);
                    for (const auto& [digest, candidate] : heads) {
                        asker.candidates_[digest] = candidate;
                        prepare(asker, candidate.digest_);
                    }
                    if (evidence)
                        control::recordEvidence(asker.log_, asker.knowledge_, asker.lost_, sentAt, *evidence);
                },
                from.incarnation_);
        });
    }
}

void Rig::advanceWrite(Host& h)
{
    const control::Head* known = h.lease_.known_ ? &h.heads_.at(h.lease_.known_->version_) : nullptr;
    if (!known || !control::hasStoreContact(h.knowledge_, {}, local(h)))
        return;
    if (!h.write_) {
        if (h.edits_.empty() || h.knowledge_.newestVersion_ != known->version_)
            return;
        auto next = h.edits_.front()(*known);
        if (!next) {
            h.edits_.pop_front();
            return;
        }
        next->version_ = known->version_ + 1;
        next->publisher_ = h.member_.host_;
        next->nonce_ = randomId(random_);
        HeadWrite write { *next, {}, false, now_ };
        write.proposal_.candidate_ = { known->version_, next->nonce_, sha256Hex(control::encodeHead(*next)) };
        if (!control::acknowledgeCandidate(h.knowledge_, write.proposal_.candidate_))
            return;
        h.candidates_[write.proposal_.candidate_.digest_] = *next;
        prepare(h, next->digest_);
        h.write_ = std::move(write);
    }
    HeadWrite& write = *h.write_;
    const control::Candidate& candidate = write.proposal_.candidate_;
    const auto at = h.heads_.find(write.next_.version_);
    const auto outcome = control::writeOutcomeOf(candidate, at != h.heads_.end() ? at->second : *known);
    const auto base = h.heads_.find(candidate.baseVersion_);
    if (outcome == control::WriteOutcome::Lost || outcome == control::WriteOutcome::Superseded
        || base == h.heads_.end()) {
        h.write_.reset();
        return;
    }
    write.written_ = outcome == control::WriteOutcome::Written;
    if (write.written_) {
        if (control::isAccepted(write.proposal_, h.knowledge_, {}, base->second, h.lost_, local(h))) {
            if (base->second.revision_ < write.next_.revision_)
                acceptedAt_.try_emplace(write.next_.revision_, now_);
            h.edits_.pop_front();
            h.write_.reset();
            return;
        }
    } else if (control::mayWrite(write.proposal_, h.knowledge_, {}, base->second, h.lost_, local(h))
        && storeReachable(h)) {
        const Duration delay = storeDelay(h);
        const bool lost = uniform(random_) < lost_;
        post(delay, [this, &h, next = write.next_, delay, lost, incarnation = h.member_.incarnation_] {
            if (storeDown_)
                return;
            commit(next);
            if (lost || !storeReachable(h))
                return;
            post(delay, [this, &h, incarnation, row = row_] {
                deliver(h.member_.host_, incarnation, [this, row](Host& writer) { learn(writer, row); });
            });
        });
    }
    announce(h);
}

void Rig::announce(Host& h)
{
    const TimePoint sentAt = local(h);
    const bool written = h.write_->written_;
    for (const auto& [name, other] : hosts_) {
        if (&other == &h)
            continue;
        send(h, name,
            [this, sentAt, written, from = h.member_, next = h.write_->next_,
                candidate = h.write_->proposal_.candidate_](Host& member) {
                prepare(member, next.digest_);
                if (written)
                    learn(member, next);
                else if (control::acknowledgeCandidate(member.knowledge_, candidate))
                    member.candidates_[candidate.digest_] = next;
                else
                    return;
                const control::Ack ack { member.member_.incarnation_, sentAt };
                send(
                    member, from.host_,
                    [written, candidate, ack, name = member.member_.host_](Host& writer) {
                        if (!writer.write_ || writer.write_->proposal_.candidate_ != candidate)
                            return;
                        auto& proposal = writer.write_->proposal_;
                        control::recordAck(written ? proposal.outcomeAcks_ : proposal.acks_, name, ack);
                    },
                    from.incarnation_);
            });
    }
}

void Rig::join(Host& h)
{
    const control::Head* known = h.lease_.known_ ? &h.heads_.at(h.lease_.known_->version_) : nullptr;
    if (!known || h.write_ || !h.edits_.empty())
        return;
    const auto listed = std::any_of(known->members_.begin(), known->members_.end(), [&](const auto& member) {
        return member.host_ == h.member_.host_ && member.incarnation_ == h.member_.incarnation_;
    });
    if (!listed) {
        h.edits_.push_back([member = h.member_](const control::Head& head) -> std::optional<control::Head> {
            for (const auto& other : head.members_) {
                if (other.host_ == member.host_ && other.incarnation_ >= member.incarnation_)
                    return std::nullopt;
            }
            const auto next = control::withMember(head, member, {});
            return next ? std::optional(next.value()) : std::nullopt;
        });
        return;
    }
    const auto gone = control::membersToRemove(h.suspicions_, {}, *known, local(h));
    // All observers see the same suspicions; the jitter keeps them from proposing the same change at once.
    if (gone.empty() || uniform(random_) > 0.2)
        return;
    h.edits_.push_back([gone](const control::Head& head) -> std::optional<control::Head> {
        const auto next = control::withoutMembers(head, gone);
        return next.members_.size() == head.members_.size() ? std::nullopt : std::optional(next);
    });
}

void Rig::refresh(Host& h)
{
    const TimePoint now = local(h);
    if (setup_.policy_ != Policy::Project) {
        h.leaseEnd_ = now + std::chrono::seconds(100);
        if (!h.lease_.known_ || !h.prepared_.contains(h.lease_.known_->digest_))
            return;
        const control::Head& head = h.heads_.at(h.lease_.known_->version_);
        h.use_ = { { head, sets_.at(head.digest_) } };
        h.usable_ = true;
    } else {
        const control::EffectiveHeads effective = control::evaluate(h.lease_, {}, now);
        control::activateConfigs(h.config_, effective);
        const bool valid = effective.admitKeyed_ && !control::isOverdue(h.config_, now);
        h.regained_ = valid && now >= h.leaseEnd_;
        h.leaseEnd_ = valid && h.lease_.usableStart_
            ? *h.lease_.usableStart_ + control::LeaseOptions {}.validity_
            : now;
        if (setup_.breakLease_)
            h.leaseEnd_ = now + std::chrono::seconds(100);
        if (!effective.extensions_ || !h.prepared_.contains(effective.extensions_->digest_))
            return;
        std::vector<VersionInUse> use;
        const auto add = [&](const control::Head& head) {
            if (h.prepared_.contains(head.digest_))
                use.push_back({ head, sets_.at(head.digest_) });
        };
        add(h.heads_.at(effective.extensions_->version_));
        for (const auto& headId : effective.restrictions_)
            add(h.heads_.at(headId.version_));
        // A candidate whose content is missing may take away anything.
        bool usable = effective.sharesUsable_;
        const size_t certain = use.size();
        for (const auto& candidate : h.knowledge_.candidates_) {
            const auto head = h.candidates_.find(candidate.digest_);
            if (!effective.needsEvidence_)
                continue;
            if (head == h.candidates_.end())
                usable = false;
            else
                add(head->second);
        }
        h.heads_.erase(h.heads_.begin(),
            h.heads_.lower_bound(std::min(use[0].head_.version_,
                h.write_ ? h.write_->proposal_.candidate_.baseVersion_ : use[0].head_.version_)));
        h.use_ = std::move(use);
        h.usable_ = usable;
        h.slotsBlocked_ = false;
        for (size_t i = certain; i < h.use_.size(); ++i)
            h.slotsBlocked_ = h.slotsBlocked_
                || h.use_[i].head_.revision_ + h.use_[i].head_.epoch_
                    != h.use_[certain - 1].head_.revision_ + h.use_[certain - 1].head_.epoch_;
    }
    std::string key = h.usable_ ? "+" : "-";
    for (const auto& version : h.use_)
        key += std::to_string(version.head_.version_) + version.head_.nonce_ + ",";
    if (key == h.useKey_ && !h.regained_)
        return;
    h.useKey_ = key;
    applyTokens(h);
    applySlots(h);
    for (const auto& status : h.use_[0].head_.moves_) {
        MoveOnHost& move = h.moves_[status.name_];
        move.share_.floor_ = !setup_.breakMoves_;
        rollout::setRecord(move.share_, detail::recordOf(status));
    }
    // Restrictions first: a move that a newer version ends is stopped at once.
    for (const auto& version : h.use_) {
        for (const auto& status : version.head_.moves_) {
            if (status.phase_ == control::MovePhase::RolledBack)
                rollout::trip(h.moves_[status.name_].share_);
        }
    }
}

void Rig::applyTokens(Host& h)
{
    const VersionInUse& inForce = h.use_[0];
    const limits::GrantOptions options;
    for (const auto& definition : inForce.set_->workspaces_) {
        WorkspaceState& workspace = h.workspaces_[definition.name_];
        const double parts
            = setup_.policy_ == Policy::RoundRobin ? static_cast<double>(inForce.head_.members_.size()) : 1;
        if (setup_.policy_ != Policy::Project) {
            const limits::BucketLimits limits { definition.rate_ / parts, definition.burst_ / parts };
            if (workspace.static_.limits_ != limits)
                workspace.static_ = limits::makeEmptyBucket(limits, local(h));
            continue;
        }
        workspace.pulled_.workspace_ = definition.name_;
        workspace.pulled_.host_ = h.member_.host_;
        workspace.pulled_.incarnation_ = h.member_.incarnation_;
        workspace.targets_.clear();
        std::map<limits::ShareKind, limits::BucketLimits> own;
        for (const auto& share : detail::sharesOf(definition, inForce.head_)) {
            if (share.host_ == h.member_.host_)
                own.emplace(share.kind_,
                    setup_.breakGrants_ ? limits::BucketLimits { definition.rate_, definition.burst_ }
                                        : share.limits_);
            else
                workspace.targets_.push_back({ share.host_, share.kind_, share.limits_.burst_ });
        }
        for (size_t i = 1; i < h.use_.size(); ++i) {
            std::map<limits::ShareKind, limits::BucketLimits> kept;
            const auto* newer = model::find(h.use_[i].set_->workspaces_, definition.name_);
            for (const auto& share :
                newer ? detail::sharesOf(*newer, h.use_[i].head_) : std::vector<limits::Share>()) {
                if (share.host_ == h.member_.host_ && own.contains(share.kind_))
                    kept[share.kind_] = { std::min(own[share.kind_].rate_, share.limits_.rate_),
                        std::min(own[share.kind_].burst_, share.limits_.burst_) };
            }
            own = std::move(kept);
        }
        if (!h.usable_)
            own.clear();
        std::erase_if(workspace.held_, [&](const auto& entry) { return !own.contains(entry.first); });
        for (const auto& [kind, limits] : own) {
            const auto held = workspace.held_.find(kind);
            if (held == workspace.held_.end())
                workspace.held_.emplace(
                    kind, limits::acquireShare(limits, inForce.head_.epoch_, local(h), options));
            else
                limits::updateShare(held->second, limits, inForce.head_.epoch_, local(h), options);
        }
    }
}

void Rig::applySlots(Host& h)
{
    std::set<std::string> drained;
    for (const auto& version : h.use_) {
        drained.insert(version.head_.drainedUpstreams_.begin(), version.head_.drainedUpstreams_.end());
        for (const auto& upstream : version.set_->upstreams_) {
            if (upstream.drain_)
                drained.insert(upstream.name_);
        }
    }
    const control::Head* newest = nullptr;
    for (const auto& version : h.use_) {
        if (h.heads_.contains(version.head_.version_) && h.heads_.at(version.head_.version_) == version.head_)
            newest = &version.head_;
    }
    const VersionInUse& inForce = h.use_[0];
    for (const auto& definition : inForce.set_->services_) {
        ServiceState& service = h.services_[definition.name_];
        const bool first = service.slots_.host_.empty();
        service.slots_.host_ = service.choice_.host_ = h.member_.host_;
        service.slots_.incarnation_ = h.member_.incarnation_;
        service.slots_.options_.waitForPreviousHome_ = !setup_.breakSlots_;
        for (const auto& upstream : inForce.set_->upstreams_) {
            if (upstream.service_ != definition.name_)
                continue;
            if (!service.choice_.upstreams_.contains(upstream.name_))
                routing::addUpstream(service.choice_, local(h), upstream.name_, definition.name_,
                    domainRegion_.at(upstream.failureDomain_), !first);
            auto drain = service.choice_.upstreams_.at(upstream.name_).drain_;
            drain.head_ = drained.contains(upstream.name_);
            routing::setDrain(service.choice_, local(h), upstream.name_, drain);
        }
        if (first) {
            const auto near = std::count_if(inForce.head_.members_.begin(), inForce.head_.members_.end(),
                [&](const auto& member) { return member.region_ == h.member_.region_; });
            for (const auto& link : inForce.set_->links_) {
                const double bytes
                    = link.capacityMbps_ * 1e6 / 8 / static_cast<double>(std::max<int64_t>(near, 1) * 3);
                if (link.from_ == h.member_.region_)
                    service.links_[link.to_] = { bytes, bytes / 10, 0, local(h) };
            }
        }
        const VersionInUse* last = &inForce;
        for (const auto& version : h.use_)
            last = newest && version.head_ == *newest ? &version : last;
        const auto placement = detail::placementOf(*last, definition.name_, domainRegion_);
        routing::applyPlacement(service.slots_, local(h), placement, h.usable_);
        service.lenders_.clear();
        for (const auto& [slot, home] : placement.homes_) {
            auto& lenders = service.lenders_[slot.upstream_];
            if (home.host_ != h.member_.host_ && std::count(lenders.begin(), lenders.end(), home.host_) == 0)
                lenders.push_back(home.host_);
        }
    }
}

bool Rig::keyAccepted(const Host& h, const std::string& name) const
{
    return !h.use_.empty() && std::all_of(h.use_.begin(), h.use_.end(), [&](const auto& version) {
        const model::Key* key = model::find(version.set_->keys_, name);
        return key && !key->withdrawn_;
    });
}

void Rig::tick(Host& h)
{
    const int64_t round = h.round_++;
    if (round % 8 == 0) {
        read(h);
        if (setup_.policy_ == Policy::Project)
            probe(h);
    }
    const TimePoint now = local(h);
    control::recordTick(h.heard_, {}, now);
    if (h.lease_.known_) {
        const control::Head head = h.heads_.at(h.lease_.known_->version_);
        control::tryRecover(h.knowledge_, h.log_, {}, head, h.candidates_, h.lost_, now);
        const auto extension
            = control::evaluateEvidence(h.log_, h.knowledge_, {}, head, h.candidates_, h.lost_, now);
        if (extension.start_)
            control::extendLease(h.lease_, head.version_, *extension.start_);
        if (round % 4 == 0) {
            join(h);
            advanceWrite(h);
        }
    }
    for (const auto& fetch : control::dueFetches(h.config_, {}, {}, now)) {
        if (!storeReachable(h))
            continue;
        post(2 * storeDelay(h), [this, &h, digest = fetch.digest_, incarnation = h.member_.incarnation_] {
            deliver(h.member_.host_, incarnation, [this, digest](Host& host) { prepare(host, digest); });
        });
    }
    refresh(h);
    if (h.use_.empty())
        return;
    for (auto& [name, workspace] : h.workspaces_)
        serveTokens(h, workspace);
    for (auto& [name, service] : h.services_) {
        auto returns = routing::tick(service.slots_, now);
        const auto more = [&](std::vector<routing::AddressedLoanReturn> list) {
            returns.insert(returns.end(), list.begin(), list.end());
        };
        if (now >= h.leaseEnd_)
            more(routing::discardLoans(service.slots_, now));
        for (const auto& [upstream, state] : service.choice_.upstreams_)
            more(routing::returnIdleLoans(service.slots_, now, upstream, 0));
        for (const auto& loan : returns) {
            send(h, loan.lender_, [this, service = name, back = loan.return_](Host& lender) {
                routing::applyReturn(lender.services_[service].slots_, local(lender), back);
            });
        }
        if (round % 20 == 0) {
            for (const auto& release : routing::releases(service.slots_, now)) {
                for (const auto& host : service.lenders_[release.slot_.upstream_])
                    send(h, host, [this, service = name, release](Host& home) {
                        routing::applyRelease(home.services_[service].slots_, local(home), release);
                    });
            }
        }
        serveSlots(h, service);
    }
    if (round % 10 == 0)
        tickMoves(h);
}

// Moves

std::string Rig::moveOwner(const control::Head& head, const std::string& move) const
{
    std::string owner;
    uint64_t best = 0;
    for (const auto& member : head.members_) {
        const uint64_t weight = rendezvousWeight(move, member.host_);
        if (weight >= best) {
            best = weight;
            owner = member.host_;
        }
    }
    return owner;
}

void Rig::tickMoves(Host& h)
{
    const VersionInUse& inForce = h.use_[0];
    for (const auto& status : inForce.head_.moves_) {
        MoveOnHost& move = h.moves_[status.name_];
        const model::Move* plan = model::find(inForce.set_->moves_, status.name_);
        if (!plan || setup_.policy_ != Policy::Project)
            continue;
        if (h.round_ % 20 == 1) {
            std::map<std::string, rollout::RouteStats> period;
            for (const auto& [name, sum] : move.stats_.routes_) {
                const auto before = move.before_.routes_[name];
                auto& p = period[name];
                const auto minus = [](rollout::Comparison a, const rollout::Comparison& b) {
                    return rollout::Comparison { a.new_ - b.new_, a.newFailed_ - b.newFailed_,
                        a.old_ - b.old_, a.oldFailed_ - b.oldFailed_ };
                };
                p.errors_ = minus(sum.errors_, before.errors_);
                p.slow_ = minus(sum.slow_, before.slow_);
                p.oldLatency_ = sum.oldLatency_ - before.oldLatency_;
            }
            move.before_ = move.stats_;
            const auto hosts = static_cast<uint32_t>(inForce.head_.members_.size());
            if (!move.share_.tripped_ && status.phase_ == control::MovePhase::Running
                && rollout::addLocalPeriod(move.local_, {}, hosts, period))
                tripMove(h, status.name_, true);
        }
        const bool owns = moveOwner(inForce.head_, status.name_) == h.member_.host_ && local(h) < h.leaseEnd_;
        if (!owns) {
            move.owner_.reset();
            reportMove(h, status.name_);
            continue;
        }
        if (!move.owner_)
            move.owner_.emplace();
        if (move.share_.tripped_)
            rollout::addTrip(*move.owner_, "trip");
        rollout::addReport(*move.owner_, move.stats_);
        const auto wall
            = std::chrono::duration_cast<std::chrono::milliseconds>(now_.time_since_epoch()).count();
        const rollout::MovePlan movePlan { plan->name_, plan->cap_, plan->stepMs_, plan->startMs_,
            plan->deadlineMs_, rollout::MoveCommand::Run };
        const auto actions = rollout::tickMove(*move.owner_, wall, movePlan, detail::recordOf(status),
            control::hasStoreContact(h.knowledge_, {}, local(h)));
        move.handedOut_ = actions.share_;
        rollout::setGrant(move.share_, local(h), status.step_, actions.share_);
        if (actions.tripped_ && !move.share_.tripped_)
            tripMove(h, status.name_, true);
        if (actions.proposal_ && !h.write_ && h.edits_.empty())
            h.edits_.push_back([name = status.name_, proposal = *actions.proposal_](
                                   const control::Head& head) -> std::optional<control::Head> {
                control::Head next = head;
                for (auto& entry : next.moves_) {
                    if (entry.name_ != name)
                        continue;
                    const auto record = rollout::applyProposal(detail::recordOf(entry), proposal);
                    if (!record)
                        return std::nullopt;
                    entry = detail::statusOf(name, *record);
                    return next;
                }
                return std::nullopt;
            });
    }
}

void Rig::reportMove(Host& h, const std::string& name)
{
    h.moves_[name].stats_.tripped_ = h.moves_[name].share_.tripped_;
    const std::string owner = moveOwner(h.use_[0].head_, name);
    send(h, owner, [this, name, from = h.member_, sentAt = local(h), stats = h.moves_[name].stats_](Host& o) {
        MoveOnHost& move = o.moves_[name];
        if (!move.owner_ || local(o) >= o.leaseEnd_)
            return;
        rollout::addReport(*move.owner_, stats);
        std::map<std::string, rollout::SlowLimits> slow;
        for (const auto& [route, state] : move.owner_->routes_) {
            if (const auto limits = rollout::slowLimits(*move.owner_, route))
                slow[route] = *limits;
        }
        const uint32_t step = move.owner_->record_.step_;
        move.slow_ = slow;
        send(
            o, from.host_,
            [name, sentAt, step, slow, share = move.owner_->tripped_ ? 0 : move.handedOut_](Host& host) {
                rollout::setGrant(host.moves_[name].share_, sentAt, step, share);
                host.moves_[name].slow_ = slow;
            },
            from.incarnation_);
    });
}

void Rig::tripMove(Host& h, const std::string& name, bool tell)
{
    MoveTrace& trace = traces_[name];
    if (!trace.trippedAt_) {
        trace.trippedAt_ = now_;
        trace.newAtTrip_ = trace.new_;
        trace.totalAtTrip_ = trace.total_;
    }
    rollout::trip(h.moves_[name].share_);
    if (!tell)
        return;
    for (const auto& [host, other] : hosts_) {
        if (&other != &h)
            send(h, host, [this, name](Host& member) { tripMove(member, name, false); });
    }
}

} // namespace turmericwing::scenario
