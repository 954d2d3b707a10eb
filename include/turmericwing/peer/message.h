// Messages between hosts and their CBOR encoding. Fields are encoded under one-letter names, because hundreds
// of hosts exchange these messages within 5 KB/s per host. All durations are relative to the time at which
// the receiver of a response sent its request, since hosts' clocks cannot be compared.
#pragma once

#include "turmericwing/base/result.h"
#include "turmericwing/control/evidence.h"
#include "turmericwing/control/membership.h"
#include "turmericwing/limits/grants.h"
#include "turmericwing/rollout/controller.h"
#include "turmericwing/routing/quarantine.h"
#include "turmericwing/routing/slots.h"

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

/// Between all hosts that are connected. Only observers fill in the summary.
struct Heartbeat {
    uint64_t incarnation_ = 0;
    std::string address_; ///< Peer address of the sender.
    bool lease_ = false; ///< The sender's read lease is valid.
    bool leaving_ = false;
    uint64_t headVersion_ = 0;
    control::DomainSummary summary_;
    friend bool operator==(const Heartbeat&, const Heartbeat&) = default;
};

/// Asks for control::Evidence.
struct Probe {
    friend bool operator==(const Probe&, const Probe&) = default;
};

/// Announces a change of the head before it is written. Answered by Ack or Refusal.
struct CandidateReport {
    control::Candidate candidate_;
    std::string head_; ///< Encoded.
    friend bool operator==(const CandidateReport&, const CandidateReport&) = default;
};

/// The sender knows what it was told.
struct Ack {
    uint64_t incarnation_ = 0;
    friend bool operator==(const Ack&, const Ack&) = default;
};

/// Asks for the head. The response omits the row when its version is the known one.
struct HeadGet {
    uint64_t knownVersion_ = 0;
    friend bool operator==(const HeadGet&, const HeadGet&) = default;
};

/// The head row, as a response to HeadGet, or on a change, which is answered by Ack.
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

using TokenPull = limits::PullRequest;
using TokenGrant = limits::Grant;
using TokenReturn = limits::TokenReturn;
using SlotBorrow = routing::BorrowRequest;
using SlotLoan = routing::Loan;
using SlotReturn = routing::LoanReturn;
using SlotRelease = routing::SlotRelease;
using Crash = routing::CrashReport;
using Quarantine = routing::QuarantineRecord;

/// Report of a host to the owner of a move, answered by MoveShare.
struct MoveStats {
    std::string move_;
    rollout::HostStats stats_;
    friend bool operator==(const MoveStats&, const MoveStats&) = default;
};

struct MoveShare {
    std::string move_;
    uint32_t step_ = 0;
    double share_ = 0; ///< In [0, 1]. Valid for rollout::shareLife from the sending of the report.
    bool tripped_ = false;
    std::vector<std::string> slowRoutes_; ///< Routes with limits, in the order of slowLimits_.
    std::vector<uint64_t> slowLimitsUs_; ///< Two for each route: old side, new side.
    friend bool operator==(const MoveShare&, const MoveShare&) = default;
};

/// Sent to all hosts.
struct MoveTrip {
    std::string move_;
    std::string reason_;
    friend bool operator==(const MoveTrip&, const MoveTrip&) = default;
};

/// Response to a request that the receiver does not execute.
struct Refusal {
    uint32_t code_ = 0; ///< An ErrorCode.
    std::string message_;
    friend bool operator==(const Refusal&, const Refusal&) = default;
};

/// The position of a type is its number on the wire: append only.
using Message = std::variant<Heartbeat, Probe, control::Evidence, control::Summary, CandidateReport, Ack,
    HeadGet, HeadRow, BlobGet, Blob, TokenPull, TokenGrant, TokenReturn, SlotBorrow, SlotLoan, SlotReturn,
    SlotRelease, MoveStats, MoveShare, MoveTrip, Crash, Quarantine, Refusal>;

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
