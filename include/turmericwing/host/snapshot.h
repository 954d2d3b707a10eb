// Snapshot: an immutable index over the configuration and the view in force. The control loop replaces it as
// a whole; a request uses the snapshot that it started with.
#pragma once

#include "turmericwing/base/time.h"
#include "turmericwing/control/head.h"
#include "turmericwing/model/objects.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace turmericwing::host {

/// A head with the configuration that it names.
struct Version {
    control::Head head_;
    std::shared_ptr<const model::ObjectSet> set_;
    bool candidate_ = false; ///< The head was announced but is not known to be written.
};

/// Configuration and view that apply to a request.
struct Snapshot {
    std::shared_ptr<const model::ObjectSet> set_; ///< The configuration in force.
    control::Head head_; ///< The head in force; its digest_ is that of set_.
    std::vector<Version> newer_; ///< Learned but not yet in force: only their restrictions apply.
    bool sharesUsable_ = false; ///< False while this host cannot know which shares it holds.
    std::unordered_map<std::string, const model::Key*> keys_; ///< By digest; the pointers refer to set_.
    std::map<std::string, std::vector<const model::Route*>> routes_; ///< By service, longest path first.
    std::set<std::string> revokedKeys_; ///< Digests of keys that a configuration in newer_ revokes.
    /// Upstreams that get no new requests, from the head in force, all newer heads and their configurations.
    std::set<std::string> drained_;
    std::set<std::string> stoppedMoves_; ///< Moves that have been rolled back, from the same sources.
};

/// Builds the index over `inForce`, with the restrictions of `newer`.
std::shared_ptr<const Snapshot> makeSnapshot(Version inForce, std::vector<Version> newer, bool sharesUsable);

/// The workspace of an API key, or nullptr if the key is unknown, withdrawn or revoked. `key` is the key
/// itself, not its digest.
const model::Workspace* authenticate(const Snapshot&, std::string_view key);

/// Outcome of findRoute. NoRoute: no route of the service covers the path. NoMethod: routes cover the path,
/// but none of them lists the method.
enum class RouteMatch { Found, NoService, NoRoute, NoMethod };

/// Result of findRoute.
struct RouteLookup {
    RouteMatch match_ = RouteMatch::NoService;
    const model::Route* route_ = nullptr; ///< Not null if match_ is Found; refers to the snapshot.
};

/// Finds the route with the longest path prefix that covers `path` and lists `method`.
RouteLookup findRoute(
    const Snapshot&, const std::string& service, std::string_view path, std::string_view method);

/// State shared by all threads of a host. The lease end is an absolute time, so a thread that was paused sees
/// that the lease has expired even if the control loop has stalled.
class SharedState {
public:
    std::shared_ptr<const Snapshot> snapshot() const;
    void setSnapshot(std::shared_ptr<const Snapshot>);

    TimePoint leaseEnd() const { return TimePoint(Duration(leaseEnd_.load())); }
    void setLeaseEnd(TimePoint end) { leaseEnd_.store(end.time_since_epoch().count()); }

    bool draining() const { return draining_.load(); }
    void setDraining() { draining_.store(true); }

    /// False in the last phase of a drain, when new requests are refused as not run.
    bool admitting() const { return admitting_.load(); }
    void stopAdmitting() { admitting_.store(false); }

private:
    mutable std::mutex mutex_;
    std::shared_ptr<const Snapshot> snapshot_;
    std::atomic<int64_t> leaseEnd_ { 0 };
    std::atomic<bool> draining_ { false };
    std::atomic<bool> admitting_ { true };
};

} // namespace turmericwing::host
