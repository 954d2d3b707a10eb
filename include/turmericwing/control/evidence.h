// Evidence: what members report to know about the head. It extends read leases while the store is down, and
// guards changes of the head. The safety argument is in docs/control-head.md.
#pragma once

#include "turmericwing/control/head.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace turmericwing::control {

struct EvidenceOptions {
    Duration validity_ = std::chrono::milliseconds(1900); ///< Of evidence, from the time its probe was sent.
    /// Of an acknowledgement, from its report to the write that it permits.
    Duration ackLifetime_ = std::chrono::milliseconds(1000);
    /// A new incarnation counts only probes sent this long after its start. Longer than ackLifetime_ plus
    /// clock drift.
    Duration recoveryDelay_ = std::chrono::milliseconds(2000);
    /// Of contact with the store, from the sending of the last successful read.
    Duration contactLifetime_ = std::chrono::milliseconds(1000);
    bool requireAcks_ = true; ///< Tests switch it off to show that it is needed.
};

/// Number of members whose evidence may be missing (f below): 0 below 3 members, 1 for 3 to 6, 2 from 7 on.
size_t maxMissingMembers(size_t members);

/// A change of the head that its writer announced before it sent the write. The candidate is in doubt until a
/// version above baseVersion_ is known: until then the write may take effect at any time.
struct Candidate {
    uint64_t baseVersion_ = 0;
    std::string nonce_; ///< Nonce of the proposed head.
    std::string digest_; ///< SHA-256 of the encoded head; the content is fetched by it.
    friend bool operator==(const Candidate&, const Candidate&) = default;
};

/// What one incarnation knows about the head beyond its own lease. Invariants: newestVersion_ never
/// decreases; each candidate is based on newestVersion_; eligible_ is never reset.
struct HeadKnowledge {
    std::string host_;
    uint64_t incarnation_ = 0;
    TimePoint startedAt_;
    bool listed_ = false; ///< Some known head lists this incarnation.
    bool eligible_ = false; ///< This incarnation may give evidence.
    uint64_t newestVersion_ = 0; ///< Newest version known to exist.
    std::vector<Candidate> candidates_; ///< Candidates in doubt, at most 64.
    std::optional<TimePoint> lastContact_; ///< When the last successful read of the store was sent.
};

/// Records a head from any source, and removes the candidates based on older versions, which it resolves.
void recordHead(HeadKnowledge&, const Head&);

/// Records a successful read of the store that was sent at `sentAt`.
void recordStoreContact(HeadKnowledge&, TimePoint sentAt);

/// True if a successful read of the store was sent within the last contactLifetime_.
bool hasStoreContact(const HeadKnowledge&, const EvidenceOptions&, TimePoint now);

/// Handles a writer's report of its candidate. True: the candidate is acknowledged and kept until it is
/// resolved. False: its base is not the newest version, or 64 candidates are in doubt already; the writer
/// must not count this host.
bool acknowledgeCandidate(HeadKnowledge&, const Candidate&);

/// A member's response to a probe.
struct Evidence {
    std::string host_;
    uint64_t incarnation_ = 0;
    uint64_t newestVersion_ = 0;
    bool contact_ = false; ///< As hasStoreContact.
    std::vector<Candidate> candidates_;
    friend bool operator==(const Evidence&, const Evidence&) = default;
};

/// Returns this host's evidence, or nothing while the incarnation is not eligible.
std::optional<Evidence> makeEvidence(const HeadKnowledge&, const EvidenceOptions&, TimePoint now);

/// Number of members of one view that gave evidence. The view is that of the known head (empty nonce) or of a
/// candidate.
struct ViewCount {
    std::string nonce_;
    size_t heard_ = 0;
    friend bool operator==(const ViewCount&, const ViewCount&) = default;
};

/// Evidence of the members of a failure domain, counted by a relay. Its size does not depend on the number of
/// members.
struct Summary {
    std::string relay_;
    std::string failureDomain_;
    /// Newest version known to the relay or to any member that gave evidence; the counts refer to it.
    uint64_t newestVersion_ = 0;
    std::vector<ViewCount> counts_;
    size_t withoutContact_ = 0; ///< Members that gave evidence and have no contact with the store.
    size_t notHeard_ = 0; ///< Members without evidence.
    Duration age_ {}; ///< Time since the relay sent the oldest probe that it counts.
    std::vector<Candidate> candidates_; ///< In doubt at the relay or at any member that gave evidence.
    friend bool operator==(const Summary&, const Summary&) = default;
};

/// Evidence received, with the local time at which the probe was sent (less the age of a summary).
struct EvidenceLog {
    std::map<std::string, std::pair<TimePoint, Evidence>> hosts_;
    /// By failure domain and relay.
    std::map<std::pair<std::string, std::string>, std::pair<TimePoint, Summary>> summaries_;
};

