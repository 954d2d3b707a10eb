// HTTP/1.1 server: accepts connections and passes complete requests to a handler. Requests of one connection
// run one after the other, but for those that may overlap; they are answered in their order. The handler
// responds through the exchange at any later time, and is notified if the caller disconnects first.
#pragma once

#include "turmericwing/base/address.h"
#include "turmericwing/base/result.h"
#include "turmericwing/gateway/catalog.h"
#include "turmericwing/gateway/http.h"
#include "turmericwing/gateway/requestmemory.h"

#include <functional>
#include <limits>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace turmericwing::gateway {

/// A request that has not been answered yet. Calls after the response, or after the caller disconnected, have
/// no effect.
class Exchange {
public:
    virtual ~Exchange() = default;
    virtual void respond(Response) = 0;
    /// Begins a response whose body of `bodyBytes` follows in parts; the body of `head` is ignored. Returns
    /// false, without effect, while the connection has other requests: they would end with a response that
    /// breaks off.
    virtual bool beginResponse(Response head, uint64_t bodyBytes) = 0;
    /// Sends the next part of a begun response. `onSent` is called when the socket has taken it and another
    /// part may follow, and not at all after the last part or once the caller has left.
    virtual void sendPart(Body part, std::function<void()> onSent) = 0;
    /// Resets the connection of a begun response, so that the caller cannot take it for complete.
    virtual void abandonResponse() = 0;
    /// Sets a handler that is called at most once, if the caller disconnects before the end of the response.
    virtual void onCallerGone(std::function<void()>) = 0;
    /// Whether the end of the caller's connection has reached this host, also if its handler has not been
    /// called yet: a host that is behind reads a request and the end of its connection in separate turns.
    virtual bool isCallerGone() = 0;
};

using RequestHandler = std::function<void(Request&&, const std::shared_ptr<Exchange>&)>;

struct ListenerOptions {
    Address address_;
    /// Returns the current limits; called for each request, because they change with the configuration.
    std::function<CallerLimits()> limits_ = [] { return CallerLimits(); };
    RequestHandler handler_;
    /// Whether a request may run beside others of its connection for which that holds, too.
    std::function<bool(const Request&)> mayOverlap_ = [](const Request&) { return false; };
    /// Shared with the other listeners of the host.
    std::shared_ptr<RequestMemory> memory_ = std::make_shared<RequestMemory>();
    /// Most open connections. Beyond that, the one that is idle or makes no progress for longest closes.
    size_t maxConnections_ = std::numeric_limits<size_t>::max();
    size_t windowBytes_ = callerWindowBytes; ///< See callerWindowBytes.
    int queueLength_ = 1024; ///< Most connections that wait to be accepted.
};

class Listener {
public:
    Listener(boost::asio::io_context&, ListenerOptions);
    ~Listener();
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;

    /// Starts to accept connections. Errors: Unavailable if the address cannot be bound.
    Result<void> start();

    /// From now on, closes each connection after its next response.
    void closeAfterAnswers();

    /// Stops accepting and closes idle connections. Requests that have reached the host, read or not, are
    /// still handled; their connections close after the response. Queued connections are accepted and have
    /// 0.2 s to send theirs.
    void stop();

    /// Returns the number of open connections.
    size_t connections() const;

    struct State; ///< Defined in the source file.

private:
    std::shared_ptr<State> state_;
};

} // namespace turmericwing::gateway
