// HTTP/1.1 calls to upstreams over pooled connections, with request and response bodies streamed.
#pragma once

#include "turmericwing/base/time.h"
#include "turmericwing/host/executor.h"
#include "turmericwing/host/pipe.h"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace turmericwing::host {

using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// A request to an upstream.
struct UpstreamRequest {
    std::string address_; ///< "ip:port".
    std::string method_;
    std::string target_; ///< Path with query.
    HeaderList headers_;
    std::string requestId_; ///< Sent as Turmericwing-Request-Id; the response must repeat it.
    std::string body_; ///< Complete body, unless streaming_.
    bool streaming_ = false; ///< The body is written to UpstreamCall::body().
    std::optional<uint64_t> bodyLength_; ///< Of a streamed body; empty for chunked encoding.
    TimePoint deadline_;
};

/// Progress of a call. Only Waiting and Responding change again.
enum class CallState {
    Waiting, ///< No response head yet.
    Responding, ///< The response head has arrived; the body may be incomplete.
    Complete, ///< The whole response has arrived.
    NotSent, ///< No connection could be made; nothing was sent.
    Broken, ///< The connection ended before any response byte; the request may have run.
    Incomplete, ///< The response is truncated, late or malformed; the request may have run.
    Mismatched, ///< The response carries another request's id; the request may have run.
};

/// Status and header fields of a response.
struct ResponseHead {
    int status_ = 0;
    HeaderList headers_;
    std::optional<uint64_t> length_; ///< Content-Length, if present.
};

/// A call in progress. The thread that started it reads the response, which an executor thread receives.
class UpstreamCall {
public:
    explicit UpstreamCall(UpstreamRequest);

    const UpstreamRequest& request() const { return request_; }

    /// Receives the request body of a streaming request.
    Pipe& body() { return upload_; }

    /// Waits until the response is complete or has failed, its buffer is full, or the deadline has passed.
    CallState waitUntilBuffered();

    CallState state() const;
    ResponseHead head() const;

    /// Waits for the next part of the response body. Empty at the end and on failure; state() tells which.
    std::string readBody();

    /// Aborts the call by closing its connection, which upstreams treat as a cancellation of the request.
    void cancel();

private:
    friend class UpstreamPool;
    void setState(CallState);

    const UpstreamRequest request_;
    Pipe upload_;
    Pipe download_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    CallState state_ = CallState::Waiting; ///< Final once it is neither Waiting nor Responding.
    ResponseHead head_;
    std::function<void()> abort_; ///< Closes the connection in use; set while the call runs.
    bool canceled_ = false;
};

/// Idle connections to upstreams, by address. Thread-safe.
class UpstreamPool {
public:
    explicit UpstreamPool(Executor&);
    ~UpstreamPool();

    /// Starts a call on the executor and returns without waiting for it.
    std::shared_ptr<UpstreamCall> start(UpstreamRequest);

private:
    struct Connections;
    void run(UpstreamCall&);

    Executor& executor_;
    std::unique_ptr<Connections> connections_;
};

} // namespace turmericwing::host
