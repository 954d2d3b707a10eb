// The lookup endpoint: which hosts a caller should use.
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

/// Callers may use an answer for this long.
inline constexpr auto lookupTimeToLive = std::chrono::seconds(5);

class Lookups {
public:
    /// Applies a new view or configuration.
    void apply(const Snapshot&);

    /// Moves client blocks away from lost sites, in steps, and leaves out hosts that report no lease or that
    /// they are leaving. Called by the control loop.
    void tick(const std::set<std::string>& unusable, TimePoint now);

    /// GET /v1/lookup?service=&workspace=&client=.
    LocalResponse handle(Metrics&, const LocalRequest&);

private:
    std::shared_ptr<const steering::LookupTable> table() const;
    void rebuild();

    mutable std::mutex mutex_;
    std::shared_ptr<const steering::LookupTable> table_; ///< Replaced as a whole.
    std::shared_ptr<const model::ObjectSet> set_;
    control::Head head_; ///< Newest known view, so that a leaving host disappears at once.
    steering::SteeringState steering_;
    std::set<std::string> unusable_;
    std::atomic<uint64_t> rotation_ { 0 }; ///< Spreads callers over hosts of equal rank.
};

} // namespace turmericwing::host
