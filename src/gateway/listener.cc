// HTTP/1.1 server on Boost.Asio, with the parser of Boost.Beast.
#include "turmericwing/gateway/listener.h"

#include "parsing.h"
#include "tcpoptions.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <array>
#include <optional>
#include <unordered_set>

namespace turmericwing::gateway {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace detail {

    constexpr int listenBacklog = 1024;
    constexpr size_t readBytes = 65536;
    constexpr size_t maxUnparsedBytes = 65536; ///< Buffered pipelined bytes above which reading pauses.
    constexpr auto acceptRetryDelay = std::chrono::milliseconds(50);
    /// Time for the request of a caller that was accepted as the listener stopped.
    constexpr auto lastRequestTimeout = std::chrono::milliseconds(200);
    /// Time for a caller to read the last response and close.
    constexpr auto lingerTimeout = std::chrono::seconds(1);

    /// Shared by all connections of the event loop; its content is copied before the next read.
    std::array<char, readBytes> readBuffer;

    using Parser = http::request_parser<http::string_body>;

    class Connection;

} // namespace detail

struct Listener::State : std::enable_shared_from_this<State> {
    State(asio::io_context& loop, ListenerOptions options)
        : loop_(loop)
        , options_(std::move(options))
        , acceptor_(loop)
        , retryTimer_(loop)
    {
    }

    asio::io_context& loop_;
    ListenerOptions options_;
    tcp::acceptor acceptor_;
    asio::steady_timer retryTimer_; ///< Delays the next accept after a failed one.
    bool closeAfterAnswers_ = false; ///< Responses close their connections.
    bool stopped_ = false;
    std::unordered_set<detail::Connection*> connections_;

    void accept();
    void addConnection(tcp::socket);
    void acceptQueued();
    void close();
};

namespace detail {

    class Connection : public Exchange, public std::enable_shared_from_this<Connection> {
    public:
        Connection(std::shared_ptr<Listener::State> owner, tcp::socket socket)
            : owner_(std::move(owner))
            , socket_(std::move(socket))
            , timer_(owner_->loop_)
        {
            owner_->connections_.insert(this);
        }

        ~Connection() override { owner_->connections_.erase(this); }

        void start()
        {
            beginRequest();
            waitReadable();
        }

        void respond(Response) override;
        void beginResponse(Response head, uint64_t bodyBytes) override;
        void sendPart(std::string part, std::function<void()> onSent) override;
        void abandonResponse() override;
        void onCallerGone(std::function<void()> handler) override { callerGoneHandler_ = std::move(handler); }
        bool isCallerGone() override;

        /// Whether the connection has no request, not even one that has not been read yet.
        bool isIdle() const;
        void close();

    private:
        enum class Phase {
            Idle, ///< Waits for the first byte of a request.
            Reading, ///< A part of a request has been read.
            Handling, ///< The handler has the request.
            Streaming, ///< A response has begun whose body follows in parts.
            Writing, ///< A complete response is being sent.
            Lingering, ///< Shut down for sending; waits for the caller to close.
            Closed,
        };

        void beginRequest();
        void waitReadable();
        void onReadable(error_code);
        void consume();
        void startReading();
        void handle();
        void reject(unsigned status);
        void write(Response, bool close);
        void onPartWritten(error_code, const std::function<void()>& onSent);
        void onWritten(error_code, bool close);
        void linger();
        void startTimer(Duration);
        void onTimer();
        void onDisconnect();

        std::shared_ptr<Listener::State> owner_;
        tcp::socket socket_;
        asio::steady_timer timer_;
        Phase phase_ = Phase::Idle;
        bool waitPending_ = false; ///< A wait for readability is pending.
        bool keepAlive_ = true; ///< Whether the current request allows further ones on the connection.
        bool isHeadMethod_ = false; ///< The response has no body.
        bool continueSent_ = false;
        TimePoint receivedAt_ {};
        std::string unparsed_; ///< Bytes read and not yet parsed.
        std::optional<Parser> parser_;
        std::string outgoingHead_;
        std::string outgoingBody_;
        std::shared_ptr<const void> outgoingHold_; ///< See Response::hold_.
        uint64_t remainingBodyBytes_ = 0; ///< Of a begun response, those that sendPart() has not been given.
        bool closeAfterResponse_ = false; ///< Of a begun response.
        std::function<void()> callerGoneHandler_;
    };

