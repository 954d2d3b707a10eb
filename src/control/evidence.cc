// Evidence of the members about the head, and the rules for changes of the head.
#include "turmericwing/control/evidence.h"

#include <algorithm>

namespace turmericwing::control {

namespace detail {

    constexpr size_t maxCandidates = 64;

    /// Records that `version` exists, which resolves all candidates based on older versions.
    void advanceVersion(HeadKnowledge& knowledge, uint64_t version)
    {
        if (version <= knowledge.newestVersion_)
            return;
        knowledge.newestVersion_ = version;
        std::erase_if(knowledge.candidates_, [&](const Candidate& c) { return c.baseVersion_ < version; });
    }

    /// Keeps a candidate that is in doubt. False if it is already resolved or too many are kept.
    bool addCandidate(HeadKnowledge& knowledge, const Candidate& candidate)
    {
        advanceVersion(knowledge, candidate.baseVersion_);
        if (candidate.baseVersion_ < knowledge.newestVersion_)
            return false;
        auto& held = knowledge.candidates_;
        if (std::find(held.begin(), held.end(), candidate) != held.end())
            return true;
        if (held.size() >= maxCandidates)
            return false;
        held.push_back(candidate);
        return true;
    }

    bool isDeclaredLost(const LostHostsDeclaration& lost, const Head& base, const std::string& host)
    {
        return base.version_ >= lost.minVersion_
            && std::binary_search(lost.hosts_.begin(), lost.hosts_.end(), host);
    }

    /// Members of `view` that are not declared lost; only these are counted.
    std::vector<const Member*> membersNotLost(
        const Head& view, const Head& base, const LostHostsDeclaration& lost)
    {
        std::vector<const Member*> out;
        for (const Member& member : view.members_) {
            if (!isDeclaredLost(lost, base, member.host_))
                out.push_back(&member);
        }
        return out;
    }

    /// Time of the evidence of `member`; empty if there is none, or if it is expired or from an incarnation
    /// older than the listed one. No evidence in the log knows a newer version than `knowledge`.
    std::optional<TimePoint> evidenceStart(const EvidenceLog& log, const HeadKnowledge& knowledge,
        const EvidenceOptions& options, const Member& member, TimePoint now)
    {
        if (member.host_ == knowledge.host_)
            return knowledge.eligible_ ? std::optional(now) : std::nullopt;
        const auto it = log.hosts_.find(member.host_);
        if (it == log.hosts_.end() || it->second.second.incarnation_ < member.incarnation_
            || it->second.first + options.validity_ <= now)
            return std::nullopt;
        return it->second.first;
    }

    /// Returns the summary of a domain that counts most members for the view `nonce`, among those that refer
    /// to `version`, or null. Sets `heard` to its count.
    const std::pair<TimePoint, Summary>* bestSummary(const EvidenceLog& log, const EvidenceOptions& options,
        const std::string& domain, uint64_t version, const std::string& nonce, size_t& heard, TimePoint now)
    {
        const std::pair<TimePoint, Summary>* best = nullptr;
        for (auto it = log.summaries_.lower_bound({ domain, "" });
             it != log.summaries_.end() && it->first.first == domain; ++it) {
            const auto& [start, summary] = it->second;
            if (summary.newestVersion_ != version || start + options.validity_ <= now)
                continue;
            const auto count = std::find_if(summary.counts_.begin(), summary.counts_.end(),
                [&](const ViewCount& c) { return c.nonce_ == nonce; });
            if (count != summary.counts_.end() && (!best || count->heard_ > heard)) {
                best = &it->second;
                heard = count->heard_;
            }
        }
        return best;
    }

    /// Result of proveView. start_ is empty if too few members gave evidence.
    struct ViewProof {
        std::optional<TimePoint> start_;
        size_t heard_ = 0;
        size_t needed_ = 0;
    };

