// Simulated cluster for the tests of token grants: several hosts with views, read leases, lossy messages and
// a virtual clock.
#pragma once

#include "turmericwing/base/random.h"
#include "turmericwing/limits/grants.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <queue>
#include <tuple>
#include <utility>

namespace turmericwing::limits::fake {

using std::chrono::milliseconds;

inline TimePoint at(Duration d) { return TimePoint(std::chrono::hours(1) + d); }

struct Settings {
    size_t hosts_ = 10;
    BucketLimits limits_ { .rate_ = 50, .burst_ = 50 };
    double load_ = 0.8; ///< Offered load as a multiple of the rate.
    /// Fraction of requests that go to a preferred host; others go to any host.
    double preferredTraffic_ = 0.5;
    double loss_ = 0; ///< Probability that a message is lost, and that it is duplicated.
    Duration maxDelay_ = milliseconds(3); ///< One way.
    Duration waitForToken_ = milliseconds(300);
    GrantOptions options_ {};
    SplitOptions split_ {};
    uint64_t seed_ = 1;
};

// Hosts that serve one workspace. Every change of the members appends a view; hosts read the newest view
// every 400 ms.
class Cluster {
public:
    explicit Cluster(Settings settings)
        : settings_(std::move(settings))
        , random_(settings_.seed_)
    {
        hosts_.resize(settings_.hosts_);
        for (size_t i = 0; i < hosts_.size(); ++i) {
            members_.push_back({ name(i), "r" + std::to_string(i % 2), "d" + std::to_string(i % 4) });
            hosts_[i].clockOffset_ = std::chrono::seconds(random_() % 1000);
            start(i);
        }
        writeView();
        for (size_t i = 0; i < hosts_.size(); ++i)
            schedule(Duration(random_() % 400'000), [this, i] { tick(i); });
        schedule(Duration(0), [this] { arrive(); });
    }

    void schedule(Duration after, std::function<void()> action)
    {
        events_.push({ now_ + after, order_++, std::move(action) });
    }

    void runFor(Duration span)
    {
        const TimePoint end = now_ + span;
        while (!events_.empty() && events_.top().at_ <= end) {
            auto event = events_.top();
            events_.pop();
            now_ = event.at_;
            event.action_();
        }
        now_ = end;
    }

    void kill(size_t i)
    {
        hosts_[i].up_ = false;
        // After 1.5 s without heartbeats, two observers remove the host from the view.
        schedule(milliseconds(1600), [this, i] { removeMember(i); });
    }

    void restart(size_t i)
    {
        start(i);
        if (std::none_of(members_.begin(), members_.end(), [&](auto& m) { return m.name_ == name(i); }))
            members_.push_back({ name(i), "r" + std::to_string(i % 2), "d" + std::to_string(i % 4) });
        writeView();
    }

    void removeMember(size_t i)
    {
        std::erase_if(members_, [&](auto& m) { return m.name_ == name(i); });
        writeView();
    }

    void pause(size_t i, Duration span) { hosts_[i].pausedUntil_ = now_ + span; }

    void stopGracefully(size_t i)
    {
        sendReturns(returnTokens(hosts_[i].tokens_, local(i), settings_.options_));
        hosts_[i].up_ = false;
        removeMember(i);
    }

    // Index of the workspace's owner; 0 if no member is left.
    size_t ownerIndex() const
    {
        const auto& owner = views_.back().placement_.owner_;
        return owner.empty() ? 0 : indexOf(owner);
    }
    void resetCounts() { wronglyRefused_ = spent_ = 0; }

    bool storeUp_ = true;
    uint64_t spent_ = 0;
    uint64_t wronglyRefused_ = 0; ///< Refused although a token could have been spent within the bound.
    uint64_t excess_ = 0; ///< Spent tokens that exceed rate·t + burst over some interval.

    static std::string name(size_t i) { return "h" + std::to_string(i); }

private:
    struct View {
        uint64_t epoch_;
        Placement placement_;
        std::vector<Share> shares_;
    };
    struct Request {
        TimePoint giveUpAt_;
        TimePoint retryUntil_;
        bool done_ = false;
    };
    struct Host {
        bool up_ = false;
        Duration clockOffset_ { 0 };
        TimePoint pausedUntil_;
        uint64_t incarnation_ = 0;
        TimePoint leaseUntil_; // Local time.
        std::optional<size_t> known_; // Index of the newest view read.
        std::optional<size_t> active_;
        TimePoint activateAt_;
        std::map<ShareKind, ShareHolder> shares_;
        HostTokens tokens_;
        std::vector<std::shared_ptr<Request>> waiting_;
    };
    struct Event {
        TimePoint at_;
        uint64_t order_;
        std::function<void()> action_;
        bool operator<(const Event& other) const
        {
            return std::tie(other.at_, other.order_) < std::tie(at_, order_);
        }
    };

    TimePoint local(size_t i) const { return now_ + hosts_[i].clockOffset_; }
    static size_t indexOf(const std::string& host) { return std::stoul(host.substr(1)); }

    void start(size_t i)
    {
        auto& host = hosts_[i];
        const Duration offset = host.clockOffset_;
        const uint64_t incarnation = host.incarnation_ + 1;
        host = {};
        host.up_ = true;
        host.clockOffset_ = offset;
        host.incarnation_ = incarnation;
        host.tokens_.workspace_ = "w";
        host.tokens_.host_ = name(i);
        host.tokens_.incarnation_ = incarnation;
    }

    void writeView()
    {
        View view { views_.size() + 1, placeWorkspace("w", "r0", members_), {} };
        view.shares_ = splitLimits(view.placement_, settings_.limits_, settings_.split_);
        views_.push_back(std::move(view));
    }

    // Runs the action on the host, after the end of a pause. The action is dropped if the host is down or
    // restarts.
    void onHost(size_t i, const std::function<void()>& action)
    {
        if (!hosts_[i].up_)
            return;
        if (hosts_[i].pausedUntil_ > now_) {
            const uint64_t incarnation = hosts_[i].incarnation_;
            schedule(hosts_[i].pausedUntil_ - now_, [this, i, incarnation, action] {
                if (hosts_[i].incarnation_ == incarnation)
                    onHost(i, action);
            });
            return;
        }
        refresh(i);
        action();
        sendReturns(takeExhausted(hosts_[i].tokens_));
    }

    void refresh(size_t i)
    {
        auto& host = hosts_[i];
        const bool lost = refreshTokens(host.tokens_, host.leaseUntil_, local(i), settings_.options_);
        if (lost && local(i) >= host.leaseUntil_) {
            host.shares_.clear();
            host.active_.reset();
            host.known_.reset();
        }
        if (host.known_ && host.active_ != host.known_ && host.activateAt_ <= local(i)) {
            host.active_ = host.known_;
            apply(i, *host.active_, ViewPhase::Active);
        }
    }

    void apply(size_t i, size_t viewIndex, ViewPhase phase)
    {
        applyView(hosts_[i].shares_, name(i), views_[viewIndex].shares_, viewIndex + 1, phase, local(i),
            settings_.options_);
    }

    void tick(size_t i)
    {
        schedule(milliseconds(50), [this, i] { tick(i); });
        onHost(i, [this, i] {
            auto& host = hosts_[i];
            if (!storeUp_) {
                // While all members confirm each other, hosts with a lease extend it and learn the newest
                // view that any of them knows. A paused member confirms nothing.
                size_t newest = 0;
                bool paused = false;
                for (const auto& other : hosts_) {
                    newest = std::max(newest, other.known_.value_or(0));
                    paused = paused || (other.up_ && other.pausedUntil_ > now_);
                }
                if (host.leaseUntil_ > local(i) && !paused)
                    learn(i, local(i), newest);
            } else if (local(i) >= host.leaseUntil_ - milliseconds(1500)) {
                // A read returns after up to 300 ms; its lease starts when the read was sent.
                const TimePoint sentAt = local(i);
                const size_t newest = views_.size() - 1;
                const uint64_t incarnation = host.incarnation_;
                schedule(Duration(random_() % 300'000), [this, i, sentAt, newest, incarnation] {
                    if (hosts_[i].incarnation_ == incarnation)
                        onHost(i, [this, i, sentAt, newest] { learn(i, sentAt, newest); });
                });
            }
            for (auto& request : std::exchange(host.waiting_, {}))
                if (request->giveUpAt_ <= now_)
                    finish(*request, false);
                else
                    host.waiting_.push_back(request);
            for (auto& request : std::vector(host.waiting_))
                ask(i, request);
        });
    }

    void learn(size_t i, TimePoint sentAt, size_t view)
    {
        auto& host = hosts_[i];
        host.leaseUntil_ = std::max(host.leaseUntil_, sentAt + milliseconds(1900));
        if (local(i) >= host.leaseUntil_ || (host.known_ && *host.known_ >= view))
            return;
        host.known_ = view;
        host.activateAt_ = local(i) + milliseconds(2000);
        if (settings_.options_.safeguards_.discardWithoutLease_ || !host.active_)
            apply(i, view, ViewPhase::Learned);
    }

    void send(const std::string& to, std::function<void(size_t)> deliver)
    {
        const size_t i = indexOf(to);
        for (int copies = uniform(random_) < settings_.loss_ ? 2 : 1; copies > 0; --copies) {
            if (uniform(random_) < settings_.loss_)
                continue;
            schedule(Duration(random_() % settings_.maxDelay_.count()),
                [this, i, deliver] { onHost(i, [i, deliver] { deliver(i); }); });
        }
    }

    void sendReturns(const std::vector<TokenReturn>& returns)
    {
        for (const auto& returned : returns)
            send(returned.holder_, [this, returned](size_t to) {
                if (auto holder = holderOf(to, returned.kind_))
                    acceptReturn(*holder, returned, local(to), settings_.options_);
            });
    }

    ShareHolder* holderOf(size_t i, ShareKind kind)
    {
        const auto found = hosts_[i].shares_.find(kind);
        return found == hosts_[i].shares_.end() ? nullptr : &found->second;
    }

    void arrive()
    {
        schedule(Duration(1
                     + static_cast<int64_t>(-std::log(1 - uniform(random_)) * 1e6
                         / (settings_.limits_.rate_ * settings_.load_))),
            [this] { arrive(); });
        // Callers know the live hosts; a request to a host that is down goes to the next one.
        const auto& preferred = views_.back().placement_.preferred_;
        size_t i = uniform(random_) < settings_.preferredTraffic_ && !preferred.empty()
            ? indexOf(preferred[random_() % preferred.size()])
            : random_() % hosts_.size();
        for (size_t n = 0; n < hosts_.size() && (!hosts_[i].up_ || !hosts_[i].active_); ++n)
            i = (i + 1) % hosts_.size();
        auto request = std::make_shared<Request>();
        request->retryUntil_ = now_ + settings_.options_.maxTokenWait_;
        request->giveUpAt_ = now_ + settings_.waitForToken_;
        if (!hosts_[i].up_ || hosts_[i].pausedUntil_ > now_ + settings_.waitForToken_)
            return finish(*request, false);
        onHost(i, [this, i, request] {
            recordRequest(hosts_[i].tokens_, local(i), settings_.options_);
            serve(i, request);
        });
    }

    // Number of tokens that may be spent now within rate·t + burst over every interval up to now.
    double allowance()
    {
        allowance_ = std::min(settings_.limits_.burst_,
            allowance_ + settings_.limits_.rate_ * turmericwing::seconds(now_ - allowanceAt_));
        allowanceAt_ = now_;
        return allowance_;
    }

    void finish(Request& request, bool spent)
    {
        if (request.done_)
            return;
        request.done_ = true;
        if (spent) {
            ++spent_;
            if (allowance() < 1 - 1e-6)
                ++excess_;
            else
                --allowance_;
        } else if (allowance() >= 1) {
            ++wronglyRefused_;
        }
    }

    void serve(size_t i, const std::shared_ptr<Request>& request)
    {
        auto& host = hosts_[i];
        if (request->done_)
            return;
        if (local(i) >= host.leaseUntil_ && settings_.options_.safeguards_.discardWithoutLease_)
            return finish(*request, false);
        for (ShareKind kind : { ShareKind::Floor, ShareKind::Main })
            if (auto holder = holderOf(i, kind))
                if (spendFromShare(*holder, local(i), settings_.options_))
                    return finish(*request, true);
        const bool spent = spendToken(host.tokens_, local(i), settings_.options_);
        pull(i, 0, spent ? 0 : 1);
        if (spent)
            return finish(*request, true);
        if (std::find(host.waiting_.begin(), host.waiting_.end(), request) == host.waiting_.end())
            host.waiting_.push_back(request);
        ask(i, request);
    }

    PullTarget targetOf(const Share& share) const
    {
        return { share.host_, share.kind_, share.limits_.burst_ };
    }

    // Pulls from one share after the other; refuses the request if all stay empty for longer than
    // maxTokenWait_.
    void ask(size_t i, const std::shared_ptr<Request>& request)
    {
        auto& host = hosts_[i];
        if (request->done_)
            return;
        const size_t shares = host.active_ ? views_[*host.active_].shares_.size() : 0;
        for (size_t n = 0; n < shares; ++n)
            if (pull(i, n, host.waiting_.size())
                || awaitsGrant(host.tokens_, targetOf(views_[*host.active_].shares_[n])))
                return;
        const Duration wait = nextTokenAt(host.tokens_, local(i)) - local(i);
        if (now_ + wait <= request->retryUntil_) {
            schedule(std::max(wait, Duration(1000)),
                [this, i, request] { onHost(i, [this, i, request] { serve(i, request); }); });
            return;
        }
        std::erase(host.waiting_, request);
        finish(*request, false);
    }

    bool pull(size_t i, size_t shareIndex, uint64_t waiting)
    {
        auto& host = hosts_[i];
        if (!host.active_ || shareIndex >= views_[*host.active_].shares_.size())
            return false;
        const auto& share = views_[*host.active_].shares_[shareIndex];
        if (share.host_ == name(i))
            return false;
        const auto request = nextPull(host.tokens_, { share.host_, share.kind_, share.limits_.burst_ },
            waiting, *host.active_ + 1, local(i), settings_.options_);
        if (!request)
            return false;
        send(share.host_, [this, i, message = *request](size_t to) {
            auto holder = holderOf(to, message.kind_);
            const Grant grant = holder ? answerPull(*holder, message, local(to), settings_.options_)
                                       : refusePull(message, hosts_[to].active_.value_or(0) + 1);
            send(name(i), [this, i, grant](size_t) { receive(i, grant); });
        });
        return true;
    }

    void receive(size_t i, const Grant& grant)
    {
        auto& host = hosts_[i];
        const bool added = acceptGrant(host.tokens_, grant, local(i), settings_.options_) > 0;
        for (auto& request : std::exchange(host.waiting_, {})) {
            if (!request->done_ && spendToken(host.tokens_, local(i), settings_.options_))
                finish(*request, true);
            else if (!request->done_)
                host.waiting_.push_back(request);
        }
        if (added || grant.status_ != GrantStatus::Repeated)
            for (auto& request : std::vector(host.waiting_))
                ask(i, request);
    }

    Settings settings_;
    Random random_;
    TimePoint now_ = at(Duration(0));
    uint64_t order_ = 0;
    std::priority_queue<Event> events_;
    std::vector<PlacementHost> members_;
    std::vector<View> views_;
    std::vector<Host> hosts_;
    double allowance_ = settings_.limits_.burst_; // Computed independently of the code under test.
    TimePoint allowanceAt_ = now_;
};

} // namespace turmericwing::limits::fake