    bool Connection::isIdle() const
    {
        error_code error;
        return phase_ == Phase::Idle && (socket_.available(error) == 0 || error);
    }

    bool Connection::isCallerGone()
    {
        return phase_ == Phase::Closed || peekSocket(socket_) == PeekResult::Ended;
    }

    void Connection::startTimer(Duration time)
    {
        timer_.expires_after(time);
        timer_.async_wait([weak = weak_from_this()](error_code cancelled) {
            const auto self = weak.lock();
            if (self && !cancelled)
                self->onTimer();
        });
    }

    void Connection::onTimer()
    {
        if (phase_ == Phase::Reading)
            reject(408);
        else if (phase_ == Phase::Idle || phase_ == Phase::Lingering)
            close();
    }

    void Connection::close()
    {
        if (phase_ == Phase::Closed)
            return;
        phase_ = Phase::Closed;
        timer_.cancel();
        error_code ignored; // The connection is closed regardless.
        socket_.shutdown(tcp::socket::shutdown_both, ignored);
        socket_.close(ignored);
        callerGoneHandler_ = nullptr;
    }

    void Connection::beginRequest()
    {
        phase_ = Phase::Idle;
        parser_.reset();
        continueSent_ = false;
        startTimer(owner_->stopped_ ? Duration(lastRequestTimeout) : owner_->options_.limits_().idleTimeout_);
    }