    /// Proof for one view: all its members that are not declared lost, except f of them, must be covered,
    /// each by its own evidence or by a summary of its domain.
    ViewProof proveView(const EvidenceLog& log, const HeadKnowledge& knowledge,
        const EvidenceOptions& options, const Head& base, const Head& view, const std::string& nonce,
        const LostHostsDeclaration& lost, TimePoint now)
    {
        const std::vector<const Member*> members = membersNotLost(view, base, lost);
        ViewProof out;
        out.needed_ = members.size() - maxMissingMembers(members.size());
        std::map<std::string, std::vector<const Member*>> domains;
        for (const Member* member : members)
            domains[member->failureDomain_].push_back(member);
        std::vector<TimePoint> starts;
        for (const auto& [domain, inDomain] : domains) {
            size_t heard = 0;
            const auto* summary = bestSummary(log, options, domain, base.version_, nonce, heard, now);
            if (summary) {
                starts.insert(starts.end(), std::min(heard, inDomain.size()), summary->first);
                continue;
            }
            for (const Member* member : inDomain) {
                if (const auto start = evidenceStart(log, knowledge, options, *member, now))
                    starts.push_back(*start);
            }
        }
        out.heard_ = starts.size();
        if (members.empty() || starts.size() < out.needed_)
            return out;
        std::sort(starts.begin(), starts.end(), std::greater<>());
        out.start_ = starts[out.needed_ - 1];
        return out;
    }