/// Heads of candidates by Candidate::digest_. A caller adds a head only once its configuration is prepared.
using CandidateHeads = std::map<std::string, Head>;

/// An operator's declaration that hosts are lost: they are fenced, and accepted no change after minVersion_.
struct LostHostsDeclaration {
    std::vector<std::string> hosts_; ///< Sorted.
    uint64_t minVersion_ = 0; ///< A host that knows only older versions ignores the declaration.
};

/// Returns the declaration for all members of a region.
LostHostsDeclaration declareRegionLost(const Head&, const std::string& region, uint64_t minVersion);

/// Records a response, and merges its version and candidates into the receiver's knowledge. Evidence from a
/// host that is declared lost contradicts the declaration and withdraws it.
void recordEvidence(EvidenceLog&, HeadKnowledge&, LostHostsDeclaration&, TimePoint sentAt, const Evidence&);

/// As recordEvidence, for a relay's summary, but withdraws no declaration.
void recordEvidenceSummary(EvidenceLog&, HeadKnowledge&, TimePoint sentAt, const Summary&);

/// Returns a relay's summary of the members of one failure domain. It has no counts while `base` is not the
/// newest version known to the relay.
Summary summariseEvidence(const EvidenceLog&, const HeadKnowledge&, const EvidenceOptions&, const Head& base,
    const CandidateHeads&, const std::string& failureDomain, TimePoint now);

/// Outcome of evaluateEvidence.
struct LeaseExtension {
    std::optional<TimePoint> start_; ///< For extendLease with the version of `base`; empty if not proven.
    /// Candidates in doubt: all permissions that they remove are refused.
    std::vector<Candidate> restrictBy_;
    std::vector<Candidate> unknown_; ///< Candidates to fetch: nothing is proven before their content arrives.
    uint64_t newerVersion_ = 0; ///< If above 0, fetch this version from a peer; nothing is proven before.
    size_t heard_ = 0; ///< Members of the view of `base` that gave evidence.
    size_t needed_ = 0; ///< Number of members of this view that have to give evidence.
    size_t withoutContact_ = 0; ///< Members that gave evidence and have no contact with the store.
    friend bool operator==(const LeaseExtension&, const LeaseExtension&) = default;
};

/// Returns the time up to which all members but f (maxMissingMembers), of the view of `base` and of the view
/// of each candidate, have confirmed that they know nothing newer than `base` except the candidates.
LeaseExtension evaluateEvidence(const EvidenceLog&, const HeadKnowledge&, const EvidenceOptions&,
    const Head& base, const CandidateHeads&, const LostHostsDeclaration&, TimePoint now);

/// Makes a new incarnation eligible once all members but f have answered probes that it sent at least
/// recoveryDelay_ after its start. True if it is eligible.
bool tryRecover(HeadKnowledge&, const EvidenceLog&, const EvidenceOptions&, const Head& base,
    const CandidateHeads&, const LostHostsDeclaration&, TimePoint now);

/// A member's acknowledgement of a report by the writer.
struct Ack {
    uint64_t incarnation_ = 0;
    TimePoint reportSentAt_; ///< When the writer sent the report that this answers.
    friend bool operator==(const Ack&, const Ack&) = default;
};

/// A writer's change of the head. The writer first calls acknowledgeCandidate with its own knowledge.
struct Proposal {
    Candidate candidate_;
    std::map<std::string, Ack> acks_; ///< Acknowledgements of the candidate, by host.
    std::map<std::string, Ack> outcomeAcks_; ///< Acknowledgements of the written version, by host.
};

/// Keeps the newest acknowledgement of each host.
void recordAck(std::map<std::string, Ack>&, const std::string& host, const Ack&);

/// True if the write may be sent now. Errors: Conflict if the candidate is not based on the newest version,
/// Unavailable if this host has no contact with the store, or if too few members have acknowledged reports of
/// the last second (ackLifetime_).
Result<bool> mayWrite(const Proposal&, const HeadKnowledge&, const EvidenceOptions&, const Head& base,
    const LostHostsDeclaration&, TimePoint now);

enum class WriteOutcome {
    InDoubt, ///< The base is still the head; the write may still take effect. Send it again.
    Written, ///< The candidate is the head.
    Lost, ///< Another writer's change has this version.
    /// A later version is the head, so it does not show whether the candidate was written; the audit trail in
    /// the store does.
    Superseded,
};

/// Returns the outcome of a write, as shown by a head that was read after it. Distinguishes a success whose
/// response was lost from a conflict.
WriteOutcome writeOutcomeOf(const Candidate&, const Head& seen);

/// True if enough members know the outcome for the writer to report the change as accepted: from then on no
/// host can act on the previous version beyond its lease.
bool isAccepted(const Proposal&, const HeadKnowledge&, const EvidenceOptions&, const Head& base,
    const LostHostsDeclaration&, TimePoint now);

} // namespace turmericwing::control
