// Quarantine of crashing requests on a live host: tracks what runs where and shares reports with the other
// hosts.
#pragma once

#include "turmericwing/routing/quarantine.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace turmericwing::host {

class Quarantines {
public:
    /// Sends to all hosts; called without locks held.
    struct Outbox {
        std::function<void(const routing::CrashReport&)> report_;
        std::function<void(const routing::QuarantineRecord&)> record_;
    };

    Quarantines(std::string host, uint64_t incarnation, Outbox);

    /// Time until the quarantine of a fingerprint ends; zero when it is not quarantined.
    Duration remaining(const routing::Fingerprint&) const;

    /// Notes an attempt; it ends when the returned object is destroyed.
    std::shared_ptr<void> enter(const std::string& upstream, const routing::Fingerprint&);

    /// A connection to the upstream ended before any response byte. Returns the upstreams whose crashes are
    /// explained by a quarantine that follows from it.
    std::vector<std::string> reportCrash(const std::string& upstream);

    /// An attempt was answered.
    void completed(const routing::Fingerprint&);

    std::vector<std::string> acceptReport(const routing::CrashReport&);
    void acceptRecord(const routing::QuarantineRecord&);
    void tick();

    /// Number of quarantined fingerprints.
    size_t size() const;

private:
    std::vector<std::string> add(const routing::CrashReport&);

    const std::string host_;
    const uint64_t incarnation_;
    const Outbox outbox_;
    mutable std::mutex mutex_;
    routing::QuarantineTable table_;
    std::multimap<std::string, routing::CrashSuspect> running_; ///< Attempts by upstream.
    uint64_t nextSerial_ = 1;
};

} // namespace turmericwing::host
