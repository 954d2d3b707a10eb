// HTTP/1.1 client with one persistent connection, for calls to an external service. Calls run one after the
// other.
#pragma once

#include "turmericwing/base/address.h"
#include "turmericwing/base/result.h"
#include "turmericwing/base/time.h"
#include "turmericwing/gateway/http.h"

#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace turmericwing::gateway {

struct HttpCall {
    std::string method_ = "GET";
    std::string target_;
    std::string body_ {}; ///< JSON; empty for none.
    /// From the start of the call, connection set-up included, until the answer begins to arrive.
    Duration timeout_ = std::chrono::milliseconds(1500);
    Duration silenceTimeout_ = std::chrono::milliseconds(1500); ///< Longest silence within the answer.
    /// From the beginning of the answer to its end. A large answer takes seconds on a slow link; one that is
    /// cut off has to begin again.
    Duration transferTimeout_ = std::chrono::seconds(30);
};

struct HttpAnswer {
    unsigned status_ = 0;
    std::string body_ {};
    Headers headers_ {};
    friend bool operator==(const HttpAnswer&, const HttpAnswer&) = default;
};

/// Not thread-safe; handlers run on the event loop. A failed call closes the connection; the next call opens
/// a new one.
class HttpChannel {
public:
    /// Errors: Unavailable when nothing was sent, Unknown when the request may have been sent and there is no
    /// answer.
    using Handler = std::function<void(Result<HttpAnswer>)>;

    HttpChannel(boost::asio::io_context&, const Address&);
    ~HttpChannel();
    HttpChannel(const HttpChannel&) = delete;
    HttpChannel& operator=(const HttpChannel&) = delete;

    /// Queues a call. The handler is called once, possibly before this function returns if the call fails at
    /// once.
    void call(HttpCall, Handler);

    /// Closes the connection. A running call fails; queued calls follow on a new connection.
    void reset();

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace turmericwing::gateway
