// Token pulls, grants and waits of one host.
#include "turmericwing/host/tokens.h"

#include "turmericwing/base/hash.h"

#include <algorithm>
#include <set>

namespace turmericwing::host {

namespace detail {

    /// A request waits this long for a pull's answer; above the longest round trip between regions (110 ms).
    constexpr auto maximumTokenWait = std::chrono::milliseconds(250);

    /// Shares of a workspace in the order in which a host asks for tokens.
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
        workspace.targets_.clear();
        const auto shares = detail::sharesOf(definition, members);
        for (const limits::Share& share : shares) {
            if (share.host_ != host_)
                workspace.targets_.push_back({ share.host_, share.kind_, share.limits_.burst_ });
        }
        if (!snapshot.sharesUsable_)
            workspace.held_.clear();
        else
            limits::applyView(workspace.held_, host_, shares, snapshot.head_.epoch_,
                limits::ViewPhase::Active, now, options_);
        for (const Version& newer : snapshot.newer_)
            limits::applyView(workspace.held_, host_, detail::sharesIn(newer, definition.name_),
                newer.head_.epoch_, limits::ViewPhase::Learned, now, options_);
        shard.changed_.notify_all();
    }
    dropRemoved(snapshot);
}

void Tokens::dropRemoved(const Snapshot& snapshot)
{
    for (Shard& shard : shards_) {
        std::lock_guard lock(shard.mutex_);
        for (auto& [name, workspace] : shard.workspaces_) {
            // Waiting requests hold references, so the entry stays and only loses its shares and targets.
            if (!model::find(snapshot.set_->workspaces_, name)) {
                workspace.held_.clear();
                workspace.targets_.clear();
            }
        }
    }
}

void Tokens::refresh(Workspace& workspace, TimePoint now)
{
    const TimePoint leaseEnd = state_.leaseEnd();
    limits::refreshTokens(workspace.pulled_, leaseEnd, now, options_);
    if (now >= leaseEnd)
        workspace.held_.clear();
}

std::optional<Tokens::TokenSource> Tokens::spend(Workspace& workspace, TimePoint now)
{
    for (auto& [kind, share] : workspace.held_) {
        if (limits::spendFromShare(share, now, options_))
            return kind == limits::ShareKind::Main ? TokenSource::MainShare : TokenSource::FloorShare;
    }
    if (limits::spendToken(workspace.pulled_, now, options_))
        return TokenSource::Pulled;
    return std::nullopt;
}

std::vector<Tokens::Pull> Tokens::planPulls(Workspace& workspace, TimePoint now)
{
    std::vector<Pull> pulls;
    uint64_t waiting = workspace.waiting_;
    for (const limits::PullTarget& target : workspace.targets_) {
        auto request = limits::nextPull(workspace.pulled_, target, waiting, workspace.epoch_, now, options_);
        if (!request)
            continue;
        waiting -= std::min(waiting, request->waiting_);
        pulls.push_back({ target.host_, std::move(*request) });
        if (waiting == 0)
            break;
    }
    return pulls;
}

void Tokens::send(const std::vector<Pull>& pulls)
{
    for (const Pull& pull : pulls)
        outbox_.pull_(pull.host_, pull.request_);
}

Tokens::Taken Tokens::take(const std::string& name, TimePoint deadline)
{
    Shard& shard = shardOf(name);
    std::unique_lock lock(shard.mutex_);
    const auto found = shard.workspaces_.find(name);
    if (found == shard.workspaces_.end())
        return { std::nullopt, std::chrono::seconds(1) };
    Workspace& workspace = found->second;
    TimePoint now = monotonicNow();
    const TimePoint giveUp = std::min<TimePoint>(deadline, now + detail::maximumTokenWait);
    limits::noteDemand(workspace.pulled_, now, options_);
    refresh(workspace, now);
    std::optional<TokenSource> source = spend(workspace, now);
    ++workspace.waiting_;
    while (!source && now < giveUp) {
        const auto pulls = planPulls(workspace, now);
        if (!pulls.empty()) {
            lock.unlock();
            send(pulls);
            lock.lock();
        }
        TimePoint wake = giveUp;
        for (const auto& [kind, share] : workspace.held_)
            wake = std::min(wake, limits::tokensReadyAt(share.bucket_, 1, now));
        shard.changed_.wait_until(lock, std::max<TimePoint>(wake, now + std::chrono::milliseconds(1)));
        now = monotonicNow();
        refresh(workspace, now);
        source = spend(workspace, now);
    }
    --workspace.waiting_;
    if (source) {
        const auto prefetch = planPulls(workspace, now);
        lock.unlock();
        send(prefetch);
        return { source, {} };
    }
    TimePoint ready = std::max<TimePoint>(limits::nextTokenAt(workspace.pulled_, now), now);
    for (const auto& [kind, share] : workspace.held_)
        ready = std::min(ready, limits::tokensReadyAt(share.bucket_, 1, now));
    const auto wait = std::chrono::duration_cast<Duration>(ready - now);
    return { std::nullopt, std::max<Duration>(wait, std::chrono::milliseconds(10)) };
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
    const auto share = found->second.held_.find(kind);
    if (share == found->second.held_.end())
        return;
    limits::putBackTokens(share->second.bucket_, 1, monotonicNow());
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
    const auto share = found->second.held_.find(request.kind_);
    if (share == found->second.held_.end())
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
    const auto share = found->second.held_.find(tokens.kind_);
    if (share != found->second.held_.end())
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
            const auto used = limits::takeUsedUp(workspace.pulled_);
            notices.insert(notices.end(), used.begin(), used.end());
        }
    }
    for (const limits::TokenReturn& tokens : notices)
        outbox_.giveBack_(tokens.holder_, tokens);
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
        outbox_.giveBack_(tokens.holder_, tokens);
}

} // namespace turmericwing::host