    void Connection::waitReadable()
    {
        if (waitPending_ || phase_ == Phase::Closed)
            return;
        waitPending_ = true;
        socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
            self->waitPending_ = false;
            if (self->phase_ != Phase::Closed)
                self->onReadable(error);
        });
    }

    void Connection::onReadable(error_code error)
    {
        size_t size = 0;
        if (!error)
            size = socket_.read_some(asio::buffer(readBuffer), error);
        if (error == asio::error::would_block)
            return waitReadable();
        if (error)
            return onDisconnect();
        if (phase_ == Phase::Lingering)
            return waitReadable();
        unparsed_.append(readBuffer.data(), size);
        if (phase_ == Phase::Idle || phase_ == Phase::Reading)
            consume();
        if (phase_ == Phase::Closed)
            return;
        // Stops reading from a caller that pipelines requests without reading responses, to bound memory.
        if (unparsed_.size() < maxUnparsedBytes)
            waitReadable();
    }

    void Connection::startReading()
    {
        phase_ = Phase::Reading;
        receivedAt_ = monotonicNow();
        const CallerLimits limits = owner_->options_.limits_();
        parser_.emplace();
        parser_->header_limit(limits.headerBytes_);
        parser_->body_limit(limits.bodyBytes_);
        parser_->eager(true);
        startTimer(limits.headerTimeout_);
    }

    void Connection::consume()
    {
        if (unparsed_.empty())
            return;
        if (phase_ == Phase::Idle)
            startReading();
        error_code error;
        feedParser(*parser_, unparsed_, error);
        if (error == http::error::header_limit)
            return reject(431);
        if (error == http::error::body_limit)
            return reject(413);
        if (error && error != http::error::need_more)
            return reject(400);
        if (parser_->is_done())
            return handle();
        if (parser_->is_header_done()) {
            // The header timeout no longer applies. The body may take any time, with at most the idle timeout
            // between two parts.
            startTimer(owner_->options_.limits_().idleTimeout_);
            if (!continueSent_ && parser_->get()[http::field::expect] == "100-continue") {
                continueSent_ = true;
                static constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
                asio::write(socket_, asio::buffer(interim), error);
                if (error)
                    onDisconnect();
            }
        }
    }

    void Connection::handle()
    {
        timer_.cancel();
        phase_ = Phase::Handling;
        auto message = parser_->release();
        parser_.reset();
        keepAlive_ = message.keep_alive();
        const auto method = message.method_string();
        const auto target = message.target();
        Request request { { method.data(), method.size() }, { target.data(), target.size() },
            copyHeaders(message), std::move(message.body()), receivedAt_ };
        isHeadMethod_ = request.method_ == "HEAD";
        owner_->options_.handler_(std::move(request), shared_from_this());
    }

    void Connection::reject(unsigned status)
    {
        isHeadMethod_ = false;
        write({ .status_ = status }, true);
    }

    void Connection::respond(Response response)
    {
        if (phase_ != Phase::Handling)
            return;
        callerGoneHandler_ = nullptr;
        write(std::move(response), !keepAlive_ || owner_->closeAfterAnswers_);
    }

    void Connection::beginResponse(Response head, uint64_t bodyBytes)
    {
        if (phase_ != Phase::Handling)
            return;
        closeAfterResponse_ = !keepAlive_ || owner_->closeAfterAnswers_;
        head.headers_.push_back({ "Content-Length", std::to_string(bodyBytes) });
        outgoingHead_ = responseHead(head, closeAfterResponse_);
        if (isHeadMethod_ || bodyBytes == 0) {
            head.body_.clear();
            return write(std::move(head), closeAfterResponse_);
        }
        phase_ = Phase::Streaming;
        remainingBodyBytes_ = bodyBytes;
    }

    void Connection::sendPart(std::string part, std::function<void()> onSent)
    {
        if (phase_ != Phase::Streaming)
            return;
        part.resize(std::min<uint64_t>(part.size(), remainingBodyBytes_));
        remainingBodyBytes_ -= part.size();
        outgoingBody_ = std::move(part);
        const std::array<asio::const_buffer, 2> buffers { asio::buffer(outgoingHead_),
            asio::buffer(outgoingBody_) };
        asio::async_write(socket_, buffers,
            [self = shared_from_this(), onSent = std::move(onSent)](
                error_code error, size_t) { self->onPartWritten(error, onSent); });
    }

    void Connection::onPartWritten(error_code error, const std::function<void()>& onSent)
    {
        if (phase_ == Phase::Closed)
            return;
        if (error)
            return onDisconnect();
        outgoingHead_.clear();
        outgoingBody_.clear();
        if (remainingBodyBytes_ > 0)
            return onSent();
        callerGoneHandler_ = nullptr;
        onWritten(error, closeAfterResponse_);
    }

    void Connection::abandonResponse()
    {
        if (phase_ != Phase::Streaming)
            return;
        resetOnClose(socket_);
        close();
    }

    void Connection::write(Response response, bool close)
    {
        phase_ = Phase::Writing;
        timer_.cancel();
        outgoingHead_ = responseHead(response, close);
        outgoingBody_ = isHeadMethod_ ? std::string() : std::move(response.body_);
        outgoingHold_ = std::move(response.hold_);
        const std::array<asio::const_buffer, 2> buffers { asio::buffer(outgoingHead_),
            asio::buffer(outgoingBody_) };
        asio::async_write(socket_, buffers,
            [self = shared_from_this(), close](error_code error, size_t) { self->onWritten(error, close); });
    }

    void Connection::onWritten(error_code error, bool close)
    {
        outgoingHead_ = {};
        outgoingBody_ = {};
        outgoingHold_ = nullptr;
        if (phase_ == Phase::Closed)
            return;
        if (error)
            return this->close();
        if (close)
            return linger();
        beginRequest();
        consume();
        if (phase_ != Phase::Closed)
            waitReadable();
    }

    /// Shuts down sending and waits for the caller to close: closing a socket with unread bytes resets the
    /// connection, and the caller could lose the response.
    void Connection::linger()
    {
        phase_ = Phase::Lingering;
        error_code ignored; // Fails if the caller has closed already.
        socket_.shutdown(tcp::socket::shutdown_send, ignored);
        startTimer(lingerTimeout);
        waitReadable();
    }

    void Connection::onDisconnect()
    {
        const auto handler = std::move(callerGoneHandler_);
        const bool handling = phase_ == Phase::Handling || phase_ == Phase::Streaming;
        close();
        if (handling && handler)
            handler();
    }

} // namespace detail

