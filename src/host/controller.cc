// Control loop. Three threads: one reads the head from the table, one evaluates deadlines every tick, and the
// executor runs fetches and head changes, which may block.
#include "turmericwing/host/controller.h"

#include "turmericwing/base/hash.h"
#include "turmericwing/host/log.h"

#include <algorithm>
#include <set>

namespace turmericwing::host {

namespace detail {

    constexpr auto readInterval = std::chrono::milliseconds(400);
    constexpr auto tickInterval = std::chrono::milliseconds(50);
    constexpr auto contactLifetime = std::chrono::seconds(1);
    constexpr int changeAttempts = 8;
    constexpr auto changeBackoff = std::chrono::milliseconds(20);

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
    std::set<std::string> fetching_; ///< Digests with a fetch under way.
    control::Head known_;
    TimePoint lastContact_;
    bool everRead_ = false;
    bool joining_ = false;
    bool stopping_ = false;
    std::vector<uint64_t> published_; ///< Versions in the current snapshot, the one in force first.
    bool publishedUsable_ = false;
    bool leaseWasValid_ = false;

    std::mutex changeMutex_; ///< One head change at a time on this host.
    Random random_ = makeRandom(); ///< Guarded by changeMutex_.
    std::thread reader_;
    std::thread ticker_;

    void readLoop();
    void tickLoop();
    void readOnce();
    void tick();
    void learned(const control::Head&, TimePoint now);
    void startFetches(TimePoint now);
    void fetch(const control::FetchAction&);
    void acceptText(const std::string& digest, std::string text);
    void maybeJoin();
    std::shared_ptr<const Snapshot> nextSnapshot(const control::Effective&);
    std::optional<Version> versionOf(const control::HeadMark&) const;
    Result<control::Head> attemptChange(const std::string& who, const std::string& what, const HeadEdit&);
};

Controller::Controller(ControllerOptions options, SharedState& shared, Executor& executor)
    : state_(std::make_unique<State>(std::move(options), shared, executor))
{
    // Before the first publication the configuration is the empty set of revision 0.
    state_->sets_[""] = std::make_shared<const model::ObjectSet>();
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
        lock.lock();
        wake_.wait_for(lock, detail::tickInterval, [this] { return stopping_; });
    }
}

void Controller::State::readOnce()
{
    const TimePoint sentAt = monotonicNow();
    const auto head = readHead(options_.platform_.table_);
    const TimePoint now = monotonicNow();
    std::lock_guard lock(mutex_);
    if (!head) {
        if (everRead_ && now - lastContact_ < detail::contactLifetime)
            logEvent(LogLevel::Warning, "store-read-failed", { { "error", head.error().message_ } });
        return;
    }
    lastContact_ = now;
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
    if (head.digest_.empty())
        control::recordPrepared(lease_, head.revision_);
    else
        control::learnRevision(config_, configOptions_, control::markOf(head), now);
    if (sets_.count(head.digest_) > 0)
        control::recordPrepared(lease_, head.revision_);
    logEvent(LogLevel::Info, "head-learned",
        { { "version", std::to_string(head.version_) }, { "revision", std::to_string(head.revision_) },
            { "epoch", std::to_string(head.epoch_) }, { "by", head.publisher_ },
            { "change", head.change_ } });
}

void Controller::State::startFetches(TimePoint now)
{
    for (const control::FetchAction& action : control::dueFetches(config_, configOptions_, {}, now)) {
        if (!fetching_.insert(action.digest_).second)
            continue;
        executor_.post([this, action] { fetch(action); });
    }
}

void Controller::State::fetch(const control::FetchAction& action)
{
    auto text = options_.platform_.objects_.get_(action.digest_);
    if (text)
        acceptText(action.digest_, std::move(text.value()));
    else
        logEvent(LogLevel::Warning, "configuration-fetch-failed",
            { { "digest", action.digest_ }, { "error", text.error().message_ } });
    std::lock_guard lock(mutex_);
    fetching_.erase(action.digest_);
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
        executor_.post(options_.onReplaced_);
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
        const auto written = writeHead(options_.platform_.table_, base, next);
        if (written) {
            const TimePoint now = monotonicNow();
            std::lock_guard lock(mutex_);
            if (control::learnHead(lease_, leaseOptions_, next, now))
                learned(next, now);
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
    state_->acceptText(digest, canonical);
    return PublishOutcome { head.revision_, {} };
}

Result<PublishOutcome> Controller::editConfiguration(const std::string& who, const std::string& what,
    const std::function<Result<void>(model::ObjectSet&)>& edit)
{
    const auto [revision, text] = configuration();
    model::Parsed parsed = model::parseSet({ { "objects.ini", text } });
    BOOST_OUTCOME_TRY(edit(parsed.set_));
    return publish(who, revision, model::canonicalText(parsed.set_), what);
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

std::pair<uint64_t, std::string> Controller::configuration() const
{
    std::lock_guard lock(state_->mutex_);
    const auto found = state_->texts_.find(state_->known_.digest_);
    return { state_->known_.revision_, found == state_->texts_.end() ? std::string() : found->second };
}

void Controller::learn(const control::Head& head)
{
    std::lock_guard lock(state_->mutex_);
    const TimePoint now = monotonicNow();
    const auto outcome = control::learnHead(state_->lease_, state_->leaseOptions_, head, now);
    if (outcome && outcome.value() == control::LearnOutcome::Learned)
        state_->learned(head, now);
}

} // namespace turmericwing::host
