// Fingerprints, crash evidence and quarantine records.
#include "turmericwing/routing/quarantine.h"

#include "turmericwing/base/hash.h"

#include <algorithm>
#include <set>

namespace turmericwing::routing {

namespace detail {

    /// Whether the report is recent enough and the fingerprint has not been cleared since.
    bool isEvidence(
        const QuarantineTable& table, WallTime now, const CrashReport& report, const Fingerprint& print)
    {
        const auto cleared = table.clearedAt_.find(print);
        return now.ms_ < report.at_.ms_ + table.options_.ttlMs_
            && (cleared == table.clearedAt_.end() || cleared->second < report.at_);
    }

    bool contains(const CrashReport& report, const Fingerprint& print)
    {
        return std::any_of(report.suspects_.begin(), report.suspects_.end(),
            [&](const CrashSuspect& suspect) { return suspect.fingerprint_ == print; });
    }

    /// Number of upstreams that crashed with the suspect's fingerprint in flight: the one of the report, and
    /// those that crashed before this attempt started. 1 if all of them crashed at about the same time.
    size_t upstreamsCrashed(
        const QuarantineTable& table, WallTime now, const CrashSuspect& suspect, const CrashReport& report)
    {
        std::set<std::string> upstreams { report.upstream_ };
        WallTime first = report.at_;
        for (const auto& [id, earlier] : table.reports_) {
            const WallTime latest = table.options_.requireStartAfterCrash_ ? suspect.started_ : report.at_;
            if (earlier.at_ <= latest && contains(earlier, suspect.fingerprint_)
                && isEvidence(table, now, earlier, suspect.fingerprint_)) {
                upstreams.insert(earlier.upstream_);
                first = std::min(first, earlier.at_);
            }
        }
        return report.at_.ms_ - first.ms_ < table.options_.minSpanMs_ ? 1 : upstreams.size();
    }

    /// Fingerprints to which the crash is attributed: the one with the most crashed upstreams, at least
    /// `minUpstreams_`; none if several have equally many.
    std::vector<Fingerprint> crashingFingerprints(
        const QuarantineTable& table, WallTime now, const CrashReport& report)
    {
        std::vector<Fingerprint> found;
        size_t maxUpstreams = table.options_.minUpstreams_;
        for (const CrashSuspect& suspect : report.suspects_) {
            if (!isEvidence(table, now, report, suspect.fingerprint_))
                continue;
            const size_t upstreams = upstreamsCrashed(table, now, suspect, report);
            if (upstreams < maxUpstreams)
                continue;
            if (upstreams > maxUpstreams && table.options_.requireUniqueSuspect_)
                found.clear();
            if (table.options_.requireUniqueSuspect_)
                maxUpstreams = upstreams;
            if (std::find(found.begin(), found.end(), suspect.fingerprint_) == found.end())
                found.push_back(suspect.fingerprint_);
        }
        if (table.options_.requireUniqueSuspect_ && found.size() > 1)
            found.clear();
        return found;
    }

} // namespace detail

Fingerprint fingerprint(std::string_view workspace, std::string_view route, std::string_view method,
    std::string_view path, std::string_view body, uint64_t bodyLength)
{
    Fingerprint print;
    const std::string length = std::to_string(bodyLength);
    // Each hash seeds the next, so that shifting text from one field to the next changes the result.
    for (const std::string_view part : { workspace, route, method, path,
             body.substr(0, maxFingerprintBodyBytes), std::string_view(length) }) {
        print.high_ = hash64(part, print.high_ + 1);
        print.low_ = hash64(part, ~print.low_);
    }
    return print;
}

QuarantineChange addCrashReport(QuarantineTable& table, WallTime now, const CrashReport& report)
{
    QuarantineChange change;
    if (table.reports_.contains(report.id_))
        return change; // Peers repeat their reports.
    expireQuarantine(table, now);
    // A time far ahead comes from a host with another clock, and its report would never expire.
    const bool otherClock = report.at_.ms_ - now.ms_ > table.options_.ttlMs_;
    if (otherClock || now.ms_ >= report.at_.ms_ + table.options_.ttlMs_)
        return change;
    if (table.reports_.size() >= table.options_.maxReports_) {
        table.reports_.erase(std::min_element(table.reports_.begin(), table.reports_.end(),
            [](const auto& a, const auto& b) { return a.second.at_ < b.second.at_; }));
    }
    table.reports_.emplace(report.id_, report);
    // A late report may complete the evidence for a later crash with the same fingerprints.
    for (const auto& [id, known] : table.reports_) {
        const bool shared = std::any_of(known.suspects_.begin(), known.suspects_.end(),
            [&](const CrashSuspect& suspect) { return detail::contains(report, suspect.fingerprint_); });
        if (!shared)
            continue;
        const bool explained = hasQuarantined(table, now, known.suspects_);
        for (const Fingerprint& print : detail::crashingFingerprints(table, now, known)) {
            const QuarantineRecord record { print, { known.at_.ms_ + table.options_.ttlMs_ } };
            // A crash attributed to a quarantined fingerprint is no evidence against others in flight.
            if (!explained || isQuarantined(table, now, print))
                change.records_.push_back(record);
        }
    }
    for (const QuarantineRecord& record : change.records_) {
        addQuarantine(table, now, record);
        for (const auto& [id, known] : table.reports_) {
            if (detail::contains(known, record.fingerprint_))
                change.attributedUpstreams_.push_back(known.upstream_);
        }
    }
    return change;
}

void addQuarantine(QuarantineTable& table, WallTime now, const QuarantineRecord& record)
{
    if (record.expires_ <= now)
        return;
    WallTime& expires = table.quarantined_[record.fingerprint_];
    expires = std::max(expires, record.expires_);
}

void recordCompletion(QuarantineTable& table, WallTime now, const Fingerprint& print)
{
    for (const auto& [id, report] : table.reports_) {
        if (detail::contains(report, print)) {
            WallTime& cleared = table.clearedAt_[print];
            cleared = std::max(cleared, now);
            return;
        }
    }
}

bool isQuarantined(const QuarantineTable& table, WallTime now, const Fingerprint& print)
{
    const auto found = table.quarantined_.find(print);
    return found != table.quarantined_.end() && now < found->second;
}

bool isSuspect(const QuarantineTable& table, WallTime now, const Fingerprint& print)
{
    return std::any_of(table.reports_.begin(), table.reports_.end(), [&](const auto& entry) {
        return detail::contains(entry.second, print) && detail::isEvidence(table, now, entry.second, print);
    });
}

bool hasQuarantined(const QuarantineTable& table, WallTime now, const std::vector<CrashSuspect>& suspects)
{
    return std::any_of(suspects.begin(), suspects.end(),
        [&](const CrashSuspect& suspect) { return isQuarantined(table, now, suspect.fingerprint_); });
}

void expireQuarantine(QuarantineTable& table, WallTime now)
{
    const int64_t ttlMs = table.options_.ttlMs_;
    std::erase_if(table.reports_, [&](const auto& entry) { return entry.second.at_.ms_ + ttlMs <= now.ms_; });
    std::erase_if(table.quarantined_, [&](const auto& entry) { return entry.second <= now; });
    std::erase_if(table.clearedAt_, [&](const auto& entry) { return entry.second.ms_ + ttlMs <= now.ms_; });
}

} // namespace turmericwing::routing
