// Control loop. Three threads: one reads the head from the table, one evaluates deadlines every tick, and the
// executor runs fetches and head changes, which may block.
#include "turmericwing/host/controller.h"

#include "turmericwing/base/hash.h"
#include "turmericwing/host/log.h"

#include <algorithm>
#include <atomic>
#include <ctime>
#include <set>

namespace turmericwing::host {

namespace detail {

    constexpr auto readInterval = std::chrono::milliseconds(400);
    constexpr auto tickInterval = std::chrono::milliseconds(50);
    constexpr auto contactLifetime = std::chrono::seconds(1);
    constexpr int changeAttempts = 8;
    constexpr auto changeBackoff = std::chrono::milliseconds(20);
    constexpr auto probeInterval = std::chrono::milliseconds(400);
    constexpr auto peerTimeout = std::chrono::milliseconds(400);
    constexpr auto reportInterval = std::chrono::milliseconds(150);
    constexpr auto acknowledgeTimeout = std::chrono::milliseconds(1500);
    constexpr auto acceptTimeout = std::chrono::seconds(2);
    constexpr size_t maximumReports = 8; ///< Members that a writer asks; more than f + 1 of any fleet.
    constexpr size_t blobPartBytes = size_t { 512 } * 1024;

    double threadCpuSeconds()
    {
        timespec used {};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
        return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) * 1e-9;
    }

    const control::Member* findMember(const control::Head& head, const std::string& host)
    {
        const auto found = std::find_if(head.members_.begin(), head.members_.end(),
            [&](const control::Member& member) { return member.host_ == host; });
        return found == head.members_.end() ? nullptr : &*found;
    }

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

struct Controller::State {
    State(ControllerOptions options, SharedState& shared, Executor& executor)
        : options_(std::move(options))
        , shared_(shared)
        , executor_(executor)
    {
    }

    ControllerOptions options_;
    SharedState& shared_;
    Executor& executor_;
    const control::LeaseOptions leaseOptions_;
    const control::ConfigOptions configOptions_;

    mutable std::mutex mutex_; ///< Guards everything below.
    std::condition_variable wake_;
    control::ReadLease lease_;
    control::ConfigState config_;
    std::map<uint64_t, control::Head> heads_; ///< By version: the one in force and all newer ones.
    std::map<std::string, std::shared_ptr<const model::ObjectSet>> sets_; ///< Prepared, by digest.
    std::map<std::string, std::string> texts_; ///< Of the sets, by digest.
    Random fetchRandom_ = makeRandom();
    std::set<std::string> fetching_; ///< Digests with a fetch under way.
    control::Head known_;
    TimePoint lastContact_;
    bool everRead_ = false;
    bool joining_ = false;
    bool stopping_ = false;
    bool removing_ = false; ///< A removal of failed members is being written.
    std::vector<uint64_t> published_; ///< Versions in the current snapshot, the one in force first.
    bool publishedUsable_ = false;
    bool leaseWasValid_ = false;

    std::mutex changeMutex_; ///< One head change at a time on this host.
    Random random_ = makeRandom(); ///< Guarded by changeMutex_.
    const control::EvidenceOptions evidenceOptions_;
    control::Knowledge knowledge_;
    control::EvidenceLog evidence_;
    control::LostHosts lost_;
    control::CandidateHeads candidates_; ///< Prepared: the configuration is at hand.
    std::map<std::string, control::Head> unprepared_; ///< Candidates whose configuration is being fetched.
    std::map<std::string, std::string>
        candidateTexts_; ///< Encoded candidate heads by digest, for other hosts.
    std::vector<control::Candidate> inDoubt_; ///< Restrict while the lease rests on evidence.
    TimePoint nextProbe_;
    std::optional<control::Proposal> proposal_; ///< Of this host's change in progress.
    std::condition_variable acknowledged_;
    std::atomic<double> readerCpu_ { 0 }; ///< Seconds, of each control thread.
    std::atomic<double> tickerCpu_ { 0 };
    std::thread reader_;
    std::thread ticker_;

