// Evidence of a store outage, candidates in doubt, and answers to other hosts about heads and configurations.
#include "controller-state.h"

namespace turmericwing::host {

namespace detail {

    constexpr auto probeInterval = std::chrono::milliseconds(400);
    constexpr size_t blobPartBytes = size_t { 512 } * 1024;

} // namespace detail

void Controller::State::probeMembers(TimePoint now)
{
    if (now < nextProbe_)
        return;
    nextProbe_ = now + detail::probeInterval;
    for (const control::Member& member : known_.members_) {
        if (member.host_ == options_.self_.host_)
            continue;
        executor_.post([this, host = member.host_] {
            const TimePoint sentAt = monotonicNow();
            options_.request_(
                host, peer::Probe {}, detail::peerTimeout, [this, sentAt](Result<peer::Message> reply) {
                    const auto* evidence = reply ? std::get_if<control::Evidence>(&reply.value()) : nullptr;
                    if (!evidence)
                        return;
                    std::lock_guard lock(mutex_);
                    control::recordEvidence(evidence_, knowledge_, lost_, sentAt, *evidence);
                });
        });
    }
}

void Controller::State::useEvidence(TimePoint now)
{
    inDoubt_.clear();
    if (known_.members_.empty() || control::hasContact(knowledge_, evidenceOptions_, now))
        return;
    probeMembers(now);
    prepareCandidates();
    control::tryRecover(knowledge_, evidence_, evidenceOptions_, known_, candidates_, lost_, now);
    const control::Extension extension
        = control::evaluateEvidence(evidence_, knowledge_, evidenceOptions_, known_, candidates_, lost_, now);
    inDoubt_ = extension.restrictBy_;
    if (extension.start_)
        control::extendLease(lease_, known_.version_, *extension.start_);
    if (extension.newerVersion_ > 0 || !extension.unknown_.empty())
        askForNewer(extension);
}

/// Another host knows more: asks all members for a newer head and for the content of unknown candidates.
void Controller::State::askForNewer(const control::Extension& extension)
{
    for (const control::Member& member : known_.members_) {
        if (member.host_ == options_.self_.host_)
            continue;
        executor_.post([this, host = member.host_, version = known_.version_, unknown = extension.unknown_] {
            options_.request_(
                host, peer::HeadGet { version }, detail::peerTimeout, [this](Result<peer::Message> reply) {
                    const auto* row = reply ? std::get_if<peer::HeadRow>(&reply.value()) : nullptr;
                    std::lock_guard lock(mutex_);
                    if (row && !row->row_.empty())
                        learnRow(*row, monotonicNow());
                });
            for (const control::Candidate& candidate : unknown)
                options_.request_(host, peer::BlobGet { candidate.digest_, 0 }, detail::peerTimeout,
                    [this, digest = candidate.digest_](Result<peer::Message> reply) {
                        const auto* blob = reply ? std::get_if<peer::Blob>(&reply.value()) : nullptr;
                        if (blob && blob->total_ > 0 && blob->total_ == blob->bytes_.size())
                            takeCandidate(digest, std::string(blob->bytes_.begin(), blob->bytes_.end()));
                    });
        });
    }
}

void Controller::State::takeCandidate(const std::string& digest, const std::string& text)
{
    const auto head = control::decodeHead(text);
    if (!head || sha256Hex(text) != digest)
        return;
    std::lock_guard lock(mutex_);
    candidateTexts_[digest] = text;
    if (candidates_.count(digest) == 0)
        unprepared_[digest] = head.value();
}

void Controller::State::prepareCandidates()
{
    for (auto entry = unprepared_.begin(); entry != unprepared_.end();) {
        if (sets_.count(entry->second.digest_) > 0) {
            candidates_[entry->first] = entry->second;
            entry = unprepared_.erase(entry);
            continue;
        }
        fetchSet(entry->second.digest_);
        ++entry;
    }
}

void Controller::State::fetchSet(const std::string& digest)
{
    if (fetching_.insert(digest).second)
        executor_.post([this, digest] { fetch({ digest, true, {} }); });
}

peer::Message Controller::State::learnRow(const peer::HeadRow& row, TimePoint now)
{
    const auto head = control::decodeHead(row.row_);
    if (!head)
        return peer::Refusal { static_cast<uint32_t>(ErrorCode::Invalid), head.error().message_ };
    const auto outcome = control::learnHead(lease_, leaseOptions_, head.value(), now);
    if (outcome && outcome.value() == control::LearnOutcome::Learned)
        learned(head.value(), now);
    return peer::Ack { options_.self_.incarnation_ };
}

peer::Message Controller::State::takeReport(const peer::CandidateReport& report)
{
    const auto head = control::decodeHead(report.head_);
    if (!head || sha256Hex(report.head_) != report.candidate_.digest_
        || !control::acknowledgeCandidate(knowledge_, report.candidate_))
        return peer::Refusal { static_cast<uint32_t>(ErrorCode::Conflict), "not based on the newest head" };
    candidateTexts_[report.candidate_.digest_] = report.head_;
    unprepared_[report.candidate_.digest_] = head.value();
    prepareCandidates();
    return peer::Ack { options_.self_.incarnation_ };
}

peer::Blob Controller::State::blobPart(const peer::BlobGet& wanted) const
{
    const auto& source = texts_.count(wanted.digest_) > 0 ? texts_ : candidateTexts_;
    const auto found = source.find(wanted.digest_);
    if (found == source.end() || wanted.offset_ > found->second.size())
        return { wanted.digest_, wanted.offset_, 0, {} };
    const std::string part = found->second.substr(wanted.offset_, detail::blobPartBytes);
    return { wanted.digest_, wanted.offset_, found->second.size(), { part.begin(), part.end() } };
}

std::optional<peer::Message> Controller::answer(const peer::Message& message)
{
    State& state = *state_;
    const TimePoint now = monotonicNow();
    std::lock_guard lock(state.mutex_);
    if (const auto* row = std::get_if<peer::HeadRow>(&message))
        return state.learnRow(*row, now);
    if (const auto* report = std::get_if<peer::CandidateReport>(&message))
        return state.takeReport(*report);
    if (const auto* wanted = std::get_if<peer::BlobGet>(&message))
        return state.blobPart(*wanted);
    if (const auto* wanted = std::get_if<peer::HeadGet>(&message)) {
        const bool newer = state.known_.version_ > wanted->knownVersion_;
        return peer::HeadRow { state.known_.version_, 0, false,
            newer ? control::encodeHead(state.known_) : std::string() };
    }
    if (!std::get_if<peer::Probe>(&message))
        return std::nullopt;
    if (const auto evidence = control::giveEvidence(state.knowledge_, state.evidenceOptions_, now))
        return *evidence;
    return peer::Refusal { static_cast<uint32_t>(ErrorCode::Unavailable),
        "a new incarnation gives no evidence yet" };
}

Result<void> Controller::declareLost(const std::string& region)
{
    std::lock_guard lock(state_->mutex_);
    const control::LostHosts lost = control::lostRegion(state_->known_, region, state_->known_.version_);
    if (lost.hosts_.empty())
        return makeError(ErrorCode::NotFound, "no host of region '" + region + "' is in the view");
    state_->lost_ = lost;
    logEvent(LogLevel::Warning, "region-declared-lost", { { "region", region } });
    return boost::outcome_v2::success();
}

} // namespace turmericwing::host
