// Lookup of the hosts, in order of preference, that a caller should use for a service, workspace and client
// address.
#pragma once

#include "turmericwing/base/result.h"
#include "turmericwing/control/head.h"
#include "turmericwing/model/objects.h"
#include "turmericwing/steering/assign.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace turmericwing::steering {

struct LookupOptions {
    Duration ttl_ = std::chrono::seconds(5); ///< Time for which callers may use an answer.
    size_t preferred_ = 4; ///< Number of preferred hosts per workspace.
    size_t hosts_ = 6; ///< Most hosts in an answer; values below 2 count as 2.
    bool rotate_ = true; ///< Rotates hosts of equal rank. False only for tests that show why.
    bool requireTwoDomains_ = true; ///< Answers span two failure domains. False only for tests that show why.
};

/// Index for longest-prefix matches over client blocks, which may be nested.
struct PrefixIndex {
    /// The addresses from start_ up to the next entry belong to block_. Ascending; the first starts at
    /// address 0.
    struct Range {
        uint32_t start_ = 0;
        uint32_t block_ = 0;
    };
    std::vector<Range> ranges_;
    /// For each value of the upper 16 bits of an address, the range that contains the lowest such address.
    std::vector<uint32_t> firstRange_;
};

inline constexpr uint32_t noBlock = UINT32_MAX;

/// Builds the index. `blocks` must be sorted by prefix and length.
PrefixIndex buildIndex(const std::vector<model::ClientBlock>& blocks);

/// Returns the index of the longest block that contains `address` (in host byte order), or noBlock.
uint32_t findBlock(const PrefixIndex&, uint32_t address);

/// Parses an IPv4 address "a.b.c.d" into host byte order. Errors: Invalid.
Result<uint32_t> parseAddress(std::string_view);

/// Returns the preferred hosts of a workspace, best first: those with the highest rendezvous weights among
/// the live members of its region, or of all regions if it has none, in two failure domains if there are two.
/// All hosts with this head return the same.
std::vector<std::string> preferredHosts(
    const control::Head&, const LookupOptions&, const std::string& workspace, const std::string& region);

/// A host that an answer may name.
struct HostEntry {
    std::string host_;
    std::string address_; ///< For connections of callers.
    uint16_t domain_ = 0;
    uint16_t region_ = 0;
    friend bool operator==(const HostEntry&, const HostEntry&) = default;
};

/// Precomputed data for lookups, built when the head, the configuration, the assignment or a host's lease
/// changes. Invariant: hosts_ contains no leaving host and none without a lease; the lists hold indices into
/// hosts_.
struct LookupTable {
    LookupOptions options_;
    PrefixIndex index_;
    std::vector<HostEntry> hosts_;
    std::vector<std::vector<uint16_t>> byDomain_;
    std::vector<std::vector<uint16_t>> byRegion_;
    std::vector<uint16_t> domainRegion_;
    std::vector<uint16_t> blockDomain_; ///< Failure domain of each block's site, or UINT16_MAX.
    std::map<std::string, std::vector<uint16_t>, std::less<>> workspaces_; ///< Preferred hosts.
    std::set<std::string, std::less<>> services_;
};

/// Builds a table. `assignment` is SteeringState::current_; `withoutLease` are the hosts that report no valid
/// read lease.
LookupTable buildLookupTable(const model::ObjectSet&, const control::Head&, const LookupOptions&,
    const std::vector<SiteIndex>& assignment, const std::set<std::string>& withoutLease);

/// Replaces the hosts of a table; keeps the index over client blocks, which is expensive to build.
void refreshHosts(
    LookupTable&, const model::ObjectSet&, const control::Head&, const std::set<std::string>& withoutLease);

/// Replaces the assignment of client blocks to sites.
void refreshAssignment(LookupTable&, const model::ObjectSet&, const std::vector<SiteIndex>& assignment);

/// Result of a lookup.
struct LookupAnswer {
    std::vector<const HostEntry*> hosts_; ///< Best first. Valid until the table changes.
    Duration ttl_ {};
};

/// Answers a lookup. An empty workspace selects hosts for open routes. `rotation` is a counter or random
/// number that spreads callers over hosts of equal rank. Errors: NotFound for an unknown service or
/// workspace, Unavailable if there is no usable host.
Result<LookupAnswer> lookup(const LookupTable&, std::string_view service, std::string_view workspace,
    uint32_t clientAddress, uint64_t rotation);

} // namespace turmericwing::steering
