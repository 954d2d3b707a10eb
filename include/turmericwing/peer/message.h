// Messages between hosts and their CBOR encoding. Field keys have one letter, because hundreds of hosts
// exchange these messages within a budget of 5 KB/s per host. All durations are relative to the time at which
// the requester sent its request, because clocks of different hosts are not comparable.
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

/// Version of the message format. Messages of any other version are rejected.
inline constexpr uint32_t protocolVersion = 1;
/// Upper bound on the size of an encoded message, for encode() and decode().
inline constexpr size_t maxMessageBytes = size_t { 1 } << 20;
/// Maximum nesting depth of arrays and maps, including the outermost map.
inline constexpr int maxMessageDepth = 8;

/// Periodic liveness and status message to connected hosts. summary_ is filled in only by hosts that observe
/// others.
struct Heartbeat {
    uint64_t incarnation_ = 0;
    std::string address_; ///< Peer address of the sender, "ip:port".
    bool lease_ = false; ///< The sender's read lease is valid.
    bool leaving_ = false; ///< The sender is draining and will leave the fleet.
    uint64_t headVersion_ = 0; ///< Newest head version that the sender knows.
    control::SuspicionSummary summary_;
    friend bool operator==(const Heartbeat&, const Heartbeat&) = default;
};

/// Requests control::Evidence.
struct Probe {
    friend bool operator==(const Probe&, const Probe&) = default;
};

/// Announces a new head before it is written to the store. Answered by Ack or Refusal.
struct CandidateReport {
    control::Candidate candidate_;
    std::string head_; ///< Encoded head; its SHA-256 digest is candidate_.digest_.
    friend bool operator==(const CandidateReport&, const CandidateReport&) = default;
};

/// Positive response to HeadRow and CandidateReport: the sender has processed the head or candidate.
struct Ack {
    uint64_t incarnation_ = 0;
    friend bool operator==(const Ack&, const Ack&) = default;
};

/// Requests the head. The response omits the row if its version is knownVersion_.
struct HeadRequest {
    uint64_t knownVersion_ = 0;
    friend bool operator==(const HeadRequest&, const HeadRequest&) = default;
};

/// The head row. Sent as the response to HeadRequest, and as a request after a change, which is answered by
/// Ack or Refusal.
struct HeadRow {
    uint64_t version_ = 0;
    uint64_t ageUs_ = 0; ///< Time since the sender issued the store read that returned this version.
    /// The sender's last store read succeeded, so the receiver may start a lease from ageUs_.
    bool contact_ = false;
    std::string row_; ///< Encoded head; empty if the receiver already has this version.
    friend bool operator==(const HeadRow&, const HeadRow&) = default;
};

/// Requests a chunk of a configuration, because a configuration may be larger than a message.
struct BlobRequest {
    std::string digest_; ///< SHA-256 of the configuration, in hexadecimal.
    uint64_t offset_ = 0; ///< In bytes.
    friend bool operator==(const BlobRequest&, const BlobRequest&) = default;
};

/// Response to BlobRequest: a chunk of a configuration.
struct Blob {
    std::string digest_;
    uint64_t offset_ = 0;
    uint64_t total_ = 0; ///< Size of the configuration in bytes; 0 if the sender does not have it.
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

/// Request statistics of one host for a move, sent to the move's owner. Answered by MoveShare.
struct MoveStats {
    std::string move_;
    rollout::HostStats stats_;
    friend bool operator==(const MoveStats&, const MoveStats&) = default;
};

/// Response to MoveStats: the share of requests that the host routes to the new side of the move.
struct MoveShare {
    std::string move_;
    uint32_t step_ = 0;
    double share_ = 0; ///< In [0, 1]. Expires rollout::shareGrantLifetime after the host sent MoveStats.
    bool tripped_ = false; ///< The move must be rolled back.
    std::vector<std::string> slowRoutes_; ///< Routes with latency limits, in the order of slowLimitsUs_.
    std::vector<uint64_t> slowLimitsUs_; ///< Two per route: old side, new side.
    friend bool operator==(const MoveShare&, const MoveShare&) = default;
};

/// Tells all hosts to stop routing requests to the new side of a move.
struct MoveTrip {
    std::string move_;
    std::string reason_;
    friend bool operator==(const MoveTrip&, const MoveTrip&) = default;
};

/// Error response to a request that the receiver did not execute.
struct Refusal {
    uint32_t code_ = 0; ///< Value of an ErrorCode.
    std::string message_;
    friend bool operator==(const Refusal&, const Refusal&) = default;
};

/// The index of an alternative is its type number on the wire, so new types must be appended.
using Message = std::variant<Heartbeat, Probe, control::Evidence, control::Summary, CandidateReport, Ack,
    HeadRequest, HeadRow, BlobRequest, Blob, TokenPull, TokenGrant, TokenReturn, SlotBorrow, SlotLoan,
    SlotReturn, SlotRelease, MoveStats, MoveShare, MoveTrip, Crash, Quarantine, Refusal>;

/// Returns the name of the message's type, as used in metrics.
const char* typeName(const Message&);

/// A message with its correlation ids; 0 means unset. A request sets id_, a response sets replyTo_ to the id_
/// of its request, and a one-way message sets neither.
struct Envelope {
    uint64_t id_ = 0;
    uint64_t replyTo_ = 0;
    Message message_;
    friend bool operator==(const Envelope&, const Envelope&) = default;
};

enum class DecodeErrorCode {
    TooLarge, ///< More than maxMessageBytes.
    TooDeep, ///< Nested deeper than maxMessageDepth.
    Malformed, ///< Not a single CBOR map, or it uses indefinite lengths or tags.
    UnknownVersion, ///< Not protocolVersion.
    UnknownType, ///< Type number that this release does not know.
    MissingField,
    MistypedField, ///< Wrong CBOR type, or a number out of range.
};

struct DecodeError {
    DecodeErrorCode code_ = DecodeErrorCode::Malformed;
    std::string field_; ///< Wire key of the field; empty if the error does not concern a single field.
    friend bool operator==(const DecodeError&, const DecodeError&) = default;
};

using DecodeResult
    = boost::outcome_v2::basic_result<Envelope, DecodeError, boost::outcome_v2::policy::terminate>;

/// Encodes an envelope as one CBOR map: protocol version "v", type number "t", the optional ids "i" and "r",
/// and the fields of the message. Strings must be UTF-8. Errors: Invalid if the result exceeds
/// maxMessageBytes.
Result<std::string> encode(const Envelope&);

/// Decodes an envelope. Never throws. Size and nesting depth are checked before anything is allocated.
/// Unknown fields are ignored, so that newer releases may add fields.
DecodeResult decode(std::string_view bytes);

} // namespace turmericwing::peer
