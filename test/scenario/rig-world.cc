// World of the rig: deployment, clock, links, store, callers, faults and checks.
#include "rig.h"

#include "turmericwing/base/hash.h"
#include "turmericwing/model/parse.h"
#include "turmericwing/steering/lookup.h"

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace turmericwing::scenario {

namespace detail {

    std::string readFile(const std::filesystem::path& path)
    {
        std::ostringstream text;
        text << std::ifstream(path).rdbuf();
        return text.str();
    }

    std::string setting(const std::string& text, const std::string& name)
    {
        const size_t begin = text.find("\n" + name + " = ");
        if (begin == std::string::npos)
            return {};
        const size_t value = begin + name.size() + 4;
        return text.substr(value, text.find('\n', value) - value);
    }

    constexpr auto sampleInterval = std::chrono::milliseconds(50);
    constexpr auto lookupTtl = std::chrono::seconds(5);

} // namespace detail

Rig::Rig(const Setup& setup)
    : setup_(setup)
    , random_(setup.seed_)
{
    const std::filesystem::path directory = "examples/" + setup.deployment_;
    auto parsed = model::parseSet({ { "objects.ini", detail::readFile(directory / "objects.ini") },
        { "move.ini", detail::readFile(directory / "move.ini") } });
    if (!parsed.faults_.empty())
        throw std::runtime_error(model::toString(parsed.faults_.front()));
    model::ObjectSet& set = parsed.set_;
    move_ = set.moves_.at(0);
    set.moves_.clear();
    for (auto& route : set.routes_)
        route.timeoutMs_ = std::min(route.timeoutMs_, setup.maxTimeoutMs_);
    const bool sanad = setup.deployment_ == "sanad";
    storeRegion_ = sanad ? "amman" : "sfax";
    domainDelay_ = std::chrono::microseconds(sanad ? 500 : 1000);
    regionDelay_ = std::chrono::milliseconds(sanad ? 20 : 55);
    for (const auto& domain : set.failureDomains_)
        domainRegion_[domain.name_] = domain.region_;
    for (const auto& upstream : set.upstreams_) {
        upstreams_[upstream.name_].definition_ = upstream;
        upstreams_[upstream.name_].region_ = domainRegion_.at(upstream.failureDomain_);
    }
    row_.version_ = row_.revision_ = row_.epoch_ = 1;
    const std::string text0 = model::canonicalText(set);
    row_.digest_ = sha256Hex(text0);
    texts_[row_.digest_] = text0;
    std::set<std::filesystem::path> files;
    for (const auto& file : std::filesystem::directory_iterator(directory / "hosts"))
        files.insert(file.path());
    for (const auto& file : files) {
        const std::string text = detail::readFile(file);
        Host& h = hosts_[detail::setting(text, "name")];
        h.member_ = { detail::setting(text, "name"), 0, detail::setting(text, "region"),
            detail::setting(text, "failure-domain"), detail::setting(text, "caller-address"),
            detail::setting(text, "peer-address"), control::MemberState::Live };
        startHost(h);
        row_.members_.push_back(h.member_);
    }
    for (const auto& workspace : set.workspaces_) {
        demand_[workspace.name_] = setup.demand_ * workspace.rate_;
        const Duration full(static_cast<int64_t>(workspace.burst_ / workspace.rate_ * 1e6));
        within_[workspace.name_]
            = limits::makeEmptyBucket({ workspace.rate_, workspace.burst_ }, now_ - full);
        level_[workspace.name_] = { workspace.burst_, now_ };
        post(Duration(static_cast<int64_t>(uniform(random_) * 1e6)),
            [this, name = workspace.name_] { arrive(name); });
    }
    sets_[row_.digest_] = std::make_shared<const model::ObjectSet>(set);
    sample();
}

void Rig::at(TimePoint when, std::function<void()> run)
{
    events_.push({ std::max(when, now_), order_++, std::move(run) });
}

void Rig::run(Duration length)
{
    const TimePoint end = now_ + length;
    while (!events_.empty() && events_.top().when_ <= end) {
        const auto event = events_.top();
        events_.pop();
        now_ = event.when_;
        event.run_();
    }
    now_ = end;
}

void Rig::fail(const std::string& invariant, const std::string& what)
{
    char at[32];
    std::snprintf(at, sizeof at, " at %.3f s", seconds(now_.time_since_epoch()) - 1000);
    violations_.try_emplace(invariant, what + at);
}

Duration Rig::delayBetween(const std::string& regionA, const std::string& domainA, const std::string& regionB,
    const std::string& domainB)
{
    const Duration base = regionA != regionB ? regionDelay_
        : domainA != domainB                 ? domainDelay_
                                             : domainDelay_ / 4;
    return base + Duration(static_cast<int64_t>(uniform(random_) * 0.2 * static_cast<double>(base.count())));
}

bool Rig::reachable(const Host& a, const Host& b) const
{
    if (a.cut_ || b.cut_)
        return false;
    return a.member_.region_ == b.member_.region_
        || (!cutRegions_.contains(a.member_.region_) && !cutRegions_.contains(b.member_.region_));
}

bool Rig::storeReachable(const Host& h) const
{
    return !storeDown_ && !h.cut_
        && (h.member_.region_ == storeRegion_
            || (!cutRegions_.contains(h.member_.region_) && !cutRegions_.contains(storeRegion_)));
}

Duration Rig::storeDelay(const Host& h)
{
    return std::chrono::milliseconds(2) + delayBetween(h.member_.region_, "", storeRegion_, "store");
}

void Rig::deliver(const std::string& name, uint64_t incarnation, std::function<void(Host&)> handle)
{
    Host& h = hosts_.at(name);
    if (!h.up_ || (incarnation != 0 && h.member_.incarnation_ != incarnation))
        return;
    if (h.pausedUntil_ > now_)
        at(h.pausedUntil_, [this, name, incarnation = h.member_.incarnation_, handle] {
            deliver(name, incarnation, handle);
        });
    else
        handle(h);
}

void Rig::send(
    const Host& from, const std::string& to, std::function<void(Host&)> handle, uint64_t incarnation)
{
    const auto other = hosts_.find(to);
    if (other == hosts_.end() || !reachable(from, other->second))
        return;
    const Host& h = other->second;
    post(delayBetween(
             from.member_.region_, from.member_.failureDomain_, h.member_.region_, h.member_.failureDomain_),
        [this, to, incarnation, handle] { deliver(to, incarnation, handle); });
}

void Rig::startHost(Host& h)
{
    const control::Member member = h.member_;
    h = Host {};
    h.member_ = member;
    h.member_.incarnation_ = nextIncarnation_++;
    h.offset_ = std::chrono::milliseconds(random_() % 100000);
    h.knowledge_.host_ = h.member_.host_;
    h.knowledge_.incarnation_ = h.member_.incarnation_;
    h.knowledge_.startedAt_ = local(h);
    h.round_ = static_cast<int64_t>(random_() % 8);
    tickLater(h.member_.host_, h.member_.incarnation_);
}

void Rig::tickLater(const std::string& host, uint64_t incarnation)
{
    post(std::chrono::milliseconds(50), [this, host, incarnation] {
        deliver(host, incarnation, [this, incarnation](Host& h) {
            tick(h);
            tickLater(h.member_.host_, incarnation);
        });
    });
}

/// A lookup at a host with a lease: preferred hosts first, then the others, without those that it does not
/// hear.
void Rig::lookUp(const model::Workspace& workspace)
{
    Lookup& lookup = lookups_[workspace.name_];
    std::vector<Host*> able;
    for (auto& [name, h] : hosts_) {
        if (h.up_ && h.pausedUntil_ <= now_ && !h.use_.empty() && local(h) < h.leaseEnd_)
            able.push_back(&h);
    }
    lookup.expires_ = now_ + detail::lookupTtl;
    if (able.empty())
        return;
    const Host& h = *able[random_() % able.size()];
    const control::Head& head = h.use_[0].head_;
    const auto live = [&](const std::string& name) {
        const auto heard = h.heard_.records_.find(name);
        return name == h.member_.host_ || setup_.policy_ != Policy::Project
            || (heard != h.heard_.records_.end()
                && heard->second.lastHeard_ + std::chrono::milliseconds(1500) > local(h));
    };
    lookup.hosts_.clear();
    for (const auto& name : steering::preferredHosts(head, {}, workspace.name_, workspace.region_)) {
        if (live(name))
            lookup.hosts_.push_back(name);
    }
    lookup.preferred_ = lookup.hosts_.size();
    for (const bool near : { true, false }) {
        for (const auto& member : head.members_) {
            if ((member.region_ == workspace.region_) == near && live(member.host_)
                && std::count(lookup.hosts_.begin(), lookup.hosts_.end(), member.host_) == 0)
                lookup.hosts_.push_back(member.host_);
        }
    }
    lookup.hosts_.resize(std::min<size_t>(lookup.hosts_.size(), steering::LookupOptions {}.hosts_));
}

void Rig::arrive(const std::string& name)
{
    const double rate = demand_[name];
    post(Duration(static_cast<int64_t>(rate > 0 ? -std::log(1 - uniform(random_)) / rate * 1e6 : 1e6)),
        [this, name] { arrive(name); });
    if (rate <= 0)
        return;
    const model::ObjectSet& set = *sets_.at(row_.digest_);
    const model::Workspace& workspace = *model::find(set.workspaces_, name);
    auto r = std::make_shared<Request>();
    r->id_ = nextId_++;
    r->workspace_ = name;
    for (const auto& key : set.keys_) {
        if (key.workspace_ == name && (r->key_.empty() || !key.withdrawn_))
            r->key_ = key.name_;
    }
    double pick = 0;
    for (const auto& service : set.services_)
        pick += service.rateFraction_;
    pick *= uniform(random_);
    for (const auto& service : set.services_) {
        pick -= service.rateFraction_;
        r->service_ = r->service_.empty() && pick < 0 ? service.name_ : r->service_;
    }
    // Nine of ten requests read.
    const bool reads = uniform(random_) < 0.9;
    uint32_t timeout = 1000;
    for (const auto& route : set.routes_) {
        if (route.service_ == r->service_ && !route.open_
            && (r->route_.empty() || route.idempotent_ == reads)) {
            r->route_ = route.name_;
            r->idempotent_ = route.idempotent_;
            timeout = std::min<uint32_t>(route.timeoutMs_, 5000);
        }
    }
    r->deadline_ = now_ + std::chrono::milliseconds(timeout);
    Counts& counts = counts_[name];
    ++counts.offered_;
    counts.within_ += limits::takeTokens(within_[name], 1, now_) ? 1 : 0;
    Lookup& lookup = lookups_[name];
    if (now_ >= lookup.expires_)
        lookUp(workspace);
    r->hosts_ = lookup.hosts_;
    if (lookup.preferred_ > 1)
        std::rotate(r->hosts_.begin(),
            r->hosts_.begin() + static_cast<ptrdiff_t>(random_() % lookup.preferred_),
            r->hosts_.begin() + static_cast<ptrdiff_t>(lookup.preferred_));
    if (setup_.policy_ != Policy::Project)
        std::shuffle(r->hosts_.begin(), r->hosts_.end(), random_);
    open_[r->id_] = r;
    at(r->deadline_ + std::chrono::milliseconds(100), [this, r] { finish(r, &Counts::unknown_); });
    toHost(r);
}

void Rig::poison(TimePoint until)
{
    if (now_ >= until)
        return;
    post(std::chrono::milliseconds(500), [this, until] { poison(until); });
    const model::ObjectSet& set = *sets_.at(row_.digest_);
    auto r = std::make_shared<Request>();
    r->poison_ = r->idempotent_ = true;
    r->workspace_ = set.workspaces_[0].name_;
    for (const auto& key : set.keys_) {
        if (key.workspace_ == r->workspace_)
            r->key_ = key.name_;
    }
    for (const auto& route : set.routes_) {
        if (!route.open_ && route.idempotent_) {
            r->route_ = route.name_;
            r->service_ = route.service_;
        }
    }
    r->deadline_ = now_ + std::chrono::seconds(1);
    r->hosts_ = lookups_[r->workspace_].hosts_;
    toHost(r);
}

void Rig::commit(const control::Head& next)
{
    if (row_.version_ + 1 != next.version_)
        return;
    const auto& before = *sets_.at(row_.digest_);
    const auto& after = *sets_.at(next.digest_);
    for (const auto& key : after.keys_) {
        const auto* old = model::find(before.keys_, key.name_);
        if (key.withdrawn_ && old && !old->withdrawn_)
            revokedAt_.try_emplace(key.name_, now_);
    }
    for (const auto& upstream : next.drainedUpstreams_) {
        if (!upstreams_.at(upstream).drainedAt_)
            upstreams_.at(upstream).drainedAt_ = now_;
    }
    for (const auto& status : next.moves_) {
        MoveTrace& trace = traces_[status.name_];
        const auto phase = static_cast<rollout::Phase>(status.phase_);
        if (trace.phase_ != rollout::Phase::Running && phase != trace.phase_)
            fail("I5", "final state of move " + status.name_ + " changed");
        if (status.share_ > trace.share_ + trace.cap_ + 1e-9)
            fail("I1", "step of move " + status.name_ + " above its cap");
        if (phase != rollout::Phase::Running && !trace.finishedAt_)
            trace.finishedAt_ = now_;
        trace.phase_ = phase;
        trace.share_ = status.share_;
        trace.shares_.emplace_back(now_, status.share_);
    }
    if (next.revision_ > row_.revision_)
        committedAt_.try_emplace(next.revision_, now_);
    if (next.revision_ < row_.revision_ || next.epoch_ < row_.epoch_)
        fail("I11 head", "revision or epoch of the head fell");
    row_ = next;
}

void Rig::change(const SetEdit& edit, int attempts)
{
    const HeadEdit headEdit = [this, edit](const control::Head& head) -> std::optional<control::Head> {
        control::Head next = head;
        model::ObjectSet set = *sets_.at(head.digest_);
        if (!edit(set, next))
            return std::nullopt;
        const std::string text = model::canonicalText(set);
        const std::string digest = sha256Hex(text);
        if (digest != head.digest_) {
            texts_[digest] = text;
            ++next.revision_;
            next.digest_ = digest;
            sets_.try_emplace(digest, std::make_shared<const model::ObjectSet>(std::move(set)));
        }
        return next;
    };
    if (setup_.policy_ != Policy::Project) {
        // A baseline's operators write to the store directly.
        auto next = storeDown_ ? std::nullopt : headEdit(row_);
        if (next) {
            ++next->version_;
            commit(*next);
        }
    } else if (headEdit(row_)) {
        std::vector<Host*> able;
        for (auto& [name, h] : hosts_) {
            if (h.up_ && h.pausedUntil_ <= now_ && control::hasStoreContact(h.knowledge_, {}, local(h)))
                able.push_back(&h);
        }
        if (!able.empty())
            able[random_() % able.size()]->edits_.push_back(headEdit);
    } else {
        return;
    }
    if (attempts > 0)
        post(std::chrono::seconds(3), [this, edit, attempts] { change(edit, attempts - 1); });
}

void Rig::startMove(const std::string& bad, bool late)
{
    model::Move move = move_;
    move.name_ = "move-" + std::to_string(++changes_);
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now_.time_since_epoch()).count();
    move.startMs_ = ms;
    move.cap_ = 0.25;
    move.stepMs_ = static_cast<uint32_t>(moveStep_.count() / 1000);
    move.deadlineMs_ = ms + 180000;
    MoveTrace& trace = traces_[move.name_];
    trace.service_ = move.service_;
    trace.to_ = move.toVersion_;
    trace.cap_ = move.cap_;
    trace.bad_ = bad;
    trace.badFrom_ = now_ + std::chrono::seconds(late ? 45 : 0);
    change([move](model::ObjectSet& set, control::Head& head) {
        for (const auto& status : head.moves_) {
            if (status.name_ == move.name_)
                return false;
        }
        set.moves_ = { move };
        head.moves_ = { { move.name_, 0, 0, control::MovePhase::Running, "" } };
        return true;
    });
}

