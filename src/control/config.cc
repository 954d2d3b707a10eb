// Activation of configurations: fetches, checks and activates them in the order of their revisions.
#include "turmericwing/control/config.h"

#include "turmericwing/base/hash.h"

#include <algorithm>

namespace turmericwing::control {

void learnRevision(ConfigState& state, const ConfigOptions& options, const HeadId& headId, TimePoint now)
{
    const uint64_t newest = state.entries_.empty() ? state.activeRevision_ : state.entries_.back().revision_;
    if (headId.revision_ <= newest || headId.digest_.empty())
        return;
    // The blob of an intermediate revision is fetched too, because its restrictions apply until a newer
    // revision is active.
    state.entries_.push_back({ .revision_ = headId.revision_,
        .digest_ = headId.digest_,
        .activationDeadline_ = now + options.activationDeadline_,
        .nextFetch_ = now,
        .blob_ = {} });
}

std::vector<FetchAction> dueFetches(
    ConfigState& state, const ConfigOptions& options, const std::vector<std::string>& holders, TimePoint now)
{
    std::vector<FetchAction> out;
    for (ConfigEntry& entry : state.entries_) {
        if (entry.phase_ != ConfigPhase::Fetching || entry.nextFetch_ > now)
            continue;
        const size_t turn = entry.attempts_++ % (options.peersBeforeStore_ + 1);
        entry.nextFetch_ = now + options.retryDelay_;
        FetchAction action { .digest_ = entry.digest_, .fromStore_ = true, .peer_ = {} };
        if (turn < options.peersBeforeStore_ && !holders.empty()) {
            action.fromStore_ = false;
            action.peer_ = holders[(entry.attempts_ - 1) % holders.size()];
        }
        out.push_back(std::move(action));
    }
    return out;
}

Result<uint64_t> acceptBlob(ConfigState& state, ReadLease& lease, const std::string& digest, std::string blob)
{
    const auto it = std::find_if(state.entries_.begin(), state.entries_.end(), [&](const ConfigEntry& entry) {
        return entry.phase_ == ConfigPhase::Fetching && entry.digest_ == digest;
    });
    if (it == state.entries_.end())
        return makeError(ErrorCode::NotFound, "blob: no pending revision has the digest " + digest);
    if (sha256Hex(blob) != digest)
        return makeError(ErrorCode::Invalid, "blob: content does not match the digest " + digest);
    it->blob_ = std::move(blob);
    it->phase_ = ConfigPhase::Prepared;
    // The lease may count a revision as prepared only if no older blob is missing.
    for (const ConfigEntry& entry : state.entries_) {
        if (entry.phase_ == ConfigPhase::Fetching)
            break;
        recordPrepared(lease, entry.revision_);
    }
    return it->revision_;
}

bool activateConfigs(ConfigState& state, const EffectiveHeads& effective)
{
    if (!effective.extensions_ || effective.extensions_->revision_ <= state.activeRevision_)
        return false;
    const uint64_t revision = effective.extensions_->revision_;
    const auto it = std::find_if(state.entries_.begin(), state.entries_.end(),
        [&](const ConfigEntry& entry) { return entry.revision_ == revision; });
    if (it == state.entries_.end() || it->phase_ == ConfigPhase::Fetching)
        return false;
    it->phase_ = ConfigPhase::Active;
    state.entries_.erase(state.entries_.begin(), it);
    state.activeRevision_ = revision;
    return true;
}

bool isOverdue(const ConfigState& state, TimePoint now)
{
    return std::any_of(state.entries_.begin(), state.entries_.end(), [&](const ConfigEntry& entry) {
        return entry.phase_ != ConfigPhase::Active && entry.activationDeadline_ <= now;
    });
}

} // namespace turmericwing::control
