// Protocol of the platform's callers and upstreams as the gateway needs it: header names, paths, tables and
// conversions. The adapter in platform/ provides the values; the gateway's own code contains none of them.
#pragma once

#include "turmericwing/base/time.h"
#include "turmericwing/gateway/catalog.h"
#include "turmericwing/gateway/http.h"
#include "turmericwing/gateway/tablestore.h"
#include "turmericwing/rollout/ramp.h"
#include "turmericwing/routing/reportedload.h"
#include "turmericwing/routing/upstreamstate.h"

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
    std::string deadline_; ///< Remaining time in milliseconds.
    std::string object_; ///< Names the object that a request accesses.
    std::string workspace_; ///< Sent to upstreams; never accepted from callers.
    std::string expectedUpstream_; ///< Id of the upstream that may run the request.
    std::string signature_; ///< Present in answers that the upstream itself produced.
    std::string notRun_; ///< Present when the upstream has not run the request.
    std::string load_; ///< The upstream's load, as parsed by Protocol::parseLoad_.
};

/// Location of a caller that looks up which hosts to use.
struct LookupQuery {
    std::string region_;
    std::string failureDomain_;
    friend auto operator<=>(const LookupQuery&, const LookupQuery&) = default;
};

/// A decoded change of a row of the operator's table.
struct OrderChange {
    enum class Kind { Configuration, Rollout, Evacuation, Ignored };
    Kind kind_ = Kind::Ignored;
    std::string subject_; ///< Service of a rollout, or failure domain of an evacuation.
    bool removed_ = false;
    std::optional<Configuration> configuration_;
    std::optional<RolloutOrder> rollout_;
};

/// Values and conversions that the adapter provides.
struct Protocol {
    HeaderNames headers_;
    /// Status of an upstream that is not the expected one; it has not run the request.
    unsigned misdirectedStatus_ = 421;
    std::string readinessTarget_; ///< Path of the readiness check.
    std::string lookupTarget_; ///< Path of the lookup, without its query.

    std::string ordersTable_; ///< The operator's configuration, rollouts and evacuations.
    std::string upstreamsTable_; ///< Service directory: entries of upstreams.

    /// Extracts the API key from an Authorization field; empty if there is none.
    std::function<std::string(std::string_view authorization)> parseApiKey_;
    /// Parses the load field; nothing if it is malformed.
    std::function<std::optional<routing::LoadReport>(std::string_view)> parseLoad_;
    /// Extracts what an answer says about the state of its upstream.
    std::function<routing::UpstreamNotice(const Response&)> parseNotice_;
    /// Parses the query of a lookup; missing parameters are empty.
    std::function<LookupQuery(std::string_view query)> parseLookupQuery_;
    /// Returns the JSON body of a lookup's answer.
    std::function<std::string(const std::vector<std::string>& addresses, Duration ttl)> encodeLookupAnswer_;
    /// Decodes a row of `ordersTable_`. Errors: Invalid, with the fault.
    std::function<Result<OrderChange>(const StoredRow&)> decodeOrder_;
    /// Decodes a row of `upstreamsTable_`. Errors: Invalid, with the fault.
    std::function<Result<UpstreamEntry>(const StoredRow&)> decodeUpstream_;
    /// Returns the row that reports a rollout's state to the operator.
    std::function<StoredRow(const rollout::Ramp&)> encodeRolloutStatus_;
};

} // namespace turmericwing::gateway
