// Tests of the snapshot index and of the shared lease end.
#include "turmericwing/host/snapshot.h"

#include "turmericwing/base/hash.h"
#include "turmericwing/model/parse.h"

#include <doctest/doctest.h>

using namespace turmericwing;
using namespace turmericwing::host;

namespace {

model::ObjectSet baseSet()
{
    model::ObjectSet set;
    set.services_.push_back({ .name_ = "s" });
    set.workspaces_.push_back({ .name_ = "w1" });
    set.workspaces_.push_back({ .name_ = "w2" });
    set.keys_.push_back({ .name_ = "k1", .workspace_ = "w1", .sha256_ = sha256Hex("secret-1") });
    set.keys_.push_back({ .name_ = "k2", .workspace_ = "w2", .sha256_ = sha256Hex("secret-2") });
    set.routes_.push_back({ .name_ = "short", .service_ = "s", .path_ = "/photos", .methods_ = { "GET" } });
    set.routes_.push_back(
        { .name_ = "long", .service_ = "s", .path_ = "/photos/new", .methods_ = { "POST" } });
    return set;
}

Version version(uint64_t number, model::ObjectSet set)
{
    Version result;
    result.head_.version_ = number;
    result.set_ = std::make_shared<const model::ObjectSet>(std::move(set));
    return result;
}

std::string workspaceOf(const Snapshot& snapshot, std::string_view key)
{
    const auto* workspace = authenticate(snapshot, key);
    return workspace ? workspace->name_ : "";
}

} // namespace

TEST_CASE("a key names its own workspace only")
{
    // Guards against a key that is accepted for another workspace, and against its digest as a credential.
    model::ObjectSet set = baseSet();
    set.keys_.push_back(
        { .name_ = "k3", .workspace_ = "w1", .sha256_ = sha256Hex("secret-3"), .withdrawn_ = true });
    const auto snapshot = makeSnapshot(version(1, set), {}, true);
    CHECK(workspaceOf(*snapshot, "secret-1") == "w1");
    CHECK(workspaceOf(*snapshot, "secret-2") == "w2");
    CHECK(workspaceOf(*snapshot, "secret-3").empty());
    CHECK(workspaceOf(*snapshot, "").empty());
    CHECK(workspaceOf(*snapshot, "secret-1 ").empty());
    CHECK(workspaceOf(*snapshot, sha256Hex("secret-1")).empty());
}

TEST_CASE("restrictions of a newer configuration apply at once, extensions do not")
{
    // Guards against revoked keys that stay valid until the activation delay has passed.
    model::ObjectSet withdrawn = baseSet();
    withdrawn.keys_[0].withdrawn_ = true;
    model::ObjectSet removed = baseSet();
    removed.keys_.erase(removed.keys_.begin());
    model::ObjectSet reassigned = baseSet();
    reassigned.keys_[0].workspace_ = "w2";
    for (const model::ObjectSet& newer : { withdrawn, removed, reassigned }) {
        // A third version that allows the key again must not lift the restriction of the second one.
        const auto snapshot
            = makeSnapshot(version(1, baseSet()), { version(2, newer), version(3, baseSet()) }, true);
        CHECK(workspaceOf(*snapshot, "secret-1").empty());
        CHECK(workspaceOf(*snapshot, "secret-2") == "w2");
    }
    model::ObjectSet added = baseSet();
    added.keys_.push_back({ .name_ = "k4", .workspace_ = "w1", .sha256_ = sha256Hex("secret-4") });
    CHECK(workspaceOf(*makeSnapshot(version(1, baseSet()), { version(2, added) }, true), "secret-4").empty());
}

TEST_CASE("drains and stopped moves are collected from all known versions")
{
    // Guards against new requests for an upstream, or a share for a version, that a newer head withdraws.
    model::ObjectSet set = baseSet();
    set.upstreams_.push_back({ .name_ = "u1" });
    set.moves_.push_back({ .name_ = "m1" });
    set.moves_.push_back({ .name_ = "m4" });
    model::ObjectSet newer = set;
    newer.upstreams_[0].drain_ = true;
    newer.moves_[0].state_ = model::MoveState::RolledBack;
    newer.moves_[1].state_ = model::MoveState::Held; // A held move keeps its share.
    Version head = version(2, newer);
    head.head_.drainedUpstreams_ = { "u2" };
    head.head_.moves_.push_back({ .name_ = "m2", .phase_ = control::MovePhase::RolledBack });
    head.head_.moves_.push_back({ .name_ = "m3", .phase_ = control::MovePhase::Running });
    const auto snapshot = makeSnapshot(version(1, set), { head }, true);
    CHECK(snapshot->drained_ == std::set<std::string> { "u1", "u2" });
    CHECK(snapshot->stoppedMoves_ == std::set<std::string> { "m1", "m2" });
    const auto before = makeSnapshot(version(1, set), {}, true);
    CHECK(before->drained_.empty());
    CHECK(before->stoppedMoves_.empty());
}

TEST_CASE("the longest prefix with the method selects the route, by whole segments")
{
    // Guards against a path that is matched to a route with other rules.
    const auto snapshot = makeSnapshot(version(1, baseSet()), {}, true);
    const auto name = [&](std::string_view path, std::string_view method) {
        const RouteLookup found = findRoute(*snapshot, "s", path, method);
        return found.match_ == RouteMatch::Found ? found.route_->name_ : std::string();
    };
    CHECK(name("/photos", "GET") == "short");
    CHECK(name("/photos/", "GET") == "short");
    CHECK(name("/photos/new/1", "POST") == "long");
    CHECK(name("/photos/new/1", "GET") == "short");
    CHECK(name("/photos/newer", "GET") == "short");
    CHECK(findRoute(*snapshot, "s", "/photos/newer", "POST").match_ == RouteMatch::NoMethod);
    CHECK(findRoute(*snapshot, "s", "/photos", "get").match_ == RouteMatch::NoMethod);
    CHECK(findRoute(*snapshot, "s", "/photos2", "GET").match_ == RouteMatch::NoRoute);
    CHECK(findRoute(*snapshot, "s", "/Photos", "GET").match_ == RouteMatch::NoRoute);
    CHECK(findRoute(*snapshot, "t", "/photos", "GET").match_ == RouteMatch::NoService);
}

TEST_CASE("an expired lease is detected without the control loop")
{
    // Guards against a paused process that acts on an expired lease. The lease end is an absolute time of the
    // monotonic clock, so steps of the wall clock cannot extend the lease.
    static_assert(std::is_same_v<TimePoint::clock, std::chrono::steady_clock>);
    static_assert(std::is_same_v<decltype(SharedState().leaseEnd()), TimePoint>);
    SharedState state;
    CHECK(state.leaseEnd() <= monotonicNow());
    const TimePoint end = monotonicNow() + std::chrono::hours(1);
    state.setLeaseEnd(end);
    CHECK(state.leaseEnd() == end);
}
