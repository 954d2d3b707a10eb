// Messages between hosts and their CBOR encoding. Fields are encoded under one-letter names, because hundreds
// of hosts exchange these messages within 5 KB/s per host. All durations are relative to the time at which
// the receiver of a response sent its request, since hosts' clocks cannot be compared.
#pragma once

#include "turmericwing/base/result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace turmericwing::peer {

inline constexpr uint32_t protocolVersion = 1;
inline constexpr size_t maxMessageBytes = size_t { 1 } << 20;
/// Nesting of arrays and maps, counting the outermost map.
inline constexpr int maxMessageDepth = 8;

/// Contact status of a failure domain, reported by its relays.
struct DomainSummary {
    std::string domain_;
    uint32_t members_ = 0;
    uint32_t withoutContact_ = 0; ///< Members that reported no contact with the store.
    uint32_t notHeard_ = 0; ///< Members without a current heartbeat.
    uint64_t headVersion_ = 0; ///< Newest head version that a member reported.
    uint32_t ageMs_ = 0; ///< Age of the oldest report that the summary counts.
    uint32_t inFlight_ = 0; ///< Requests in flight over all members.
    std::vector<std::string> suspects_; ///< Members that a relay has not heard from for the suspicion time.
    friend bool operator==(const DomainSummary&, const DomainSummary&) = default;
};

/// Member to relay, relay to member and relay to relay. Only relays fill in summaries_.
struct Heartbeat {
    uint64_t incarnation_ = 0;
    bool contact_ = false; ///< The last read of the head succeeded.
    uint64_t headVersion_ = 0;
    uint32_t inFlight_ = 0;
    std::vector<DomainSummary> summaries_;
    friend bool operator==(const Heartbeat&, const Heartbeat&) = default;
};

/// Asks for evidence and reports the sender's own contact, which the response acknowledges.
struct Probe {
    uint64_t incarnation_ = 0;
    bool contact_ = false;
    uint64_t headVersion_ = 0;
    friend bool operator==(const Probe&, const Probe&) = default;
};

/// Response to a Probe.
struct Evidence {
    uint64_t incarnation_ = 0;
    bool valid_ = false; ///< False while a new incarnation may not give evidence.
    bool contact_ = false;
    uint64_t headVersion_ = 0;
    std::string candidate_; ///< Configuration digest of an own write that is in doubt, else empty.
    friend bool operator==(const Evidence&, const Evidence&) = default;
};

/// Asks a relay for the head. The response omits the row when its version is the known one.
struct HeadGet {
    uint64_t knownVersion_ = 0;
    friend bool operator==(const HeadGet&, const HeadGet&) = default;
};

/// The head row, as a response to HeadGet or unasked on a change.
struct HeadRow {
    uint64_t version_ = 0;
    uint64_t ageUs_ = 0; ///< Time since the sender sent the read that returned this version.
    bool contact_ = false; ///< The sender's last read succeeded, so that ageUs_ may start a lease.
    std::string row_; ///< Encoded head; empty when the receiver knows the version.
    friend bool operator==(const HeadRow&, const HeadRow&) = default;
};

/// Asks for a part of a configuration, which may be larger than a message.
struct BlobGet {
    std::string digest_;
    uint64_t offset_ = 0;
    friend bool operator==(const BlobGet&, const BlobGet&) = default;
};

/// A part of a configuration. total_ is 0 when the sender does not have it.
struct Blob {
    std::string digest_;
    uint64_t offset_ = 0;
    uint64_t total_ = 0;
    std::vector<uint8_t> bytes_;
    friend bool operator==(const Blob&, const Blob&) = default;
};

struct TokenPull {
    std::string workspace_;
    uint64_t epoch_ = 0;
    uint32_t tokens_ = 0;
    friend bool operator==(const TokenPull&, const TokenPull&) = default;
};

struct TokenGrant {
    std::string workspace_;
    uint64_t epoch_ = 0;
    uint32_t tokens_ = 0;
    uint32_t deadlineMs_ = 0; ///< Unused tokens expire this long after the pull was sent.
    friend bool operator==(const TokenGrant&, const TokenGrant&) = default;
};

struct SlotBorrow {
    std::string upstream_;
    uint64_t epoch_ = 0;
    uint32_t slots_ = 0;
    friend bool operator==(const SlotBorrow&, const SlotBorrow&) = default;
};

