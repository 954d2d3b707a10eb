// What the gateway must know of the protocol of its callers and upstreams: names of header fields, paths, and
// the meaning of answers. The adapter fills it in; the gateway itself names none of them.
#pragma once

#include "turmericwing/base/time.h"
#include "turmericwing/gateway/catalog.h"
#include "turmericwing/gateway/tablestore.h"
#include "turmericwing/rollout/ramp.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmericwing::gateway {

/// Names of header fields, in the spelling that is sent.
struct HeaderNames {
    std::string requestId_;
    std::string deadline_; ///< Milliseconds that are left.
    std::string object_; ///< The object that a request concerns.
    std::string workspace_; ///< Set for upstreams; never taken from callers.
    std::string expectedUpstream_; ///< Id of the upstream that may run the request.
    std::string signature_; ///< Marks an answer as the upstream's own.
    std::string notRun_; ///< The upstream has not run the request.
    std::string load_;
};

/// Load that an upstream reports.
struct LoadReport {
    uint32_t running_ = 0;
    uint32_t waiting_ = 0;
    uint32_t slots_ = 0;
    friend auto operator<=>(const LoadReport&, const LoadReport&) = default;
};

/// A caller's question which hosts to use.
struct LookupQuery {
    std::string region_;
    std::string failureDomain_;
    friend auto operator<=>(const LookupQuery&, const LookupQuery&) = default;
};

/// One change in the tables that the gateway follows.
struct OrderChange {
    enum class Kind { Configuration, Rollout, Evacuation, Ignored };
    Kind kind_ = Kind::Ignored;
    std::string subject_; ///< Service or failure domain.
    bool removed_ = false;
    std::optional<Configuration> configuration_;
    std::optional<RolloutOrder> rollout_;
};

struct Protocol {
    HeaderNames headers_;
    /// Status by which an upstream says that it is not the expected one; it has not run the request.
    unsigned misdirectedStatus_ = 421;
    std::string readinessTarget_; ///< Path of the readiness question.
    std::string lookupTarget_; ///< Path of the lookup, without its query.

    std::string ordersTable_; ///< Configuration, rollouts and evacuations.
    std::string upstreamsTable_; ///< Service directory.

    /// Key in an Authorization field; empty if there is none.
    std::function<std::string(std::string_view authorization)> key_;
    std::function<std::optional<LoadReport>(std::string_view)> load_;
    std::function<LookupQuery(std::string_view query)> lookupQuery_;
    std::function<std::string(const std::vector<std::string>& addresses, Duration ttl)> lookupAnswer_;
    /// Errors: Invalid, with the fault.
    std::function<Result<OrderChange>(const StoredRow&)> order_;
    std::function<Result<UpstreamEntry>(const StoredRow&)> upstream_;
    /// Row by which the operator learns of a rollout's state.
    std::function<StoredRow(const rollout::Ramp&)> rolloutStatus_;
};

} // namespace turmericwing::gateway
