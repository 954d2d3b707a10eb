// Registration of attempts, crash reports and quarantine records.
#include "turmericwing/host/quarantines.h"

namespace turmericwing::host {

Quarantines::Quarantines(std::string host, uint64_t incarnation, Outbox outbox)
    : host_(std::move(host))
    , incarnation_(incarnation)
    , outbox_(std::move(outbox))
{
}

Duration Quarantines::remaining(const routing::Fingerprint& fingerprint) const
{
    std::lock_guard lock(mutex_);
    const WallTime now = wallNow();
    if (!routing::isQuarantined(table_, now, fingerprint))
        return Duration::zero();
    return std::chrono::milliseconds(std::max<int64_t>(1, table_.quarantined_.at(fingerprint).ms_ - now.ms_));
}

std::shared_ptr<void> Quarantines::registerAttempt(
    const std::string& upstream, const routing::Fingerprint& fingerprint)
{
    std::lock_guard lock(mutex_);
    const auto entry = runningAttempts_.emplace(upstream, routing::CrashSuspect { fingerprint, wallNow() });
    return std::shared_ptr<void>(nullptr, [this, entry](void*) {
        std::lock_guard inner(mutex_);
        runningAttempts_.erase(entry);
    });
}

std::vector<std::string> Quarantines::addReport(const routing::CrashReport& report)
{
    routing::QuarantineChange change;
    {
        std::lock_guard lock(mutex_);
        change = routing::addCrashReport(table_, wallNow(), report);
    }
    for (const routing::QuarantineRecord& record : change.records_)
        outbox_.record_(record);
    return change.attributedUpstreams_;
}

std::vector<std::string> Quarantines::reportCrash(const std::string& upstream)
{
    routing::CrashReport report;
    {
        std::lock_guard lock(mutex_);
        report = { { host_, incarnation_, nextSerial_++ }, upstream, wallNow(), {} };
        const auto [first, last] = runningAttempts_.equal_range(upstream);
        for (auto entry = first; entry != last; ++entry) {
            if (!routing::isQuarantined(table_, wallNow(), entry->second.fingerprint_))
                report.suspects_.push_back(entry->second);
        }
    }
    outbox_.report_(report);
    return addReport(report);
}

void Quarantines::completed(const routing::Fingerprint& fingerprint)
{
    std::lock_guard lock(mutex_);
    if (!table_.reports_.empty())
        routing::recordCompletion(table_, wallNow(), fingerprint);
}

std::vector<std::string> Quarantines::acceptReport(const routing::CrashReport& report)
{
    return addReport(report);
}

void Quarantines::acceptRecord(const routing::QuarantineRecord& record)
{
    std::lock_guard lock(mutex_);
    routing::addQuarantine(table_, wallNow(), record);
}

void Quarantines::tick()
{
    std::lock_guard lock(mutex_);
    routing::expireQuarantine(table_, wallNow());
}

size_t Quarantines::size() const
{
    std::lock_guard lock(mutex_);
    return table_.quarantined_.size();
}

} // namespace turmericwing::host
