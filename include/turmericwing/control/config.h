// Activation of configurations on a host: fetch the blob by digest, check it, apply it, never revert.
#pragma once

#include "turmericwing/control/lease.h"

#include <string>
#include <vector>

namespace turmericwing::control {

struct ConfigOptions {
    Duration retryDelay_ = std::chrono::milliseconds(200); ///< Between fetches of one blob.
    Duration effectDeadline_ = std::chrono::milliseconds(5500); ///< Below the 6 s of invariant I11.
    size_t peersBeforeStore_ = 2; ///< Fetches from peers before the store is asked.
};

enum class ConfigPhase {
    Fetching, ///< The blob is not at hand.
    Prepared, ///< Checked; its restrictions apply.
    Active, ///< Its extensions apply too.
};

struct ConfigEntry {
    uint64_t revision_ = 0;
    std::string digest_;
    ConfigPhase phase_ = ConfigPhase::Fetching;
    TimePoint effectDeadline_; ///< When not active by then, the host refuses keyed requests.
    TimePoint nextFetch_;
    uint32_t attempts_ = 0;
    std::string blob_; ///< Set from Prepared on.
    friend bool operator==(const ConfigEntry&, const ConfigEntry&) = default;
};

/// Invariants: entries_ ascends in revision; at most the first is Active; activeRevision_ never falls.
struct ConfigState {
    std::vector<ConfigEntry> entries_;
    uint64_t activeRevision_ = 0;
};

/// A fetch that the caller has to start. `fromStore_` false: ask `peer_` by `blobGet`.
struct FetchAction {
    std::string digest_;
    bool fromStore_ = false;
    std::string peer_;
    friend bool operator==(const FetchAction&, const FetchAction&) = default;
};

/// Notes a learned head. A revision that is known or lower changes nothing.
void learnRevision(ConfigState&, const ConfigOptions&, const HeadMark&, TimePoint now);

/// Fetches that are due. `holders` are peers that know the revision; they are asked in turn, then the store.
std::vector<FetchAction> dueFetches(
    ConfigState&, const ConfigOptions&, const std::vector<std::string>& holders, TimePoint now);

/// Takes a blob and informs the lease. Errors: Invalid if the SHA-256 digest differs, NotFound if no entry
/// waits for it. The caller parses the blob before it passes it on; an unparsable blob is never passed on.
Result<uint64_t> acceptBlob(ConfigState&, ReadLease&, const std::string& digest, std::string blob);

/// Marks as active what the lease allows, and drops older entries. Returns true if the active one changed.
bool activateConfigs(ConfigState&, const Effective&);

/// A learned revision missed its deadline: keyed requests are refused until it is active.
bool isOverdue(const ConfigState&, TimePoint now);

} // namespace turmericwing::control
