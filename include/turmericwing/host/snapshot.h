// What a request sees: an immutable index over the configuration and the view in force. The control loop
// replaces it as a whole; a request uses the one that it started with.
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
    bool candidate_ = false; ///< Not known to be written.
};

struct Snapshot {
    std::shared_ptr<const model::ObjectSet> set_;
    control::Head head_; ///< The view in force; digest_ names set_.
    std::vector<Version> newer_; ///< Learned but not yet in force: they only take away.
    bool sharesUsable_ = false; ///< False while this host cannot know which shares it holds.
    std::unordered_map<std::string, const model::Key*> keys_; ///< By digest; points into set_.
    std::map<std::string, std::vector<const model::Route*>> routes_; ///< By service, longest path first.
    std::set<std::string> revokedKeys_; ///< Digests that a newer configuration, not yet in force, takes away.
    std::set<std::string>
        drained_; ///< Upstreams without new work, from the head and all known configurations.
    std::set<std::string> stoppedMoves_; ///< Moves that are rolled back.
};

/// Builds the index.
std::shared_ptr<const Snapshot> makeSnapshot(Version inForce, std::vector<Version> newer, bool sharesUsable);

/// The workspace of a key, or nullptr when the key is unknown or revoked. Takes the key itself, not its
/// digest.
const model::Workspace* authenticate(const Snapshot&, std::string_view key);

enum class RouteMatch { Found, NoService, NoRoute, NoMethod };

struct RouteLookup {
    RouteMatch match_ = RouteMatch::NoService;
    const model::Route* route_ = nullptr;
};

/// The route for a method and a path below the service; the longest prefix that lists the method wins.
RouteLookup findRoute(
    const Snapshot&, const std::string& service, std::string_view path, std::string_view method);

/// State shared by all threads of a host. The lease end is absolute, so a thread that was paused sees that it
/// has expired whatever the control loop does.
class SharedState {
public:
    std::shared_ptr<const Snapshot> snapshot() const;
    void setSnapshot(std::shared_ptr<const Snapshot>);

    TimePoint leaseEnd() const { return TimePoint(Duration(leaseEnd_.load())); }
    void setLeaseEnd(TimePoint end) { leaseEnd_.store(end.time_since_epoch().count()); }

    bool draining() const { return draining_.load(); }
    void setDraining() { draining_.store(true); }

    /// False in the last phase of a drain: new requests are refused as not run.
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
