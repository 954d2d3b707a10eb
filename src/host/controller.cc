// Control loop. One thread polls the head from the table, one evaluates deadlines on every tick, and the
// executor runs fetches and head changes, which may block.
#include "controller-state.h"

#include <ctime>

namespace turmericwing::host {

namespace detail {

    constexpr auto headPollInterval = std::chrono::milliseconds(400);
    constexpr auto tickInterval = std::chrono::milliseconds(50);

    /// CPU time of the calling thread.
    double threadCpuSeconds()
    {
        timespec used {};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
        return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) * 1e-9;
    }

} // namespace detail

Controller::Controller(ControllerOptions options, SharedState& shared, Executor& executor)
    : state_(std::make_unique<State>(std::move(options), shared, executor))
{
    // Revision 0, in force before the first publication, is the empty set; its digest is the empty string.
    state_->parsedSets_[""] = std::make_shared<const model::ObjectSet>();
    state_->knowledge_.host_ = state_->options_.self_.host_;
    state_->knowledge_.incarnation_ = state_->options_.self_.incarnation_;
    state_->knowledge_.startedAt_ = monotonicNow();
}

Controller::~Controller() { stop(); }

void Controller::start()
{
    state_->headPollThread_ = std::thread([this] { state_->headPollLoop(); });
    state_->tickThread_ = std::thread([this] { state_->tickLoop(); });
}

void Controller::stop()
{
    {
        std::lock_guard lock(state_->mutex_);
        state_->stopping_ = true;
    }
    state_->wake_.notify_all();
    if (state_->headPollThread_.joinable())
        state_->headPollThread_.join();
    if (state_->tickThread_.joinable())
        state_->tickThread_.join();
}

void Controller::State::headPollLoop()
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        const TimePoint next = monotonicNow() + detail::headPollInterval;
        lock.unlock();
        pollHead();
        tick();
        headPollCpuSeconds_ = detail::threadCpuSeconds();
        lock.lock();
        wake_.wait_until(lock, next, [this] { return stopping_; });
    }
}

void Controller::State::tickLoop()
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        lock.unlock();
        tick();
        tickCpuSeconds_ = detail::threadCpuSeconds();
        lock.lock();
        wake_.wait_for(lock, detail::tickInterval, [this] { return stopping_; });
    }
}

/// Reads the head once and renews the read lease. Failures are logged only until the contact counts as lost.
void Controller::State::pollHead()
{
    const TimePoint sentAt = monotonicNow();
    control::Head known;
    {
        std::lock_guard lock(mutex_);
        known = newestHead_;
    }
    const auto head = readHead(options_.platform_.table_, &known);
    const TimePoint now = monotonicNow();
    std::lock_guard lock(mutex_);
    if (!head) {
        if (hasReadHead_ && now - lastContact_ < detail::storeContactLifetime)
            logEvent(LogLevel::Warning, "store-read-failed", { { "error", head.error().message_ } });
        return;
    }
    lastContact_ = now;
    control::recordStoreContact(knowledge_, sentAt);
    control::recordHead(knowledge_, head.value());
    const auto outcome = control::recordRead(lease_, leaseOptions_, head.value(), sentAt, now);
    if (!outcome) {
        logEvent(LogLevel::Error, "head-refused", { { "error", outcome.error().message_ } });
        return;
    }
    if (outcome.value() == control::LearnOutcome::Learned || !hasReadHead_)
        onHeadLearned(head.value(), now);
    hasReadHead_ = true;
}

/// Adopts a newly learned head. Call with mutex_ held.
void Controller::State::onHeadLearned(const control::Head& head, TimePoint now)
{
    newestHead_ = head;
    headsByVersion_[head.version_] = head;
    control::recordHead(knowledge_, head);
    std::erase_if(
        preparedCandidates_, [&](const auto& entry) { return entry.second.version_ <= head.version_; });
    std::erase_if(
        unpreparedCandidates_, [&](const auto& entry) { return entry.second.version_ <= head.version_; });
    if (options_.onHead_)
        options_.onHead_(head);
    const control::Member* own = detail::findMember(head, options_.self_.host_);
    if (own && own->incarnation_ == options_.self_.incarnation_
        && own->state_ == control::MemberState::Leaving && !shared_.draining())
        executor_.post(options_.onLeave_);
    if (head.digest_.empty())
        control::recordPrepared(lease_, head.revision_);
    else
        control::learnRevision(config_, configOptions_, control::headIdOf(head), now);
    if (const auto text = setTexts_.find(head.digest_); text != setTexts_.end()) {
        if (!control::acceptBlob(config_, lease_, head.digest_, text->second))
            control::recordPrepared(lease_, head.revision_);
    }
    logEvent(LogLevel::Info, "head-learned",
        { { "version", std::to_string(head.version_) }, { "revision", std::to_string(head.revision_) },
            { "epoch", std::to_string(head.epoch_) }, { "by", head.publisher_ },
            { "change", head.change_ } });
}

