// Connections of callers, on Boost.Asio with the parser of Boost.Beast.
#include "turmericwing/gateway/listener.h"

#include "parsing.h"

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
    constexpr size_t largestAhead = 65536; ///< Bytes of later requests that are kept during an answer.
    constexpr auto acceptPause = std::chrono::milliseconds(50);
    constexpr auto lingerTime = std::chrono::seconds(1); ///< For a caller to read a last answer.

    /// Shared by all connections of the loop; its content is used up before the next read.
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
    asio::steady_timer retryTimer_; ///< After an accept that failed.
    bool closing_ = false; ///< Answers close their connections.
    bool stopped_ = false;
    std::unordered_set<detail::Connection*> connections_;

    void accept();
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
        void onCallerGone(std::function<void()> handler) override { onGone_ = std::move(handler); }

        bool isIdle() const { return phase_ == Phase::Idle; }
        void close();

    private:
        enum class Phase {
            Idle, ///< No byte of a request yet.
            Reading,
            Handling,
            Writing,
            Lingering, ///< Closed for writing; waits for the caller to close.
            Closed,
        };

        void beginRequest();
        void waitReadable();
        void onReadable(error_code);
        void consume();
        void startReading();
        void handle();
        void refuse(unsigned status);
        void write(Response, bool close);
        void onWritten(error_code, bool close);
        void linger();
        void startTimer(Duration);
        void onTimer();
        void callerGone();

        std::shared_ptr<Listener::State> owner_;
        tcp::socket socket_;
        asio::steady_timer timer_;
        Phase phase_ = Phase::Idle;
        bool waiting_ = false; ///< A wait for readability is pending.
        bool keepAlive_ = true; ///< Of the request that is handled.
        bool headRequest_ = false;
        bool continueSent_ = false;
        TimePoint receivedAt_ {};
        std::string ahead_; ///< Bytes that were read and not parsed.
        std::optional<Parser> parser_;
        std::string outgoingHead_;
        std::string outgoingBody_;
        std::function<void()> onGone_;
    };

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
            refuse(408);
        else if (phase_ == Phase::Idle || phase_ == Phase::Lingering)
            close();
    }

    void Connection::close()
    {
        if (phase_ == Phase::Closed)
            return;
        phase_ = Phase::Closed;
        timer_.cancel();
        error_code ignored; // The connection is given up in any case.
        socket_.shutdown(tcp::socket::shutdown_both, ignored);
        socket_.close(ignored);
        onGone_ = nullptr;
    }

    void Connection::beginRequest()
    {
        phase_ = Phase::Idle;
        parser_.reset();
        continueSent_ = false;
        startTimer(owner_->options_.limits_().idleTimeout_);
    }

    void Connection::waitReadable()
    {
        if (waiting_ || phase_ == Phase::Closed)
            return;
        waiting_ = true;
        socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
            self->waiting_ = false;
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
            return callerGone();
        if (phase_ == Phase::Lingering)
            return waitReadable();
        ahead_.append(readBuffer.data(), size);
        if (phase_ == Phase::Idle || phase_ == Phase::Reading)
            consume();
        if (phase_ == Phase::Closed)
            return;
        // A caller that sends on without reading answers is not read any further.
        if (ahead_.size() < largestAhead)
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
        if (ahead_.empty())
            return;
        if (phase_ == Phase::Idle)
            startReading();
        error_code error;
        feed(*parser_, ahead_, error);
        if (error == http::error::header_limit)
            return refuse(431);
        if (error == http::error::body_limit)
            return refuse(413);
        if (error && error != http::error::need_more)
            return refuse(400);
        if (parser_->is_done())
            return handle();
        if (parser_->is_header_done()) {
            // The time of the head is over; the body has until the caller's own deadline, at most idle time.
            startTimer(owner_->options_.limits_().idleTimeout_);
            if (!continueSent_ && parser_->get()[http::field::expect] == "100-continue") {
                continueSent_ = true;
                static constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
                asio::write(socket_, asio::buffer(interim), error);
                if (error)
                    callerGone();
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
        headRequest_ = request.method_ == "HEAD";
        owner_->options_.handler_(std::move(request), shared_from_this());
    }

    void Connection::refuse(unsigned status)
    {
        headRequest_ = false;
        write({ .status_ = status }, true);
    }

    void Connection::respond(Response response)
    {
        if (phase_ != Phase::Handling)
            return;
        onGone_ = nullptr;
        write(std::move(response), !keepAlive_ || owner_->closing_);
    }

    void Connection::write(Response response, bool close)
    {
        phase_ = Phase::Writing;
        timer_.cancel();
        outgoingHead_ = responseHead(response, close);
        outgoingBody_ = headRequest_ ? std::string() : std::move(response.body_);
        const std::array<asio::const_buffer, 2> buffers { asio::buffer(outgoingHead_),
            asio::buffer(outgoingBody_) };
        asio::async_write(socket_, buffers,
            [self = shared_from_this(), close](error_code error, size_t) { self->onWritten(error, close); });
    }

    void Connection::onWritten(error_code error, bool close)
    {
        if (phase_ == Phase::Closed)
            return;
        outgoingHead_ = {};
        outgoingBody_ = {};
        if (error)
            return this->close();
        if (close)
            return linger();
        beginRequest();
        consume();
        if (phase_ != Phase::Closed)
            waitReadable();
    }

    /// Closing a connection with unread bytes resets it, and the caller could lose the answer.
    void Connection::linger()
    {
        phase_ = Phase::Lingering;
        error_code ignored; // A caller that has closed already needs no shutdown.
        socket_.shutdown(tcp::socket::shutdown_send, ignored);
        startTimer(lingerTime);
        waitReadable();
    }

    void Connection::callerGone()
    {
        const auto handler = std::move(onGone_);
        const bool handling = phase_ == Phase::Handling;
        close();
        if (handling && handler)
            handler();
    }

} // namespace detail

void Listener::State::accept()
{
    acceptor_.async_accept([self = shared_from_this()](error_code error, tcp::socket socket) {
        if (self->stopped_)
            return;
        if (!error) {
            error_code ignored; // An option that fails costs latency only.
            socket.non_blocking(true, ignored);
            socket.set_option(tcp::no_delay(true), ignored);
            std::make_shared<detail::Connection>(self, std::move(socket))->start();
            return self->accept();
        }
        // Mostly a lack of descriptors, which ends when connections close.
        self->retryTimer_.expires_after(detail::acceptPause);
        self->retryTimer_.async_wait([self](error_code cancelled) {
            if (!cancelled && !self->stopped_)
                self->accept();
        });
    });
}

Listener::Listener(asio::io_context& loop, ListenerOptions options)
    : state_(std::make_shared<State>(loop, std::move(options)))
{
}

Listener::~Listener() { stop(); }

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

void Listener::closeAfterAnswers() { state_->closing_ = true; }

void Listener::stop()
{
    state_->stopped_ = true;
    state_->closing_ = true;
    error_code ignored; // The acceptor may not have been opened.
    state_->acceptor_.close(ignored);
    state_->retryTimer_.cancel();
    const auto connections = state_->connections_;
    for (detail::Connection* connection : connections) {
        if (connection->isIdle())
            connection->close();
    }
}

size_t Listener::connections() const { return state_->connections_.size(); }

} // namespace turmericwing::gateway
