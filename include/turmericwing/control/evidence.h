// Evidence of the members about the head: extends read leases while the store is down, and guards changes of
// the head. The safety argument is in docs/control-head.md.
#pragma once

#include "turmericwing/control/head.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace turmericwing::control {

struct EvidenceOptions {
    Duration validity_ = std::chrono::milliseconds(1900); ///< Of evidence, from the sending of the probe.
    Duration ackLifetime_ = std::chrono::milliseconds(1000); ///< From the report to the write it permits.
    Duration incarnationWait_ = std::chrono::milliseconds(2000); ///< Above ackLifetime_ plus clock drift.
    Duration contactLifetime_ = std::chrono::milliseconds(1000); ///< After the last read that succeeded.
    bool requireAcks_ = true; ///< Tests switch it off to show that it is needed.
};

/// Number of members whose evidence may be missing: 0 below 3 members, 1 for 3 to 6, 2 from 7 on.
size_t toleratedMembers(size_t members);

/// A change of the head that its writer announced before it sent the write. In doubt until a version above
/// baseVersion_ is known: until then the write may take effect at any time.
struct Candidate {
    uint64_t baseVersion_ = 0;
    std::string nonce_;
    std::string digest_; ///< SHA-256 of the encoded head; the content is fetched by it.
    friend bool operator==(const Candidate&, const Candidate&) = default;
};

/// What one incarnation knows about the head beyond its own lease. Invariants: newestVersion_ never falls;
/// each candidate's base is newestVersion_; once eligible_ is set it stays.
struct Knowledge {
    std::string host_;
    uint64_t incarnation_ = 0;
    TimePoint startedAt_;
    bool listed_ = false; ///< A head that lists this incarnation is known.
    bool eligible_ = false; ///< May give evidence.
    uint64_t newestVersion_ = 0; ///< Newest version known to exist.
    std::vector<Candidate> candidates_; ///< In doubt.
    std::optional<TimePoint> lastContact_; ///< Sending of the last read of the store that succeeded.
};

/// Notes a head from any source; resolves candidates based on older versions.
void noteHead(Knowledge&, const Head&);

/// Notes a read of the store that was sent at `sentAt` and succeeded.
void noteContact(Knowledge&, TimePoint sentAt);

bool hasContact(const Knowledge&, const EvidenceOptions&, TimePoint now);

/// Takes a writer's report of contact with its candidate. True: acknowledged, and held until resolved. False:
/// the base is not the newest version, or 64 candidates are in doubt; the writer must not count it.
bool acknowledgeCandidate(Knowledge&, const Candidate&);

/// Response to a probe.
struct Evidence {
    std::string host_;
    uint64_t incarnation_ = 0;
    uint64_t newestVersion_ = 0;
    bool contact_ = false;
    std::vector<Candidate> candidates_;
    friend bool operator==(const Evidence&, const Evidence&) = default;
};

/// Empty while the incarnation may not give evidence.
std::optional<Evidence> giveEvidence(const Knowledge&, const EvidenceOptions&, TimePoint now);

/// Members heard of one view, which is that of the known head (empty nonce) or of a candidate.
struct ViewCount {
    std::string nonce_;
    size_t heard_ = 0;
    friend bool operator==(const ViewCount&, const ViewCount&) = default;
};

/// A relay's evidence of its failure domain; its size does not depend on the number of members.
struct Summary {
    std::string relay_;
    std::string failureDomain_;
    uint64_t newestVersion_ = 0; ///< Newest of the relay and all heard; counts refer to it.
    std::vector<ViewCount> counts_;
    size_t withoutContact_ = 0;
    size_t notHeard_ = 0;
    Duration age_ {}; ///< Since the relay sent the oldest probe that is counted.
    std::vector<Candidate> candidates_; ///< Of all heard.
    friend bool operator==(const Summary&, const Summary&) = default;
};

/// Evidence received, with the local time at which the probe was sent (less a summary's age).
struct EvidenceLog {
    std::map<std::string, std::pair<TimePoint, Evidence>> hosts_;
    std::map<std::pair<std::string, std::string>, std::pair<TimePoint, Summary>>
        summaries_; ///< Domain, relay.
};

