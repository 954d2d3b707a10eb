// Rate limiting on a host: spending from shares, pulling tokens from other hosts and waiting for them.
#include "turmericwing/host/tokens.h"

#include "turmericwing/base/hash.h"

#include <algorithm>
#include <set>

namespace turmericwing::host {

namespace detail {

    /// Longest time that a request waits for a token. Exceeds the longest round trip between regions (110
    /// ms), so that the reply to a pull can arrive.
    constexpr auto maximumTokenWait = std::chrono::milliseconds(250);

    /// Shares of a workspace, in the order in which a host pulls from them.
    std::vector<limits::Share> sharesOf(
        const model::Workspace& workspace, const std::vector<limits::PlacementHost>& members)
    {
        const auto placement = limits::placeWorkspace(workspace.name_, workspace.region_, members);
        return limits::splitLimits(placement, { workspace.rate_, workspace.burst_ });
    }

    std::vector<limits::PlacementHost> placementHosts(const control::Head& head)
    {
        std::vector<limits::PlacementHost> hosts;
        for (const control::Member& member : head.members_)
            hosts.push_back({ member.host_, member.region_, member.failureDomain_ });
        return hosts;
    }

    /// Shares of a workspace in another version; none when it does not define the workspace.
    std::vector<limits::Share> sharesIn(const Version& version, const std::string& workspace)
    {
        const model::Workspace* definition = model::find(version.set_->workspaces_, workspace);
        return definition ? sharesOf(*definition, placementHosts(version.head_))
                          : std::vector<limits::Share>();
    }

} // namespace detail

Tokens::Tokens(std::string host, uint64_t incarnation, const SharedState& state, Outbox outbox)
    : host_(std::move(host))
    , incarnation_(incarnation)
    , state_(state)
    , outbox_(std::move(outbox))
{
}

Tokens::Shard& Tokens::shardOf(const std::string& workspace)
{
    return shards_[hash64(workspace) % shards_.size()];
}

void Tokens::apply(const Snapshot& snapshot)
{
    const auto members = detail::placementHosts(snapshot.head_);
    const TimePoint now = monotonicNow();
    for (const model::Workspace& definition : snapshot.set_->workspaces_) {
        Shard& shard = shardOf(definition.name_);
        std::lock_guard lock(shard.mutex_);
        Workspace& workspace = shard.workspaces_[definition.name_];
        workspace.pulled_.workspace_ = definition.name_;
        workspace.pulled_.host_ = host_;
        workspace.pulled_.incarnation_ = incarnation_;
        workspace.epoch_ = snapshot.head_.epoch_;
        workspace.pullTargets_.clear();
        const auto shares = detail::sharesOf(definition, members);
        for (const limits::Share& share : shares) {
            if (share.host_ != host_)
                workspace.pullTargets_.push_back({ share.host_, share.kind_, share.limits_.burst_ });
        }
        if (!snapshot.sharesUsable_)
            workspace.heldShares_.clear();
        else
            limits::applyView(workspace.heldShares_, host_, shares, snapshot.head_.epoch_,
                limits::ViewPhase::Active, now, options_);
        for (const Version& newer : snapshot.newer_)
            limits::applyView(workspace.heldShares_, host_, detail::sharesIn(newer, definition.name_),
                newer.head_.epoch_, limits::ViewPhase::Learned, now, options_);
        shard.changed_.notify_all();
    }
    clearRemovedWorkspaces(snapshot);
}

void Tokens::clearRemovedWorkspaces(const Snapshot& snapshot)
{
    for (Shard& shard : shards_) {
        std::lock_guard lock(shard.mutex_);
        for (auto& [name, workspace] : shard.workspaces_) {
            // Waiting requests hold references to the entry, so it only loses its shares and pull targets.
            if (!model::find(snapshot.set_->workspaces_, name)) {
                workspace.heldShares_.clear();
                workspace.pullTargets_.clear();
            }
        }
    }
}

void Tokens::refresh(Workspace& workspace, TimePoint now)
{
    const TimePoint leaseEnd = state_.leaseEnd();
    limits::refreshTokens(workspace.pulled_, leaseEnd, now, options_);
    if (now >= leaseEnd)
        workspace.heldShares_.clear();
}

std::optional<Tokens::TokenSource> Tokens::spendLocally(Workspace& workspace, TimePoint now)
{
    for (auto& [kind, share] : workspace.heldShares_) {
        if (limits::spendFromShare(share, now, options_))
            return kind == limits::ShareKind::Main ? TokenSource::MainShare : TokenSource::FloorShare;
    }
    if (limits::spendToken(workspace.pulled_, now, options_))
        return TokenSource::Pulled;
    return std::nullopt;
}

std::vector<Tokens::OutgoingPull> Tokens::planPulls(Workspace& workspace, TimePoint now)
{
    std::vector<OutgoingPull> pulls;
    uint64_t uncovered = workspace.waitingRequests_;
    for (const limits::PullTarget& target : workspace.pullTargets_) {
        auto request
            = limits::nextPull(workspace.pulled_, target, uncovered, workspace.epoch_, now, options_);
        if (!request)
            continue;
        uncovered -= std::min(uncovered, request->waiting_);
        pulls.push_back({ target.host_, std::move(*request) });
        if (uncovered == 0)
            break;
    }
    return pulls;
}

void Tokens::send(const std::vector<OutgoingPull>& pulls)
{
    for (const OutgoingPull& pull : pulls)
        outbox_.pull_(pull.host_, pull.request_);
}

Tokens::TakeResult Tokens::take(const std::string& name, TimePoint deadline)
{
    Shard& shard = shardOf(name);
    std::unique_lock lock(shard.mutex_);
    const auto found = shard.workspaces_.find(name);
    if (found == shard.workspaces_.end())
        return { std::nullopt, std::chrono::seconds(1) };
    Workspace& workspace = found->second;
    TimePoint now = monotonicNow();
    const TimePoint waitDeadline = std::min<TimePoint>(deadline, now + detail::maximumTokenWait);
    limits::recordRequest(workspace.pulled_, now, options_);
    refresh(workspace, now);
    std::optional<TokenSource> source = spendLocally(workspace, now);
    ++workspace.waitingRequests_;
    while (!source && now < waitDeadline) {
        const auto pulls = planPulls(workspace, now);
        if (!pulls.empty()) {
            lock.unlock();
            send(pulls);
            lock.lock();
        }
        TimePoint wakeAt = waitDeadline;
        for (const auto& [kind, share] : workspace.heldShares_)
            wakeAt = std::min(wakeAt, limits::tokensReadyAt(share.bucket_, 1, now));
        shard.changed_.wait_until(lock, std::max<TimePoint>(wakeAt, now + std::chrono::milliseconds(1)));
        now = monotonicNow();
        refresh(workspace, now);
        source = spendLocally(workspace, now);
    }
    --workspace.waitingRequests_;
    if (source) {
        const auto prefetch = planPulls(workspace, now);
        lock.unlock();
        send(prefetch);
        return { source, {} };
    }
    TimePoint nextTokenTime = std::max<TimePoint>(limits::nextTokenAt(workspace.pulled_, now), now);
    for (const auto& [kind, share] : workspace.heldShares_)
        nextTokenTime = std::min(nextTokenTime, limits::tokensReadyAt(share.bucket_, 1, now));
    const auto retryDelay = std::chrono::duration_cast<Duration>(nextTokenTime - now);
    return { std::nullopt, std::max<Duration>(retryDelay, std::chrono::milliseconds(10)) };
}

void Tokens::putBack(const std::string& name, TokenSource source)
{
    if (source == TokenSource::Pulled)
        return;
    Shard& shard = shardOf(name);
    std::lock_guard lock(shard.mutex_);
    const auto found = shard.workspaces_.find(name);
    if (found == shard.workspaces_.end())
        return;
    const auto kind = source == TokenSource::MainShare ? limits::ShareKind::Main : limits::ShareKind::Floor;
    const auto share = found->second.heldShares_.find(kind);
    if (share == found->second.heldShares_.end())
        return;
    limits::refundTokens(share->second.bucket_, 1, monotonicNow());
    shard.changed_.notify_one();
}

limits::Grant Tokens::answer(const limits::PullRequest& request)
{
    Shard& shard = shardOf(request.workspace_);
    std::lock_guard lock(shard.mutex_);
    const auto found = shard.workspaces_.find(request.workspace_);
    if (found == shard.workspaces_.end())
        return limits::refusePull(request, 0);
    const TimePoint now = monotonicNow();
    refresh(found->second, now);
    const auto share = found->second.heldShares_.find(request.kind_);
    if (share == found->second.heldShares_.end())
        return limits::refusePull(request, found->second.epoch_);
    return limits::answerPull(share->second, request, now, options_);
}

void Tokens::acceptGrant(const limits::Grant& grant)
{
    Shard& shard = shardOf(grant.workspace_);
    std::lock_guard lock(shard.mutex_);
    const auto found = shard.workspaces_.find(grant.workspace_);
    if (found == shard.workspaces_.end())
        return;
    limits::acceptGrant(found->second.pulled_, grant, monotonicNow(), options_);
    shard.changed_.notify_all();
}

void Tokens::acceptReturn(const limits::TokenReturn& tokens)
{
    Shard& shard = shardOf(tokens.workspace_);
    std::lock_guard lock(shard.mutex_);
    const auto found = shard.workspaces_.find(tokens.workspace_);
    if (found == shard.workspaces_.end())
        return;
    const auto share = found->second.heldShares_.find(tokens.kind_);
    if (share != found->second.heldShares_.end())
        limits::acceptReturn(share->second, tokens, monotonicNow(), options_);
}

void Tokens::tick()
{
    std::vector<limits::TokenReturn> notices;
    for (Shard& shard : shards_) {
        std::lock_guard lock(shard.mutex_);
        const TimePoint now = monotonicNow();
        for (auto& [name, workspace] : shard.workspaces_) {
            refresh(workspace, now);
            const auto usedUpBatches = limits::takeExhausted(workspace.pulled_);
            notices.insert(notices.end(), usedUpBatches.begin(), usedUpBatches.end());
        }
    }
    for (const limits::TokenReturn& tokens : notices)
        outbox_.returnTokens_(tokens.holder_, tokens);
}

void Tokens::returnAll()
{
    std::vector<limits::TokenReturn> returns;
    for (Shard& shard : shards_) {
        std::lock_guard lock(shard.mutex_);
        for (auto& [name, workspace] : shard.workspaces_) {
            const auto unspent = limits::returnTokens(workspace.pulled_, monotonicNow(), options_);
            returns.insert(returns.end(), unspent.begin(), unspent.end());
        }
    }
    for (const limits::TokenReturn& tokens : returns)
        outbox_.returnTokens_(tokens.holder_, tokens);
}

} // namespace turmericwing::host