    /// True if at least f + 1 members, which may include the writer, hold a candidate or know an outcome.
    /// Then every set of all members but f contains one of them.
    bool hasEnoughAcks(const std::map<std::string, Ack>& acks, const HeadKnowledge& knowledge,
        const EvidenceOptions& options, const Head& base, const LostHostsDeclaration& lost, TimePoint now)
    {
        const std::vector<const Member*> members = membersNotLost(base, base, lost);
        if (members.empty() || !options.requireAcks_)
            return true;
        size_t holders = 0;
        for (const Member* member : members) {
            const auto ack = acks.find(member->host_);
            if (member->host_ == knowledge.host_)
                holders += knowledge.incarnation_ >= member->incarnation_ ? 1 : 0;
            else if (ack != acks.end() && ack->second.incarnation_ >= member->incarnation_
                && now < ack->second.reportSentAt_ + options.ackLifetime_)
                ++holders;
        }
        return holders >= maxMissingMembers(members.size()) + 1;
    }

} // namespace detail

size_t maxMissingMembers(size_t members)
{
    if (members < 3)
        return 0;
    return members < 7 ? 1 : 2;
}

void recordHead(HeadKnowledge& knowledge, const Head& head)
{
    detail::advanceVersion(knowledge, head.version_);
    const bool listsThisIncarnation
        = std::any_of(head.members_.begin(), head.members_.end(), [&](const Member& member) {
              return member.host_ == knowledge.host_ && member.incarnation_ == knowledge.incarnation_;
          });
    // Candidates that an earlier process of this host acknowledged are based on versions older than the one
    // that lists this incarnation, so they are resolved and this incarnation is eligible.
    knowledge.listed_ = knowledge.listed_ || listsThisIncarnation;
    knowledge.eligible_ = knowledge.eligible_ || listsThisIncarnation;
}

void recordStoreContact(HeadKnowledge& knowledge, TimePoint sentAt)
{
    if (!knowledge.lastContact_ || sentAt > *knowledge.lastContact_)
        knowledge.lastContact_ = sentAt;
}

bool hasStoreContact(const HeadKnowledge& knowledge, const EvidenceOptions& options, TimePoint now)
{
    return knowledge.lastContact_ && now < *knowledge.lastContact_ + options.contactLifetime_;
}

bool acknowledgeCandidate(HeadKnowledge& knowledge, const Candidate& candidate)
{
    return detail::addCandidate(knowledge, candidate);
}

std::optional<Evidence> makeEvidence(
    const HeadKnowledge& knowledge, const EvidenceOptions& options, TimePoint now)
{
    if (!knowledge.eligible_)
        return std::nullopt;
    return Evidence { knowledge.host_, knowledge.incarnation_, knowledge.newestVersion_,
        hasStoreContact(knowledge, options, now), knowledge.candidates_ };
}

LostHostsDeclaration declareRegionLost(const Head& head, const std::string& region, uint64_t minVersion)
{
    LostHostsDeclaration out;
    out.minVersion_ = minVersion;
    for (const Member& member : head.members_) {
        if (member.region_ == region)
            out.hosts_.push_back(member.host_);
    }
    std::sort(out.hosts_.begin(), out.hosts_.end());
    return out;
}

void recordEvidence(EvidenceLog& log, HeadKnowledge& knowledge, LostHostsDeclaration& lost, TimePoint sentAt,
    const Evidence& evidence)
{
    detail::advanceVersion(knowledge, evidence.newestVersion_);
    for (const Candidate& candidate : evidence.candidates_)
        detail::addCandidate(knowledge, candidate);
    if (std::binary_search(lost.hosts_.begin(), lost.hosts_.end(), evidence.host_))
        lost = {};
    auto [it, inserted] = log.hosts_.try_emplace(evidence.host_, sentAt, evidence);
    const bool newer = evidence.incarnation_ > it->second.second.incarnation_
        || (evidence.incarnation_ == it->second.second.incarnation_ && sentAt > it->second.first);
    if (!inserted && newer)
        it->second = { sentAt, evidence };
}

void recordEvidenceSummary(
    EvidenceLog& log, HeadKnowledge& knowledge, TimePoint sentAt, const Summary& summary)
{
    detail::advanceVersion(knowledge, summary.newestVersion_);
    for (const Candidate& candidate : summary.candidates_)
        detail::addCandidate(knowledge, candidate);
    const TimePoint start = sentAt - std::max(summary.age_, Duration::zero());
    auto [it, inserted]
        = log.summaries_.try_emplace({ summary.failureDomain_, summary.relay_ }, start, summary);
    if (!inserted && start > it->second.first)
        it->second = { start, summary };
}

Summary summariseEvidence(const EvidenceLog& log, const HeadKnowledge& knowledge,
    const EvidenceOptions& options, const Head& base, const CandidateHeads& heads,
    const std::string& failureDomain, TimePoint now)
{
    Summary out;
    out.relay_ = knowledge.host_;
    out.failureDomain_ = failureDomain;
    out.newestVersion_ = knowledge.newestVersion_;
    out.candidates_ = knowledge.candidates_;
    // The relay can count only with the newest head, whose members it needs.
    if (base.version_ != knowledge.newestVersion_)
        return out;
    const auto count = [&](const Head& view, const std::string& nonce) {
        size_t heard = 0;
        for (const Member& member : view.members_) {
            if (member.failureDomain_ != failureDomain)
                continue;
            const auto start = detail::evidenceStart(log, knowledge, options, member, now);
            heard += start ? 1 : 0;
            if (start)
                out.age_ = std::max(out.age_, now - *start);
            if (!nonce.empty())
                continue;
            out.notHeard_ += start ? 0 : 1;
            const auto it = log.hosts_.find(member.host_);
            const bool contact = member.host_ == knowledge.host_
                ? hasStoreContact(knowledge, options, now)
                : it != log.hosts_.end() && it->second.second.contact_;
            out.withoutContact_ += start && !contact ? 1 : 0;
        }
        out.counts_.push_back({ nonce, heard });
    };
    count(base, "");
    for (const Candidate& candidate : knowledge.candidates_) {
        const auto it = heads.find(candidate.digest_);
        if (it != heads.end())
            count(it->second, candidate.nonce_);
    }
    return out;
}

LeaseExtension evaluateEvidence(const EvidenceLog& log, const HeadKnowledge& knowledge,
    const EvidenceOptions& options, const Head& base, const CandidateHeads& heads,
    const LostHostsDeclaration& lost, TimePoint now)
{
    LeaseExtension out;
    for (const auto& [host, entry] : log.hosts_) {
        const bool fresh = entry.first + options.validity_ > now;
        out.withoutContact_ += fresh && !entry.second.contact_ ? 1 : 0;
    }
    for (const auto& [key, entry] : log.summaries_)
        out.withoutContact_ += entry.first + options.validity_ > now ? entry.second.withoutContact_ : 0;
    detail::ViewProof proof
        = detail::proveView(log, knowledge, options, base, base, std::string(), lost, now);
    out.heard_ = proof.heard_;
    out.needed_ = proof.needed_;
    out.start_ = proof.start_;
    if (knowledge.newestVersion_ > base.version_) {
        out.newerVersion_ = knowledge.newestVersion_;
        out.start_ = std::nullopt;
        return out;
    }
    out.restrictBy_ = knowledge.candidates_;
    // A candidate may already be the head, and later changes need acknowledgements from the members of its
    // view only. So each candidate's view needs a proof too.
    for (const Candidate& candidate : knowledge.candidates_) {
        const auto it = heads.find(candidate.digest_);
        if (it == heads.end()) {
            out.unknown_.push_back(candidate);
            out.start_ = std::nullopt;
            continue;
        }
        const detail::ViewProof candidateProof
            = detail::proveView(log, knowledge, options, base, it->second, candidate.nonce_, lost, now);
        out.start_ = out.start_ && candidateProof.start_ ? std::min(out.start_, candidateProof.start_)
                                                         : std::nullopt;
    }
    // An earlier process of this host may have acted on a candidate, and the revision must not decrease on a
    // host.
    if (!knowledge.listed_ && !knowledge.candidates_.empty())
        out.start_ = std::nullopt;
    return out;
}

bool tryRecover(HeadKnowledge& knowledge, const EvidenceLog& log, const EvidenceOptions& options,
    const Head& base, const CandidateHeads& heads, const LostHostsDeclaration& lost, TimePoint now)
{
    if (knowledge.eligible_)
        return true;
    // Probes that were sent while an acknowledgement of the earlier process could still be valid prove
    // nothing: the answering host may acknowledge the same candidate after its answer.
    const LeaseExtension extension = evaluateEvidence(log, knowledge, options, base, heads, lost, now);
    knowledge.eligible_ = extension.start_ && extension.newerVersion_ == 0
        && *extension.start_ >= knowledge.startedAt_ + options.recoveryDelay_;
    return knowledge.eligible_;
}

void recordAck(std::map<std::string, Ack>& acks, const std::string& host, const Ack& ack)
{
    auto [it, inserted] = acks.try_emplace(host, ack);
    if (!inserted && ack.reportSentAt_ > it->second.reportSentAt_)
        it->second = ack;
}

Result<bool> mayWrite(const Proposal& proposal, const HeadKnowledge& knowledge,
    const EvidenceOptions& options, const Head& base, const LostHostsDeclaration& lost, TimePoint now)
{
    if (proposal.candidate_.baseVersion_ != base.version_ || knowledge.newestVersion_ != base.version_)
        return makeError(ErrorCode::Conflict, "head: a newer version exists than the candidate's base");
    if (!hasStoreContact(knowledge, options, now))
        return makeError(ErrorCode::Unavailable, "head: no contact with the store");
    if (!detail::hasEnoughAcks(proposal.acks_, knowledge, options, base, lost, now))
        return makeError(ErrorCode::Unavailable, "head: too few members have acknowledged the candidate");
    return true;
}

WriteOutcome writeOutcomeOf(const Candidate& candidate, const Head& seen)
{
    if (seen.version_ <= candidate.baseVersion_)
        return WriteOutcome::InDoubt;
    if (seen.version_ > candidate.baseVersion_ + 1)
        return WriteOutcome::Superseded;
    return seen.nonce_ == candidate.nonce_ ? WriteOutcome::Written : WriteOutcome::Lost;
}

bool isAccepted(const Proposal& proposal, const HeadKnowledge& knowledge, const EvidenceOptions& options,
    const Head& base, const LostHostsDeclaration& lost, TimePoint now)
{
    return detail::hasEnoughAcks(proposal.outcomeAcks_, knowledge, options, base, lost, now);
}

} // namespace turmericwing::control