void Rig::sample()
{
    post(detail::sampleInterval, [this] { sample(); });
    for (auto& [name, h] : hosts_) {
        if (!h.up_ || h.pausedUntil_ > now_ || h.use_.empty() || local(h) >= h.leaseEnd_)
            continue;
        const uint64_t revision = h.use_[0].head_.revision_;
        if (revision < highestRevision_[name])
            fail("I11", "revision fell at " + name);
        highestRevision_[name] = std::max(highestRevision_[name], revision);
        for (const auto& [accepted, since] : acceptedAt_) {
            if (revision < accepted && now_ > since + std::chrono::seconds(6))
                fail("I11", "accepted revision is not in effect after 6 s at " + name);
        }
        for (const auto& [committed, since] : committedAt_) {
            if (revision < committed)
                notHeldAt_[committed] = now_;
        }
        for (const auto& [key, since] : revokedAt_) {
            if (keyAccepted(h, key))
                lastAccepted_[key] = now_;
        }
    }
    if (setup_.policy_ == Policy::Project || row_.moves_.empty() || storeDown_)
        return;
    control::Head next = row_;
    auto& status = next.moves_[0];
    const MoveTrace& trace = traces_[status.name_];
    if (status.phase_ != control::MovePhase::Running || now_ < trace.shares_.back().first + moveStep_)
        return;
    status.share_ = status.step_++ == 0 ? 0.01 : std::min(1.0, status.share_ + trace.cap_);
    status.phase_ = status.share_ >= 1 ? control::MovePhase::Done : status.phase_;
    ++next.version_;
    commit(next);
}

