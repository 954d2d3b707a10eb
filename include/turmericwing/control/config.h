// Activation of configurations on a host: fetches a blob by its digest, checks it and applies it. A host
// never returns to an older revision.
#pragma once

#include "turmericwing/control/lease.h"

#include <string>
#include <vector>

namespace turmericwing::control {

struct ConfigOptions {
    Duration retryDelay_ = std::chrono::milliseconds(200); ///< Interval between fetches of a blob.
    /// From learning a revision to its activation. Less than the 6 s of invariant I11.
    Duration activationDeadline_ = std::chrono::milliseconds(5500);
    size_t peersBeforeStore_ = 2; ///< Fetches from peers before each fetch from the store.
};

/// State of a configuration on this host.
enum class ConfigPhase {
    Fetching, ///< The blob is not available yet.
    Prepared, ///< The blob is checked; its restrictions apply.
    Active, ///< Its extensions apply too.
};

/// A configuration that this host has learned.
struct ConfigEntry {
    uint64_t revision_ = 0;
    std::string digest_;
    ConfigPhase phase_ = ConfigPhase::Fetching;
    TimePoint activationDeadline_; ///< If it is not active by then, the host refuses keyed requests.
    TimePoint nextFetch_;
    uint32_t attempts_ = 0; ///< Fetches started.
    std::string blob_; ///< Empty while fetching.
    friend bool operator==(const ConfigEntry&, const ConfigEntry&) = default;
};

/// Configurations of this host. Invariants: entries_ ascends in revision; at most the first entry is Active;
/// activeRevision_ never decreases.
struct ConfigState {
    std::vector<ConfigEntry> entries_;
    uint64_t activeRevision_ = 0;
};

/// A fetch that the caller has to start: from the store, or else from `peer_` with a `blobGet` message.
struct FetchAction {
    std::string digest_;
    bool fromStore_ = false;
    std::string peer_;
    friend bool operator==(const FetchAction&, const FetchAction&) = default;
};

/// Records the revision of a learned head. A revision that is not newer than all known ones changes nothing.
void learnRevision(ConfigState&, const ConfigOptions&, const HeadId&, TimePoint now);

/// Returns the fetches that are due and counts them as started. `holders` are peers that know the revision;
/// they are asked in turn, then the store.
std::vector<FetchAction> dueFetches(
    ConfigState&, const ConfigOptions&, const std::vector<std::string>& holders, TimePoint now);

/// Accepts a blob, records it as prepared in the lease, and returns its revision. Errors: Invalid if the
/// SHA-256 digest differs, NotFound if no entry waits for the blob. The caller parses the blob first, and
/// must not pass on one that cannot be parsed.
Result<uint64_t> acceptBlob(ConfigState&, ReadLease&, const std::string& digest, std::string blob);

/// Activates the revision that the lease allows and drops older entries. Returns true if the active revision
/// changed.
bool activateConfigs(ConfigState&, const EffectiveHeads&);

/// True if a learned revision has missed its activation deadline: keyed requests are refused until it is
/// active.
bool isOverdue(const ConfigState&, TimePoint now);

} // namespace turmericwing::control
