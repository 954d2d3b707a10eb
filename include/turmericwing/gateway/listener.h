// Server side of HTTP/1.1: accepts connections and hands over whole requests, one at a time for each
// connection. A handler answers through its exchange, at any later time, and is told if the caller leaves.
#pragma once

#include "turmericwing/base/address.h"
#include "turmericwing/base/result.h"
#include "turmericwing/gateway/catalog.h"
#include "turmericwing/gateway/http.h"

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace turmericwing::gateway {

/// One request that waits for its answer. Methods after the answer, or after the caller left, do nothing.
class Exchange {
public:
    virtual ~Exchange() = default;
    virtual void respond(Response) = 0;
    /// Called once if the caller closes its connection before the answer.
    virtual void onCallerGone(std::function<void()>) = 0;
};

using RequestHandler = std::function<void(Request&&, const std::shared_ptr<Exchange>&)>;

struct ListenerOptions {
    Address address_;
    /// Limits in force; asked for each request, because they change with the configuration.
    std::function<CallerLimits()> limits_ = [] { return CallerLimits(); };
    RequestHandler handler_;
};

class Listener {
public:
    Listener(boost::asio::io_context&, ListenerOptions);
    ~Listener();
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;

    /// Errors: Unavailable if the address cannot be bound.
    Result<void> start();

    /// Each answer from now on closes its connection.
    void closeAfterAnswers();

    /// Accepts no more connections and closes those that wait for a request.
    void stop();

    /// Connections that are open.
    size_t connections() const;

    struct State; ///< Known to the implementation only.

private:
    std::shared_ptr<State> state_;
};

} // namespace turmericwing::gateway
