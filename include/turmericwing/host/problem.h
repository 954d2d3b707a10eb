// Responses that the host itself makes: RFC 9457 problem details and the outcome header.
#pragma once

#include <cstdint>
#include <string>

namespace turmericwing::host {

/// What a caller may conclude about its request.
enum class Outcome {
    Answered, ///< The response is the upstream's.
    NotRun, ///< Refused; no upstream has run any part of it.
    Unknown, ///< It may have run.
};

enum class Reason {
    BadRequest,
    NoSuchService,
    NoSuchRoute,
    MethodNotAllowed,
    KeyMissing,
    KeyRefused,
    TooLarge,
    RateLimited,
    Overloaded,
    DeadlineTooShort,
    StaleConfiguration, ///< The host cannot show that its configuration is current.
    StoreUnavailable, ///< A claim for a non-idempotent request cannot be written.
    Quarantined,
    ClaimInProgress,
    ClaimConflict, ///< The idempotency key was used with another request.
    ClaimUnknown,
    UpstreamFailed,
    UpstreamTimeout,
    Draining,
    NotReady,
};

/// Header that carries the outcome: "answered", "not-run" or "unknown".
inline constexpr const char* outcomeHeader = "Turmericwing-Outcome";

const char* toString(Outcome);

/// Short name such as "rate-limited", used in the problem type, metrics and explanations.
const char* toString(Reason);

/// HTTP status of a refusal with this reason.
int statusOf(Reason);

/// Whether the reason leaves open that the request has run.
Outcome outcomeOf(Reason);

/// Problem details as JSON. `requestId` lets operators find the request with `turmericwing explain`.
std::string problemJson(Reason, const std::string& detail, const std::string& requestId);

} // namespace turmericwing::host
