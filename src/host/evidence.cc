// Collects evidence from other hosts during a store outage, tracks candidate heads, and answers requests of
// other hosts about heads and configurations.
#include "controller-state.h"

namespace turmericwing::host {

namespace detail {

    constexpr auto probeInterval = std::chrono::milliseconds(400);
    constexpr size_t blobChunkBytes = size_t { 512 } * 1024;

} // namespace detail

/// Asks all other members for evidence, at most once per probe interval.
void Controller::State::probeMembers(TimePoint now)
{
    if (now < nextProbeAt_)
        return;
    nextProbeAt_ = now + detail::probeInterval;
    for (const control::Member& member : newestHead_.members_) {
        if (member.host_ == options_.self_.host_)
            continue;
        executor_.post([this, host = member.host_] {
            const TimePoint sentAt = monotonicNow();
            options_.request_(host, peer::Probe {}, detail::peerRequestTimeout,
                [this, sentAt](Result<peer::Message> reply) {
                    const auto* evidence = reply ? std::get_if<control::Evidence>(&reply.value()) : nullptr;
                    if (!evidence)
                        return;
                    std::lock_guard lock(mutex_);
                    control::recordEvidence(evidence_, knowledge_, lostHosts_, sentAt, *evidence);
                });
        });
    }
}

/// During a store outage, probes the members and extends the lease as far as their evidence allows.
void Controller::State::evaluateOutageEvidence(TimePoint now)
{
    candidatesInDoubt_.clear();
    if (newestHead_.members_.empty() || control::hasStoreContact(knowledge_, evidenceOptions_, now))
        return;
    probeMembers(now);
    prepareCandidates();
    control::tryRecover(
        knowledge_, evidence_, evidenceOptions_, newestHead_, preparedCandidates_, lostHosts_, now);
    const control::LeaseExtension extension = control::evaluateEvidence(
        evidence_, knowledge_, evidenceOptions_, newestHead_, preparedCandidates_, lostHosts_, now);
    candidatesInDoubt_ = extension.restrictBy_;
    if (extension.start_)
        control::extendLease(lease_, newestHead_.version_, *extension.start_);
    if (extension.newerVersion_ > 0 || !extension.unknown_.empty())
        requestNewerHeads(extension);
}

/// Asks all members for a newer head and for the content of unknown candidates, after evidence has shown that
/// they exist.
void Controller::State::requestNewerHeads(const control::LeaseExtension& extension)
{
    for (const control::Member& member : newestHead_.members_) {
        if (member.host_ == options_.self_.host_)
            continue;
        executor_.post(
            [this, host = member.host_, version = newestHead_.version_, unknown = extension.unknown_] {
                options_.request_(host, peer::HeadRequest { version }, detail::peerRequestTimeout,
                    [this](Result<peer::Message> reply) {
                        const auto* row = reply ? std::get_if<peer::HeadRow>(&reply.value()) : nullptr;
                        std::lock_guard lock(mutex_);
                        if (row && !row->row_.empty())
                            handleHeadRow(*row, monotonicNow());
                    });
                for (const control::Candidate& candidate : unknown)
                    options_.request_(host, peer::BlobRequest { candidate.digest_, 0 },
                        detail::peerRequestTimeout,
                        [this, digest = candidate.digest_](Result<peer::Message> reply) {
                            const auto* blob = reply ? std::get_if<peer::Blob>(&reply.value()) : nullptr;
                            if (blob && blob->total_ > 0 && blob->total_ == blob->bytes_.size())
                                storeCandidate(digest, std::string(blob->bytes_.begin(), blob->bytes_.end()));
                        });
            });
    }
}

/// Stores the content of a candidate head, unless its digest differs.
void Controller::State::storeCandidate(const std::string& digest, const std::string& text)
{
    const auto head = control::decodeHead(text);
    if (!head || sha256Hex(text) != digest)
        return;
    std::lock_guard lock(mutex_);
    candidateTexts_[digest] = text;
    if (preparedCandidates_.count(digest) == 0)
        unpreparedCandidates_[digest] = head.value();
}

/// Moves candidates whose configuration is parsed to preparedCandidates_ and fetches the missing
/// configurations.
void Controller::State::prepareCandidates()
{
    for (auto entry = unpreparedCandidates_.begin(); entry != unpreparedCandidates_.end();) {
        if (parsedSets_.count(entry->second.digest_) > 0) {
            preparedCandidates_[entry->first] = entry->second;
            entry = unpreparedCandidates_.erase(entry);
            continue;
        }
        fetchFromStore(entry->second.digest_);
        ++entry;
    }
}

/// Fetches a configuration from the store, unless a fetch of it is in progress.
void Controller::State::fetchFromStore(const std::string& digest)
{
    if (fetching_.insert(digest).second)
        executor_.post([this, digest] { fetch({ digest, true, {} }); });
}

peer::Message Controller::State::handleHeadRow(const peer::HeadRow& row, TimePoint now)
{
    const auto head = control::decodeHead(row.row_);
    if (!head)
        return peer::Refusal { static_cast<uint32_t>(ErrorCode::Invalid), head.error().message_ };
    const auto outcome = control::learnHead(lease_, leaseOptions_, head.value(), now);
    if (outcome && outcome.value() == control::LearnOutcome::Learned)
        onHeadLearned(head.value(), now);
    return peer::Ack { options_.self_.incarnation_ };
}

/// Acknowledges another writer's candidate and keeps it until it is resolved.
peer::Message Controller::State::handleCandidateReport(const peer::CandidateReport& report)
{
    const auto head = control::decodeHead(report.head_);
    if (!head || sha256Hex(report.head_) != report.candidate_.digest_
        || !control::acknowledgeCandidate(knowledge_, report.candidate_))
        return peer::Refusal { static_cast<uint32_t>(ErrorCode::Conflict), "not based on the newest head" };
    candidateTexts_[report.candidate_.digest_] = report.head_;
    unpreparedCandidates_[report.candidate_.digest_] = head.value();
    prepareCandidates();
    return peer::Ack { options_.self_.incarnation_ };
}

/// One chunk of a configuration or of an encoded candidate head. The total is 0 for an unknown digest or an
/// offset past the end.
peer::Blob Controller::State::readBlobChunk(const peer::BlobRequest& wanted) const
{
    const auto& source = setTexts_.count(wanted.digest_) > 0 ? setTexts_ : candidateTexts_;
    const auto found = source.find(wanted.digest_);
    if (found == source.end() || wanted.offset_ > found->second.size())
        return { wanted.digest_, wanted.offset_, 0, {} };
    const std::string chunk = found->second.substr(wanted.offset_, detail::blobChunkBytes);
    return { wanted.digest_, wanted.offset_, found->second.size(), { chunk.begin(), chunk.end() } };
}

std::optional<peer::Message> Controller::answer(const peer::Message& message)
{
    State& state = *state_;
    const TimePoint now = monotonicNow();
    std::lock_guard lock(state.mutex_);
    if (const auto* row = std::get_if<peer::HeadRow>(&message))
        return state.handleHeadRow(*row, now);
    if (const auto* report = std::get_if<peer::CandidateReport>(&message))
        return state.handleCandidateReport(*report);
    if (const auto* wanted = std::get_if<peer::BlobRequest>(&message))
        return state.readBlobChunk(*wanted);
    if (const auto* wanted = std::get_if<peer::HeadRequest>(&message)) {
        const bool newer = state.newestHead_.version_ > wanted->knownVersion_;
        return peer::HeadRow { state.newestHead_.version_, 0, false,
            newer ? control::encodeHead(state.newestHead_) : std::string() };
    }
    if (!std::get_if<peer::Probe>(&message))
        return std::nullopt;
    if (const auto evidence = control::makeEvidence(state.knowledge_, state.evidenceOptions_, now))
        return *evidence;
    return peer::Refusal { static_cast<uint32_t>(ErrorCode::Unavailable),
        "a new incarnation gives no evidence yet" };
}

Result<void> Controller::declareLost(const std::string& region)
{
    std::lock_guard lock(state_->mutex_);
    const control::LostHostsDeclaration lost
        = control::declareRegionLost(state_->newestHead_, region, state_->newestHead_.version_);
    if (lost.hosts_.empty())
        return makeError(ErrorCode::NotFound, "no host of region '" + region + "' is in the view");
    state_->lostHosts_ = lost;
    logEvent(LogLevel::Warning, "region-declared-lost", { { "region", region } });
    return boost::outcome_v2::success();
}

} // namespace turmericwing::host
