// Upstreams by service, from the entries that they keep in the store, and what this host has observed of
// them.
//
// An entry that disappears while the store is unavailable, or soon after, may have lapsed only because its
// upstream could not write to the store. The upstream is used until the store has been back for
// `settlingTime_`, and is dropped if its entry is still missing then. If a peer reached the store all the
// while, only this host was cut off, and upstreams without an entry are dropped at once.
//
// After the store was restored from an older copy, entries may be missing that have not been written again
// yet, and older ones may be back. Missing ones settle as after an outage. What this host has seen of a run
// of an upstream binds: an entry with a lower sequence number is ignored, and a run that was leaving or
// removed is not used again.
#pragma once

#include "turmericwing/base/time.h"
#include "turmericwing/gateway/catalog.h"
#include "turmericwing/limits/bucket.h"
#include "turmericwing/limits/upstreamlimit.h"
#include "turmericwing/routing/pick.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace turmericwing::gateway {

struct DirectoryOptions {
    /// Upstreams write their entries again within about 2 s after an outage of the store.
    Duration settlingTime_ = std::chrono::milliseconds(2200);
    /// Longest time until a silent connection to the store is noticed. An outage may have begun that much
    /// earlier.
    Duration maxLossDetectionDelay_ = std::chrono::seconds(4);
    /// Time for which a removed upstream is remembered; a copy from which the store is restored is younger.
    Duration departureMemory_ = std::chrono::seconds(60);
};

/// Directory state of one upstream, beside its routing::Target.
struct UpstreamRecord {
    UpstreamEntry entry_;
    /// Set while the entry is missing: the time from which the upstream is no longer used, TimePoint::max()
    /// while the store is unavailable.
    std::optional<TimePoint> unusableAt_;
    bool lapsed_ = false; ///< The entry may be missing only because it could not be written.
    /// This run of the upstream was once leaving, which is final.
    bool leavingSeen_ = false;
    /// Rate limit while cold, if this host owns a share of the rate.
    std::optional<limits::Bucket> coldBucket_;
    limits::UpstreamLimit limit_ {}; ///< Request rate that this run of the upstream has asked for.
    uint32_t incarnationHash_ = 0; ///< Of this run, in reports.
    bool faultLogged_ = false; ///< A malformed announcement was logged, once for each incarnation.
    bool loadFaultLogged_ = false; ///< The same for a malformed report of its load.
};

/// All upstreams of a service. Invariant: targets_ and records_ have the same order.
struct ServicePool {
    std::vector<routing::Target> targets_;
    std::vector<UpstreamRecord> records_;
    /// Version of the first entry that was added, which gets the traffic without a rollout; empty until then.
    std::string baseVersion_;
};

/// A removed run of an upstream.
struct DepartedUpstream {
    UpstreamRecord record_;
    TimePoint forgottenAt_ {};
};

/// Service directory of this host.
struct Directory {
    DirectoryOptions options_ {};
    std::map<std::string, std::string> regionOf_ {}; ///< By failure domain.
    std::map<std::string, ServicePool> services_ {};
    std::map<std::string, std::string> serviceOf_ {}; ///< By upstream id.
    routing::UpstreamStateOptions stateOptions_ {};
    /// Announced states of incarnations that are not listed now.
    routing::RememberedStates unlistedStates_ {};
    std::set<std::string> evacuated_ {}; ///< Failure domains that get no new requests.
    bool loaded_ = false; ///< Whether the entries were read once.
    bool storeUnavailable_ = false;
    TimePoint storeLostAt_ {}; ///< Start of the last outage, as noticed here.
    TimePoint settlingEndsAt_ {}; ///< Until then, missing entries may have lapsed in the outage.
    bool restored_ = false; ///< The settling time follows a restore of the store from an older copy.
    std::map<std::string, DepartedUpstream> departed_ {}; ///< By upstream id.
};

/// Pointers to both parts of an upstream. Invalid after the next change of the directory's entries.
struct UpstreamRef {
    routing::Target* target_ = nullptr;
    UpstreamRecord* record_ = nullptr;
};

/// Finds an upstream by id; both pointers are null if it is not known.
UpstreamRef findUpstream(Directory&, const std::string& id);

/// Adds or updates an upstream. A new run under a known id replaces the old one and what was observed of it.
/// Returns false, without effect, if the entry is older than what is known.
bool upsertEntry(Directory&, TimePoint now, const UpstreamEntry&);

/// Applies what an answer of the incarnation said about itself, whether it is still listed or not. Returns
/// its new status if that has changed. Another incarnation under the same id is not affected.
std::optional<routing::UpstreamStatus> recordNotice(
    Directory&, TimePoint now, const routing::Incarnation&, const routing::UpstreamNotice&);

/// Handles the removal of an entry from the store: the upstream is unusable at once, or after the settling
/// time if the entry may have lapsed in an outage.
void removeEntry(Directory&, TimePoint now, const std::string& id);

/// After a full read of the store, treats all entries except `ids` as removed.
void removeEntriesExcept(Directory&, TimePoint now, const std::set<std::string>& ids);

/// The connection to the store was lost.
void onStoreLost(Directory&, TimePoint now);

/// The store answers again, which starts the settling time.
void onStoreRegained(Directory&, TimePoint now);

/// The store was restored from an older copy, which starts the settling time.
void onStoreRestored(Directory&, TimePoint now);

/// A peer has reached the store for `reachableFor` without interruption. If that covers this host's whole
/// outage, missing entries were removed rather than lapsed, and the settling time ends. Has no effect after a
/// restore of the store, when entries are missing for all hosts.
void onPeerStoreContact(Directory&, TimePoint now, Duration reachableFor);

/// Makes upstreams unusable whose time without an entry has passed, and removes those of them that have no
/// requests in flight. Returns the ids of all of them; one that still has requests is returned by each call.
std::vector<std::string> expireEntries(Directory&, TimePoint now);

} // namespace turmericwing::gateway
