// Calls to upstreams over pooled HTTP/1.1 connections, with streaming in both directions.
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

struct UpstreamRequest {
    std::string address_; ///< "ip:port".
    std::string method_;
    std::string target_; ///< Path with query.
    HeaderList headers_;
    std::string requestId_; ///< The response must repeat it.
    std::string body_; ///< Complete body, unless it streams.
    bool streaming_ = false; ///< The body comes through UpstreamCall::body().
    std::optional<uint64_t> bodyLength_; ///< Of a streaming body; chunked encoding without it.
    TimePoint deadline_;
};

enum class CallState {
    Waiting, ///< No response head yet.
    Responding, ///< The head has arrived, the body may be incomplete.
    Complete, ///< The whole response has arrived.
    NotSent, ///< No connection could be made; nothing was sent.
    Broken, ///< The connection ended before any response byte; the request may have run.
    Incomplete, ///< The response is short, late or malformed; the request may have run.
    Mismatched, ///< The response carries another request's id; the request may have run.
};

struct ResponseHead {
    int status_ = 0;
    HeaderList headers_;
    std::optional<uint64_t> length_;
};

/// One call in progress. The thread that made it owns it; an executor thread fills it.
class UpstreamCall {
public:
    explicit UpstreamCall(UpstreamRequest);

    const UpstreamRequest& request() const { return request_; }

    /// The request body when it streams.
    Pipe& body() { return upload_; }

    /// Waits until the response is complete, or fills the buffer, or has failed, or the deadline has passed.
    CallState waitBuffered();

    CallState state() const;
    ResponseHead head() const;

    /// Next part of the response body; empty at the end or on failure, see state().
    std::string readBody();

    /// Aborts the call: closes the connection, which upstreams take as a cancellation.
    void cancel();

private:
    friend class UpstreamPool;
    void setState(CallState);

    const UpstreamRequest request_;
    Pipe upload_;
    Pipe download_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    CallState state_ = CallState::Waiting; ///< Only moves forward.
    ResponseHead head_;
    std::function<void()> abort_; ///< Stops the connection in use; set while the call runs.
    bool canceled_ = false;
};

/// Pools connections for each upstream address. Thread-safe.
class UpstreamPool {
public:
    explicit UpstreamPool(Executor&);
    ~UpstreamPool();

    /// Starts a call; returns at once.
    std::shared_ptr<UpstreamCall> start(UpstreamRequest);

private:
    struct Connections;
    void run(UpstreamCall&);

    Executor& executor_;
    std::unique_ptr<Connections> connections_;
};

} // namespace turmericwing::host
