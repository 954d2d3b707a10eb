// Handling of a caller's request on a host: authentication, rate limit, idempotency claim, dispatch to an
// upstream and response.
#pragma once

#include "turmericwing/host/claimstore.h"
#include "turmericwing/host/dispatch.h"
#include "turmericwing/host/metrics.h"
#include "turmericwing/host/moves.h"
#include "turmericwing/host/quarantines.h"
#include "turmericwing/host/snapshot.h"
#include "turmericwing/host/tokens.h"
#include "turmericwing/host/trace.h"
#include "turmericwing/host/upstream.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace turmericwing::host {

/// Passes a body to `sink` in chunks, until its end or until `sink` returns false. Returns false when the
/// body was not read to its end.
using BodyReader = std::function<bool(const std::function<bool(const char*, size_t)>& sink)>;

/// A request as the HTTP server received it.
struct CallerRequest {
    std::string method_;
    std::string target_; ///< Path with query.
    HeaderList headers_;
    std::string remoteAddress_;
    bool hasBody_ = false;
    std::optional<uint64_t> bodyLength_; ///< Content-Length; empty for a chunked body.
    BodyReader readBody_; ///< Set when hasBody_. A second call returns false.
};

/// A response to the caller. With `stream_`, the body is read from that call instead of `body_`.
struct CallerResponse {
    int status_ = 0;
    HeaderList headers_;
    std::string body_;
    std::shared_ptr<UpstreamCall> stream_;
    std::optional<uint64_t> length_; ///< Length of a streamed body; empty if unknown.
    std::shared_ptr<void>
        completionGuard_; ///< Releases the slot and other resources on destruction, after the response.
};

/// Components of a host that request handling uses. All of them must outlive every request.
struct PathParts {
    const SharedState& state_;
    Tokens& tokens_;
    Dispatch& dispatch_;
    Moves& moves_;
    ClaimStore& claims_;
    Quarantines& quarantines_;
    UpstreamPool& upstreams_;
    Metrics& metrics_;
    TraceLog& trace_;
    std::atomic<int>& inFlight_;
};

/// Handles one request and returns the response. Errors are responses too; it never throws.
CallerResponse handleRequest(const PathParts&, const CallerRequest&);

} // namespace turmericwing::host
