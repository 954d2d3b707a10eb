// HTTP/1.1 client on Boost.Asio, with the parser of Boost.Beast.
#include "turmericwing/gateway/upstreams.h"

#include "parsing.h"
#include "tcpoptions.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <sys/socket.h>
#include <unordered_map>
#include <vector>

namespace turmericwing::gateway {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace detail {

    constexpr size_t readBufferBytes = 65536;
    constexpr uint32_t maxAnswerHeadBytes = 65536;
    constexpr int maxStrayAnswers = 2; ///< Answers to other requests that a call skips before it fails.

    /// Shared by all connections of the event loop; its content is copied before the next read.
    std::array<char, readBufferBytes> answerBuffer;

    using AnswerParser = http::response_parser<http::string_body>;

    /// Returns N of "timeout=N" in a Keep-Alive field, in seconds, or nothing if there is none.
    std::optional<int> keepAliveSeconds(std::string_view field)
    {
        static constexpr std::string_view name = "timeout=";
        const size_t start = field.find(name);
        if (start == std::string_view::npos)
            return std::nullopt;
        int value = 0;
        const char* first = field.data() + start + name.size();
        const auto [rest, status] = std::from_chars(first, field.data() + field.size(), value);
        return status == std::errc() ? std::optional(value) : std::nullopt;
    }

    struct IdleConnection {
        tcp::socket socket_;
        TimePoint usableUntil_ {}; ///< The upstream may close the connection soon after.
    };

} // namespace detail

struct UpstreamClient::State {
    State(asio::io_context& loop, UpstreamOptions options)
        : loop_(loop)
        , options_(options)
    {
    }

    asio::io_context& loop_;
    const UpstreamOptions options_;
    /// By upstream, the most recently used last.
    std::unordered_map<std::string, std::vector<detail::IdleConnection>> idle_;
    uint64_t opened_ = 0;

    std::optional<tcp::socket> takeIdle(const std::string& upstream);
    void keep(const std::string& upstream, tcp::socket, Duration idleTimeout);
};

namespace detail {

    /// One request on one connection. Lives until its handler has been called or it is cancelled.
    class Call : public std::enable_shared_from_this<Call> {
    public:
        Call(std::shared_ptr<UpstreamClient::State> owner, UpstreamCall call, UpstreamClient::Handler handler)
            : owner_(std::move(owner))
            , call_(std::move(call))
            , handler_(std::move(handler))
            , socket_(owner_->loop_)
            , timer_(owner_->loop_)
        {
        }

        void start();
        void cancel();

    private:
        void connect();
        void write();
        void waitReadable();
        void onReadable(error_code);
        void parse();
        void onReadError(error_code);
        void onAnswer();
        void resetParser();
        void finish(SendOutcome, Response, const std::string& detail);
        void fail(const std::string& detail);
        void close();
        bool isReusable(const http::response<http::string_body>&) const;

        std::shared_ptr<UpstreamClient::State> owner_;
        const UpstreamCall call_;
        UpstreamClient::Handler handler_; ///< Empty once the call has ended.
        tcp::socket socket_;
        asio::steady_timer timer_; ///< Limits the connection set-up.
        std::optional<AnswerParser> parser_;
        std::string unparsed_;
        TimePoint connectStarted_ {};
        Duration connectTime_ {};
        bool reused_ = false;
        bool mayHaveSent_ = false; ///< Bytes of the request may have left the host.
        bool requestWritten_ = false; ///< The complete request was passed to the socket.
        int strayAnswers_ = 0;
    };

    void Call::start()
    {
        if (auto socket = owner_->takeIdle(call_.upstream_)) {
            socket_ = std::move(*socket);
            reused_ = true;
            write();
        } else
            connect();
    }

