// Changes of the control head: announced to f members, written conditionally, confirmed. docs/control-head.md
// gives the rules.
#include "controller-state.h"

namespace turmericwing::host {

namespace detail {

    constexpr int changeAttempts = 8;
    constexpr auto changeBackoff = std::chrono::milliseconds(20);
    constexpr auto reportInterval = std::chrono::milliseconds(150);
    constexpr auto acknowledgeTimeout = std::chrono::milliseconds(1500);
    constexpr auto acceptTimeout = std::chrono::seconds(2);
    constexpr size_t maximumReports = 8; ///< Members that a writer asks; more than f + 1 of any fleet.

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

void Controller::State::maybeJoin()
{
    if (!everRead_ || joining_ || shared_.draining())
        return;
    const control::Member* own = detail::findMember(known_, options_.self_.host_);
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
        const auto joined = attemptChange(options_.self_.host_, "host " + options_.self_.host_ + " joins",
            [this](control::Head& head) -> Result<void> {
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

Result<control::Head> Controller::State::attemptChange(
    const std::string& who, const std::string& what, const HeadEdit& edit)
{
    std::lock_guard changing(changeMutex_);
    Error last = makeError(ErrorCode::Unavailable, "the head was not read");
    for (int attempt = 0; attempt < detail::changeAttempts; ++attempt) {
        BOOST_OUTCOME_TRY(base, readHead(options_.platform_.table_));
        control::Head edited = base;
        BOOST_OUTCOME_TRY(edit(edited));
        const control::Head next = nextHead(base, std::move(edited), who, what, random_);
        auto written = collectAcks(base, next);
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
    auto changed = state_->attemptChange(who, what, edit);
    if (!changed)
        logEvent(LogLevel::Warning, "change-refused",
            { { "who", who }, { "what", what }, { "error", changed.error().message_ } });
    return changed;
}

Result<PublishOutcome> Controller::publish(
    const std::string& who, uint64_t expectedRevision, const std::string& text, const std::string& message)
{
    model::Parsed parsed = model::parseSet({ { "objects.ini", text } });
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
    // The edit does not depend on the base, so it is applied again when another change came first.
    for (int attempt = 1;; ++attempt) {
        BOOST_OUTCOME_TRY(newest, state_->newestConfiguration());
        model::Parsed parsed = model::parseSet({ { "objects.ini", newest.second } });
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
        const auto found = texts_.find(head.digest_);
        if (found != texts_.end())
            return std::make_pair(head.revision_, found->second);
    }
    BOOST_OUTCOME_TRY(text, options_.platform_.objects_.get_(head.digest_));
    return std::make_pair(head.revision_, std::move(text));
}

std::vector<std::string> Controller::State::reportTargets(const control::Head& base) const
{
    std::vector<std::string> targets;
    for (const control::Member& member : base.members_) {
        if (member.host_ != options_.self_.host_ && targets.size() < detail::maximumReports)
            targets.push_back(member.host_);
    }
    return targets;
}

void Controller::State::sendReports(const control::Head& base, const peer::Message& message, bool outcome)
{
    for (const std::string& host : reportTargets(base)) {
        const TimePoint sentAt = monotonicNow();
        options_.request_(
            host, message, detail::peerTimeout, [this, host, sentAt, outcome](Result<peer::Message> reply) {
                const auto* ack = reply ? std::get_if<peer::Ack>(&reply.value()) : nullptr;
                std::lock_guard lock(mutex_);
                if (ack && proposal_)
                    control::recordAck(outcome ? proposal_->outcomeAcks_ : proposal_->acks_, host,
                        { ack->incarnation_, sentAt });
                acknowledged_.notify_all();
            });
    }
}

Result<void> Controller::State::collectAcks(const control::Head& base, const control::Head& next)
{
    const std::string text = control::encodeHead(next);
    const control::Candidate candidate { base.version_, next.nonce_, sha256Hex(text) };
    const TimePoint deadline = monotonicNow() + detail::acknowledgeTimeout;
    std::unique_lock lock(mutex_);
    // The caller has just read `base` from the store.
    control::noteContact(knowledge_, monotonicNow());
    control::noteHead(knowledge_, base);
    if (!control::acknowledgeCandidate(knowledge_, candidate))
        return makeError(ErrorCode::Conflict, "a newer head is known");
    candidateTexts_[candidate.digest_] = text;
    unprepared_[candidate.digest_] = next;
    proposal_ = control::Proposal { candidate, {}, {} };
    const auto allowed = [&] {
        return control::mayWrite(*proposal_, knowledge_, evidenceOptions_, base, lost_, monotonicNow());
    };
    for (;;) {
        const auto now = allowed();
        if (now)
            return boost::outcome_v2::success();
        if (now.error().code_ == ErrorCode::Conflict || monotonicNow() >= deadline)
            return now.error();
        lock.unlock();
        // Members that lag behind the base refuse the candidate, so they are told of the base first.
        sendReports(base, peer::HeadRow { base.version_, 0, false, control::encodeHead(base) }, true);
        sendReports(base, peer::CandidateReport { candidate, text }, false);
        lock.lock();
        acknowledged_.wait_for(lock, detail::reportInterval, [&] { return allowed().has_value(); });
    }
}

bool Controller::State::confirmOutcome(const control::Head& next)
{
    const TimePoint deadline = monotonicNow() + detail::acceptTimeout;
    std::unique_lock lock(mutex_);
    proposal_->outcomeAcks_.clear();
    const TimePoint now = monotonicNow();
    const auto outcome = control::learnHead(lease_, leaseOptions_, next, now);
    if (outcome && outcome.value() == control::LearnOutcome::Learned)
        learned(next, now);
    const auto accepted = [&] {
        return control::isAccepted(*proposal_, knowledge_, evidenceOptions_, next, lost_, monotonicNow());
    };
    while (!accepted() && monotonicNow() < deadline) {
        lock.unlock();
        sendReports(next, peer::HeadRow { next.version_, 0, false, control::encodeHead(next) }, true);
        lock.lock();
        acknowledged_.wait_for(lock, detail::reportInterval, accepted);
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
        const auto& members = state.known_.members_;
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
