// One kept HTTP/1.1 connection for calls to an outside service. Calls wait for each other.
#pragma once

#include "turmericwing/base/address.h"
#include "turmericwing/base/result.h"
#include "turmericwing/base/time.h"

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
    Duration timeout_ = std::chrono::milliseconds(1500); ///< From the start of the call, set-up included.
};

struct HttpAnswer {
    unsigned status_ = 0;
    std::string body_;
    friend bool operator==(const HttpAnswer&, const HttpAnswer&) = default;
};

/// Not thread-safe; handlers run on the event loop. The connection is closed after any failure.
class HttpChannel {
public:
    /// Errors: Unavailable when nothing was sent, Unknown when the answer is missing.
    using Handler = std::function<void(Result<HttpAnswer>)>;

    HttpChannel(boost::asio::io_context&, const Address&);
    ~HttpChannel();
    HttpChannel(const HttpChannel&) = delete;
    HttpChannel& operator=(const HttpChannel&) = delete;

    void call(HttpCall, Handler);

    /// Closes the connection. A running call fails.
    void reset();

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace turmericwing::gateway