    void Call::connect()
    {
        ++owner_->opened_;
        error_code error;
        const auto ip = asio::ip::make_address(call_.address_.ip_, error);
        if (!error)
            socket_.open(tcp::v4(), error);
        if (error) {
            asio::post(owner_->loop_,
                [self = shared_from_this(), error] { self->fail("socket: " + error.message()); });
            return;
        }
        setTcpOptions(socket_);
        connectStarted_ = monotonicNow();
        timer_.expires_after(owner_->options_.connectTimeout_);
        timer_.async_wait([self = shared_from_this()](error_code cancelled) {
            if (!cancelled)
                self->fail("connect: no answer in time");
        });
        socket_.async_connect({ ip, call_.address_.port_ }, [self = shared_from_this()](error_code result) {
            if (!self->handler_)
                return;
            self->timer_.cancel();
            self->connectTime_ = monotonicNow() - self->connectStarted_;
            if (result)
                return self->fail("connect: " + result.message());
            error_code ignored; // Without it, a read could block after a spurious readiness event.
            self->socket_.non_blocking(true, ignored);
            self->write();
        });
    }

    void Call::write()
    {
        mayHaveSent_ = true;
        resetParser();
        const std::array<asio::const_buffer, 2> buffers { asio::buffer(call_.head_),
            call_.body_ ? asio::buffer(*call_.body_) : asio::const_buffer() };
        asio::async_write(socket_, buffers, [self = shared_from_this()](error_code error, size_t) {
            self->requestWritten_ = !error;
            // The upstream may answer before it has read the whole body, so a failed write does not end the
            // call; reading does.
        });
        waitReadable();
    }

    void Call::resetParser()
    {
        parser_.emplace();
        parser_->header_limit(maxAnswerHeadBytes);
        parser_->body_limit(owner_->options_.maxAnswerBytes_);
        parser_->eager(true);
        if (call_.isHeadMethod_)
            parser_->skip(true);
    }

    void Call::waitReadable()
    {
        socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
            if (self->handler_)
                self->onReadable(error);
        });
    }

    void Call::onReadable(error_code error)
    {
        size_t size = 0;
        if (!error)
            size = socket_.read_some(asio::buffer(answerBuffer), error);
        if (error == asio::error::would_block)
            return waitReadable();
        if (error)
            return onReadError(error);
        unparsed_.append(answerBuffer.data(), size);
        parse();
    }

    void Call::parse()
    {
        error_code error;
        feedParser(*parser_, unparsed_, error);
        if (error && error != http::error::need_more)
            return fail("answer: " + error.message());
        if (parser_->is_done())
            return onAnswer();
        waitReadable();
    }

    void Call::onReadError(error_code error)
    {
        // An answer without a length is complete only if the upstream closed the connection cleanly.
        if (error == asio::error::eof && parser_->is_header_done()) {
            error_code parsing;
            parser_->put_eof(parsing);
            if (!parsing && parser_->is_done())
                return onAnswer();
        }
        fail((parser_->is_header_done() ? "answer broke off: " : "no answer: ") + error.message());
    }

    void Call::onAnswer()
    {
        if (parser_->get().result_int() / 100 == 1) {
            resetParser();
            return unparsed_.empty() ? waitReadable() : parse();
        }
        auto message = parser_->release();
        Response response { message.result_int(), { message.reason().data(), message.reason().size() },
            copyHeaders(message), {} };
        const bool stray = !call_.echoValue_.empty()
            && headerValue(response.headers_, call_.echoName_) != call_.echoValue_;
        if (stray) {
            if (++strayAnswers_ > maxStrayAnswers)
                return fail("answers to other requests");
            resetParser();
            return unparsed_.empty() ? waitReadable() : parse();
        }
        if (isReusable(message)) {
            const auto advertised = keepAliveSeconds(headerValue(response.headers_, "Keep-Alive"));
            const Duration idle = advertised
                ? std::chrono::duration_cast<Duration>(std::chrono::seconds(*advertised))
                    - owner_->options_.keepAliveMargin_
                : owner_->options_.defaultIdleTimeout_;
            owner_->keep(call_.upstream_, std::move(socket_), idle);
        }
        response.body_ = std::move(message.body());
        finish(SendOutcome::Answered, std::move(response), {});
    }

    /// Whether the connection can carry another request. Bytes after the answer, or a request body that was
    /// not sent completely, prevent that.
    bool Call::isReusable(const http::response<http::string_body>& message) const
    {
        return message.keep_alive() && requestWritten_ && unparsed_.empty() && strayAnswers_ == 0
            && (message.has_content_length() || message.chunked() || call_.isHeadMethod_
                || message.result_int() == 204 || message.result_int() == 304);
    }

    void Call::fail(const std::string& detail)
    {
        finish(mayHaveSent_ ? SendOutcome::Broken : SendOutcome::NotSent, {}, detail);
    }

    void Call::finish(SendOutcome outcome, Response response, const std::string& detail)
    {
        if (!handler_)
            return;
        const auto handler = std::move(handler_);
        handler_ = nullptr;
        close();
        const bool answerBegun = !unparsed_.empty() || (parser_ && parser_->is_header_done());
        handler({ outcome, std::move(response), detail, reused_, connectTime_, answerBegun });
    }

    void Call::cancel()
    {
        handler_ = nullptr;
        close();
    }

    void Call::close()
    {
        timer_.cancel();
        error_code ignored; // A reusable socket was moved to the pool; any other is discarded.
        socket_.close(ignored);
    }

} // namespace detail

