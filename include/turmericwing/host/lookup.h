// The lookup endpoint, which tells a caller the hosts to send its requests to.
#pragma once

#include "turmericwing/host/metrics.h"
#include "turmericwing/host/server.h"
#include "turmericwing/host/snapshot.h"
#include "turmericwing/steering/lookup.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace turmericwing::host {

/// Time for which callers may use a lookup response.
inline constexpr auto lookupTimeToLive = std::chrono::seconds(5);

/// Answers lookups from a table that is rebuilt when the hosts or the configuration change. Thread-safe.
class Lookups {
public:
    /// Applies a new membership view or configuration.
    void apply(const Snapshot&);

    /// Moves client blocks away from lost sites, in steps, and leaves out `unusable` hosts, which report that
    /// they have no lease or are leaving. Called by the control loop.
    void tick(const std::set<std::string>& unusable, TimePoint now);

    /// Handles GET /v1/lookup?service=&workspace=&client=. Errors: 400 for a malformed client address, 404
    /// for an unknown service or workspace, 503 without a configuration or a usable host.
    LocalResponse handle(Metrics&, const LocalRequest&);

private:
    std::shared_ptr<const steering::LookupTable> table() const;
    void rebuild();

    mutable std::mutex mutex_;
    std::shared_ptr<const steering::LookupTable> table_; ///< Immutable; replaced on each change.
    std::shared_ptr<const model::ObjectSet> set_;
    control::Head head_; ///< Newest written head, so that a leaving host is removed at once.
    steering::SteeringState steering_;
    std::set<std::string> unusableHosts_;
    std::atomic<uint64_t> rotation_ { 0 }; ///< Distributes callers over hosts of equal rank.
};

} // namespace turmericwing::host