/// Posts the configuration fetches that are due, asking the other members in random order.
void Controller::State::startFetches(TimePoint now)
{
    std::vector<std::string> holders;
    for (const control::Member& member : newestHead_.members_) {
        if (member.host_ != options_.self_.host_)
            holders.push_back(member.host_);
    }
    std::shuffle(holders.begin(), holders.end(), fetchRandom_);
    for (const control::FetchAction& action : control::dueFetches(config_, configOptions_, holders, now)) {
        if (!fetching_.insert(action.digest_).second)
            continue;
        executor_.post([this, action] { fetch(action); });
    }
}

void Controller::State::fetch(const control::FetchAction& action)
{
    if (!action.fromStore_) {
        fetchFromHost(action.peer_, action.digest_, {});
        return;
    }
    auto text = options_.platform_.objects_.get_(action.digest_);
    if (text)
        acceptText(action.digest_, std::move(text.value()));
    else
        logEvent(LogLevel::Warning, "configuration-fetch-failed",
            { { "digest", action.digest_ }, { "error", text.error().message_ } });
    std::lock_guard lock(mutex_);
    fetching_.erase(action.digest_);
}

/// Fetches a configuration from another host chunk by chunk; `text` holds the chunks received so far. If the
/// host does not answer, the next due fetch asks another host or the store.
void Controller::State::fetchFromHost(const std::string& host, const std::string& digest, std::string text)
{
    const uint64_t offset = text.size();
    options_.request_(host, peer::BlobRequest { digest, offset }, detail::peerRequestTimeout,
        [this, host, digest, text = std::move(text)](Result<peer::Message> reply) mutable {
            const auto* blob = reply ? std::get_if<peer::Blob>(&reply.value()) : nullptr;
            const bool received = blob && !blob->bytes_.empty() && blob->offset_ == text.size();
            if (received)
                text.append(blob->bytes_.begin(), blob->bytes_.end());
            const bool more = received && text.size() < blob->total_;
            executor_.post([this, host, digest, received, more, text = std::move(text)]() mutable {
                if (more) {
                    fetchFromHost(host, digest, std::move(text));
                    return;
                }
                if (received)
                    acceptText(digest, std::move(text));
                std::lock_guard lock(mutex_);
                fetching_.erase(digest);
            });
        });
}

/// Checks a fetched or published configuration against its digest, parses it and marks it as prepared.
void Controller::State::acceptText(const std::string& digest, std::string text)
{
    if (sha256Hex(text) != digest) {
        logEvent(LogLevel::Error, "configuration-digest-mismatch", { { "digest", digest } });
        return;
    }
    model::ParseResult parsed = model::parseSet({ { digest.substr(0, 12) + ".ini", text } });
    if (!parsed.faults_.empty()) {
        logEvent(LogLevel::Error, "configuration-unusable",
            { { "digest", digest }, { "fault", model::toString(parsed.faults_.front()) } });
        return;
    }
    std::lock_guard lock(mutex_);
    parsedSets_[digest] = std::make_shared<const model::ObjectSet>(std::move(parsed.set_));
    setTexts_[digest] = text;
    const auto accepted = control::acceptBlob(config_, lease_, digest, std::move(text));
    if (accepted)
        logEvent(
            LogLevel::Info, "configuration-prepared", { { "revision", std::to_string(accepted.value()) } });
}

/// Head and configuration of a version; empty if one of them is not available.
std::optional<Version> Controller::State::findVersion(const control::HeadId& headId) const
{
    const auto head = headsByVersion_.find(headId.version_);
    const auto set = parsedSets_.find(headId.digest_);
    if (head == headsByVersion_.end() || set == parsedSets_.end())
        return std::nullopt;
    return Version { head->second, set->second };
}

