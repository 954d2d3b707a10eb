// Claim rows: a non-idempotent request runs at most once, across hosts, resends and crashes.
//
// The row is inserted before the first byte goes to an upstream. States:
//     Claimed  - a host may be running the request, or has crashed while it did
//     Done     - the outcome is stored
//     Released - proved not run; a resend may claim the row again
#pragma once

#include "turmericwing/base/result.h"
#include "turmericwing/base/time.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace turmericwing::claims {

enum class ClaimState { Claimed, Done, Released };

/// A response that a resend may get again.
struct Outcome {
    uint32_t status_ = 0; ///< HTTP status.
    std::string contentType_;
    std::string body_; ///< Bytes; empty if tooLarge_.
    std::string bodyDigest_; ///< SHA-256 in hexadecimal.
    bool tooLarge_ = false; ///< Only status and digest are stored.
    friend auto operator<=>(const Outcome&, const Outcome&) = default;
};

/// Invariants: outcome_ is set if and only if the state is Done; nonce_ is new for each claim of the row, and
/// stays when the claim is completed or released.
struct Claim {
    ClaimState state_ = ClaimState::Claimed;
    std::string host_;
    uint64_t incarnation_ = 0;
    std::string fingerprint_; ///< SHA-256 of method, path and body.
    std::string nonce_;
    WallTime expiresAt_; ///< The row may be deleted or claimed anew after this.
    std::optional<Outcome> outcome_;
    friend auto operator<=>(const Claim&, const Claim&) = default;
};

struct ClaimOptions {
    int64_t retentionMs_ = 24LL * 3600 * 1000; ///< From the claim or its last change.
    size_t maxBodyBytes_ = size_t(16) * 1024; ///< Larger outcomes keep status and digest only.
    /// Wall clocks of hosts may differ by this; a row is reused only this much after its expiry.
    int64_t clockSkewMs_ = 60LL * 1000;
    // Switched off only in tests.
    bool checkFingerprint_ = true;
    bool checkIncarnation_ = true; ///< Otherwise the claim of a crashed host stays "in progress".
};

/// Table key: digest of the key, so that a caller's text cannot reach other rows or exceed a key's length.
std::string claimKey(std::string_view workspace, std::string_view idempotencyKey);

/// Digest that a resend must repeat.
std::string requestFingerprint(std::string_view method, std::string_view path, std::string_view body);

/// Bounds the stored body and sets the digest.
Outcome makeOutcome(
    uint32_t status, std::string_view contentType, std::string_view body, const ClaimOptions&);

/// JSON text of a row.
std::string encodeClaim(const Claim&);

/// Errors: Invalid with the field that is malformed or out of bounds.
Result<Claim> decodeClaim(std::string_view text);

/// The row as read, with its version.
struct StoredClaim {
    uint64_t version_ = 0;
    Claim claim_;
};

/// Newest incarnation of each live host.
using LiveHosts = std::map<std::string, uint64_t, std::less<>>;

struct Claimant {
    std::string host_;
    uint64_t incarnation_ = 0;
    std::string nonce_; ///< New for each request.
};

enum class Verdict {
    Insert, ///< Write write_ with expectedVersion_; run only after it was applied.
    Own, ///< The row is this request's own claim; run.
    Stored, ///< Answer with outcome_.
    TooLarge, ///< It has run; only status and digest of outcome_ are known.
    InProgress, ///< Another host or request runs it; retry later.
    Unknown, ///< It may have run; the outcome was lost.
    KeyReused, ///< The key was used with another request; not run.
};

struct Decision {
    Verdict verdict_ = Verdict::Unknown;
    std::optional<Claim> write_; ///< With Insert.
    uint64_t expectedVersion_ = 0; ///< With Insert; 0 if the row must be absent.
    std::optional<Outcome> outcome_; ///< With Stored and TooLarge.
};

/// What to do with a request, given its row or the row's absence.
Decision decideClaim(const std::optional<StoredClaim>&, std::string_view fingerprint, const Claimant&,
    const LiveHosts&, WallTime now, const ClaimOptions&);

/// Row after the request was answered.
Claim completeClaim(const Claim&, Outcome, WallTime now, const ClaimOptions&);

/// Row after the request was proved not run, for example when no byte was sent to an upstream.
Claim releaseClaim(const Claim&, WallTime now, const ClaimOptions&);

/// Whether the row may be deleted or claimed anew.
bool isExpired(const Claim&, WallTime now, const ClaimOptions&);

} // namespace turmericwing::claims
