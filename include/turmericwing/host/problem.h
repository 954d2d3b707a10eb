// Error responses of the host itself: RFC 9457 problem details and the outcome header.
#pragma once

#include <cstdint>
#include <string>

namespace turmericwing::host {

/// What a response tells the caller about its request.
enum class Outcome {
    Answered, ///< The response comes from the upstream.
    NotRun, ///< The request was refused; no upstream has run any part of it.
    Unknown, ///< An upstream may have run the request.
};

/// Why the host refused a request or has no response to it. The values index a table in problem.cc.
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
    StaleConfiguration, ///< The host cannot confirm that its configuration is current.
    StoreUnavailable, ///< A claim for a non-idempotent request cannot be written.
    Quarantined, ///< The request has crashed upstreams.
    ClaimInProgress, ///< Another request with the same idempotency key is still running.
    ClaimConflict, ///< The idempotency key was used with another request.
    OutcomeUnknown, ///< The request may have run; its outcome was lost.
    UpstreamFailed, ///< The upstream's response was lost; the request may have run.
    UpstreamTimeout, ///< No response before the deadline; the request may have run.
    Draining, ///< The host is stopping.
    NotReady, ///< The host has no configuration, or no upstream of the service, yet.
};

/// Name of the header that carries the outcome: "answered", "not-run" or "unknown".
inline constexpr const char* outcomeHeader = "Turmericwing-Outcome";

/// The outcome header's value.
const char* toString(Outcome);

/// Short name such as "rate-limited", used in problem details, metrics and request traces.
const char* toString(Reason);

/// HTTP status of a refusal with this reason.
int statusOf(Reason);

/// Outcome of a refusal with this reason: NotRun or Unknown.
Outcome outcomeOf(Reason);

/// Problem details as JSON. Operators can find the request by `requestId` with `turmericwing explain`.
std::string problemJson(Reason, const std::string& detail, const std::string& requestId);

} // namespace turmericwing::host
