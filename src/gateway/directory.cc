// Service directory: upstreams by service, through outages of the store.
#include "turmericwing/gateway/directory.h"

#include "turmericwing/base/hash.h"
#include "turmericwing/gateway/report.h"

#include <algorithm>

namespace turmericwing::gateway {

namespace detail {

    std::optional<size_t> indexOf(const ServicePool& pool, const std::string& id)
    {
        const auto found = std::find_if(pool.targets_.begin(), pool.targets_.end(),
            [&](const routing::Target& target) { return target.id_ == id; });
        if (found == pool.targets_.end())
            return std::nullopt;
        return static_cast<size_t>(found - pool.targets_.begin());
    }

    routing::Incarnation incarnationOf(const UpstreamEntry& entry) { return { entry.startedMs_, entry.id_ }; }

    /// Removes an upstream with all that is known of it but the state that it has announced: its entry can
    /// come back, for example after an outage of the store.
    void erase(Directory& directory, TimePoint now, const std::string& id)
    {
        const auto service = directory.serviceOf_.find(id);
        if (service == directory.serviceOf_.end())
            return;
        ServicePool& pool = directory.services_[service->second];
        if (const auto index = indexOf(pool, id)) {
            routing::rememberState(directory.unlistedStates_, directory.stateOptions_, now,
                incarnationOf(pool.records_[*index].entry_), pool.targets_[*index].announced_);
            pool.targets_.erase(pool.targets_.begin() + static_cast<std::ptrdiff_t>(*index));
            pool.records_.erase(pool.records_.begin() + static_cast<std::ptrdiff_t>(*index));
        }
        directory.serviceOf_.erase(service);
    }

    routing::Target makeTarget(const Directory& directory, const UpstreamEntry& entry)
    {
        const auto region = directory.regionOf_.find(entry.failureDomain_);
        return { .id_ = entry.id_,
            .hash_ = hash64(entry.id_),
            .region_ = region == directory.regionOf_.end() ? std::string() : region->second,
            .failureDomain_ = entry.failureDomain_,
            .version_ = entry.version_,
            .slots_ = entry.slots_ };
    }

    void add(Directory& directory, const UpstreamEntry& entry)
    {
        ServicePool& pool = directory.services_[entry.service_];
        pool.targets_.push_back(makeTarget(directory, entry));
        pool.targets_.back().announced_ = routing::takeState(directory.unlistedStates_, incarnationOf(entry));
        pool.records_.push_back(
            { .entry_ = entry, .incarnationHash_ = incarnationHash(entry.id_, entry.startedMs_) });
        directory.serviceOf_[entry.id_] = entry.service_;
    }

    /// Whether the entries under one id differ in start time, service, address or version, and so come from
    /// different runs.
    bool isOtherRun(const UpstreamEntry& a, const UpstreamEntry& b)
    {
        return a.startedMs_ != b.startedMs_ || a.service_ != b.service_ || a.address_ != b.address_
            || a.version_ != b.version_;
    }

    /// Whether an entry is of the same run as a record, and was written before the record's entry.
    bool isOlderEntry(const UpstreamRecord& known, const UpstreamEntry& entry)
    {
        return !isOtherRun(known.entry_, entry) && entry.sequence_ < known.entry_.sequence_;
    }

    /// Whether the entry has been superseded by one that this host has seen.
    bool isOutdated(const Directory& directory, TimePoint now, const UpstreamRef& known,
        const DepartedUpstream* departed, const UpstreamEntry& entry)
    {
        if (known.record_) {
            // Clocks may be stepped back, so outside of this time a lower start time is a new run.
            const bool settling = directory.restored_ && now < directory.settlingEndsAt_;
            const bool earlierRun = entry.startedMs_ < known.record_->entry_.startedMs_;
            return isOlderEntry(*known.record_, entry) || (settling && earlierRun);
        }
        if (!departed || isOtherRun(departed->record_.entry_, entry))
            return false;
        const bool sameEntry = entry.sequence_ == departed->record_.entry_.sequence_;
        return isOlderEntry(departed->record_, entry) || (sameEntry && !departed->record_.lapsed_);
    }

