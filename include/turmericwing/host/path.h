// The path of a caller's request through a host: authenticate, limit, claim, dispatch, respond.
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

/// Sends parts of a body to `sink` until the end or until `sink` returns false. False when the body was cut.
using BodyReader = std::function<bool(const std::function<bool(const char*, size_t)>& sink)>;

/// A request as the HTTP server received it.
struct CallerRequest {
    std::string method_;
    std::string target_; ///< Path with query.
    HeaderList headers_;
    std::string remoteAddress_;
    bool hasBody_ = false;
    std::optional<uint64_t> bodyLength_;
    BodyReader readBody_;
};

/// A response to the caller. With a call, the body continues from it after `body_`.
struct CallerResponse {
    int status_ = 0;
    HeaderList headers_;
    std::string body_;
    std::shared_ptr<UpstreamCall> stream_;
    std::optional<uint64_t> length_;
    std::shared_ptr<void> finish_; ///< Releases what the request holds, when the response has been sent.
};

/// Parts of a host that the path uses. All outlive it.
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

/// Handles one request. Never throws; every outcome is a response.
CallerResponse handleRequest(const PathParts&, const CallerRequest&);

} // namespace turmericwing::host
