// Upstreams by service, from the entries that they keep in the store, with what this host has seen of them.
//
// An entry that disappears while the store is in trouble, or soon after, may have lapsed only because its
// upstream could not write. It is used until the store has been back for `settling_`, and is gone if it is
// still missing then. When a peer reached the store all the while, only this host was cut off from it, and a
// missing entry is gone at once.
#pragma once

#include "turmericwing/base/time.h"
#include "turmericwing/gateway/catalog.h"
#include "turmericwing/limits/bucket.h"
#include "turmericwing/routing/pick.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace turmericwing::gateway {

struct DirectoryOptions {
    /// The users' entries are back within about 2 s after an outage of the store.
    Duration settling_ = std::chrono::milliseconds(2200);
    /// A silent connection to the store is noticed within this time, so a loss may have begun earlier.
    Duration lossNotice_ = std::chrono::seconds(4);
};

/// What the entry of one upstream says, beside the choice's state of it.
struct UpstreamRecord {
    UpstreamEntry entry_;
    std::optional<TimePoint> goneAt_; ///< The entry is missing; the upstream is used until then.
    std::optional<limits::Bucket> coldBucket_; ///< While cold, if this host is an owner.
};

/// All upstreams of a service. targets_ and records_ have the same order.
struct ServicePool {
    std::vector<routing::Target> targets_;
    std::vector<UpstreamRecord> records_;
    /// Version that traffic goes to while no rollout says otherwise; empty until the first entry.
    std::string baseVersion_;
};

struct Directory {
    DirectoryOptions options_ {};
    std::map<std::string, std::string> regionOf_ {}; ///< By failure domain.
    std::map<std::string, ServicePool> services_ {};
    std::map<std::string, std::string> serviceOf_ {}; ///< By upstream id.
    std::set<std::string> evacuated_ {}; ///< Failure domains.
    bool loaded_ = false;
    bool storeTroubled_ = false;
    TimePoint storeLostAt_ {};
    TimePoint settledAt_ {}; ///< The store has been back for long enough.
};

struct Located {
    routing::Target* target_ = nullptr;
    UpstreamRecord* record_ = nullptr;
};

/// Both null if the upstream is not known.
Located locate(Directory&, const std::string& id);

/// Adds or changes an upstream. A run that is new under a known id starts afresh.
void putEntry(Directory&, TimePoint now, const UpstreamEntry&);

/// The entry is gone from the store.
void dropEntry(Directory&, TimePoint now, const std::string& id);

/// After a full read: entries that are not among `ids` are gone.
void keepOnly(Directory&, TimePoint now, const std::set<std::string>& ids);

void storeLost(Directory&, TimePoint now);
void storeRegained(Directory&, TimePoint now);

/// A peer has reached the store for this long without a break. If that covers this host's own loss, entries
/// that are missing have not lapsed.
void storeHeldByPeer(Directory&, TimePoint now, Duration held);

/// Ends the time of missing entries, and removes upstreams that are gone and have nothing in flight. Returns
/// the ids of those that became unusable or were removed.
std::vector<std::string> expireEntries(Directory&, TimePoint now);

} // namespace turmericwing::gateway
