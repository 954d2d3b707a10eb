// The control head: the single table row with the state that must apply either to all hosts or to none.
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

/// A host of the current view.
struct Member {
    std::string host_;
    uint64_t incarnation_ = 0; ///< New for each start of the process.
    std::string region_;
    std::string failureDomain_;
    std::string callerAddress_; ///< "ip:port" for callers.
    std::string peerAddress_; ///< "ip:port" for other hosts.
    MemberState state_ = MemberState::Live;
    friend auto operator<=>(const Member&, const Member&) = default;
};

enum class MovePhase { Running, Done, RolledBack };

/// The recorded state of a move. Done and RolledBack are final.
struct MoveStatus {
    std::string name_;
    uint32_t step_ = 0;
    double share_ = 0; ///< Share of the new version or region, in [0, 1].
    MovePhase phase_ = MovePhase::Running;
    std::string reason_;
    friend auto operator<=>(const MoveStatus&, const MoveStatus&) = default;
};

/// Content of the row. Invariants: version_ equals the row's version; revision_ and epoch_ never decrease;
/// members_ is sorted by host; a change of the member list increases epoch_, a new digest increases
/// revision_.
struct Head {
    uint64_t version_ = 0;
    uint64_t revision_ = 0;
    std::string digest_; ///< SHA-256 of the configuration's blob; empty before the first publication.
    uint64_t epoch_ = 0;
    std::vector<Member> members_;
    std::vector<MoveStatus> moves_;
    std::vector<std::string> drainedUpstreams_;
    std::string publisher_; ///< Operator or host that wrote this version.
    std::string nonce_; ///< Random; by it a writer tells its own version from that of a concurrent writer.
    std::string change_; ///< What this version changed, for the audit trail.
    WallTime writtenAt_;
    friend bool operator==(const Head&, const Head&) = default;
};

/// Returns the head as JSON text, which is the value of the row. Members are encoded as arrays that refer to
/// a list of places (region and failure domain). This keeps the row small, which with 810 members is read by
/// every relay and sent to every new host.
std::string encodeHead(const Head&);

/// Reads the text of encodeHead. Errors: Invalid, with the name of the malformed field.
Result<Head> decodeHead(const std::string& text);

/// Encodes `next` as a delta from `base`. Its size depends on the number of members that differ, not on the
/// number of members.
std::string encodeHeadDelta(const Head& base, const Head& next);

/// Reads the text of encodeHead or encodeHeadDelta. Errors: Conflict if the text is a delta from another
/// head than `base`, otherwise as decodeHead.
Result<Head> decodeHeadDelta(const Head& base, const std::string& text);

} // namespace turmericwing::control
