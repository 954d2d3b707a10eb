// Quarantine of requests that crash upstreams: records which attempts run on which upstream and exchanges
// crash reports with the other hosts.
#pragma once

#include "turmericwing/routing/quarantine.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace turmericwing::host {

/// Quarantined request fingerprints as this host knows them. Thread-safe.
class Quarantines {
public:
    /// Callbacks that send a message to all hosts. Called without locks held.
    struct Outbox {
        std::function<void(const routing::CrashReport&)> report_;
        std::function<void(const routing::QuarantineRecord&)> record_;
    };

    Quarantines(std::string host, uint64_t incarnation, Outbox);

    /// Time until the fingerprint's quarantine ends; zero when it is not quarantined, otherwise at least 1
    /// ms.
    Duration remaining(const routing::Fingerprint&) const;

    /// Registers an attempt on an upstream. The attempt ends when the returned object is destroyed.
    std::shared_ptr<void> registerAttempt(const std::string& upstream, const routing::Fingerprint&);

    /// Reports to all hosts that a connection to the upstream ended before any response byte. Returns the
    /// upstreams whose crashes are explained by a quarantine that results from it.
    std::vector<std::string> reportCrash(const std::string& upstream);

    /// Clears the suspicion against a fingerprint, because an attempt with it was answered.
    void completed(const routing::Fingerprint&);

    /// Adds another host's crash report. Returns as reportCrash() does.
    std::vector<std::string> acceptReport(const routing::CrashReport&);
    /// Adds a quarantine that another host has found.
    void acceptRecord(const routing::QuarantineRecord&);
    /// Drops expired entries. Called by the control loop.
    void tick();

    /// Number of quarantined fingerprints.
    size_t size() const;

private:
    std::vector<std::string> addReport(const routing::CrashReport&);

    const std::string host_;
    const uint64_t incarnation_;
    const Outbox outbox_;
    mutable std::mutex mutex_;
    routing::QuarantineTable table_;
    std::multimap<std::string, routing::CrashSuspect> runningAttempts_; ///< Attempts in flight, by upstream.
    uint64_t nextSerial_ = 1;
};

} // namespace turmericwing::host
