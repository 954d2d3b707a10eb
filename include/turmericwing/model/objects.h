// Object types of the configuration that operators publish. Plain values: parsing, validation and diffs are
// separate.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace turmericwing::model {

/// A region. Other objects refer to it by name, client blocks by its index.
struct Region {
    std::string name_;
    friend auto operator<=>(const Region&, const Region&) = default;
};

/// A zone of a region whose machines may fail together.
struct FailureDomain {
    std::string name_;
    std::string region_;
    friend auto operator<=>(const FailureDomain&, const FailureDomain&) = default;
};

/// A location that serves client blocks. Its capacity is a relative weight, greater than 0.
struct Site {
    std::string name_;
    std::string failureDomain_;
    uint32_t capacity_ = 1;
    friend auto operator<=>(const Site&, const Site&) = default;
};

/// One direction of a network link between two different regions, with its capacity in Mbit/s.
struct Link {
    std::string name_;
    std::string from_;
    std::string to_;
    uint32_t capacityMbps_ = 0;
    friend auto operator<=>(const Link&, const Link&) = default;
};

/// A service that upstreams provide, with its capacity planning.
struct Service {
    std::string name_;
    std::string version_; ///< Version that receives all traffic while no move is active.
    uint32_t typicalMs_ = 0; ///< Typical time that a request occupies a slot, in ms; used to check capacity.
    double rateFraction_ = 1; ///< Planned fraction of the summed rate of all workspaces, in (0, 1].
    uint32_t minSlots_ = 1; ///< Minimum of non-draining slots in each region that has upstreams.
    friend auto operator<=>(const Service&, const Service&) = default;
};

/// A release of a service; each upstream runs one version.
struct Version {
    std::string name_;
    std::string service_;
    friend auto operator<=>(const Version&, const Version&) = default;
};

/// A server process of a service. `address_` is a numeric "ip:port".
struct Upstream {
    std::string name_;
    std::string service_;
    std::string version_;
    std::string failureDomain_;
    std::string address_;
    uint32_t slots_ = 1; ///< Limit of concurrent requests.
    uint32_t connections_ = 1; ///< Limit of connections, summed over all hosts.
    bool drain_ = false; ///< Receives no new requests.
    friend auto operator<=>(const Upstream&, const Upstream&) = default;
};

/// Rules for a subset of a service's requests. A request uses the route with the longest matching path prefix
/// that lists its method.
struct Route {
    std::string name_;
    std::string service_;
    std::string path_; ///< Path prefix below "/<service>"; starts with "/".
    std::vector<std::string> methods_;
    bool open_ = false; ///< Requests need no key.
    bool idempotent_ = false;
    uint32_t timeoutMs_ = 0;
    uint64_t maxBodyBytes_ = 0;
    friend auto operator<=>(const Route&, const Route&) = default;
};

/// A tenant, with its rate limit in requests/s over all hosts, its burst in requests, and its fair-queueing
/// weight `share_`.
struct Workspace {
    std::string name_;
    std::string region_; ///< Home region; look-ups prefer its hosts.
    double rate_ = 0;
    double burst_ = 0;
    double share_ = 1;
    friend auto operator<=>(const Workspace&, const Workspace&) = default;
};

/// A credential of a workspace. Only the SHA-256 digest of the key is stored, as 64 lower-case hexadecimal
/// digits.
struct Key {
    std::string name_;
    std::string workspace_;
    std::string sha256_;
    bool withdrawn_ = false;
    friend auto operator<=>(const Key&, const Key&) = default;
};

enum class MoveState { Running, Held, RolledBack };

/// A gradual shift of a service's traffic from one version to another, or from one region to another. Exactly
/// one of the pairs (fromVersion_, toVersion_) and (fromRegion_, toRegion_) is set.
struct Move {
    std::string name_;
    std::string service_;
    std::string fromVersion_;
    std::string toVersion_;
    std::string fromRegion_;
    std::string toRegion_;
    double cap_ = 0; ///< Largest increase of the share in one step, in (0, 1].
    uint32_t stepMs_ = 0; ///< Minimum time between two steps, in ms.
    int64_t startMs_ = 0; ///< Wall clock, ms since the Unix epoch.
    int64_t deadlineMs_ = 0; ///< Wall clock, ms since the Unix epoch.
    MoveState state_ = MoveState::Running;
    friend auto operator<=>(const Move&, const Move&) = default;
};

/// An IPv4 block of client addresses and its preferred region. `prefix_` is in host byte order; `length_` is
/// the prefix length, from 0 to 32.
struct ClientBlock {
    uint32_t prefix_ = 0;
    uint8_t length_ = 0;
    uint16_t region_ = 0; ///< Index into ObjectSet::regions_.
    friend auto operator<=>(const ClientBlock&, const ClientBlock&) = default;
};

/// A complete configuration. Invariants of a set that passed the checks: each list is sorted by name (client
/// blocks by prefix and length), names are unique within a list, and each reference resolves.
struct ObjectSet {
    std::vector<Region> regions_;
    std::vector<FailureDomain> failureDomains_;
    std::vector<Site> sites_;
    std::vector<Link> links_;
    std::vector<Service> services_;
    std::vector<Version> versions_;
    std::vector<Upstream> upstreams_;
    std::vector<Route> routes_;
    std::vector<Workspace> workspaces_;
    std::vector<Key> keys_;
    std::vector<Move> moves_;
    std::vector<ClientBlock> clientBlocks_;
    friend bool operator==(const ObjectSet&, const ObjectSet&) = default;
};

/// Returns the object with this name from a list sorted by name, or nullptr if there is none.
template <typename T> const T* find(const std::vector<T>& sorted, std::string_view name)
{
    size_t low = 0;
    size_t high = sorted.size();
    while (low < high) {
        const size_t middle = (low + high) / 2;
        if (sorted[middle].name_ < name)
            low = middle + 1;
        else
            high = middle;
    }
    return low < sorted.size() && sorted[low].name_ == name ? &sorted[low] : nullptr;
}

} // namespace turmericwing::model