    void readLoop();
    void tickLoop();
    void readOnce();
    void tick();
    void learned(const control::Head&, TimePoint now);
    void startFetches(TimePoint now);
    void fetch(const control::FetchAction&);
    void fetchPart(const std::string& host, const std::string& digest, std::string text);
    void acceptText(const std::string& digest, std::string text);
    void maybeJoin();
    std::shared_ptr<const Snapshot> nextSnapshot(const control::Effective&);
    std::optional<Version> versionOf(const control::HeadMark&) const;
    void probeMembers(TimePoint now);
    void useEvidence(TimePoint now);
    void askForNewer(const control::Extension&);
    void takeCandidate(const std::string& digest, const std::string& text);
    void prepareCandidates();
    void fetchSet(const std::string& digest);
    std::vector<std::string> reportTargets(const control::Head& base) const;
    void sendReports(const control::Head& base, const peer::Message&, bool outcome);
    Result<void> collectAcks(const control::Head& base, const control::Head& next);
    bool confirmOutcome(const control::Head& next);
    Result<control::Head> attemptChange(const std::string& who, const std::string& what, const HeadEdit&);
    Result<std::pair<uint64_t, std::string>> newestConfiguration();
    peer::Message learnRow(const peer::HeadRow&, TimePoint now);
    peer::Message takeReport(const peer::CandidateReport&);
    peer::Blob blobPart(const peer::BlobGet&) const;
};

Controller::Controller(ControllerOptions options, SharedState& shared, Executor& executor)
    : state_(std::make_unique<State>(std::move(options), shared, executor))
{
    // Before the first publication the configuration is the empty set of revision 0.
    state_->sets_[""] = std::make_shared<const model::ObjectSet>();
    state_->knowledge_.host_ = state_->options_.self_.host_;
    state_->knowledge_.incarnation_ = state_->options_.self_.incarnation_;
    state_->knowledge_.startedAt_ = monotonicNow();
}

Controller::~Controller() { stop(); }

void Controller::start()
{
    state_->reader_ = std::thread([this] { state_->readLoop(); });
    state_->ticker_ = std::thread([this] { state_->tickLoop(); });
}

void Controller::stop()
{
    {
        std::lock_guard lock(state_->mutex_);
        state_->stopping_ = true;
    }
    state_->wake_.notify_all();
    if (state_->reader_.joinable())
        state_->reader_.join();
    if (state_->ticker_.joinable())
        state_->ticker_.join();
}

void Controller::State::readLoop()
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        const TimePoint next = monotonicNow() + detail::readInterval;
        lock.unlock();
        readOnce();
        tick();
        readerCpu_ = detail::threadCpuSeconds();
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
        tickerCpu_ = detail::threadCpuSeconds();
        lock.lock();
        wake_.wait_for(lock, detail::tickInterval, [this] { return stopping_; });
    }
}

void Controller::State::readOnce()
{
    const TimePoint sentAt = monotonicNow();
    control::Head known;
    {
        std::lock_guard lock(mutex_);
        known = known_;
    }
    const auto head = readHead(options_.platform_.table_, &known);
    const TimePoint now = monotonicNow();
    std::lock_guard lock(mutex_);
    if (!head) {
        if (everRead_ && now - lastContact_ < detail::contactLifetime)
            logEvent(LogLevel::Warning, "store-read-failed", { { "error", head.error().message_ } });
        return;
    }
    lastContact_ = now;
    control::noteContact(knowledge_, sentAt);
    control::noteHead(knowledge_, head.value());
    const auto outcome = control::recordRead(lease_, leaseOptions_, head.value(), sentAt, now);
    if (!outcome) {
        logEvent(LogLevel::Error, "head-refused", { { "error", outcome.error().message_ } });
        return;
    }
    if (outcome.value() == control::LearnOutcome::Learned || !everRead_)
        learned(head.value(), now);
    everRead_ = true;
}

void Controller::State::learned(const control::Head& head, TimePoint now)
{
    known_ = head;
    heads_[head.version_] = head;
    control::noteHead(knowledge_, head);
    std::erase_if(candidates_, [&](const auto& entry) { return entry.second.version_ <= head.version_; });
    std::erase_if(unprepared_, [&](const auto& entry) { return entry.second.version_ <= head.version_; });
    if (options_.onHead_)
        options_.onHead_(head);
    const control::Member* own = detail::findMember(head, options_.self_.host_);
    if (own && own->incarnation_ == options_.self_.incarnation_
        && own->state_ == control::MemberState::Leaving && !shared_.draining())
        executor_.post(options_.onLeave_);
    if (head.digest_.empty())
        control::recordPrepared(lease_, head.revision_);
    else
        control::learnRevision(config_, configOptions_, control::markOf(head), now);
    if (const auto text = texts_.find(head.digest_); text != texts_.end()) {
        if (!control::acceptBlob(config_, lease_, head.digest_, text->second))
            control::recordPrepared(lease_, head.revision_);
    }
    logEvent(LogLevel::Info, "head-learned",
        { { "version", std::to_string(head.version_) }, { "revision", std::to_string(head.revision_) },
            { "epoch", std::to_string(head.epoch_) }, { "by", head.publisher_ },
            { "change", head.change_ } });
}