/// Builds a snapshot if the versions or their effect have changed since the last one, otherwise nullptr.
std::shared_ptr<const Snapshot> Controller::State::buildSnapshotIfChanged(
    const control::EffectiveHeads& effective)
{
    if (!effective.extensions_)
        return nullptr;
    const auto inForce = findVersion(*effective.extensions_);
    if (!inForce)
        return nullptr;
    std::vector<uint64_t> versions { inForce->head_.version_ };
    std::vector<Version> newer;
    for (const control::HeadId& headId : effective.restrictions_) {
        if (auto version = findVersion(headId)) {
            versions.push_back(headId.version_);
            newer.push_back(std::move(*version));
        }
    }
    for (const control::Candidate& candidate :
        effective.needsEvidence_ ? candidatesInDoubt_ : decltype(candidatesInDoubt_)()) {
        const auto found = preparedCandidates_.find(candidate.digest_);
        if (found == preparedCandidates_.end())
            continue;
        versions.push_back(hash64(candidate.nonce_));
        newer.push_back({ found->second, parsedSets_.at(found->second.digest_), true });
    }
    const bool regained = effective.admitKeyed_ && !leaseWasValid_;
    leaseWasValid_ = effective.admitKeyed_;
    if (versions == snapshotVersions_ && snapshotSharesUsable_ == effective.sharesUsable_ && !regained)
        return nullptr;
    snapshotVersions_ = versions;
    snapshotSharesUsable_ = effective.sharesUsable_;
    headsByVersion_.erase(headsByVersion_.begin(), headsByVersion_.lower_bound(versions.front()));
    return makeSnapshot(*inForce, std::move(newer), effective.sharesUsable_);
}

/// Evaluates the lease and everything that is due, and replaces the snapshot if it has changed.
void Controller::State::tick()
{
    std::shared_ptr<const Snapshot> snapshot;
    {
        std::lock_guard lock(mutex_);
        const TimePoint now = monotonicNow();
        evaluateOutageEvidence(now);
        const control::EffectiveHeads effective = control::evaluate(lease_, leaseOptions_, now);
        control::activateConfigs(config_, effective);
        startFetches(now);
        snapshot = buildSnapshotIfChanged(effective);
        if (snapshot)
            shared_.setSnapshot(snapshot);
        const bool valid = effective.admitKeyed_ && !control::isOverdue(config_, now);
        shared_.setLeaseEnd(
            valid && lease_.usableStart_ ? *lease_.usableStart_ + leaseOptions_.validity_ : now);
        joinIfUnlisted();
    }
    if (!snapshot)
        return;
    logEvent(LogLevel::Info, "snapshot",
        { { "version", std::to_string(snapshot->head_.version_) },
            { "revision", std::to_string(snapshot->head_.revision_) },
            { "newer", std::to_string(snapshot->newer_.size()) },
            { "shares", snapshot->sharesUsable_ ? "usable" : "waiting" } });
    options_.onSnapshot_(*snapshot);
}

ControlStatus Controller::status() const
{
    std::lock_guard lock(state_->mutex_);
    const TimePoint now = monotonicNow();
    ControlStatus status;
    status.newestHead_ = state_->newestHead_;
    if (const auto snapshot = state_->shared_.snapshot()) {
        status.activeRevision_ = snapshot->head_.revision_;
        status.activeDigest_ = snapshot->head_.digest_;
    }
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(state_->shared_.leaseEnd() - now);
    status.leaseRemainingMs_ = std::max<int64_t>(0, left.count());
    status.leaseValid_ = status.leaseRemainingMs_ > 0;
    status.storeContact_ = state_->hasReadHead_ && now - state_->lastContact_ < detail::storeContactLifetime;
    const auto* own = detail::findMember(state_->newestHead_, state_->options_.self_.host_);
    status.member_ = own && own->incarnation_ == state_->options_.self_.incarnation_;
    return status;
}

double Controller::cpuSeconds() const
{
    return state_->headPollCpuSeconds_.load() + state_->tickCpuSeconds_.load();
}

std::pair<uint64_t, std::string> Controller::configuration() const
{
    std::lock_guard lock(state_->mutex_);
    const auto found = state_->setTexts_.find(state_->newestHead_.digest_);
    return { state_->newestHead_.revision_,
        found == state_->setTexts_.end() ? std::string() : found->second };
}

} // namespace turmericwing::host
