// Lookup: the ordered hosts that a caller should use for a service, workspace and client address.
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
    Duration ttl_ = std::chrono::seconds(5);
    size_t preferred_ = 4; ///< Hosts on which a workspace is concentrated.
    size_t hosts_ = 6; ///< Most hosts in an answer.
    bool spread_ = true; ///< Rotate hosts of equal rank. Tests switch it off to show that it is needed.
    bool twoDomains_ = true; ///< Tests switch it off to show that it is needed.
};

/// Longest-prefix match over client blocks. Blocks may be nested.
struct PrefixIndex {
    /// Addresses from start_ on belong to block_, up to the next entry. Ascending; starts at address 0.
    struct Range {
        uint32_t start_ = 0;
        uint32_t block_ = 0;
    };
    std::vector<Range> ranges_;
    std::vector<uint32_t> first_; ///< For each upper half of an address, the range that contains its start.
};

inline constexpr uint32_t noBlock = UINT32_MAX;

/// `blocks` sorted by prefix and length.
PrefixIndex buildIndex(const std::vector<model::ClientBlock>& blocks);

/// Index of the longest block that contains `address` (host byte order), or noBlock.
uint32_t findBlock(const PrefixIndex&, uint32_t address);

/// Parses "a.b.c.d". Errors: Invalid.
Result<uint32_t> parseAddress(std::string_view);

/// Hosts on which a workspace is concentrated, best first: the highest rendezvous weights among the live
/// members of its region, in two failure domains if there are two. The same on every host with this view.
std::vector<std::string> preferredHosts(
    const control::Head&, const LookupOptions&, const std::string& workspace, const std::string& region);

struct HostEntry {
    std::string host_;
    std::string address_; ///< For callers.
    uint16_t domain_ = 0;
    uint16_t region_ = 0;
    friend bool operator==(const HostEntry&, const HostEntry&) = default;
};

/// Everything that lookups need, built when the view, the configuration, the assignment or a host's lease
/// changes. Invariant: hosts_ has no leaving host and none without a lease; lists hold indices into hosts_.
struct LookupTable {
    LookupOptions options_;
    PrefixIndex index_;
    std::vector<HostEntry> hosts_;
    std::vector<std::vector<uint16_t>> byDomain_;
    std::vector<std::vector<uint16_t>> byRegion_;
    std::vector<uint16_t> domainRegion_;
    std::vector<uint16_t> blockDomain_; ///< Failure domain of each block's site; UINT16_MAX: none.
    std::map<std::string, std::vector<uint16_t>, std::less<>> workspaces_; ///< Preferred hosts.
    std::set<std::string, std::less<>> services_;
};

/// `assignment` is SteeringState::current_. `withoutLease` are hosts that report no valid read lease.
LookupTable buildLookupTable(const model::ObjectSet&, const control::Head&, const LookupOptions&,
    const std::vector<SiteIndex>& assignment, const std::set<std::string>& withoutLease);

/// Replaces the hosts of a table; keeps the index over client blocks, which is the costly part.
void refreshHosts(
    LookupTable&, const model::ObjectSet&, const control::Head&, const std::set<std::string>& withoutLease);

/// Replaces the assignment of blocks.
void refreshAssignment(LookupTable&, const model::ObjectSet&, const std::vector<SiteIndex>& assignment);

struct LookupAnswer {
    std::vector<const HostEntry*> hosts_; ///< Best first; valid as long as the table.
    Duration ttl_ {};
};

/// Answers a lookup. An empty workspace stands for open routes. `rotation` is a counter or a random number of
/// the caller of this function; it spreads callers over hosts of equal rank. Errors: NotFound for an unknown
/// service or workspace, Unavailable when no host may be named.
Result<LookupAnswer> lookup(const LookupTable&, std::string_view service, std::string_view workspace,
    uint32_t clientAddress, uint64_t rotation);

} // namespace turmericwing::steering
