// Upstreams by service.
#include "turmericwing/gateway/directory.h"

#include "turmericwing/base/hash.h"

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

    void erase(Directory& directory, const std::string& id)
    {
        const auto service = directory.serviceOf_.find(id);
        if (service == directory.serviceOf_.end())
            return;
        ServicePool& pool = directory.services_[service->second];
        if (const auto index = indexOf(pool, id)) {
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
        pool.records_.push_back({ .entry_ = entry });
        directory.serviceOf_[entry.id_] = entry.service_;
    }

    bool isOtherRun(const UpstreamEntry& a, const UpstreamEntry& b)
    {
        return a.startedMs_ != b.startedMs_ || a.service_ != b.service_ || a.address_ != b.address_
            || a.version_ != b.version_;
    }

    void setCold(Located upstream, TimePoint now, Duration coldLeft)
    {
        upstream.target_->coldUntil_ = now + coldLeft;
        upstream.record_->coldBucket_.reset();
    }

} // namespace detail

Located locate(Directory& directory, const std::string& id)
{
    const auto service = directory.serviceOf_.find(id);
    if (service == directory.serviceOf_.end())
        return {};
    ServicePool& pool = directory.services_[service->second];
    const auto index = detail::indexOf(pool, id);
    return index ? Located { &pool.targets_[*index], &pool.records_[*index] } : Located {};
}

void putEntry(Directory& directory, TimePoint now, const UpstreamEntry& entry)
{
    Located known = locate(directory, entry.id_);
    if (known.target_ && detail::isOtherRun(known.record_->entry_, entry)) {
        detail::erase(directory, entry.id_);
        known = {};
    }
    const bool added = !known.target_;
    if (added) {
        detail::add(directory, entry);
        known = locate(directory, entry.id_);
    }
    // Entries of before do not change with time, so that an old one does not make its upstream cold again.
    const bool coldChanged = added || known.record_->entry_.coldLeft_ != entry.coldLeft_;
    if (coldChanged && entry.coldLeft_ > Duration::zero())
        detail::setCold(known, now, entry.coldLeft_);
    known.record_->entry_ = entry;
    known.record_->goneAt_.reset();
    known.target_->slots_ = entry.slots_;
    known.target_->usable_ = !entry.leaving_;
    ServicePool& pool = directory.services_[entry.service_];
    if (pool.baseVersion_.empty())
        pool.baseVersion_ = entry.version_;
}

void dropEntry(Directory& directory, TimePoint now, const std::string& id)
{
    const Located known = locate(directory, id);
    if (!known.target_ || known.record_->goneAt_)
        return;
    const bool mayHaveLapsed = directory.storeTroubled_ || now < directory.settledAt_;
    if (!mayHaveLapsed)
        known.target_->usable_ = false;
    known.record_->goneAt_ = !mayHaveLapsed ? now
        : directory.storeTroubled_          ? TimePoint::max()
                                            : directory.settledAt_;
}

void keepOnly(Directory& directory, TimePoint now, const std::set<std::string>& ids)
{
    std::vector<std::string> missing;
    for (const auto& [id, service] : directory.serviceOf_) {
        if (!ids.contains(id))
            missing.push_back(id);
    }
    for (const std::string& id : missing)
        dropEntry(directory, now, id);
}

void storeLost(Directory& directory, TimePoint now)
{
    directory.storeTroubled_ = true;
    directory.storeLostAt_ = now;
}

void storeHeldByPeer(Directory& directory, TimePoint now, Duration held)
{
    const bool settling = !directory.storeTroubled_ && now < directory.settledAt_;
    if (!settling || now - held > directory.storeLostAt_ - directory.options_.lossNotice_)
        return;
    directory.settledAt_ = now;
    for (auto& [name, pool] : directory.services_) {
        for (UpstreamRecord& record : pool.records_) {
            if (record.goneAt_)
                record.goneAt_ = std::min(*record.goneAt_, now);
        }
    }
}

void storeRegained(Directory& directory, TimePoint now)
{
    directory.storeTroubled_ = false;
    directory.settledAt_ = now + directory.options_.settling_;
    for (auto& [name, pool] : directory.services_) {
        for (UpstreamRecord& record : pool.records_) {
            if (record.goneAt_ && *record.goneAt_ == TimePoint::max())
                record.goneAt_ = directory.settledAt_;
        }
    }
}

std::vector<std::string> expireEntries(Directory& directory, TimePoint now)
{
    std::vector<std::string> gone;
    std::vector<std::string> removable;
    for (auto& [name, pool] : directory.services_) {
        for (size_t i = 0; i < pool.targets_.size(); ++i) {
            const auto& goneAt = pool.records_[i].goneAt_;
            if (!goneAt || now < *goneAt)
                continue;
            pool.targets_[i].usable_ = false;
            gone.push_back(pool.targets_[i].id_);
            if (pool.targets_[i].inFlight_ == 0)
                removable.push_back(pool.targets_[i].id_);
        }
    }
    for (const std::string& id : removable)
        detail::erase(directory, id);
    return gone;
}

} // namespace turmericwing::gateway
