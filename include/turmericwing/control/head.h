// The control head: the one table row that holds all that must hold on every host or on none.
#pragma once

#include "turmericwing/base/result.h"
#include "turmericwing/base/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace turmericwing::control {

/// Key of the head in the platform's table.
inline constexpr const char* headKey = "control/head";

enum class MemberState { Live, Leaving };

/// A host of the current view. An incarnation is a new number for each process start.
struct Member {
    std::string host_;
    uint64_t incarnation_ = 0;
    std::string region_;
    std::string failureDomain_;
    std::string callerAddress_; ///< "ip:port" for callers.
    std::string peerAddress_; ///< "ip:port" for other hosts.
    MemberState state_ = MemberState::Live;
    friend auto operator<=>(const Member&, const Member&) = default;
};

enum class MovePhase { Running, Done, RolledBack };

/// The written state of a move. Done and RolledBack are final.
struct MoveStatus {
    std::string name_;
    uint32_t step_ = 0;
    double share_ = 0; ///< Share of the new version or region, in [0, 1].
    MovePhase phase_ = MovePhase::Running;
    std::string reason_;
    friend auto operator<=>(const MoveStatus&, const MoveStatus&) = default;
};

/// One row. Invariants: version_ equals the row's version; revision_ and epoch_ never fall; members_ is
/// sorted by host; a member list change raises epoch_, a new digest raises revision_.
struct Head {
    uint64_t version_ = 0;
    uint64_t revision_ = 0;
    std::string digest_; ///< Blob of the configuration; empty before the first publication.
    uint64_t epoch_ = 0;
    std::vector<Member> members_;
    std::vector<MoveStatus> moves_;
    std::vector<std::string> drainedUpstreams_;
    std::string publisher_; ///< Operator or host that wrote this version.
    std::string nonce_; ///< Random, tells the writer's own success from a lost race.
    std::string change_; ///< What this version changed, for the audit trail.
    WallTime writtenAt_;
    friend bool operator==(const Head&, const Head&) = default;
};

/// Head as JSON text, the row's value. Members are arrays that refer to a list of places, because the row of
/// 810 members is read by every relay and sent to every new host.
std::string encodeHead(const Head&);

/// Errors: Invalid with the field that is malformed.
Result<Head> decodeHead(const std::string& text);

/// `next` as the difference from `base`. Its size depends on the members that differ, not on all members.
std::string encodeHeadChange(const Head& base, const Head& next);

/// Reads the text of encodeHead or encodeHeadChange. Errors: Conflict if it is a change of another head than
/// `base`, otherwise as decodeHead.
Result<Head> decodeHeadChange(const Head& base, const std::string& text);

} // namespace turmericwing::control