std::optional<tcp::socket> UpstreamClient::State::takeIdle(const std::string& upstream)
{
    const auto found = idle_.find(upstream);
    if (found == idle_.end())
        return std::nullopt;
    auto& connections = found->second;
    const TimePoint now = monotonicNow();
    while (!connections.empty()) {
        detail::IdleConnection idleConnection = std::move(connections.back());
        connections.pop_back();
        char byte = 0;
        const ssize_t peeked
            = ::recv(idleConnection.socket_.native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
        // A readable idle connection was closed by the upstream, or has bytes that belong to no request.
        const bool silent = peeked < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
        if (silent && now < idleConnection.usableUntil_)
            return std::move(idleConnection.socket_);
    }
    return std::nullopt;
}

void UpstreamClient::State::keep(const std::string& upstream, tcp::socket socket, Duration idleTimeout)
{
    auto& connections = idle_[upstream];
    if (idleTimeout <= Duration::zero())
        return;
    if (connections.size() >= options_.maxIdlePerUpstream_)
        connections.erase(connections.begin());
    connections.push_back({ std::move(socket), monotonicNow() + idleTimeout });
}

UpstreamClient::UpstreamClient(asio::io_context& loop, UpstreamOptions options)
    : state_(std::make_shared<State>(loop, options))
{
}

UpstreamClient::~UpstreamClient() { state_->idle_.clear(); }

UpstreamClient::Cancel UpstreamClient::send(UpstreamCall call, Handler handler)
{
    const auto running = std::make_shared<detail::Call>(state_, std::move(call), std::move(handler));
    running->start();
    return [weak = std::weak_ptr(running)] {
        if (const auto self = weak.lock())
            self->cancel();
    };
}

void UpstreamClient::probe(const Address& address, const std::function<void(bool refused)>& handler)
{
    error_code error;
    const auto socket = std::make_shared<tcp::socket>(state_->loop_);
    const auto timer = std::make_shared<asio::steady_timer>(state_->loop_, state_->options_.connectTimeout_);
    const auto ip = asio::ip::make_address(address.ip_, error);
    if (error)
        return handler(false);
    ++state_->opened_;
    timer->async_wait([socket](error_code cancelled) {
        error_code ignored; // Closing makes the connection attempt end with an error.
        if (!cancelled)
            socket->close(ignored);
    });
    socket->async_connect({ ip, address.port_ }, [socket, timer, handler](error_code result) {
        timer->cancel();
        handler(result == asio::error::connection_refused);
    });
}

void UpstreamClient::closeIdleConnections(const std::string& upstream) { state_->idle_.erase(upstream); }

void UpstreamClient::closeExpired()
{
    const TimePoint now = monotonicNow();
    for (auto entry = state_->idle_.begin(); entry != state_->idle_.end();) {
        auto& connections = entry->second;
        std::erase_if(
            connections, [&](const auto& idleConnection) { return now >= idleConnection.usableUntil_; });
        entry = connections.empty() ? state_->idle_.erase(entry) : std::next(entry);
    }
}

uint64_t UpstreamClient::connectionAttempts() const { return state_->opened_; }

} // namespace turmericwing::gateway
