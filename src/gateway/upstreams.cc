// Connections to upstreams, on Boost.Asio with the parser of Boost.Beast.
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

    constexpr size_t answerReadBytes = 65536;
    constexpr uint32_t largestAnswerHead = 65536; ///< Bytes.
    constexpr int strayAnswers = 2; ///< Answers to other requests that are passed over.

    /// Shared by all connections of the loop; its content is used up before the next read.
    std::array<char, answerReadBytes> answerBuffer;

    using AnswerParser = http::response_parser<http::string_body>;

    /// Seconds of "timeout=N" in a Keep-Alive field; nothing if it names none.
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

    struct KeptConnection {
        tcp::socket socket_;
        TimePoint usableUntil_ {};
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
    std::unordered_map<std::string, std::vector<detail::KeptConnection>> kept_; ///< By upstream, newest last.
    uint64_t opened_ = 0;

    std::optional<tcp::socket> takeKept(const std::string& upstream);
    void keep(const std::string& upstream, tcp::socket, Duration idleTime);
};

namespace detail {

    /// One request on one connection. Lives until its handler has run or it was cancelled.
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
        void onEnd(error_code);
        void onMessage();
        void beginAnswer();
        void finish(SendOutcome, Response, const std::string& detail);
        void fail(const std::string& detail);
        void close();
        bool keepable(const http::response<http::string_body>&) const;

        std::shared_ptr<UpstreamClient::State> owner_;
        const UpstreamCall call_;
        UpstreamClient::Handler handler_; ///< Empty once the call has ended.
        tcp::socket socket_;
        asio::steady_timer timer_; ///< Of the connection set-up.
        std::optional<AnswerParser> parser_;
        std::string unparsed_;
        TimePoint connectStarted_ {};
        Duration connectTime_ {};
        bool reused_ = false;
        bool sending_ = false; ///< Bytes may have left.
        bool written_ = false; ///< The whole request was handed to the socket.
        int strays_ = 0;
    };

    void Call::start()
    {
        if (auto socket = owner_->takeKept(call_.upstream_)) {
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
            error_code ignored; // Reads then block for no longer than readiness promised.
            self->socket_.non_blocking(true, ignored);
            self->write();
        });
    }

    void Call::write()
    {
        sending_ = true;
        beginAnswer();
        const std::array<asio::const_buffer, 2> buffers { asio::buffer(call_.head_),
            call_.body_ ? asio::buffer(*call_.body_) : asio::const_buffer() };
        asio::async_write(socket_, buffers, [self = shared_from_this()](error_code error, size_t) {
            self->written_ = !error;
            // The answer may have come before the whole body was taken; reading tells.
        });
        waitReadable();
    }

    void Call::beginAnswer()
    {
        parser_.emplace();
        parser_->header_limit(largestAnswerHead);
        parser_->body_limit(owner_->options_.answerBytes_);
        parser_->eager(true);
        if (call_.headRequest_)
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
            return onEnd(error);
        unparsed_.append(answerBuffer.data(), size);
        parse();
    }

    void Call::parse()
    {
        error_code error;
        feed(*parser_, unparsed_, error);
        if (error && error != http::error::need_more)
            return fail("answer: " + error.message());
        if (parser_->is_done())
            return onMessage();
        waitReadable();
    }

    void Call::onEnd(error_code error)
    {
        // Only a clean end completes an answer that has no length.
        if (error == asio::error::eof && parser_->is_header_done()) {
            error_code parsing;
            parser_->put_eof(parsing);
            if (!parsing && parser_->is_done())
                return onMessage();
        }
        fail((parser_->is_header_done() ? "answer broke off: " : "no answer: ") + error.message());
    }

    void Call::onMessage()
    {
        if (parser_->get().result_int() / 100 == 1) {
            beginAnswer();
            return unparsed_.empty() ? waitReadable() : parse();
        }
        auto message = parser_->release();
        Response response { message.result_int(), { message.reason().data(), message.reason().size() },
            copyHeaders(message), {} };
        const bool stray = !call_.echoValue_.empty()
            && headerValue(response.headers_, call_.echoName_) != call_.echoValue_;
        if (stray) {
            if (++strays_ > strayAnswers)
                return fail("answers to other requests");
            beginAnswer();
            return unparsed_.empty() ? waitReadable() : parse();
        }
        if (keepable(message)) {
            const auto named = keepAliveSeconds(headerValue(response.headers_, "Keep-Alive"));
            const Duration idle = named ? std::chrono::duration_cast<Duration>(std::chrono::seconds(*named))
                    - owner_->options_.idleMargin_
                                        : owner_->options_.idleTime_;
            owner_->keep(call_.upstream_, std::move(socket_), idle);
        }
        response.body_ = std::move(message.body());
        finish(SendOutcome::Answered, std::move(response), {});
    }

    /// Bytes beyond the answer, or a body that was not taken, make the connection useless.
    bool Call::keepable(const http::response<http::string_body>& message) const
    {
        return message.keep_alive() && written_ && unparsed_.empty() && strays_ == 0
            && (message.has_content_length() || message.chunked() || call_.headRequest_
                || message.result_int() == 204 || message.result_int() == 304);
    }

    void Call::fail(const std::string& detail)
    {
        finish(sending_ ? SendOutcome::Broken : SendOutcome::NotSent, {}, detail);
    }

    void Call::finish(SendOutcome outcome, Response response, const std::string& detail)
    {
        if (!handler_)
            return;
        const auto handler = std::move(handler_);
        handler_ = nullptr;
        close();
        const bool begun = !unparsed_.empty() || (parser_ && parser_->is_header_done());
        handler({ outcome, std::move(response), detail, reused_, connectTime_, begun });
    }

    void Call::cancel()
    {
        handler_ = nullptr;
        close();
    }

    void Call::close()
    {
        timer_.cancel();
        error_code ignored; // A kept socket was moved away; any other is given up.
        socket_.close(ignored);
    }

} // namespace detail