bool Rig::fault(const std::string& kind, const std::string& target, Duration length)
{
    const auto later = [&](std::function<void()> undo) {
        if (length > Duration::zero())
            post(length, std::move(undo));
    };
    if (kind == "outage") {
        storeDown_ = true;
        later([this] { storeDown_ = false; });
    } else if (kind == "lost") {
        lost_ = 0.5;
        later([this] { lost_ = 0; });
    } else if (kind == "pause") {
        hosts_.at(target).pausedUntil_ = std::max<TimePoint>(hosts_.at(target).pausedUntil_, now_ + length);
    } else if (kind == "cut") {
        cutRegions_.insert(target);
        later([this, target] { cutRegions_.erase(target); });
    } else if (kind == "cut-host") {
        hosts_.at(target).cut_ = true;
        later([this, target] { hosts_.at(target).cut_ = false; });
    } else if (kind == "kill") {
        hosts_.at(target).up_ = false;
        std::vector<RequestPtr> broken;
        for (const auto& [id, r] : open_) {
            if (r->at_ == target)
                broken.push_back(r);
        }
        // Callers see their connections break. They send again only what is idempotent.
        for (const RequestPtr& r : broken)
            r->idempotent_ ? toHost(r) : finish(r, &Counts::unknown_);
        later([this, target] {
            if (!hosts_.at(target).up_)
                startHost(hosts_.at(target));
        });
    } else if (kind == "revoke") {
        change([target](model::ObjectSet& set, control::Head&) {
            for (auto& key : set.keys_) {
                if (key.name_ == target)
                    return !std::exchange(key.withdrawn_, true);
            }
            return false;
        });
    } else if (kind == "publish") {
        const std::string name = "added-" + std::to_string(++changes_);
        change([name](model::ObjectSet& set, control::Head&) {
            if (model::find(set.keys_, name))
                return false;
            model::Key key = set.keys_.front();
            key.name_ = name;
            key.sha256_ = sha256Hex(name);
            set.keys_.push_back(key);
            std::sort(set.keys_.begin(), set.keys_.end());
            return true;
        });
    } else if (kind == "silent") {
        upstreams_.at(target).silentBefore_ = now_;
    } else if (kind == "crash") {
        crash(upstreams_.at(target));
    } else if (kind == "drain") {
        change([target](model::ObjectSet&, control::Head& head) {
            auto& drained = head.drainedUpstreams_;
            const bool known = std::count(drained.begin(), drained.end(), target) > 0;
            if (!known)
                drained.push_back(target);
            return !known;
        });
    } else if (kind == "poison") {
        poison(now_ + length);
    } else if (kind == "good" || kind == "bad" || kind == "bad-late" || kind == "slow") {
        startMove(kind == "good" ? "" : kind == "slow" ? "slow" : "errors", kind == "bad-late");
    } else {
        return false;
    }
    return true;
}

