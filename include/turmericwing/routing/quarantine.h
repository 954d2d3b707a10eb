// Quarantine of requests that crash the upstreams that run them.
//
// A host that loses the connection to an upstream before any response byte reports a crash with the
// fingerprints of all its requests in flight there. A fingerprint is quarantined when it took part in crashes
// on two upstreams, the second attempt began after the first crash, and no other fingerprint fits the second
// crash. A completed attempt clears a fingerprint: a popular request that was in flight by coincidence
// completes elsewhere, one that crashes every upstream does not. Crash reports are a set and quarantines keep
// the latest expiry, so both merge in any order and any number of times.
#pragma once

#include "turmericwing/base/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace turmericwing::routing {

struct Fingerprint {
    uint64_t high_ = 0;
    uint64_t low_ = 0;
    friend auto operator<=>(const Fingerprint&, const Fingerprint&) = default;
};

/// Part of a body that counts, in bytes; a longer body counts by this part and its length.
inline constexpr size_t fingerprintBody = 65536;

/// `body` may be the first part only; `bodyLength` is the length of the whole, or 0 if it is not known.
Fingerprint fingerprint(std::string_view workspace, std::string_view route, std::string_view method,
    std::string_view path, std::string_view body, uint64_t bodyLength);

struct CrashSuspect {
    Fingerprint fingerprint_;
    WallTime started_; ///< Start of the attempt.
    friend auto operator<=>(const CrashSuspect&, const CrashSuspect&) = default;
};

/// Identifies a crash report: the reporting process and its count.
struct CrashId {
    std::string host_;
    uint64_t incarnation_ = 0;
    uint64_t serial_ = 0;
    friend auto operator<=>(const CrashId&, const CrashId&) = default;
};

/// Sent to all hosts.
struct CrashReport {
    CrashId id_;
    std::string upstream_;
    WallTime at_;
    std::vector<CrashSuspect> suspects_;
    friend auto operator<=>(const CrashReport&, const CrashReport&) = default;
};

/// Sent to all hosts.
struct QuarantineRecord {
    Fingerprint fingerprint_;
    WallTime expires_;
    friend auto operator<=>(const QuarantineRecord&, const QuarantineRecord&) = default;
};

struct QuarantineOptions {
    int64_t lifeMs_ = 600000;
    size_t maxReports_ = 1000; ///< The oldest report is dropped for a new one.
    bool requireOrder_ = true; ///< False drops "began after the first crash". Only for tests.
    bool requireSole_ = true; ///< False drops "no other fingerprint fits equally". Only for tests.
};

struct QuarantineTable {
    QuarantineOptions options_ {};
    std::map<CrashId, CrashReport> reports_ {};
    std::map<Fingerprint, WallTime> quarantined_ {}; ///< Expiry.
    std::map<Fingerprint, WallTime> cleared_ {}; ///< Crashes up to this time do not count.
};

/// What follows from a report.
struct QuarantineChange {
    std::vector<QuarantineRecord> records_; ///< New; to send to all hosts.
    /// Upstreams of crashes that a new record explains; their errors do not count for ejection.
    std::vector<std::string> explained_;
};

/// Adds a report, of this host or another one. Requests that the quarantine explains should not be in it.
QuarantineChange addCrash(QuarantineTable&, WallTime now, const CrashReport&);

void addQuarantine(QuarantineTable&, WallTime now, const QuarantineRecord&);

/// An attempt was answered. Clears suspicion, not a quarantine.
void completed(QuarantineTable&, WallTime now, const Fingerprint&);

bool isQuarantined(const QuarantineTable&, WallTime now, const Fingerprint&);

/// A suspect should run on an upstream where this host has nothing else in flight, so that a crash is
/// attributed to it alone.
bool isSuspect(const QuarantineTable&, WallTime now, const Fingerprint&);

/// Whether one of the requests in flight explains the crash, so that it does not count for ejection.
bool explainsCrash(const QuarantineTable&, WallTime now, const std::vector<CrashSuspect>&);

void expireQuarantine(QuarantineTable&, WallTime now);

} // namespace turmericwing::routing