void Controller::State::startFetches(TimePoint now)
{
    std::vector<std::string> holders;
    for (const control::Member& member : known_.members_) {
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
        fetchPart(action.peer_, action.digest_, {});
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

/// Fetches a configuration from another host, part by part. Without an answer the next due fetch asks
/// elsewhere.
void Controller::State::fetchPart(const std::string& host, const std::string& digest, std::string text)
{
    const uint64_t offset = text.size();
    options_.request_(host, peer::BlobGet { digest, offset }, detail::peerTimeout,
        [this, host, digest, text = std::move(text)](Result<peer::Message> reply) mutable {
            const auto* blob = reply ? std::get_if<peer::Blob>(&reply.value()) : nullptr;
            const bool part = blob && !blob->bytes_.empty() && blob->offset_ == text.size();
            if (part)
                text.append(blob->bytes_.begin(), blob->bytes_.end());
            const bool more = part && text.size() < blob->total_;
            executor_.post([this, host, digest, part, more, text = std::move(text)]() mutable {
                if (more) {
                    fetchPart(host, digest, std::move(text));
                    return;
                }
                if (part)
                    acceptText(digest, std::move(text));
                std::lock_guard lock(mutex_);
                fetching_.erase(digest);
            });
        });
}

void Controller::State::acceptText(const std::string& digest, std::string text)
{
    if (sha256Hex(text) != digest) {
        logEvent(LogLevel::Error, "configuration-digest-mismatch", { { "digest", digest } });
        return;
    }
    model::Parsed parsed = model::parseSet({ { digest.substr(0, 12) + ".ini", text } });
    if (!parsed.faults_.empty()) {
        logEvent(LogLevel::Error, "configuration-unusable",
            { { "digest", digest }, { "fault", model::toString(parsed.faults_.front()) } });
        return;
    }
    std::lock_guard lock(mutex_);
    sets_[digest] = std::make_shared<const model::ObjectSet>(std::move(parsed.set_));
    texts_[digest] = text;
    const auto accepted = control::acceptBlob(config_, lease_, digest, std::move(text));
    if (accepted)
        logEvent(
            LogLevel::Info, "configuration-prepared", { { "revision", std::to_string(accepted.value()) } });
}

std::optional<Version> Controller::State::versionOf(const control::HeadMark& mark) const
{
    const auto head = heads_.find(mark.version_);
    const auto set = sets_.find(mark.digest_);
    if (head == heads_.end() || set == sets_.end())
        return std::nullopt;
    return Version { head->second, set->second };
}

std::shared_ptr<const Snapshot> Controller::State::nextSnapshot(const control::Effective& effective)
{
    if (!effective.extensions_)
        return nullptr;
    const auto inForce = versionOf(*effective.extensions_);
    if (!inForce)
        return nullptr;
    std::vector<uint64_t> versions { inForce->head_.version_ };
    std::vector<Version> newer;
    for (const control::HeadMark& mark : effective.restrictions_) {
        if (auto version = versionOf(mark)) {
            versions.push_back(mark.version_);
            newer.push_back(std::move(*version));
        }
    }
    for (const control::Candidate& candidate : effective.needsEvidence_ ? inDoubt_ : decltype(inDoubt_)()) {
        const auto found = candidates_.find(candidate.digest_);
        if (found == candidates_.end())
            continue;
        versions.push_back(hash64(candidate.nonce_));
        newer.push_back({ found->second, sets_.at(found->second.digest_), true });
    }
    const bool regained = effective.admitKeyed_ && !leaseWasValid_;
    leaseWasValid_ = effective.admitKeyed_;
    if (versions == published_ && publishedUsable_ == effective.sharesUsable_ && !regained)
        return nullptr;
    published_ = versions;
    publishedUsable_ = effective.sharesUsable_;
    heads_.erase(heads_.begin(), heads_.lower_bound(versions.front()));
    return makeSnapshot(*inForce, std::move(newer), effective.sharesUsable_);
}

void Controller::State::tick()
{
    std::shared_ptr<const Snapshot> snapshot;
    {
        std::lock_guard lock(mutex_);
        const TimePoint now = monotonicNow();
        useEvidence(now);
        const control::Effective effective = control::evaluate(lease_, leaseOptions_, now);
        control::activateConfigs(config_, effective);
        startFetches(now);
        snapshot = nextSnapshot(effective);
        if (snapshot)
            shared_.setSnapshot(snapshot);
        const bool valid = effective.admitKeyed_ && !control::isOverdue(config_, now);
        shared_.setLeaseEnd(
            valid && lease_.usableStart_ ? *lease_.usableStart_ + leaseOptions_.validity_ : now);
        maybeJoin();
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

ControlStatus Controller::status() const
{
    std::lock_guard lock(state_->mutex_);
    const TimePoint now = monotonicNow();
    ControlStatus status;
    status.known_ = state_->known_;
    if (const auto snapshot = state_->shared_.snapshot()) {
        status.activeRevision_ = snapshot->head_.revision_;
        status.activeDigest_ = snapshot->head_.digest_;
    }
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(state_->shared_.leaseEnd() - now);
    status.leaseRemainingMs_ = std::max<int64_t>(0, left.count());
    status.leaseValid_ = status.leaseRemainingMs_ > 0;
    status.storeContact_ = state_->everRead_ && now - state_->lastContact_ < detail::contactLifetime;
    const auto* own = detail::findMember(state_->known_, state_->options_.self_.host_);
    status.member_ = own && own->incarnation_ == state_->options_.self_.incarnation_;
    return status;
}

double Controller::cpuSeconds() const { return state_->readerCpu_.load() + state_->tickerCpu_.load(); }

std::pair<uint64_t, std::string> Controller::configuration() const
{
    std::lock_guard lock(state_->mutex_);
    const auto found = state_->texts_.find(state_->known_.digest_);
    return { state_->known_.revision_, found == state_->texts_.end() ? std::string() : found->second };
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
