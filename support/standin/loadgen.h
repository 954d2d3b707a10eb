// Parts of the load generator: plan, arrival times, classification of responses and checks of executions.
#pragma once

#include "turmericwing/base/result.h"
#include "turmericwing/base/time.h"

#include <httplib.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace turmericwing::standin {

/// One stream of requests: a line of the plan.
struct PlanLine {
    std::string workspace_;
    std::string key_;
    std::string service_;
    std::string method_;
    std::string path_; ///< Path below the service; each request appends a segment of its own.
    double rate_ = 0; ///< Requests/s.
    size_t bodyBytes_ = 0;
    bool nonIdempotent_ = false; ///< Not idempotent: resent only with the same Idempotency-Key.
    std::chrono::milliseconds timeout_ {};
    friend bool operator==(const PlanLine&, const PlanLine&) = default;
};

/// Reads "workspace key service method path rate body-bytes once|repeatable timeout-ms" lines; `#` starts a
/// comment. Errors: Invalid with the line number.
Result<std::vector<PlanLine>> parsePlan(const std::string& text);

/// One planned request.
struct Arrival {
    Duration at_ {}; ///< After the start of the run.
    size_t line_ = 0; ///< Index of the plan line.
    friend bool operator==(const Arrival&, const Arrival&) = default;
};

/// Poisson arrivals of all lines in order of time, at most `limit`. The same seed gives the same arrivals.
std::vector<Arrival> schedule(const std::vector<PlanLine>&, Duration length, size_t limit, uint64_t seed);

/// What the caller knows about the execution of a request.
enum class Outcome {
    Answered, ///< An upstream sent the response.
    NotExecuted, ///< Rejected by the host, or nothing was sent.
    Unknown, ///< May have been executed.
};

/// One request to a host and its result.
struct Exchange {
    Outcome outcome_ = Outcome::Unknown;
    std::string reason_; ///< Title of the problem, or the transport error; empty when answered.
    int status_ = 0; ///< 0 without a response.
    bool connectionBroken_ = false; ///< The connection closed before the complete response.
    httplib::Response response_;
};

/// Sends a request and classifies the result by status and `Turmericwing-Outcome`.
Exchange exchange(httplib::Client&, const httplib::Request&);

/// Whether another host may serve a request that was rejected for this reason.
bool isRetryableOnAnotherHost(const std::string& reason);

/// Result of comparing a response body with its request.
enum class BodyCheck { Valid, Incomplete, Swapped };

/// Compares the body that a simulated upstream echoed with the request. Returns Incomplete if the body is cut
/// or has fields missing, and Swapped if it belongs to another request.
BodyCheck checkBody(const httplib::Response&, const std::string& path, const std::string& body);

/// What the caller was told about one request, over all attempts.
struct ReportedResult {
    bool nonIdempotent_ = false; ///< Must be executed at most once.
    bool answered_ = false; ///< An attempt got a response with status 200.
    bool mayHaveExecuted_ = false; ///< At least one attempt was not reported as "not run".
};

/// Contradictions between what callers were told and what upstreams executed.
struct ExecutionFaults {
    uint64_t duplicates_ = 0; ///< Non-idempotent requests that were executed more than once.
    /// All attempts were reported as "not run", but an upstream executed one.
    uint64_t falseNotExecuted_ = 0;
    uint64_t answeredNotExecuted_ = 0; ///< Answered, but no upstream executed it.
    std::vector<std::string> examples_; ///< At most ten keys, each with its fault.
};

/// Compares what callers were told with the executions that the upstreams counted, both by
/// "workspace/idempotency key".
ExecutionFaults findExecutionFaults(
    const std::map<std::string, ReportedResult>&, const std::map<std::string, uint64_t>& executions);

/// Value at the quantile (0 to 1) of unsorted values; 0 without values.
double quantile(std::vector<double> values, double q);

} // namespace turmericwing::standin
