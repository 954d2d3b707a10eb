// Rig for scenarios: several hosts that run the decision libraries in one process, in virtual time, with
// fakes for the store, the links between hosts, the upstreams and the callers. A seed repeats a run.
#pragma once

#include "turmericwing/base/random.h"
#include "turmericwing/control/config.h"
#include "turmericwing/control/evidence.h"
#include "turmericwing/control/membership.h"
#include "turmericwing/limits/grants.h"
#include "turmericwing/model/objects.h"
#include "turmericwing/rollout/controller.h"
#include "turmericwing/routing/choice.h"
#include "turmericwing/routing/connections.h"
#include "turmericwing/routing/quarantine.h"
#include "turmericwing/routing/retry.h"
#include "turmericwing/routing/slots.h"

#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <set>

namespace turmericwing::scenario {

/// How hosts decide: by the project's libraries, or as one of two baselines to compare with.
enum class Policy {
    Project,
    RoundRobin, ///< Upstreams in turn; each host enforces its equal part of each rate.
    LeastInFlight, ///< Upstream with the least work of this host; each host enforces the whole rate.
};

struct Setup {
    std::string deployment_ = "sanad"; ///< Directory below examples/.
    uint64_t seed_ = 1;
    Policy policy_ = Policy::Project;
    double demand_ = 0.6; ///< Part of each workspace's rate.
    uint32_t maxTimeoutMs_
        = 5000; ///< Of routes. Shorter than some of a deployment's, so that slots move in a short run.
    bool claims_ = true; ///< Hosts without contact to the store refuse non-idempotent requests.
    bool breakGrants_ = false; ///< Gives each share the whole rate, to test the checks.
    bool breakLease_ = false; ///< Admits without a read lease, to test the checks.
    bool breakSlots_ = false; ///< Uses moved slots at once, to test the checks.
    bool breakMoves_ = false; ///< Rounds shares of moves up, to test the checks.
};

struct Counts {
    uint64_t offered_ = 0;
    uint64_t within_ = 0; ///< Offered within the rate, by a full bucket of the whole rate.
    uint64_t served_ = 0;
    uint64_t refused_ = 0;
    uint64_t unknown_ = 0;
};

struct Request {
    uint64_t id_ = 0;
    std::string workspace_, key_, service_, route_, version_;
    bool idempotent_ = false;
    bool poison_ = false; ///< Crashes each upstream that runs it.
    TimePoint deadline_; ///< World time, as all times here.
    TimePoint tokenBy_;
    std::vector<std::string> hosts_; ///< Still to be tried.
    uint32_t attempts_ = 0;
    std::string failed_; ///< Upstream of the last attempt.
    int runs_ = 0;
    bool done_ = false;
    int tokenFrom_ = 0; ///< 0 none, 1 pulled, 2 main share, 3 floor.
    std::string at_; ///< Host that has it.
};
using RequestPtr = std::shared_ptr<Request>;

struct VersionInUse {
    control::Head head_;
    std::shared_ptr<const model::ObjectSet> set_;
};

struct WorkspaceState {
    limits::HostTokens pulled_;
    std::map<limits::ShareKind, limits::ShareHolder> held_;
    std::vector<limits::PullTarget> targets_;
    std::deque<RequestPtr> waiting_;
    limits::Bucket static_; ///< Of the baselines.
};

struct ServiceState {
    routing::SlotTable slots_;
    routing::ChoiceTable choice_;
    routing::RetryBudget retries_;
    std::map<std::string, routing::LinkBudget> links_;
    std::map<std::string, std::vector<std::string>> lenders_;
    std::deque<RequestPtr> waiting_;
    size_t turn_ = 0;
};

struct Pool {
    std::vector<routing::PooledConnection> idle_;
    routing::ConnectionHealth health_;
};

struct HeadWrite {
    control::Head next_;
    control::Proposal proposal_;
    bool written_ = false;
    TimePoint began_;
};

using HeadEdit = std::function<std::optional<control::Head>(const control::Head&)>;

struct MoveOnHost {
    rollout::HostMove share_;
    rollout::HostStats stats_;
    rollout::HostStats before_; ///< As of the last local period.
    rollout::LocalTrip local_;
    std::map<std::string, rollout::SlowLimits> slow_;
    std::optional<rollout::Controller> owner_;
    double handedOut_ = 0;
};

struct Host {
    control::Member member_;
    bool up_ = true;
    bool cut_ = false; ///< From everything but callers.
    TimePoint pausedUntil_;
    Duration offset_ {};
    int64_t round_ = 0;
    control::HeadKnowledge knowledge_;
    control::ReadLease lease_;
    control::EvidenceLog log_;
    control::LostHostsDeclaration lost_;
    control::CandidateHeads candidates_;
    control::ConfigState config_;
    control::HeartbeatTable heard_;
    control::SuspicionLog suspicions_;
    std::map<uint64_t, control::Head> heads_;
    std::set<std::string> prepared_; ///< Digests.
    std::deque<HeadEdit> edits_;
    std::optional<HeadWrite> write_;
    std::vector<VersionInUse> use_; ///< In force first, then newer versions and candidates that restrict.
    std::string useKey_;
    bool usable_ = false;
    bool regained_ = false;
    bool slotsBlocked_ = false; ///< A change in doubt may have moved slots.
    TimePoint leaseEnd_; ///< Local time, as in all library state.
    std::map<std::string, WorkspaceState> workspaces_;
    std::map<std::string, ServiceState> services_;
    std::map<std::string, Pool> pools_;
    std::map<std::string, MoveOnHost> moves_;
    routing::QuarantineTable quarantine_;
    uint64_t crashes_ = 0;
};

struct Attempt {
    RequestPtr request_;
    std::string host_;
    uint64_t incarnation_ = 0;
    std::string upstream_;
    std::optional<routing::SlotTicket> ticket_;
    TimePoint start_;
    TimePoint deadline_;
    routing::PooledConnection connection_;
    bool silent_ = false;
    bool onUpstream_ = false;
    bool ended_ = false;
};
using AttemptPtr = std::shared_ptr<Attempt>;

struct UpstreamState {
    model::Upstream definition_;
    std::string region_;
    std::vector<AttemptPtr> running_;
    TimePoint deadUntil_;
    TimePoint silentBefore_; ///< Connections opened before are silent.
    std::optional<TimePoint> drainedAt_;
};

struct MoveTrace {
    std::string service_, to_;
    double allowed_ = 0; ///< Sum over requests of the largest share written in the last 3 s.
    double share_ = 0;
    double cap_ = 0;
    std::deque<std::pair<TimePoint, double>> shares_;
    uint64_t total_ = 0, new_ = 0, newAtTrip_ = 0, totalAtTrip_ = 0, newLate_ = 0;
    std::optional<TimePoint> trippedAt_;
    std::optional<TimePoint> finishedAt_;
    rollout::Phase phase_ = rollout::Phase::Running;
    std::string bad_; ///< "errors", "slow", or empty for a good version.
    TimePoint badFrom_;
};

class Rig {
public:
    explicit Rig(const Setup&);

