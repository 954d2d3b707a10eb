// Claim rows: ensure that a non-idempotent request runs at most once, across hosts, resends and crashes.
//
// The row is inserted before the first byte is sent to an upstream. States:
//     Claimed  - a host may be running the request, or has crashed while running it
//     Done     - the outcome is stored
//     Released - the request certainly did not run; a resend may claim the row again
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

/// State of a claim row.
enum class ClaimState { Claimed, Done, Released };

/// A stored response, which a resend may receive.
struct Outcome {
    uint32_t status_ = 0; ///< HTTP status.
    std::string contentType_;
    std::string body_; ///< Bytes; empty if tooLarge_.
    std::string bodyDigest_; ///< SHA-256 in hexadecimal.
    bool tooLarge_ = false; ///< The body is not stored, only its digest.
    friend auto operator<=>(const Outcome&, const Outcome&) = default;
};

/// Content of a claim row. Invariants: outcome_ is set if and only if the state is Done; nonce_ is new for
/// each claim of the row, and stays when the claim is completed or released.
struct Claim {
    ClaimState state_ = ClaimState::Claimed;
    std::string host_;
    uint64_t incarnation_ = 0;
    std::string fingerprint_; ///< SHA-256 of method, path and body.
    std::string nonce_;
    WallTime expiresAt_; ///< The row may be deleted or claimed again after this time and the clock skew.
    std::optional<Outcome> outcome_;
    friend auto operator<=>(const Claim&, const Claim&) = default;
};

struct ClaimOptions {
    int64_t retentionMs_ = 24LL * 3600 * 1000; ///< Lifetime of a row since the claim or its last change.
    size_t maxBodyBytes_ = size_t(16) * 1024; ///< Larger bodies are not stored, only their digest.
    /// Maximum difference between the wall clocks of hosts; a row is reused only this long after its expiry.
    int64_t clockSkewMs_ = 60LL * 1000;
    bool checkFingerprint_ = true; ///< False only in tests: a key may be reused with another request.
    bool checkIncarnation_ = true; ///< False only in tests: the claim of a crashed host stays in progress.
};

/// Returns the table key of a claim. It contains a digest of the arguments, so that a caller's text can
/// neither address other rows nor exceed the length of a table key.
std::string claimKey(std::string_view workspace, std::string_view idempotencyKey);

/// Returns a digest of the request, which must be the same for a resend.
std::string requestFingerprint(std::string_view method, std::string_view path, std::string_view body);

/// Returns the outcome to store. A body above maxBodyBytes_ is left out, and a content type above 256 bytes
/// is cut and the body left out; tooLarge_ is set then.
Outcome makeOutcome(
    uint32_t status, std::string_view contentType, std::string_view body, const ClaimOptions&);

/// Returns the row as JSON text.
std::string encodeClaim(const Claim&);

/// Parses a row. Errors: Invalid if the text is longer than 1 MiB or not a JSON object, or with the name of
/// the field that is malformed or out of bounds.
Result<Claim> decodeClaim(std::string_view text);

/// A row as read from the table, with its version.
struct StoredClaim {
    uint64_t version_ = 0;
    Claim claim_;
};

/// Newest known incarnation of each live host.
using LiveHosts = std::map<std::string, uint64_t, std::less<>>;

/// The host that wants to run a request.
struct Claimant {
    std::string host_;
    uint64_t incarnation_ = 0;
    std::string nonce_; ///< New for each request.
};

/// What the claimant must do.
enum class Verdict {
    Insert, ///< Write write_ with expectedVersion_; run the request only after the write was applied.
    Own, ///< The row is the claimant's own claim; run the request.
    Stored, ///< The request has run; respond with outcome_.
    TooLarge, ///< The request has run; the body of outcome_ is not stored.
    InProgress, ///< Another claimant is running the request; retry later.
    Unknown, ///< The request may have run; its outcome is lost.
    KeyReused, ///< The idempotency key was used with another request; do not run.
};

/// Result of decideClaim().
struct Decision {
    Verdict verdict_ = Verdict::Unknown;
    std::optional<Claim> write_; ///< With Insert.
    uint64_t expectedVersion_ = 0; ///< With Insert; 0 if the row must not exist.
    std::optional<Outcome> outcome_; ///< With Stored and TooLarge.
};

/// Decides what to do with a request, from its row or the absence of one.
Decision decideClaim(const std::optional<StoredClaim>&, std::string_view fingerprint, const Claimant&,
    const LiveHosts&, WallTime now, const ClaimOptions&);

/// Returns the row to write after the request was answered.
Claim completeClaim(const Claim&, Outcome, WallTime now, const ClaimOptions&);

/// Returns the row to write if the request certainly did not run, for example because no byte was sent to an
/// upstream.
Claim releaseClaim(const Claim&, WallTime now, const ClaimOptions&);

/// Returns whether the row may be deleted or claimed again.
bool isExpired(const Claim&, WallTime now, const ClaimOptions&);

} // namespace turmericwing::claims