void Listener::State::accept()
{
    acceptor_.async_accept([self = shared_from_this()](error_code error, tcp::socket socket) {
        // A connection that was accepted before the listener stopped may have a request.
        if (!error)
            self->addConnection(std::move(socket));
        if (self->stopped_)
            return;
        if (!error)
            return self->accept();
        // Usually a lack of file descriptors, which ends when connections close.
        self->retryTimer_.expires_after(detail::acceptRetryDelay);
        self->retryTimer_.async_wait([self](error_code cancelled) {
            if (!cancelled && !self->stopped_)
                self->accept();
        });
    });
}

void Listener::State::addConnection(tcp::socket socket)
{
    // Without no_delay latency is higher; without non-blocking mode, a read could block after a spurious
    // readiness event.
    error_code ignored;
    socket.non_blocking(true, ignored);
    socket.set_option(tcp::no_delay(true), ignored);
    std::make_shared<detail::Connection>(shared_from_this(), std::move(socket))->start();
}

/// Accepts the connections that callers have opened and that wait in the listen queue: closing the acceptor
/// resets them, with requests that callers may have sent on them.
void Listener::State::acceptQueued()
{
    error_code error;
    acceptor_.non_blocking(true, error);
    while (!error) {
        tcp::socket socket(loop_);
        acceptor_.accept(socket, error);
        if (!error)
            addConnection(std::move(socket));
    }
}

void Listener::State::close()
{
    error_code ignored; // The acceptor may not be open.
    acceptor_.close(ignored);
    retryTimer_.cancel();
}

Listener::Listener(asio::io_context& loop, ListenerOptions options)
    : state_(std::make_shared<State>(loop, std::move(options)))
{
}

Listener::~Listener()
{
    state_->stopped_ = true;
    state_->close();
    const auto connections = state_->connections_;
    for (detail::Connection* connection : connections)
        connection->close();
}

Result<void> Listener::start()
{
    const Address& address = state_->options_.address_;
    error_code error;
    const tcp::endpoint endpoint(asio::ip::make_address(address.ip_, error), address.port_);
    const auto check = [&](const char* step) -> Result<void> {
        if (!error)
            return boost::outcome_v2::success();
        return makeError(ErrorCode::Unavailable, addressText(address) + ": " + step + ": " + error.message());
    };
    BOOST_OUTCOME_TRY(check("address"));
    state_->acceptor_.open(endpoint.protocol(), error);
    BOOST_OUTCOME_TRY(check("socket"));
    state_->acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
    BOOST_OUTCOME_TRY(check("reuse address"));
    state_->acceptor_.bind(endpoint, error);
    BOOST_OUTCOME_TRY(check("bind"));
    state_->acceptor_.listen(detail::listenBacklog, error);
    BOOST_OUTCOME_TRY(check("listen"));
    state_->accept();
    return boost::outcome_v2::success();
}

void Listener::closeAfterAnswers() { state_->closeAfterAnswers_ = true; }

void Listener::stop()
{
    if (state_->stopped_)
        return;
    state_->stopped_ = true;
    state_->closeAfterAnswers_ = true;
    const auto connections = state_->connections_;
    for (detail::Connection* connection : connections) {
        if (connection->isIdle())
            connection->close();
    }
    state_->acceptQueued();
    state_->close();
}

size_t Listener::connections() const { return state_->connections_.size(); }

} // namespace turmericwing::gateway
