// Head changes: reports the candidate to f other members, writes it conditionally and collects confirmations.
// docs/control-head.md gives the rules.
#include "controller-state.h"

namespace turmericwing::host {

namespace detail {

    constexpr int changeAttempts = 8;
    constexpr auto changeBackoff = std::chrono::milliseconds(20);
    constexpr auto ackRetryInterval = std::chrono::milliseconds(150);
    constexpr auto candidateAckTimeout = std::chrono::milliseconds(1500);
    constexpr auto outcomeAckTimeout = std::chrono::seconds(2);
    /// Members that a writer asks for acknowledgements; above f + 1 for every fleet size.
    constexpr size_t maxAckTargets = 8;

    /// Adds a member or replaces the entry of the same host; keeps the members sorted by host.
    void putMember(control::Head& head, const control::Member& member)
    {
        std::erase_if(
            head.members_, [&](const control::Member& other) { return other.host_ == member.host_; });
        const auto place = std::lower_bound(head.members_.begin(), head.members_.end(), member,
            [](const control::Member& a, const control::Member& b) { return a.host_ < b.host_; });
        head.members_.insert(place, member);
        ++head.epoch_;
    }

} // namespace detail

/// Joins the view if it does not list this incarnation. Leaves if it lists a newer one.
void Controller::State::joinIfUnlisted()
{
    if (!hasReadHead_ || joining_ || shared_.draining())
        return;
    const control::Member* own = detail::findMember(newestHead_, options_.self_.host_);
    if (own && own->incarnation_ == options_.self_.incarnation_)
        return;
    if (own && own->incarnation_ > options_.self_.incarnation_) {
        joining_ = true;
        logEvent(LogLevel::Error, "replaced",
            { { "detail", "another process has joined under this host's name with a newer incarnation" } });
        executor_.post(options_.onLeave_);
        return;
    }
    joining_ = true;
    executor_.post([this] {
        const auto joined = changeHeadWithRetries(options_.self_.host_,
            "host " + options_.self_.host_ + " joins", [this](control::Head& head) -> Result<void> {
                const control::Member* current = detail::findMember(head, options_.self_.host_);
                if (current && current->incarnation_ >= options_.self_.incarnation_)
                    return makeError(ErrorCode::Conflict, "the view already lists this host");
                detail::putMember(head, options_.self_);
                return boost::outcome_v2::success();
            });
        if (!joined)
            logEvent(LogLevel::Warning, "join-failed", { { "error", joined.error().message_ } });
        std::lock_guard lock(mutex_);
        joining_ = false;
    });
}

/// Edits, reports, writes and confirms; retries after a conflict with a randomised linear backoff.
Result<control::Head> Controller::State::changeHeadWithRetries(
    const std::string& who, const std::string& what, const HeadEdit& edit)
{
    std::lock_guard changing(changeMutex_);
    Error last = makeError(ErrorCode::Unavailable, "the head was not read");
    for (int attempt = 0; attempt < detail::changeAttempts; ++attempt) {
        BOOST_OUTCOME_TRY(base, readHead(options_.platform_.table_));
        control::Head edited = base;
        BOOST_OUTCOME_TRY(edit(edited));
        const control::Head next = nextHead(base, std::move(edited), who, what, random_);
        auto written = collectCandidateAcks(base, next);
        if (written)
            written = writeHead(options_.platform_.table_, base, next);
        if (written) {
            if (!confirmOutcome(next))
                return makeError(ErrorCode::Unknown,
                    "the change is written, but too few hosts have confirmed it; it takes effect when they "
                    "do");
            return next;
        }
        last = written.error();
        if (last.code_ != ErrorCode::Conflict)
            return last;
        std::this_thread::sleep_for(detail::changeBackoff * (attempt + 1) * (0.5 + uniform(random_)));
    }
    return last;
}

Result<control::Head> Controller::changeHead(
    const std::string& who, const std::string& what, const HeadEdit& edit)
{
    auto changed = state_->changeHeadWithRetries(who, what, edit);
    if (!changed)
        logEvent(LogLevel::Warning, "change-refused",
            { { "who", who }, { "what", what }, { "error", changed.error().message_ } });
    return changed;
}

Result<PublishOutcome> Controller::publish(
    const std::string& who, uint64_t expectedRevision, const std::string& text, const std::string& message)
{
    model::ParseResult parsed = model::parseSet({ { "objects.ini", text } });
    if (!parsed.faults_.empty())
        return PublishOutcome { 0, std::move(parsed.faults_) };
    const std::string canonical = model::canonicalText(parsed.set_);
    BOOST_OUTCOME_TRY(digest, state_->options_.platform_.objects_.put_(canonical));
    state_->acceptText(digest, canonical);
    BOOST_OUTCOME_TRY(head, changeHead(who, "publish: " + message, [&](control::Head& next) -> Result<void> {
        if (next.revision_ != expectedRevision)
            return makeError(ErrorCode::Conflict,
                "revision " + std::to_string(next.revision_) + " is in force, not "
                    + std::to_string(expectedRevision) + "; last change by " + next.publisher_ + ": "
                    + next.change_);
        ++next.revision_;
        next.digest_ = digest;
        return boost::outcome_v2::success();
    }));
    return PublishOutcome { head.revision_, {} };
}

Result<PublishOutcome> Controller::editConfiguration(const std::string& who, const std::string& what,
    const std::function<Result<void>(model::ObjectSet&)>& edit)
{
    // The edit does not depend on its base, so it can be applied again after a conflict with another change.
    for (int attempt = 1;; ++attempt) {
        BOOST_OUTCOME_TRY(newest, state_->newestConfiguration());
        model::ParseResult parsed = model::parseSet({ { "objects.ini", newest.second } });
        BOOST_OUTCOME_TRY(edit(parsed.set_));
        auto published = publish(who, newest.first, model::canonicalText(parsed.set_), what);
        const bool lostRace = !published && published.error().code_ == ErrorCode::Conflict;
        if (!lostRace || attempt == detail::changeAttempts)
            return published;
    }
}

Result<std::pair<uint64_t, std::string>> Controller::State::newestConfiguration()
{
    BOOST_OUTCOME_TRY(head, readHead(options_.platform_.table_));
    if (head.digest_.empty())
        return makeError(ErrorCode::NotFound, "nothing has been published yet");
    {
        std::lock_guard lock(mutex_);
        const auto found = setTexts_.find(head.digest_);
        if (found != setTexts_.end())
            return std::make_pair(head.revision_, found->second);
    }
    BOOST_OUTCOME_TRY(text, options_.platform_.objects_.get_(head.digest_));
    return std::make_pair(head.revision_, std::move(text));
}

/// Members that a writer asks for acknowledgements.
std::vector<std::string> Controller::State::ackTargets(const control::Head& base) const
{
    std::vector<std::string> targets;
    for (const control::Member& member : base.members_) {
        if (member.host_ != options_.self_.host_ && targets.size() < detail::maxAckTargets)
            targets.push_back(member.host_);
    }
    return targets;
}

/// Sends a message to the acknowledgement targets and records their acknowledgements: those of the written
/// head if `isOutcome`, else those of the candidate.
void Controller::State::requestAcks(const control::Head& base, const peer::Message& message, bool isOutcome)
{
    for (const std::string& host : ackTargets(base)) {
        const TimePoint sentAt = monotonicNow();
        options_.request_(host, message, detail::peerRequestTimeout,
            [this, host, sentAt, isOutcome](Result<peer::Message> reply) {
                const auto* ack = reply ? std::get_if<peer::Ack>(&reply.value()) : nullptr;
                std::lock_guard lock(mutex_);
                if (ack && proposal_)
                    control::recordAck(isOutcome ? proposal_->outcomeAcks_ : proposal_->acks_, host,
                        { ack->incarnation_, sentAt });
                ackReceived_.notify_all();
            });
    }
}

/// Reports the candidate `next` until enough members have acknowledged it for the write to be allowed.
Result<void> Controller::State::collectCandidateAcks(const control::Head& base, const control::Head& next)
{
    const std::string text = control::encodeHead(next);
    const control::Candidate candidate { base.version_, next.nonce_, sha256Hex(text) };
    const TimePoint deadline = monotonicNow() + detail::candidateAckTimeout;
    std::unique_lock lock(mutex_);
    // The caller has just read `base` from the store.
    control::recordStoreContact(knowledge_, monotonicNow());
    control::recordHead(knowledge_, base);
    if (!control::acknowledgeCandidate(knowledge_, candidate))
        return makeError(ErrorCode::Conflict, "a newer head is known");
    candidateTexts_[candidate.digest_] = text;
    unpreparedCandidates_[candidate.digest_] = next;
    proposal_ = control::Proposal { candidate, {}, {} };
    const auto allowed = [&] {
        return control::mayWrite(*proposal_, knowledge_, evidenceOptions_, base, lostHosts_, monotonicNow());
    };
    for (;;) {
        const auto now = allowed();
        if (now)
            return boost::outcome_v2::success();
        if (now.error().code_ == ErrorCode::Conflict || monotonicNow() >= deadline)
            return now.error();
        lock.unlock();
        // A member that does not know the base refuses the candidate, so the base is sent first.
        requestAcks(base, peer::HeadRow { base.version_, 0, false, control::encodeHead(base) }, true);
        requestAcks(base, peer::CandidateReport { candidate, text }, false);
        lock.lock();
        ackReceived_.wait_for(lock, detail::ackRetryInterval, [&] { return allowed().has_value(); });
    }
}

/// Spreads the written head until enough members have acknowledged it. Returns false at the deadline.
bool Controller::State::confirmOutcome(const control::Head& next)
{
    const TimePoint deadline = monotonicNow() + detail::outcomeAckTimeout;
    std::unique_lock lock(mutex_);
    proposal_->outcomeAcks_.clear();
    const TimePoint now = monotonicNow();
    const auto outcome = control::learnHead(lease_, leaseOptions_, next, now);
    if (outcome && outcome.value() == control::LearnOutcome::Learned)
        onHeadLearned(next, now);
    const auto accepted = [&] {
        return control::isAccepted(
            *proposal_, knowledge_, evidenceOptions_, next, lostHosts_, monotonicNow());
    };
    while (!accepted() && monotonicNow() < deadline) {
        lock.unlock();
        requestAcks(next, peer::HeadRow { next.version_, 0, false, control::encodeHead(next) }, true);
        lock.lock();
        ackReceived_.wait_for(lock, detail::ackRetryInterval, accepted);
    }
    const bool confirmed = accepted();
    if (!confirmed)
        logEvent(LogLevel::Warning, "change-not-confirmed",
            { { "version", std::to_string(next.version_) },
                { "detail", "too few members have acknowledged it" } });
    proposal_.reset();
    return confirmed;
}

void Controller::removeFailed(const std::vector<std::string>& failed, const std::set<std::string>& heard)
{
    if (failed.empty())
        return;
    State& state = *state_;
    {
        std::lock_guard lock(state.mutex_);
        const auto isProposer = [&](const control::Member& member) {
            const bool self = member.host_ == state.options_.self_.host_;
            return std::find(failed.begin(), failed.end(), member.host_) == failed.end()
                && (self || heard.count(member.host_) > 0);
        };
        const auto& members = state.newestHead_.members_;
        const auto proposer = std::find_if(members.begin(), members.end(), isProposer);
        if (proposer == members.end() || proposer->host_ != state.options_.self_.host_ || state.removing_)
            return;
        state.removing_ = true;
    }
    state.executor_.post([this, failed] {
        std::string names;
        for (const std::string& host : failed)
            names += (names.empty() ? "" : ", ") + host;
        const auto removed = changeHead(state_->options_.self_.host_, "remove failed hosts: " + names,
            [&](control::Head& head) -> Result<void> {
                const control::Head without = control::withoutMembers(head, failed);
                if (without.members_.size() == head.members_.size())
                    return makeError(ErrorCode::NotFound, "the hosts have been removed already");
                head = without;
                return boost::outcome_v2::success();
            });
        static_cast<void>(removed);
        std::lock_guard lock(state_->mutex_);
        state_->removing_ = false;
    });
}

} // namespace turmericwing::host