std::optional<tcp::socket> UpstreamClient::State::takeKept(const std::string& upstream)
{
    const auto found = kept_.find(upstream);
    if (found == kept_.end())
        return std::nullopt;
    auto& connections = found->second;
    const TimePoint now = monotonicNow();
    while (!connections.empty()) {
        detail::KeptConnection kept = std::move(connections.back());
        connections.pop_back();
        char byte = 0;
        const ssize_t ahead
            = ::recv(kept.socket_.native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
        // Anything to read on an idle connection is its end, or bytes that belong to no request.
        const bool silent = ahead < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
        if (silent && now < kept.usableUntil_)
            return std::move(kept.socket_);
    }
    return std::nullopt;
}

void UpstreamClient::State::keep(const std::string& upstream, tcp::socket socket, Duration idleTime)
{
    auto& connections = kept_[upstream];
    if (idleTime <= Duration::zero())
        return;
    if (connections.size() >= options_.idlePerUpstream_)
        connections.erase(connections.begin());
    connections.push_back({ std::move(socket), monotonicNow() + idleTime });
}

UpstreamClient::UpstreamClient(asio::io_context& loop, UpstreamOptions options)
    : state_(std::make_shared<State>(loop, options))
{
}

UpstreamClient::~UpstreamClient() { state_->kept_.clear(); }

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
        error_code ignored; // The connection set-up then ends with an error.
        if (!cancelled)
            socket->close(ignored);
    });
    socket->async_connect({ ip, address.port_ }, [socket, timer, handler](error_code result) {
        timer->cancel();
        handler(result == asio::error::connection_refused);
    });
}

void UpstreamClient::forget(const std::string& upstream) { state_->kept_.erase(upstream); }

void UpstreamClient::closeExpired()
{
    const TimePoint now = monotonicNow();
    for (auto entry = state_->kept_.begin(); entry != state_->kept_.end();) {
        auto& connections = entry->second;
        std::erase_if(connections, [&](const auto& kept) { return now >= kept.usableUntil_; });
        entry = connections.empty() ? state_->kept_.erase(entry) : std::next(entry);
    }
}

uint64_t UpstreamClient::connectionsOpened() const { return state_->opened_; }

} // namespace turmericwing::gateway
