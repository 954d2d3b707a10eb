// Quarantine of requests that crash the upstreams that process them.
//
// A host whose connection to an upstream breaks before the first response byte, and which finds that the
// upstream has ended, reports a crash with the fingerprints of all requests that it had in flight there. A
// fingerprint is quarantined if it was in flight in crashes of several upstreams, each attempt started after
// the crash before, and no other suspect of the last crash was in flight in crashes of as many
// upstreams. A completed attempt clears a fingerprint: a popular request that was in flight by coincidence
// completes elsewhere, while one that crashes every upstream does not. Crash reports form a set and
// quarantines keep the latest expiry, so that both can be merged in any order and repeatedly.
#pragma once

#include "turmericwing/base/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace turmericwing::routing {

/// 128-bit hash that identifies equal requests.
struct Fingerprint {
    uint64_t high_ = 0;
    uint64_t low_ = 0;
    friend auto operator<=>(const Fingerprint&, const Fingerprint&) = default;
};

/// Number of body bytes that are hashed. Of a longer body only this prefix and its length count.
inline constexpr size_t maxFingerprintBodyBytes = 65536;

/// Hashes the parts of a request. `body` may be a prefix only; `bodyLength` is the length of the whole body,
/// or 0 if unknown.
Fingerprint fingerprint(std::string_view workspace, std::string_view route, std::string_view method,
    std::string_view path, std::string_view body, uint64_t bodyLength);

/// A request that was in flight at a crash.
struct CrashSuspect {
    Fingerprint fingerprint_;
    WallTime started_; ///< Start of the attempt.
    friend auto operator<=>(const CrashSuspect&, const CrashSuspect&) = default;
};

/// Identifies a crash report: the reporting process and its sequence number.
struct CrashId {
    std::string host_;
    uint64_t incarnation_ = 0;
    uint64_t serial_ = 0;
    friend auto operator<=>(const CrashId&, const CrashId&) = default;
};

/// A crash of an upstream. Sent to all hosts.
struct CrashReport {
    CrashId id_;
    std::string
        upstream_; ///< One run of an upstream: one that crashes, returns and crashes again counts twice.
    WallTime at_;
    std::vector<CrashSuspect> suspects_;
    friend auto operator<=>(const CrashReport&, const CrashReport&) = default;
};

/// A quarantined fingerprint. Sent to all hosts.
struct QuarantineRecord {
    Fingerprint fingerprint_;
    WallTime expires_;
    friend auto operator<=>(const QuarantineRecord&, const QuarantineRecord&) = default;
};

struct QuarantineOptions {
    int64_t ttlMs_ = 600000; ///< Time for which reports, clearings and quarantines are kept.
    size_t maxReports_ = 1000; ///< When exceeded, the oldest report is dropped.
    size_t minUpstreams_ = 2; ///< Crashed upstreams, each started after the crash before, that are evidence.
    /// Shortest time from the first to the last of these crashes. Upstreams that end for one cause of their
    /// own, such as a power failure, end at about the same time.
    int64_t minSpanMs_ = 0;
    bool requireStartAfterCrash_ = true; ///< False drops "started after the first crash". For tests only.
    bool requireUniqueSuspect_ = true; ///< False drops the condition on other suspects. For tests only.
};

/// Crash evidence and quarantines known to a host.
struct QuarantineTable {
    QuarantineOptions options_ {};
    std::map<CrashId, CrashReport> reports_ {};
    std::map<Fingerprint, WallTime> quarantined_ {}; ///< Expiry.
    std::map<Fingerprint, WallTime> clearedAt_ {}; ///< Crashes up to this time are no evidence.
};

/// Result of adding a report.
struct QuarantineChange {
    std::vector<QuarantineRecord> records_; ///< New quarantines, to be sent to all hosts.
    /// Upstreams of the crashes that are attributed to a new quarantine; these errors do not count for
    /// ejection.
    std::vector<std::string> attributedUpstreams_;
};

/// Adds a report of this or another host. Repeated and expired reports are ignored. A crash that
/// hasQuarantined() attributes to a quarantined request should not be reported.
QuarantineChange addCrashReport(QuarantineTable&, WallTime now, const CrashReport&);

/// Adds a quarantine or extends its expiry; ignores expired records.
void addQuarantine(QuarantineTable&, WallTime now, const QuarantineRecord&);

/// Records a completed attempt. Clears the fingerprint of suspicion, but does not end a quarantine.
void recordCompletion(QuarantineTable&, WallTime now, const Fingerprint&);

bool isQuarantined(const QuarantineTable&, WallTime now, const Fingerprint&);

/// Whether the fingerprint was in flight in a crash and has not been cleared since. A suspect should run on
/// an upstream where this host has no other request in flight, so that a crash is attributed to it alone.
bool isSuspect(const QuarantineTable&, WallTime now, const Fingerprint&);

/// Whether one of the requests in flight is quarantined. The crash is attributed to it and does not count for
/// ejection.
bool hasQuarantined(const QuarantineTable&, WallTime now, const std::vector<CrashSuspect>&);

/// Drops expired reports, quarantines and clearings.
void expireQuarantine(QuarantineTable&, WallTime now);

} // namespace turmericwing::routing
