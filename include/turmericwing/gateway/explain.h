// Explanation of where a request would go now, and why, for operators. Nothing is sent, and the decisions are
// those of the request path at this moment; its records, such as quotas and demand, stay as they are.
#pragma once

#include "turmericwing/base/result.h"
#include "turmericwing/base/time.h"
#include "turmericwing/gateway/rollouts.h"
#include "turmericwing/host/problem.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmericwing::gateway {

/// The request to explain.
struct ExplainQuery {
    std::string host_;
    std::string path_;
    std::string method_ = "GET";
    std::string object_; ///< Empty: the request names none.
    std::string workspace_; ///< Name, in place of a key; empty: the key in `authorization_` counts, if any.
    std::string authorization_; ///< Value of the header field, as a caller sends it.
    std::optional<uint64_t> deadlineMs_; ///< Empty: the route's timeout.
    friend bool operator==(const ExplainQuery&, const ExplainQuery&) = default;
};

/// Parses the query of a request for an explanation: host, path, method, object, workspace and deadline in
/// milliseconds, percent-encoded. Errors: Invalid, with the fault.
Result<ExplainQuery> parseExplainQuery(std::string_view query);

/// What would happen to the request.
enum class Decision { Sent, Waits, Refused };

/// A refusal of this host.
struct ExplainedRefusal {
    host::Reason reason_ {};
    /// Seconds, with the random lengthening of one request; empty if the status asks for no later attempt.
    std::optional<double> retryAfter_;
    friend bool operator==(const ExplainedRefusal&, const ExplainedRefusal&) = default;
};

/// An upstream as a candidate for the request.
struct ExplainedUpstream {
    std::string id_;
    std::string region_;
    std::string failureDomain_;
    std::string version_;
    uint32_t inFlight_ = 0; ///< Requests of all hosts.
    uint32_t slots_ = 0;
    std::optional<double> expectedSeconds_; ///< Until the response; set if it may get the request now.
    std::string obstacle_; ///< Why it may not; empty if it may.
    friend bool operator==(const ExplainedUpstream&, const ExplainedUpstream&) = default;
};

/// What would happen if the request went to one backend of its route.
struct ExplainedBackend {
    std::string service_;
    double share_ = 0; ///< Probability that this backend is drawn.
    std::string preferredRegion_; ///< Empty: none.
    std::vector<std::string> allowedRegions_; ///< Empty: any.
    VersionFilter version_; ///< As drawn for one request, if a rollout runs.
    Decision decision_ = Decision::Refused;
    std::optional<ExplainedRefusal> refusal_; ///< Set if refused.
    double expectedWait_ = 0; ///< Seconds, if it waits.
    /// Probability that the request gives way to more urgent ones, and then goes to an idle slot only. The
    /// decision is that of a request that does not.
    double giveWayChance_ = 0;
    /// First those that attempts would go to, in order, then others with their obstacles.
    std::vector<ExplainedUpstream> upstreams_;
    std::map<std::string, size_t> obstacles_; ///< Number of upstreams by obstacle, of all.
};

struct Explanation {
    std::optional<ExplainedRefusal> refusal_; ///< Set if the request is refused before a backend is drawn.
    uint64_t configuration_ = 0; ///< Version; 0 if none is known.
    std::string route_; ///< Name; empty if none matches.
    bool idempotent_ = false;
    std::string workspace_; ///< Name; empty if there is none.
    double admitProbability_ = 1; ///< Probability that the workspace's quota admits the request.
    Duration timeLeft_ {}; ///< Until the caller's deadline or the route's timeout.
    std::vector<ExplainedBackend> backends_;
};

/// Returns the explanation as a JSON object. It never holds a key.
std::string explanationJson(const Explanation&);

} // namespace turmericwing::gateway
