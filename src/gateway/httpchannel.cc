// HTTP/1.1 client with one persistent connection, on Boost.Beast.
#include "turmericwing/gateway/httpchannel.h"

#include "parsing.h"
#include "tcpoptions.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <deque>
#include <optional>
#include <utility>

namespace turmericwing::gateway {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace detail {

    constexpr uint64_t maxAnswerBytes = uint64_t { 32 } << 20;
    constexpr size_t maxUnparsedBytes = 131'072; ///< Heads, chunk extensions and trailers must fit into it.

    using AnswerParser = http::response_parser<http::string_body>;

    struct PendingCall {
        HttpCall call_;
        HttpChannel::Handler handler_;
    };

} // namespace detail

struct HttpChannel::State : std::enable_shared_from_this<State> {
    State(asio::io_context& loop, const Address& address)
        : loop_(loop)
        , address_(address)
        , timer_(loop)
        , socket_(loop)
    {
    }

    asio::io_context& loop_;
    const Address address_;
    asio::steady_timer timer_;
    TimePoint failAt_ {}; ///< When the running call fails, unless more of its answer arrives before.
    TimePoint transferEndsBy_ {}; ///< When the running call fails in any case, once its answer has begun.
    bool answerBegun_ = false; ///< Of the running call.
    tcp::socket socket_;
    bool connected_ = false;
    bool sent_ = false; ///< Bytes of the running call may have left the host.
    uint64_t callNumber_ = 0; ///< Number of the running call; completions of earlier calls are ignored.
    std::deque<detail::PendingCall> queue_;
    std::optional<detail::PendingCall> running_;
    http::request<http::string_body> request_;
    std::optional<detail::AnswerParser> parser_;
    boost::beast::flat_buffer buffer_ { detail::maxUnparsedBytes };

    void startNext();
    void connect();
    void send();
    void receive();
    void receiveMore();
    void onProgress();
    void onAnswer();
    void startTimer();
    void finish(Result<HttpAnswer>);
    void fail(const std::string& reason);
    void close();

    /// Wraps a completion handler so that it runs only while its call is the running one.
    template <typename Continuation> auto whileCurrent(Continuation continuation)
    {
        return
            [self = shared_from_this(), callNumber = callNumber_, continuation](error_code error, auto&&...) {
                if (callNumber == self->callNumber_ && self->running_)
                    continuation(*self, error);
            };
    }
};

void HttpChannel::State::close()
{
    error_code ignored; // The socket is discarded regardless.
    socket_.close(ignored);
    connected_ = false;
    buffer_.clear();
}

void HttpChannel::State::startNext()
{
    if (running_ || queue_.empty())
        return;
    running_ = std::move(queue_.front());
    queue_.pop_front();
    ++callNumber_;
    sent_ = false;
    answerBegun_ = false;
    failAt_ = monotonicNow() + running_->call_.timeout_;
    startTimer();
    if (connected_)
        send();
    else
        connect();
}

/// Waits for failAt_, which moves while an answer arrives.
void HttpChannel::State::startTimer()
{
    timer_.expires_at(failAt_);
    timer_.async_wait(whileCurrent([](State& state, error_code error) {
        if (error)
            return;
        if (monotonicNow() >= state.failAt_)
            return state.fail(state.answerBegun_ ? "answer not complete in time" : "no answer in time");
        state.startTimer();
    }));
}

void HttpChannel::State::connect()
{
    error_code error;
    const auto ip = asio::ip::make_address(address_.ip_, error);
    if (error)
        return fail("address: " + error.message());
    socket_ = tcp::socket(loop_);
    socket_.open(tcp::v4(), error);
    if (error)
        return fail("socket: " + error.message());
    detail::setTcpOptions(socket_);
    socket_.async_connect({ ip, address_.port_ }, whileCurrent([](State& state, error_code result) {
        if (result)
            return state.fail("connect: " + result.message());
        state.connected_ = true;
        state.send();
    }));
}

void HttpChannel::State::send()
{
    const HttpCall& call = running_->call_;
    request_ = {};
    request_.method_string(call.method_);
    request_.target(call.target_);
    request_.version(11);
    request_.set(http::field::host, addressText(address_));
    if (!call.body_.empty()) {
        request_.set(http::field::content_type, "application/json");
        request_.body() = call.body_;
    }
    request_.prepare_payload();
    sent_ = true;
    http::async_write(socket_, request_, whileCurrent([](State& state, error_code error) {
        if (error)
            return state.fail("send: " + error.message());
        state.receive();
    }));
}

void HttpChannel::State::receive()
{
    parser_.emplace();
    parser_->body_limit(detail::maxAnswerBytes);
    receiveMore();
}

void HttpChannel::State::receiveMore()
{
    // See feedParser().
    parser_->eager(parser_->is_header_done());
    http::async_read_some(socket_, buffer_, *parser_, whileCurrent([](State& state, error_code error) {
        if (error)
            return state.fail("receive: " + error.message());
        if (state.parser_->is_done())
            return state.onAnswer();
        state.onProgress();
        state.receiveMore();
    }));
}

/// Moves the time at which the call fails, as a part of its answer has arrived.
void HttpChannel::State::onProgress()
{
    const HttpCall& call = running_->call_;
    const TimePoint now = monotonicNow();
    const bool begins = !std::exchange(answerBegun_, true);
    if (begins)
        transferEndsBy_ = now + call.transferTimeout_;
    failAt_ = std::min(transferEndsBy_, now + call.silenceTimeout_);
    // The time at which an answer had to begin may be later.
    if (begins)
        startTimer();
}

void HttpChannel::State::onAnswer()
{
    auto message = parser_->release();
    const unsigned status = message.result_int();
    if (!isStatus(status))
        return fail("receive: status " + std::to_string(status));
    if (!message.keep_alive())
        close();
    finish(HttpAnswer { status, std::move(message.body()), detail::copyHeaders(message) });
}

void HttpChannel::State::fail(const std::string& reason)
{
    close();
    const ErrorCode code = sent_ ? ErrorCode::Unknown : ErrorCode::Unavailable;
    finish(makeError(code, addressText(address_) + ": " + reason));
}

void HttpChannel::State::finish(Result<HttpAnswer> answer)
{
    timer_.cancel();
    const auto handler = std::move(running_->handler_);
    running_.reset();
    handler(std::move(answer));
    // Starts the next call after the pending completions of a closed connection, which still use the parser.
    asio::post(loop_, [self = shared_from_this()] { self->startNext(); });
}

HttpChannel::HttpChannel(asio::io_context& loop, const Address& address)
    : state_(std::make_shared<State>(loop, address))
{
}

HttpChannel::~HttpChannel()
{
    state_->running_.reset();
    state_->queue_.clear();
    state_->close();
    state_->timer_.cancel();
}

void HttpChannel::call(HttpCall call, Handler handler)
{
    state_->queue_.push_back({ std::move(call), std::move(handler) });
    state_->startNext();
}

void HttpChannel::reset()
{
    if (state_->running_)
        state_->fail("connection reset by this host");
    else
        state_->close();
}

} // namespace turmericwing::gateway