    void run(Duration);
    TimePoint now() const { return now_; }

    /// Kinds: outage, lost, pause, cut (region), cut-host, kill, revoke (key), publish, silent (upstream),
    /// crash (upstream), drain (upstream), poison (workspace), good, bad, bad-late, slow (move of a service).
    /// A kind that has an end ends after `length`; a killed host then starts again. False if it is unknown.
    bool fault(const std::string& kind, const std::string& target, Duration length);

    /// Requests/s of one workspace.
    void demand(const std::string& workspace, double rate) { demand_[workspace] = rate; }
    void resetCounts();
    double stat(const std::string& name, const std::string& of = {}) const;

    /// Violations of invariants so far, the first of each kind.
    const std::map<std::string, std::string>& violations() const { return violations_; }
    std::vector<std::string> names(const std::string& kind) const;

    std::map<std::string, Counts> counts_;

private:
    struct Event {
        TimePoint when_;
        uint64_t order_;
        std::function<void()> run_;
        bool operator<(const Event& o) const { return std::tie(o.when_, o.order_) < std::tie(when_, order_); }
    };

    // World
    void at(TimePoint, std::function<void()>);
    void post(Duration delay, std::function<void()> run) { at(now_ + delay, std::move(run)); }
    void fail(const std::string& invariant, const std::string& what);
    TimePoint local(const Host& h) const { return now_ + h.offset_; }
    Duration delayBetween(const std::string& regionA, const std::string& domainA, const std::string& regionB,
        const std::string& domainB);
    bool reachable(const Host& a, const Host& b) const;
    bool storeReachable(const Host&) const;
    Duration storeDelay(const Host&);
    void deliver(const std::string& host, uint64_t incarnation, std::function<void(Host&)>);
    void send(const Host& from, const std::string& to, std::function<void(Host&)>, uint64_t incarnation = 0);
    void startHost(Host&);
    void tickLater(const std::string& host, uint64_t incarnation);
    void lookUp(const model::Workspace&);
    void arrive(const std::string& workspace);
    void commit(const control::Head&);
    /// An operator's change, sent again through other hosts until it is in the head. `edit` returns false
    /// when there is nothing to change.
    using SetEdit = std::function<bool(model::ObjectSet&, control::Head&)>;
    void change(const SetEdit& edit, int attempts = 20);
    void startMove(const std::string& bad, bool late);
    void poison(TimePoint until);
    void sample();

