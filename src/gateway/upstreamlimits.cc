// Exchange of upstreams' limits between hosts.
#include "turmericwing/gateway/upstreamlimits.h"

#include <algorithm>
#include <cmath>

namespace turmericwing::gateway {

namespace detail {

    /// Time for which reports repeat a statement. Owners of a limited upstream hear it again within seconds.
    constexpr Duration limitReportDuration = std::chrono::seconds(10);
    /// Relative change of a limit that counts as one.
    constexpr double minLimitChange = 0.1;

    /// Hosts of one region, or of all if `region` is empty, that share limits, as seen by this one. Hosts
    /// that are leaving send no further requests. The part of a host that is not heard stays with it.
    limits::LimitSharers sharersIn(const Fleet& fleet, TimePoint now, const std::string& region, bool hasSelf)
    {
        limits::LimitSharers sharers { .self_ = hasSelf ? fleet.self_ : std::string() };
        size_t registered = hasSelf ? 1 : 0;
        for (const auto& [name, peer] : fleet.peers_) {
            if (!region.empty() && peer.report_.region_ != region)
                continue;
            const bool alive = isAlive(peer, now);
            if (alive && peer.report_.leaving_)
                continue;
            ++registered;
            if (alive)
                sharers.others_.push_back(name);
        }
        const size_t heard = sharers.others_.size() + (hasSelf ? 1 : 0);
        sharers.heardFraction_
            = registered == 0 ? 1 : static_cast<double>(heard) / static_cast<double>(registered);
        return sharers;
    }

    std::map<std::string, limits::LimitSharers> sharersByRegion(
        const Directory& directory, const Fleet& fleet, TimePoint now)
    {
        const auto own = directory.regionOf_.find(fleet.failureDomain_);
        // All hosts share the limits of upstreams whose region is not known.
        std::map<std::string, limits::LimitSharers> sharers { { "", sharersIn(fleet, now, {}, true) } };
        for (const auto& [failureDomain, region] : directory.regionOf_) {
            if (sharers.contains(region))
                continue;
            const bool hasSelf = own != directory.regionOf_.end() && own->second == region;
            auto local = sharersIn(fleet, now, region, hasSelf);
            if (!hasSelf && local.others_.empty())
                local = sharers[""];
            sharers.emplace(region, std::move(local));
        }
        return sharers;
    }

    void assignPart(UpstreamLimits& all, const Directory& directory, UpstreamRecord& record, TimePoint now)
    {
        const auto region = directory.regionOf_.find(record.entry_.failureDomain_);
        const auto sharers
            = all.sharers_.find(region == directory.regionOf_.end() ? std::string() : region->second);
        if (sharers != all.sharers_.end())
            limits::assignPart(record.limit_, all.options_, now, record.entry_.id_, sharers->second);
    }

    bool isNotable(const LimitChange& change)
    {
        if (!change.before_ || !change.after_)
            return change.before_.has_value() != change.after_.has_value();
        return std::abs(*change.after_ - *change.before_) >= minLimitChange * *change.before_;
    }

