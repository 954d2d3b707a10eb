// Summary of the reports of one failure domain, which its aggregator sends to the other failure domains.
//
// In a large fleet, a host sends its report only within its failure domain. One host there, the aggregator,
// adds up the reports and sends the sums to one host of each other failure domain, which forwards them to its
// own failure domain. The messages between failure domains thus do not grow with the hosts in them.
#pragma once

#include "turmericwing/gateway/report.h"

#include <string>
#include <vector>

namespace turmericwing::gateway {

/// A live host of the summarised failure domain.
struct MemberEntry {
    std::string name_;
    Address callerAddress_;
    Address peerAddress_;
    bool ready_ = false;
    bool leaving_ = false;
    bool reachesStore_ = false;
    HostCapacity capacity_;
    friend bool operator==(const MemberEntry&, const MemberEntry&) = default;
};

/// What the aggregator of a failure domain says about it.
struct DomainSummary {
    /// Name, incarnation, sequence, region and failure domain of the aggregator, and the sums over all live
    /// members, the aggregator included. Admission counts start with the aggregator's incarnation.
    HostReport sums_;
    std::vector<MemberEntry> members_; ///< With the aggregator.
    friend bool operator==(const DomainSummary&, const DomainSummary&) = default;
};

/// A summary on its way. `forward_`: the receiver forwards it to the hosts of its failure domain.
struct SummaryMessage {
    DomainSummary summary_;
    bool forward_ = false;
    friend bool operator==(const SummaryMessage&, const SummaryMessage&) = default;
};

/// Adds the load in a member's report to the sums: requests in flight, crashes and, unless the member is
/// leaving, demand for services and counts of rollouts. Admissions and demands of workspaces are not added.
void addLoad(HostReport& sums, const HostReport& member);

/// Encodes a message as CBOR. The size is not checked.
std::string encodeSummary(const SummaryMessage&);

/// Whether a datagram holds a summary and not the report of one host.
bool isSummary(const std::string& bytes);

/// Decodes a message. The bytes are untrusted: anyone on the network can send them. Errors: Invalid.
Result<SummaryMessage> decodeSummary(const std::string& bytes);

} // namespace turmericwing::gateway