/// Slots lent, by number; empty when none is free.
struct SlotLoan {
    std::string upstream_;
    uint64_t epoch_ = 0;
    uint64_t loan_ = 0; ///< Number that the lender gave to the loan.
    std::vector<uint32_t> slots_;
    uint32_t deadlineMs_
        = 0; ///< No request may start on the slots later than this after the borrow was sent.
    friend bool operator==(const SlotLoan&, const SlotLoan&) = default;
};

struct SlotReturn {
    std::string upstream_;
    uint64_t epoch_ = 0;
    uint64_t loan_ = 0;
    std::vector<uint32_t> slots_;
    friend bool operator==(const SlotReturn&, const SlotReturn&) = default;
};

/// Requests of one route on one side of a move.
struct SideStats {
    uint64_t count_ = 0;
    uint64_t errors_ = 0;
    uint64_t latencySumUs_ = 0;
    double latencySquaredSumMs_ = 0; ///< In ms², for the variance.
    friend bool operator==(const SideStats&, const SideStats&) = default;
};

struct RouteStats {
    std::string route_;
    SideStats old_;
    SideStats new_;
    friend bool operator==(const RouteStats&, const RouteStats&) = default;
};

/// Counts since the sender's incarnation began the step. Cumulative, so that a lost message loses nothing.
struct MoveStats {
    std::string move_;
    uint64_t incarnation_ = 0;
    uint32_t step_ = 0;
    std::vector<RouteStats> routes_;
    friend bool operator==(const MoveStats&, const MoveStats&) = default;
};

struct MoveShare {
    std::string move_;
    uint64_t epoch_ = 0;
    uint32_t step_ = 0;
    double share_ = 0; ///< In [0, 1].
    uint32_t deadlineMs_ = 0; ///< Valid this long after the MoveStats it answers was sent.
    friend bool operator==(const MoveShare&, const MoveShare&) = default;
};

struct MoveTrip {
    std::string move_;
    uint32_t step_ = 0;
    std::string reason_;
    friend bool operator==(const MoveTrip&, const MoveTrip&) = default;
};

/// An upstream connection broke while these requests were in flight.
struct Crash {
    std::string upstream_;
    std::vector<std::string> fingerprints_;
    friend bool operator==(const Crash&, const Crash&) = default;
};

struct Quarantine {
    std::string fingerprint_;
    std::string upstream_; ///< Where the last crash occurred.
    uint32_t remainingMs_ = 0;
    friend bool operator==(const Quarantine&, const Quarantine&) = default;
};

/// Response to a request that the receiver does not execute.
struct Refusal {
    uint32_t code_ = 0; ///< An ErrorCode.
    std::string message_;
    friend bool operator==(const Refusal&, const Refusal&) = default;
};

/// The position of a type is its number on the wire: append only.
using Message = std::variant<Heartbeat, Probe, Evidence, HeadGet, HeadRow, BlobGet, Blob, TokenPull,
    TokenGrant, SlotBorrow, SlotLoan, SlotReturn, MoveStats, MoveShare, MoveTrip, Crash, Quarantine, Refusal>;

/// Name of the message's type, as in metrics.
const char* typeName(const Message&);

/// A message with its correlation. A request has id_, a response has replyTo_, other messages have neither.
struct Envelope {
    uint64_t id_ = 0;
    uint64_t replyTo_ = 0;
    Message message_;
    friend bool operator==(const Envelope&, const Envelope&) = default;
};

enum class DecodeErrorCode {
    TooLarge,
    TooDeep,
    Malformed, ///< Not a CBOR map of definite length without tags.
    UnknownVersion,
    UnknownType,
    MissingField,
    MistypedField, ///< Wrong type, or a number out of range.
};

struct DecodeError {
    DecodeErrorCode code_ = DecodeErrorCode::Malformed;
    std::string field_; ///< Wire name of the field, when the error concerns one.
    friend bool operator==(const DecodeError&, const DecodeError&) = default;
};

using DecodeResult
    = boost::outcome_v2::basic_result<Envelope, DecodeError, boost::outcome_v2::policy::terminate>;

/// CBOR map {v, t, i, r, fields}. Strings must be UTF-8. Errors: Invalid when the message exceeds
/// maxMessageBytes.
Result<std::string> encode(const Envelope&);

/// Never throws. Size and depth are checked before anything is decoded; unknown fields are ignored, so that
/// a newer release may add some.
DecodeResult decode(std::string_view bytes);

} // namespace turmericwing::peer
