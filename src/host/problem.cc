// Names, HTTP statuses, outcomes and JSON of problem details.
#include "turmericwing/host/problem.h"

#include <nlohmann/json.hpp>

#include <array>

namespace turmericwing::host {

namespace detail {

    /// Name, HTTP status and outcome of a reason.
    struct ReasonInfo {
        Reason reason_;
        const char* name_;
        int status_;
        Outcome outcome_;
    };

    constexpr std::array reasons {
        ReasonInfo { Reason::BadRequest, "bad-request", 400, Outcome::NotRun },
        ReasonInfo { Reason::NoSuchService, "no-such-service", 404, Outcome::NotRun },
        ReasonInfo { Reason::NoSuchRoute, "no-such-route", 404, Outcome::NotRun },
        ReasonInfo { Reason::MethodNotAllowed, "method-not-allowed", 405, Outcome::NotRun },
        ReasonInfo { Reason::KeyMissing, "key-missing", 401, Outcome::NotRun },
        ReasonInfo { Reason::KeyRefused, "key-refused", 401, Outcome::NotRun },
        ReasonInfo { Reason::TooLarge, "too-large", 413, Outcome::NotRun },
        ReasonInfo { Reason::RateLimited, "rate-limited", 429, Outcome::NotRun },
        ReasonInfo { Reason::Overloaded, "overloaded", 503, Outcome::NotRun },
        ReasonInfo { Reason::DeadlineTooShort, "deadline-too-short", 503, Outcome::NotRun },
        ReasonInfo { Reason::StaleConfiguration, "stale-configuration", 503, Outcome::NotRun },
        ReasonInfo { Reason::StoreUnavailable, "store-unavailable", 503, Outcome::NotRun },
        ReasonInfo { Reason::Quarantined, "quarantined", 503, Outcome::NotRun },
        ReasonInfo { Reason::ClaimInProgress, "in-progress", 409, Outcome::Unknown },
        ReasonInfo { Reason::ClaimConflict, "idempotency-key-reused", 422, Outcome::NotRun },
        ReasonInfo { Reason::OutcomeUnknown, "outcome-unknown", 502, Outcome::Unknown },
        ReasonInfo { Reason::UpstreamFailed, "upstream-failed", 502, Outcome::Unknown },
        ReasonInfo { Reason::UpstreamTimeout, "upstream-timeout", 504, Outcome::Unknown },
        ReasonInfo { Reason::Draining, "draining", 503, Outcome::NotRun },
        ReasonInfo { Reason::NotReady, "not-ready", 503, Outcome::NotRun },
    };

    constexpr bool isInReasonOrder()
    {
        for (size_t i = 0; i < reasons.size(); ++i) {
            if (reasons[i].reason_ != static_cast<Reason>(i))
                return false;
        }
        return true;
    }
    static_assert(isInReasonOrder(), "the table is indexed by Reason and must be in its order");

    const ReasonInfo& reasonInfo(Reason reason) { return reasons.at(static_cast<size_t>(reason)); }

} // namespace detail

const char* toString(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Answered:
        return "answered";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        break;
    }
    return "unknown";
}

const char* toString(Reason reason) { return detail::reasonInfo(reason).name_; }

int statusOf(Reason reason) { return detail::reasonInfo(reason).status_; }

Outcome outcomeOf(Reason reason) { return detail::reasonInfo(reason).outcome_; }

std::string problemJson(Reason reason, const std::string& text, const std::string& requestId)
{
    const nlohmann::json problem {
        { "type", std::string("urn:turmericwing:problem:") + toString(reason) },
        { "title", toString(reason) },
        { "status", statusOf(reason) },
        { "detail", text },
        { "instance", "urn:turmericwing:request:" + requestId },
        { "outcome", toString(outcomeOf(reason)) },
    };
    return problem.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace turmericwing::host