    /// Applies a statement to one upstream, and computes this host's part if it changes the limit.
    std::optional<LimitChange> apply(UpstreamLimits& all, const Directory& directory, UpstreamRecord& record,
        TimePoint now, const limits::LimitStatement& statement)
    {
        LimitChange change { .upstream_ = record.entry_.id_,
            .service_ = record.entry_.service_,
            .before_ = limits::limitedRate(record.limit_, all.options_, now),
            .source_ = statement.source_ };
        const bool changed = limits::applyStatement(record.limit_, all.options_, now, statement);
        if (limits::isLimited(record.limit_, now))
            all.knownUntil_ = std::max(all.knownUntil_, record.limit_.expiresAt_);
        if (!changed)
            return std::nullopt;
        assignPart(all, directory, record, now);
        change.after_ = limits::limitedRate(record.limit_, all.options_, now);
        return isNotable(change) ? std::optional(std::move(change)) : std::nullopt;
    }

} // namespace detail

std::optional<LimitChange> recordLimit(
    UpstreamLimits& all, Directory& directory, const Fleet& fleet, TimePoint now, const LimitAnswer& answer)
{
    if (!answer.rate_ && now >= all.knownUntil_)
        return std::nullopt;
    const UpstreamRef known = findUpstream(directory, answer.sender_.id_);
    if (!known.record_ || known.record_->entry_.startedMs_ != answer.sender_.startedMs_)
        return std::nullopt;
    std::optional<limits::LimitStatement> statement;
    if (answer.rate_)
        statement = limits::LimitStatement { answer.rate_, now };
    else if (answer.ran_)
        statement = limits::statementWithoutLimit(known.record_->limit_, now, answer.requestSentAt_);
    if (!statement)
        return std::nullopt;
    if (now >= all.knownUntil_)
        all.sharers_ = detail::sharersByRegion(directory, fleet, now);
    return detail::apply(all, directory, *known.record_, now, *statement);
}

void hearLimits(UpstreamLimits& all, const Fleet& fleet, TimePoint now, const HostReport& report)
{
    const bool isSummary = usesSummaries(fleet) && report.failureDomain_ != fleet.failureDomain_;
    const auto source = isSummary ? limits::LimitSource::Summary : limits::LimitSource::Peer;
    for (const LimitReport& limit : report.limits_) {
        const auto statement = limits::peerStatement(
            all.options_, now, limit.rate_, std::chrono::milliseconds(limit.ageMs_), source);
        limits::LimitStatement& latest = all.heard_[limit.incarnation_];
        if (statement.heardAt_ > latest.heardAt_)
            latest = statement;
    }
}

std::vector<LimitChange> updateLimits(
    UpstreamLimits& all, Directory& directory, const Fleet& fleet, TimePoint now)
{
    if (all.heard_.empty() && now >= all.knownUntil_)
        return {};
    auto sharers = detail::sharersByRegion(directory, fleet, now);
    const bool sharersChanged = sharers != all.sharers_;
    all.sharers_ = std::move(sharers);
    std::vector<LimitChange> changes;
    for (auto& [name, pool] : directory.services_) {
        for (UpstreamRecord& record : pool.records_) {
            if (sharersChanged)
                detail::assignPart(all, directory, record, now);
            const auto heard = all.heard_.find(record.incarnationHash_);
            if (heard == all.heard_.end())
                continue;
            if (auto change = detail::apply(all, directory, record, now, heard->second))
                changes.push_back(std::move(*change));
        }
    }
    all.heard_.clear();
    return changes;
}

std::vector<LimitReport> limitsToReport(
    const UpstreamLimits& all, const Directory& directory, TimePoint now, bool forSummary)
{
    std::vector<LimitReport> reports;
    if (now >= all.knownUntil_ + detail::limitReportDuration)
        return reports;
    for (const auto& [name, pool] : directory.services_) {
        for (const UpstreamRecord& record : pool.records_) {
            const limits::LimitStatement& statement = record.limit_.statement_;
            const bool isOwn = statement.source_ == limits::LimitSource::Answer
                || (forSummary && statement.source_ == limits::LimitSource::Peer);
            const bool isKnown = statement.heardAt_ != TimePoint();
            if (!isKnown || !isOwn || statement.heardAt_ + detail::limitReportDuration <= now)
                continue;
            const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - statement.heardAt_);
            std::optional<double> rate = statement.rate_;
            if (rate)
                rate = std::min(*rate, all.options_.maxRate_);
            reports.push_back({ record.incarnationHash_, rate, static_cast<uint32_t>(age.count()) });
        }
    }
    return reports;
}

size_t limitedCount(const UpstreamLimits& all, const Directory& directory, TimePoint now)
{
    size_t count = 0;
    if (now >= all.knownUntil_)
        return count;
    for (const auto& [name, pool] : directory.services_) {
        count += static_cast<size_t>(std::count_if(pool.records_.begin(), pool.records_.end(),
            [&](const UpstreamRecord& record) { return limits::isLimited(record.limit_, now); }));
    }
    return count;
}

double usableSlots(const UpstreamLimits& all, const UpstreamRecord& record, TimePoint now, uint32_t slots,
    double slotSeconds)
{
    const auto rate = limits::limitedRate(record.limit_, all.options_, now);
    return rate ? std::min<double>(slots, *rate * slotSeconds) : slots;
}

} // namespace turmericwing::gateway
