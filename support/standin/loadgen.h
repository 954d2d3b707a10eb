// Parts of the load driver: plan, arrival times, classification of responses and the verdict on executions.
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
    std::string path_; ///< Below the service; each request appends its own segment.
    double rate_ = 0; ///< Requests/s.
    size_t bodyBytes_ = 0;
    bool once_ = false; ///< Not idempotent: resent only with the same Idempotency-Key.
    std::chrono::milliseconds timeout_ {};
    friend bool operator==(const PlanLine&, const PlanLine&) = default;
};

/// Reads "workspace key service method path rate body-bytes once|repeatable timeout-ms" lines; `#` starts a
/// comment. Errors: Invalid with the line number.
Result<std::vector<PlanLine>> parsePlan(const std::string& text);

struct Arrival {
    Duration at_ {}; ///< After the start of the run.
    size_t line_ = 0;
    friend bool operator==(const Arrival&, const Arrival&) = default;
};

/// Poisson arrivals of all lines in order of time, at most `limit`. The same seed gives the same arrivals.
std::vector<Arrival> schedule(const std::vector<PlanLine>&, Duration length, size_t limit, uint64_t seed);

enum class Outcome {
    Answered,
    NotRun, ///< Refused by the host, or nothing was sent.
    Unknown, ///< May have run.
};

/// One exchange with a host.
struct Exchange {
    Outcome outcome_ = Outcome::Unknown;
    std::string reason_; ///< Title of the problem, or the transport error; empty when answered.
    int status_ = 0; ///< 0 without a response.
    bool broken_ = false; ///< The connection ended before the whole response.
    httplib::Response response_;
};

/// Sends a request and classifies the result by status and `Turmericwing-Outcome`.
Exchange exchange(httplib::Client&, const httplib::Request&);

/// Whether another host may serve a request that was refused for this reason.
bool worthAnotherHost(const std::string& reason);

enum class BodyCheck { Whole, Incomplete, Swapped };

/// Compares an echo of the upstream stand-in with the request that it must belong to.
BodyCheck checkBody(const httplib::Response&, const std::string& path, const std::string& body);

/// What the caller was told about one request, over all its attempts.
struct Told {
    bool once_ = false;
    bool answered_ = false;
    bool mayHaveRun_ = false; ///< At least one attempt was not reported as "not run".
};

struct Verdict {
    uint64_t duplicates_ = 0; ///< Requests that must run once and ran more often.
    uint64_t falseNotRun_ = 0; ///< All attempts were reported as "not run", yet an upstream ran one.
    uint64_t answeredNotRun_ = 0; ///< Answered, yet no upstream ran it.
    std::vector<std::string> examples_; ///< At most ten keys with their fault.
};

/// Compares what callers were told with the executions that the upstreams counted, both by
/// "workspace/idempotency key".
Verdict judge(const std::map<std::string, Told>&, const std::map<std::string, uint64_t>& executions);

/// Value at the quantile (0 to 1) of unsorted values; 0 without values.
double quantile(std::vector<double> values, double q);

} // namespace turmericwing::standin