    // Control of a host
    void tick(Host&);
    void read(Host&);
    void probe(Host&);
    void learn(Host&, const control::Head&);
    void prepare(Host&, const std::string& digest);
    void advanceWrite(Host&);
    void announce(Host&);
    void refresh(Host&);
    void applyTokens(Host&);
    void applySlots(Host&);
    void join(Host&);
    bool keyAccepted(const Host&, const std::string& key) const;

    // Moves
    void tickMoves(Host&);
    void reportMove(Host&, const std::string& move);
    void tripMove(Host&, const std::string& move, bool tell);
    std::string moveOwner(const control::Head&, const std::string& move) const;

    // Requests
    void toHost(const RequestPtr&);
    void admit(Host&, const RequestPtr&);
    void limit(Host&, const RequestPtr&);
    bool spend(Host&, const RequestPtr&);
    void pull(Host&, WorkspaceState&);
    void serveTokens(Host&, WorkspaceState&);
    void routed(Host&, const RequestPtr&);
    bool assign(Host&, const RequestPtr&);
    void borrow(Host&, const RequestPtr&);
    void serveSlots(Host&, ServiceState&);
    void begin(Host&, const RequestPtr&, const std::string& upstream, std::optional<routing::SlotTicket>);
    void runOn(const AttemptPtr&);
    void crash(UpstreamState&);
    enum class End { Answered, Error, NotSent, Crashed, Failed };
    void ended(Host&, const AttemptPtr&, End);
    void refuse(Host&, const RequestPtr&, const std::string& reason);
    void finish(const RequestPtr&, uint64_t Counts::*);
    routing::Fingerprint print(const Request&) const;

    Setup setup_;
    Random random_;
    TimePoint now_ { std::chrono::seconds(1000) };
    uint64_t order_ = 0;
    std::priority_queue<Event> events_;
    std::map<std::string, Host> hosts_;
    std::map<std::string, UpstreamState> upstreams_;
    std::map<std::string, std::string> domainRegion_;
    std::map<std::string, std::shared_ptr<const model::ObjectSet>> sets_; ///< By digest.
    std::map<std::string, std::string> texts_; ///< By digest.
    control::Head row_;
    std::string storeRegion_;
    Duration domainDelay_ {}, regionDelay_ {};
    bool storeDown_ = false;
    double lost_ = 0;
    std::set<std::string> cutRegions_;
    uint64_t nextIncarnation_ = 1, nextId_ = 1, changes_ = 0;
    std::map<uint64_t, RequestPtr> open_;
    model::Move move_; ///< Template of the deployment's example.
    Duration moveStep_ = std::chrono::seconds(10);
    std::map<std::string, double> demand_;
    struct Lookup {
        std::vector<std::string> hosts_;
        size_t preferred_ = 0;
        TimePoint expires_;
    };
    std::map<std::string, Lookup> lookups_;
    std::map<std::string, limits::Bucket> within_; ///< Full bucket of the whole rate, by workspace.
    std::map<std::string, std::pair<double, TimePoint>>
        level_; ///< I4: level of the workspace's whole bucket.
    std::map<std::string, MoveTrace> traces_;
    std::map<std::string, TimePoint> revokedAt_, lastAccepted_;
    std::map<uint64_t, TimePoint> acceptedAt_, committedAt_, notHeldAt_; ///< By revision.
    std::map<std::string, uint64_t> highestRevision_;
    std::map<std::string, std::string> violations_;
    std::map<std::string, uint64_t> reasons_; ///< Of refusals that reach the caller.
    uint64_t slotExcess_ = 0, rateExcess_ = 0, duplicates_ = 0, crashes_ = 0, afterDrain_ = 0;
    double lastAfterDrain_ = 0;
};

} // namespace turmericwing::scenario