void Rig::resetCounts()
{
    counts_.clear();
    reasons_.clear();
    slotExcess_ = rateExcess_ = duplicates_ = crashes_ = 0;
}

double Rig::stat(const std::string& name, const std::string& of) const
{
    Counts sum;
    uint64_t refusedWithin = 0;
    double worst = 1;
    for (const auto& [workspace, c] : counts_) {
        if (!of.empty() && workspace != of)
            continue;
        sum.offered_ += c.offered_;
        sum.within_ += c.within_;
        sum.served_ += c.served_;
        sum.refused_ += c.refused_;
        sum.unknown_ += c.unknown_;
        const uint64_t rest = c.within_ - std::min(c.within_, c.served_ + c.unknown_);
        refusedWithin += std::min(rest, c.refused_);
        if (c.within_ > 0)
            worst = std::min(worst, static_cast<double>(c.served_) / static_cast<double>(c.within_));
    }
    const auto part = [&](uint64_t n) {
        return sum.within_ == 0 ? 0 : static_cast<double>(n) / static_cast<double>(sum.within_);
    };
    const MoveTrace* move = traces_.empty() ? nullptr : &traces_.rbegin()->second;
    std::map<std::string, double> all { { "offered", sum.offered_ }, { "within", sum.within_ },
        { "served", sum.served_ }, { "refused", sum.refused_ }, { "unknown", sum.unknown_ },
        { "refused-within", part(refusedWithin) }, { "worst-served", worst }, { "slot-excess", slotExcess_ },
        { "rate-excess", rateExcess_ }, { "duplicates", duplicates_ }, { "crashes", crashes_ },
        { "members", row_.members_.size() }, { "revision", row_.revision_ },
        { "drain-time", lastAfterDrain_ }, { "after-drain", afterDrain_ } };
    double revocation = 0, configuration = 0;
    for (const auto& [key, since] : revokedAt_) {
        if (lastAccepted_.contains(key))
            revocation = std::max(revocation, seconds(lastAccepted_.at(key) - since));
    }
    for (const auto& [revision, since] : notHeldAt_)
        configuration = std::max(configuration, seconds(since - committedAt_.at(revision)));
    all["revocation-time"] = revocation;
    all["configuration-time"] = configuration;
    all["revoked"] = static_cast<double>(revokedAt_.size());
    if (move) {
        const bool tripped = move->trippedAt_.has_value();
        const auto newBefore = static_cast<double>(tripped ? move->newAtTrip_ : move->new_);
        const auto total = static_cast<double>(tripped ? move->totalAtTrip_ : move->total_);
        all["move-new"] = static_cast<double>(move->new_);
        all["move-tripped"] = tripped;
        all["move-new-share"] = total > 0 ? newBefore / total : 0;
        all["move-late"] = tripped ? static_cast<double>(move->newLate_) : static_cast<double>(move->new_);
        all["move-share"] = move->share_;
        all["move-done"] = move->phase_ == rollout::Phase::Done;
        all["move-rolled-back"] = move->phase_ == rollout::Phase::RolledBack;
    }
    for (const auto& [reason, count] : reasons_)
        all["for-" + reason] = static_cast<double>(count);
    const auto found = all.find(name);
    return found == all.end() ? 0 : found->second;
}

std::vector<std::string> Rig::names(const std::string& kind) const
{
    std::vector<std::string> out;
    const auto& set = *sets_.at(row_.digest_);
    const auto add = [&](const auto& list) {
        for (const auto& object : list)
            out.push_back(object.name_);
    };
    if (kind == "hosts") {
        for (const auto& [name, h] : hosts_)
            out.push_back(name);
    } else if (kind == "regions") {
        add(set.regions_);
    } else if (kind == "keys") {
        add(set.keys_);
    } else if (kind == "upstreams") {
        add(set.upstreams_);
    } else if (kind == "workspaces") {
        add(set.workspaces_);
    }
    return out;
}

} // namespace turmericwing::scenario
