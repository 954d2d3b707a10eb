// State report that hosts send each other several times a second, in one datagram: liveness, requests in
// flight, demand of callers, rollout counts and recent crashes. Each report holds the sender's whole current
// state, so lost reports need no retransmission.
#pragma once

#include "turmericwing/base/address.h"
#include "turmericwing/base/result.h"
#include "turmericwing/rollout/ramp.h"
#include "turmericwing/routing/quarantine.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace turmericwing::gateway {

/// Number of requests that run at one upstream.
struct InFlight {
    uint32_t upstream_ = 0; ///< shortHash of the upstream's id.
    uint32_t count_ = 0;
    uint32_t hosts_ = 1; ///< Hosts to which these requests belong; more than 1 in a sum over hosts.
    friend auto operator<=>(const InFlight&, const InFlight&) = default;
};

/// Demand of one workspace at the sender.
struct Demand {
    uint32_t workspace_ = 0; ///< shortHash of the workspace's name.
    double rate_ = 0; ///< Requests/s received from callers.
    uint32_t admitted_ = 0; ///< Requests admitted since the sender's start; wraps around.
    friend auto operator<=>(const Demand&, const Demand&) = default;
};

/// Demand for a service at the sender, and the split of its region's requests over regions.
struct ServiceReport {
    uint32_t service_ = 0; ///< shortHash of the service's name.
    /// Slots needed for requests that any region may run: request rate x slot time.
    double unboundDemand_ = 0;
    std::vector<std::pair<uint32_t, double>> split_; ///< Share of requests, by shortHash of the region.
    /// Slots needed for requests that only one region may run, by shortHash of that region.
    std::vector<std::pair<uint32_t, double>> boundDemand_;
    friend bool operator==(const ServiceReport&, const ServiceReport&) = default;
};

/// A rollout as the sender knows it, with the counts of the sender's own requests.
struct RampReport {
    rollout::Ramp ramp_;
    uint64_t orderVersion_ = 0; ///< Version of the store row that holds the operator's order.
    bool foundBad_ = false; ///< The sender has found the new version to be bad.
    rollout::RampCounts counts_;
    uint64_t orderEra_ = 0; ///< Era of the store to which orderVersion_ belongs.
    /// Counts of all hosts as the sender knows them; not sent unless they cover a running ramp from its
    /// start.
    rollout::RampTotal total_ {};
    friend bool operator==(const RampReport&, const RampReport&) = default;
};

/// Latest rate limit that an upstream announced, to the sender of a report or to a member of the failure
/// domain that a summary is of.
struct LimitReport {
    uint32_t incarnation_ = 0; ///< incarnationHash of the upstream.
    std::optional<double> rate_; ///< Requests/s from all hosts together; empty if the limit has ended.
    uint32_t ageMs_ = 0; ///< Milliseconds since the answer was received, when the report was made.
    friend bool operator==(const LimitReport&, const LimitReport&) = default;
};

/// Resources of a host; 0 stands for an unknown amount.
struct HostCapacity {
    double cores_ = 0;
    double memoryMb_ = 0; ///< In MiB.
    double linkMbps_ = 0; ///< In Mbit/s.
    friend auto operator<=>(const HostCapacity&, const HostCapacity&) = default;
};

struct HostReport {
    std::string name_;
    uint64_t incarnation_ = 0; ///< Random number that identifies one run of the process.
    uint64_t sequence_ = 0; ///< Sequence number; increases with each report of an incarnation.
    Address callerAddress_;
    Address peerAddress_;
    std::string region_;
    std::string failureDomain_;
    bool ready_ = false;
    bool leaving_ = false;
    bool reachesStore_ = false;
    /// Milliseconds for which the store has answered the sender without a gap in which entries lapse.
    uint32_t storeReachableMs_ = 0;
    std::vector<InFlight> inFlight_;
    std::vector<Demand> demands_;
    std::vector<ServiceReport> services_;
    std::vector<RampReport> ramps_;
    /// Recent crashes; each is repeated for a few seconds, as reports may be lost.
    std::vector<routing::CrashReport> crashes_;
    /// Encoded only if not empty: hosts of earlier releases reject reports with this member.
    std::vector<LimitReport> limits_;
    HostCapacity capacity_; ///< Encoded in a way that hosts of earlier releases ignore.
    /// These are the sums of a failure domain, as received in a summary. Not encoded.
    bool isSum_ = false;
    friend bool operator==(const HostReport&, const HostReport&) = default;
};

/// Returns the hash that identifies an upstream, workspace, service or region in reports.
uint32_t shortHash(const std::string&);

/// Returns the hash that identifies one run of an upstream in reports.
uint32_t incarnationHash(const std::string& upstream, int64_t startedMs);

/// Encodes a report as CBOR. The size is not checked.
std::string encodeReport(const HostReport&);

/// Decodes a report. The bytes are untrusted: anyone on the network can send them. Errors: Invalid.
Result<HostReport> decodeReport(const std::string& bytes);

/// A report without what seldom changes: name, addresses, location, capacity and splits. Most reports between
/// hosts are sent in this form.
struct BriefReport {
    uint32_t sender_ = 0; ///< briefSender() of the sender.
    HostReport report_; ///< Without the members that are left out.
    friend bool operator==(const BriefReport&, const BriefReport&) = default;
};

/// Returns the hash that identifies one run of a host in its brief reports.
uint32_t briefSender(const std::string& name, uint64_t incarnation);

/// Adds what a brief report leaves out from the last report of the same run of the host.
HostReport completeReport(BriefReport, const HostReport& last);

/// Encodes a report in the brief form, as CBOR.
std::string encodeBriefReport(const HostReport&);

/// Whether a datagram holds a report in the brief form.
bool isBriefReport(const std::string& bytes);

/// Decodes a report in the brief form. The bytes are untrusted. Errors: Invalid.
Result<BriefReport> decodeBriefReport(const std::string& bytes);

inline constexpr size_t maxReportBytes = 60'000; ///< Upper bound; a UDP datagram cannot hold much more.

} // namespace turmericwing::gateway