    void setCold(UpstreamRef upstream, TimePoint now, Duration remainingColdTime)
    {
        upstream.target_->coldUntil_ = now + remainingColdTime;
        upstream.record_->coldBucket_.reset();
    }

} // namespace detail

UpstreamRef findUpstream(Directory& directory, const std::string& id)
{
    const auto service = directory.serviceOf_.find(id);
    if (service == directory.serviceOf_.end())
        return {};
    ServicePool& pool = directory.services_[service->second];
    const auto index = detail::indexOf(pool, id);
    return index ? UpstreamRef { &pool.targets_[*index], &pool.records_[*index] } : UpstreamRef {};
}

bool upsertEntry(Directory& directory, TimePoint now, const UpstreamEntry& entry)
{
    UpstreamRef known = findUpstream(directory, entry.id_);
    const auto departure = directory.departed_.find(entry.id_);
    const DepartedUpstream* departed = departure == directory.departed_.end() ? nullptr : &departure->second;
    if (detail::isOutdated(directory, now, known, departed, entry))
        return false;
    if (known.target_ && detail::isOtherRun(known.record_->entry_, entry)) {
        detail::erase(directory, now, entry.id_);
        known = {};
    }
    const bool added = !known.target_;
    if (added) {
        detail::add(directory, entry);
        known = findUpstream(directory, entry.id_);
        if (departed && !detail::isOtherRun(departed->record_.entry_, entry)) {
            known.record_->leavingSeen_ = departed->record_.leavingSeen_;
            known.record_->limit_ = departed->record_.limit_;
        }
        directory.departed_.erase(entry.id_);
    }
    // remainingColdTime_ is fixed when the entry is written, so only a changed value may make the upstream
    // cold again.
    const bool coldChanged = added || known.record_->entry_.remainingColdTime_ != entry.remainingColdTime_;
    if (coldChanged && entry.remainingColdTime_ > Duration::zero())
        detail::setCold(known, now, entry.remainingColdTime_);
    known.record_->entry_ = entry;
    known.record_->unusableAt_.reset();
    known.record_->leavingSeen_ = known.record_->leavingSeen_ || entry.leaving_;
    known.target_->slots_ = entry.slots_;
    known.target_->usable_ = !known.record_->leavingSeen_;
    ServicePool& pool = directory.services_[entry.service_];
    if (pool.baseVersion_.empty())
        pool.baseVersion_ = entry.version_;
    return true;
}

std::optional<routing::UpstreamStatus> recordNotice(Directory& directory, TimePoint now,
    const routing::Incarnation& sender, const routing::UpstreamNotice& notice)
{
    const UpstreamRef known = findUpstream(directory, sender.id_);
    if (known.target_ && detail::incarnationOf(known.record_->entry_) == sender)
        return routing::applyNotice(known.target_->announced_, directory.stateOptions_, now, notice);
    routing::AnnouncedState state = routing::takeState(directory.unlistedStates_, sender);
    const auto changed = routing::applyNotice(state, directory.stateOptions_, now, notice);
    routing::rememberState(directory.unlistedStates_, directory.stateOptions_, now, sender, state);
    return changed;
}

void removeEntry(Directory& directory, TimePoint now, const std::string& id)
{
    const UpstreamRef known = findUpstream(directory, id);
    if (!known.target_ || known.record_->unusableAt_)
        return;
    const bool mayHaveLapsed = directory.storeUnavailable_ || now < directory.settlingEndsAt_;
    known.record_->lapsed_ = mayHaveLapsed;
    if (!mayHaveLapsed)
        known.target_->usable_ = false;
    known.record_->unusableAt_ = !mayHaveLapsed ? now
        : directory.storeUnavailable_           ? TimePoint::max()
                                                : directory.settlingEndsAt_;
}

void removeEntriesExcept(Directory& directory, TimePoint now, const std::set<std::string>& ids)
{
    std::vector<std::string> missing;
    for (const auto& [id, service] : directory.serviceOf_) {
        if (!ids.contains(id))
            missing.push_back(id);
    }
    for (const std::string& id : missing)
        removeEntry(directory, now, id);
}

void onStoreLost(Directory& directory, TimePoint now)
{
    directory.storeUnavailable_ = true;
    directory.storeLostAt_ = now;
}

void onPeerStoreContact(Directory& directory, TimePoint now, Duration reachableFor)
{
    const bool settling = !directory.storeUnavailable_ && now < directory.settlingEndsAt_;
    if (!settling || directory.restored_
        || now - reachableFor > directory.storeLostAt_ - directory.options_.maxLossDetectionDelay_)
        return;
    directory.settlingEndsAt_ = now;
    for (auto& [name, pool] : directory.services_) {
        for (UpstreamRecord& record : pool.records_) {
            if (record.unusableAt_)
                record.unusableAt_ = std::min(*record.unusableAt_, now);
        }
    }
}

void onStoreRestored(Directory& directory, TimePoint now)
{
    directory.restored_ = true;
    directory.settlingEndsAt_ = now + directory.options_.settlingTime_;
}

void onStoreRegained(Directory& directory, TimePoint now)
{
    directory.storeUnavailable_ = false;
    directory.restored_ = directory.restored_ && now < directory.settlingEndsAt_;
    directory.settlingEndsAt_ = now + directory.options_.settlingTime_;
    for (auto& [name, pool] : directory.services_) {
        for (UpstreamRecord& record : pool.records_) {
            if (record.unusableAt_ && *record.unusableAt_ == TimePoint::max())
                record.unusableAt_ = directory.settlingEndsAt_;
        }
    }
}

std::vector<std::string> expireEntries(Directory& directory, TimePoint now)
{
    std::vector<std::string> gone;
    std::vector<std::string> removable;
    for (auto& [name, pool] : directory.services_) {
        for (size_t i = 0; i < pool.targets_.size(); ++i) {
            const auto& unusableAt = pool.records_[i].unusableAt_;
            if (!unusableAt || now < *unusableAt)
                continue;
            pool.targets_[i].usable_ = false;
            gone.push_back(pool.targets_[i].id_);
            if (pool.targets_[i].inFlight_ == 0)
                removable.push_back(pool.targets_[i].id_);
        }
    }
    for (const std::string& id : removable) {
        directory.departed_[id]
            = { *findUpstream(directory, id).record_, now + directory.options_.departureMemory_ };
        detail::erase(directory, now, id);
    }
    std::erase_if(
        directory.departed_, [&](const auto& departed) { return now >= departed.second.forgottenAt_; });
    return gone;
}

} // namespace turmericwing::gateway
