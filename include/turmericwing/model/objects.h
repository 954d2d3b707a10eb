// The named objects that operators publish. Values only: parsing, checks and diffs are separate.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace turmericwing::model {

struct Region {
    std::string name_;
    friend auto operator<=>(const Region&, const Region&) = default;
};

struct FailureDomain {
    std::string name_;
    std::string region_;
    friend auto operator<=>(const FailureDomain&, const FailureDomain&) = default;
};

/// A place that serves client blocks. Capacity is a relative weight, greater than 0.
struct Site {
    std::string name_;
    std::string failureDomain_;
    uint32_t capacity_ = 1;
    friend auto operator<=>(const Site&, const Site&) = default;
};

/// One direction of a link between two regions. Capacity in Mbit/s.
struct Link {
    std::string name_;
    std::string from_;
    std::string to_;
    uint32_t capacityMbps_ = 0;
    friend auto operator<=>(const Link&, const Link&) = default;
};

struct Service {
    std::string name_;
    std::string version_; ///< Version that receives all traffic outside moves.
    uint32_t typicalMs_ = 0; ///< Typical time that a request occupies a slot, in ms; sizes the slots.
    double rateFraction_ = 1; ///< Planned part of the workspaces' summed rate, in (0, 1].
    uint32_t minSlots_ = 1; ///< Fewest slots without drain in each region where it has upstreams.
    friend auto operator<=>(const Service&, const Service&) = default;
};

struct Version {
    std::string name_;
    std::string service_;
    friend auto operator<=>(const Version&, const Version&) = default;
};

/// A server process of a service. `address_` is "ip:port".
struct Upstream {
    std::string name_;
    std::string service_;
    std::string version_;
    std::string failureDomain_;
    std::string address_;
    uint32_t slots_ = 1; ///< Requests that it may run at once.
    uint32_t connections_ = 1; ///< Connections that it accepts from all hosts together.
    bool drain_ = false; ///< No new work.
    friend auto operator<=>(const Upstream&, const Upstream&) = default;
};

/// Requests of a service that share rules. The longest matching path prefix and a listed method select it.
struct Route {
    std::string name_;
    std::string service_;
    std::string path_; ///< Prefix below "/<service>", starts with "/".
    std::vector<std::string> methods_;
    bool open_ = false; ///< No key needed.
    bool idempotent_ = false;
    uint32_t timeoutMs_ = 0;
    uint64_t maxBodyBytes_ = 0;
    friend auto operator<=>(const Route&, const Route&) = default;
};

/// A tenant. Rate in requests/s over all hosts, burst in requests, share as a fair-queueing weight.
struct Workspace {
    std::string name_;
    std::string region_; ///< Home region; look-up prefers its hosts.
    double rate_ = 0;
    double burst_ = 0;
    double share_ = 1;
    friend auto operator<=>(const Workspace&, const Workspace&) = default;
};

/// A credential of a workspace. Only the SHA-256 digest of the key is stored, in hexadecimal.
struct Key {
    std::string name_;
    std::string workspace_;
    std::string sha256_;
    bool withdrawn_ = false;
    friend auto operator<=>(const Key&, const Key&) = default;
};

enum class MoveState { Running, Held, RolledBack };

/// A shift of a service's traffic from one version to another, or from one region to another.
/// Exactly one of the pairs (fromVersion_, toVersion_) and (fromRegion_, toRegion_) is set.
struct Move {
    std::string name_;
    std::string service_;
    std::string fromVersion_;
    std::string toVersion_;
    std::string fromRegion_;
    std::string toRegion_;
    double cap_ = 0; ///< Largest increase of the share in one step, in (0, 1].
    uint32_t stepMs_ = 0; ///< Shortest time between two steps.
    int64_t startMs_ = 0; ///< Wall clock, ms since the Unix epoch.
    int64_t deadlineMs_ = 0; ///< Wall clock, ms since the Unix epoch.
    MoveState state_ = MoveState::Running;
    friend auto operator<=>(const Move&, const Move&) = default;
};

/// An IPv4 block of clients and the region it prefers. `prefix_` is in host byte order.
struct ClientBlock {
    uint32_t prefix_ = 0;
    uint8_t length_ = 0;
    uint16_t region_ = 0; ///< Index into ObjectSet::regions_.
    friend auto operator<=>(const ClientBlock&, const ClientBlock&) = default;
};

/// A whole set. Invariant of a checked set: each list is sorted by name (client blocks by prefix and length),
/// names are unique within a list, and each reference resolves.
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

/// Finds an object by name in a sorted list; nullptr when absent.
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