/// Heads of candidates by Candidate::digest_. A caller adds a head only when its configuration is prepared.
using CandidateHeads = std::map<std::string, Head>;

/// An operator's statement that hosts are lost: fenced, with no change accepted there after minVersion_.
struct LostHosts {
    std::vector<std::string> hosts_; ///< Sorted.
    uint64_t minVersion_ = 0; ///< Hosts that know only older versions ignore the statement.
};

/// The statement for all members of a region.
LostHosts lostRegion(const Head&, const std::string& region, uint64_t minVersion);

/// Records a response; merges what it knows into the receiver's knowledge. Evidence of a host that is
/// declared lost contradicts the statement and withdraws it.
void recordEvidence(EvidenceLog&, Knowledge&, LostHosts&, TimePoint sentAt, const Evidence&);

/// As recordEvidence, for a relay's summary.
void recordSummary(EvidenceLog&, Knowledge&, TimePoint sentAt, const Summary&);

/// A relay's summary of the members of one domain.
Summary summarise(const EvidenceLog&, const Knowledge&, const EvidenceOptions&, const Head& base,
    const CandidateHeads&, const std::string& failureDomain, TimePoint now);

/// Outcome of evaluateEvidence.
struct Extension {
    std::optional<TimePoint> start_; ///< For extendLease with the version of `base`; empty: not proven.
    std::vector<Candidate> restrictBy_; ///< In doubt: all that they take away is refused.
    std::vector<Candidate> unknown_; ///< Content missing: fetch it; nothing is proven before.
    uint64_t newerVersion_ = 0; ///< Above 0: fetch this version from a peer; nothing is proven before.
    size_t heard_ = 0; ///< Of the view of `base`.
    size_t needed_ = 0;
    size_t withoutContact_ = 0;
    friend bool operator==(const Extension&, const Extension&) = default;
};

/// Tells from when all members but f, of the view of `base` and of each candidate's view, have confirmed that
/// they know nothing newer than `base` but the candidates.
Extension evaluateEvidence(const EvidenceLog&, const Knowledge&, const EvidenceOptions&, const Head& base,
    const CandidateHeads&, const LostHosts&, TimePoint now);

/// Makes a new incarnation eligible once all members but f have answered probes that it sent at least
/// incarnationWait_ after its start. True if it is eligible.
bool tryRecover(Knowledge&, const EvidenceLog&, const EvidenceOptions&, const Head& base,
    const CandidateHeads&, const LostHosts&, TimePoint now);

/// An acknowledgement, with the sending time of the report that it answers.
struct Ack {
    uint64_t incarnation_ = 0;
    TimePoint reportSentAt_;
    friend bool operator==(const Ack&, const Ack&) = default;
};

/// A writer's change of the head. The writer first calls acknowledgeCandidate on its own knowledge.
struct Proposal {
    Candidate candidate_;
    std::map<std::string, Ack> acks_; ///< Of the candidate, by host.
    std::map<std::string, Ack> outcomeAcks_; ///< Of the version that the write produced, by host.
};

/// Keeps the newest acknowledgement of each host.
void recordAck(std::map<std::string, Ack>&, const std::string& host, const Ack&);

/// True when the write may be sent now. Errors: Conflict if the candidate is not based on the newest version,
/// Unavailable if this host has no contact or too few members have acknowledged within the last second.
Result<bool> mayWrite(const Proposal&, const Knowledge&, const EvidenceOptions&, const Head& base,
    const LostHosts&, TimePoint now);

enum class WriteOutcome {
    InDoubt, ///< The base is still the head; the write may yet take effect. Send it again.
    Written,
    Lost, ///< Another writer's change took the version.
    Superseded, ///< Later versions hide whether it was written; the audit trail in the store tells.
};

/// Outcome of a write, as a head read after it shows. Tells a success whose response was lost from a
/// conflict.
WriteOutcome outcomeOf(const Candidate&, const Head& seen);

/// True when enough members know the outcome, so that the writer may report the change as accepted: from then
/// on no host can act on the previous version beyond its lease.
bool isAccepted(const Proposal&, const Knowledge&, const EvidenceOptions&, const Head& base, const LostHosts&,
    TimePoint now);

} // namespace turmericwing::control
