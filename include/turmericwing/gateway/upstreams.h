// Client side of HTTP/1.1 towards upstreams: sends one request over a kept or a new connection and returns
// the whole answer. Connections are kept for one upstream each and never carry a second request after
// anything unexpected.
#pragma once

#include "turmericwing/base/address.h"
#include "turmericwing/base/time.h"
#include "turmericwing/gateway/http.h"

#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace turmericwing::gateway {

struct UpstreamOptions {
    /// Of a kept connection without a Keep-Alive field. Upstreams close idle ones after some seconds.
    Duration idleTime_ = std::chrono::seconds(4);
    /// Before the time that the upstream names, so that a request does not cross its close.
    Duration idleMargin_ = std::chrono::milliseconds(1500);
    Duration connectTimeout_ = std::chrono::milliseconds(500); ///< Several round trips between regions.
    size_t idlePerUpstream_ = 8;
    uint64_t answerBytes_ = uint64_t { 64 } << 20; ///< A larger answer breaks off.
};

struct UpstreamCall {
    std::string upstream_; ///< Id; connections are kept under it.
    Address address_;
    std::string head_; ///< With its empty line.
    std::shared_ptr<const std::string> body_; ///< May be null.
    bool headRequest_ = false; ///< The answer has no body.
    /// Field that the answer must carry with this value, so that an answer to another request is told apart;
    /// an empty value checks nothing.
    std::string echoName_;
    std::string echoValue_;
};

enum class SendOutcome {
    Answered, ///< The answer is whole and belongs to the request.
    NotSent, ///< No byte of the request has left this host.
    Broken, ///< The request may have run, and there is no whole answer.
};

struct UpstreamAnswer {
    SendOutcome outcome_ = SendOutcome::NotSent;
    Response response_;
    std::string detail_; ///< Why there is no answer.
    bool reused_ = false; ///< Sent over a kept connection.
    Duration connectTime_ {}; ///< Of a new connection; about one round trip.
    bool answerBegun_ = false; ///< Of a broken one: some of an answer had come.
};

class UpstreamClient {
public:
    using Handler = std::function<void(UpstreamAnswer)>;

    /// Ends a call without its handler, and closes its connection so that the upstream stops work.
    using Cancel = std::function<void()>;

    UpstreamClient(boost::asio::io_context&, UpstreamOptions = {});
    ~UpstreamClient();
    UpstreamClient(const UpstreamClient&) = delete;
    UpstreamClient& operator=(const UpstreamClient&) = delete;

    /// The handler runs once, never before this returns.
    Cancel send(UpstreamCall, Handler);

    /// Whether a new connection to the address is refused, which an upstream that has ended does. Not
    /// answering is not refusing: the way to the upstream may be cut.
    void probe(const Address&, const std::function<void(bool refused)>&);

    /// Closes the kept connections of an upstream that is gone.
    void forget(const std::string& upstream);

    /// Closes kept connections that are past their time.
    void closeExpired();

    uint64_t connectionsOpened() const;

    struct State; ///< Known to the implementation only.

private:
    std::shared_ptr<State> state_;
};

} // namespace turmericwing::gateway
