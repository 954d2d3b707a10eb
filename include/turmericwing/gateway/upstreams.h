// HTTP/1.1 client for upstreams: sends a request over an idle or a new connection and returns the complete
// answer. Connections are pooled by upstream and are not reused after anything unexpected.
#pragma once

#include "turmericwing/base/address.h"
#include "turmericwing/base/time.h"
#include "turmericwing/gateway/http.h"
#include "turmericwing/gateway/requestmemory.h"

#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace turmericwing::gateway {

struct UpstreamOptions {
    /// Time for which an idle connection is reused if the upstream sent no Keep-Alive timeout. Upstreams
    /// close idle connections after some seconds.
    Duration defaultIdleTimeout_ = std::chrono::seconds(4);
    /// Subtracted from the upstream's Keep-Alive timeout, so that a request is not sent while the upstream
    /// closes the connection.
    Duration keepAliveMargin_ = std::chrono::milliseconds(1500);
    /// Longest time to set up a connection, also for probe(). Covers several round trips between regions.
    Duration connectTimeout_ = std::chrono::milliseconds(500);
    size_t maxIdlePerUpstream_ = 8;
    /// Most bytes of all answers held at one time; beyond it the call with the largest answer fails.
    uint64_t maxHeldAnswerBytes_ = uint64_t { 40 } << 20;
    /// Shared with the listeners of the host, whose requests leave more or less to answers; may be null.
    std::shared_ptr<RequestMemory> memory_ {};
};

/// Receives an answer while it arrives.
struct AnswerSink {
    /// Asked once, when a part of a body of known length has arrived but not all of it. If it returns true,
    /// the answer is sent through `onPart_`, else it is returned complete. The answer repeats the request's
    /// id, and its own body is empty.
    std::function<bool(const Response& head, uint64_t bodyBytes)> onHead_;
    /// Gets the next part of the body. No more is read until `onTaken` is called; the part counts as held
    /// until `onTaken` is destroyed or called.
    std::function<void(Body part, std::function<void()> onTaken)> onPart_;
};

struct UpstreamCall {
    std::string upstream_; ///< Id of the upstream; key of its idle connections.
    Address address_;
    std::string head_; ///< Request line and header fields, including the final empty line.
    std::shared_ptr<const Body> body_; ///< May be null.
    bool isHeadMethod_ = false; ///< The method is HEAD, so the answer has no body.
    /// Header field that the answer must repeat with this value; detects answers to other requests. A request
    /// with an empty value gets a connection of its own, and its answer must not have the field.
    std::string echoName_;
    std::string echoValue_;
    AnswerSink sink_ {}; ///< Without functions, every answer is returned complete.
};

enum class SendOutcome {
    Answered, ///< The answer is complete and belongs to the request.
    NotSent, ///< No byte of the request has left this host.
    Broken, ///< The request may have run, and there is no complete answer.
};

/// Result of a call.
struct UpstreamAnswer {
    SendOutcome outcome_ = SendOutcome::NotSent;
    Response response_; ///< Without a body if the sink got it.
    std::string failureReason_; ///< Empty if there is an answer.
    bool reused_ = false; ///< The request was sent over an idle connection.
    Duration connectTime_ {}; ///< Time to set up a new connection, about one round trip.
    bool answerBegun_ = false; ///< If Broken: part of an answer was received.
    /// If Broken: the connection ended, in place of an answer that this host gave up.
    bool connectionEnded_ = false;
    Duration sinkTime_ {}; ///< Time for which the call waited for its sink to take parts.
};

class UpstreamClient {
public:
    using Handler = std::function<void(UpstreamAnswer)>;

    /// Ends a call without calling its handler, and closes its connection so that the upstream can stop
    /// working.
    using Cancel = std::function<void()>;

    UpstreamClient(boost::asio::io_context&, UpstreamOptions = {});
    ~UpstreamClient();
    UpstreamClient(const UpstreamClient&) = delete;
    UpstreamClient& operator=(const UpstreamClient&) = delete;

    /// Sends a request. The handler is called once, after this function has returned.
    Cancel send(UpstreamCall, Handler);

    /// Reports whether a new connection to the address is refused, which means that the upstream's process
    /// has ended. A timeout does not count as refusal: the network path to the upstream may be interrupted.
    /// The handler is called once, for a malformed address with false and before this function returns.
    void probe(const Address&, const std::function<void(bool refused)>&);

    /// Closes the idle connections of an upstream that has been removed.
    void closeIdleConnections(const std::string& upstream);

    /// Closes idle connections whose timeout has passed.
    void closeExpired();

    /// Returns the number of connection attempts so far, probes included.
    uint64_t connectionAttempts() const;

    /// Returns the bytes of answers that are held: of running calls, and of complete answers until their
    /// Response::hold_ is destroyed.
    uint64_t heldAnswerBytes() const;

    struct State; ///< Defined in the source file.

private:
    std::shared_ptr<State> state_;
};

} // namespace turmericwing::gateway
