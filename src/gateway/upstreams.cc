// HTTP/1.1 client on Boost.Asio, with the parser of Boost.Beast.
#include "turmericwing/gateway/upstreams.h"

#include "parsing.h"
#include "tcpoptions.h"

#include "turmericwing/base/hash.h"
#include "turmericwing/gateway/answerbudget.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace turmericwing::gateway {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace detail {

    constexpr size_t readBufferBytes = 65536;
    /// Limit of a head, of a chunk's size with its extension, and of a trailer.
    constexpr uint32_t maxAnswerHeadBytes = 65536;
    /// Limit of the fields of an answer, with its trailer. Once parsed, a field takes some 85 bytes beside
    /// its text, which is not counted as held.
    constexpr size_t maxAnswerFields = 256;
    constexpr uint64_t maxFramingRatio = 16; ///< Bytes of chunk framing for each byte of a body.
    /// Smallest part that is passed to a sink, but for the last. Smaller ones cost more system calls.
    constexpr size_t minPartBytes = 16384;
    constexpr int maxSkippedAnswers = 16; ///< Interim answers and answers to other requests, in one call.
    constexpr size_t maxRefusedIds = 64; ///< Refused requests after which a connection is not reused.

    /// Shared by all connections of the event loop; its content is copied before the next read.
    std::array<char, readBufferBytes> answerBuffer;

    using AnswerParser = http::response_parser<BodyStorage>;

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

    /// Whether an answer is followed by another one to the same request (RFC 9110, section 15.2).
    bool isInterim(const http::response<BodyStorage>& message) { return message.result_int() / 100 == 1; }

    /// State of passing the request to the socket.
    enum class RequestWrite { Running, Done, Failed };

    class Call;

    struct IdleConnection {
        tcp::socket socket_;
        TimePoint usableUntil_ {}; ///< The upstream may close the connection soon after.
        /// Hashes of the ids of requests that failed or were refused on it.
        std::vector<uint64_t> refusedIds_;
    };

    /// Whether an idle connection has nothing to read. Otherwise the upstream has closed it, or sent bytes
    /// that belong to no request.
    bool isSilent(IdleConnection& connection)
    {
        return peekSocket(connection.socket_) == PeekResult::Nothing;
    }

} // namespace detail

struct UpstreamClient::State {
    State(asio::io_context& loop, UpstreamOptions options)
        : loop_(loop)
        , options_(std::move(options))
        , answerBudget_(options_.memory_
                  ? options_.memory_->answers_
                  : std::make_shared<AnswerBudget>(AnswerBudget { .limit_ = options_.maxHeldAnswerBytes_ }))
    {
    }

    asio::io_context& loop_;
    const UpstreamOptions options_;
    const std::shared_ptr<AnswerBudget> answerBudget_;
    std::unordered_map<uint64_t, std::weak_ptr<detail::Call>> receivingCalls_; ///< By number.
    uint64_t callCount_ = 0;
    /// By upstream, the most recently used last.
    std::unordered_map<std::string, std::vector<detail::IdleConnection>> idle_;
    uint64_t opened_ = 0;

    /// Takes an idle connection on which no request with this id was refused.
    std::optional<detail::IdleConnection> takeIdle(const std::string& upstream, uint64_t requestId);
    void keep(const std::string& upstream, detail::IdleConnection);
};

namespace detail {

    /// One request on one connection. Lives until its handler has been called or it is cancelled.
    class Call : public std::enable_shared_from_this<Call> {
    public:
        Call(std::shared_ptr<UpstreamClient::State> owner, UpstreamCall call, UpstreamClient::Handler handler)
            : owner_(std::move(owner))
            , call_(std::move(call))
            , handler_(std::move(handler))
            , number_(++owner_->callCount_)
            , socket_(owner_->loop_)
            , timer_(owner_->loop_)
        {
        }

        ~Call() { releaseAnswer(); }
        Call(const Call&) = delete;
        Call& operator=(const Call&) = delete;

        void start();
        void cancel();

    private:
        void connect();
        void write();
        void onWritten(error_code);
        void waitReadable();
        void onReadable(error_code);
        void parse();
        bool holdAnswer();
        void considerSink();
        bool isPartReady() const;
        void passPart();
        void onTaken();
        bool isFramingBounded() const;
        void releaseAnswer();
        void onReadError(error_code);
        void onEnd();
        void failEnded(const std::string& reason);
        bool isOwnAnswer() const;
        void onAnswer();
        Duration idleTimeout(const Headers&) const;
        void resetParser();
        void finish(SendOutcome, Response, const std::string& detail);
        void fail(const std::string& detail);
        void close();
        void abort();
        bool isReusable(const http::response<BodyStorage>&) const;
        Response copyHead(const http::response<BodyStorage>&) const;

        std::shared_ptr<UpstreamClient::State> owner_;
        const UpstreamCall call_;
        UpstreamClient::Handler handler_; ///< Empty once the call has ended.
        const uint64_t number_;
        tcp::socket socket_;
        asio::steady_timer timer_; ///< Limits the connection set-up.
        std::optional<AnswerParser> parser_;
        std::string unparsed_;
        uint64_t receivedBytes_ = 0; ///< Of the answer that is being parsed.
        uint64_t headBytes_ = 0; ///< Of these, those of its head; 0 until the head is complete.
        bool answerBegun_ = false;
        bool connectionEnded_ = false; ///< Not by this host.
        TimePoint connectStarted_ {};
        Duration connectTime_ {};
        bool reused_ = false;
        bool mayHaveSent_ = false; ///< Bytes of the request may have left the host.
        RequestWrite requestWrite_ = RequestWrite::Running;
        bool endSeen_ = false; ///< The upstream has ended its side of the connection.
        bool sinkAsked_ = false;
        bool sinkTakes_ = false; ///< The answer goes to the sink.
        TimePoint partPassedAt_ {};
        Duration sinkTime_ {};
        int skippedAnswers_ = 0;
        bool strayAnswers_ = false; ///< An answer to another request was skipped.
        std::vector<uint64_t> refusedIds_; ///< Of the connection; see IdleConnection.
    };

    void Call::start()
    {
        // Without an id, an answer that was left on a used connection cannot be told from the own one.
        auto idle = call_.echoValue_.empty() ? std::nullopt
                                             : owner_->takeIdle(call_.upstream_, hash64(call_.echoValue_));
        if (!idle)
            return connect();
        socket_ = std::move(idle->socket_);
        refusedIds_ = std::move(idle->refusedIds_);
        reused_ = true;
        write();
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
        setReceiveWindow(socket_.native_handle(), upstreamWindowBytes);
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
        asio::async_write(socket_, messageBuffers(call_.head_, call_.body_.get()),
            [self = shared_from_this()](error_code error, size_t) { self->onWritten(error); });
        waitReadable();
    }

    /// The upstream may answer before it has read the whole body, so a failed write does not end the call;
    /// reading does. An answer that ends with its connection waits for the write.
    void Call::onWritten(error_code error)
    {
        requestWrite_ = error ? RequestWrite::Failed : RequestWrite::Done;
        if (handler_ && endSeen_)
            onEnd();
    }

    void Call::resetParser()
    {
        parser_.emplace();
        parser_->header_limit(maxAnswerHeadBytes);
        parser_->body_limit(owner_->options_.maxHeldAnswerBytes_);
        receivedBytes_ = unparsed_.size();
        headBytes_ = 0;
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
        answerBegun_ = true;
        receivedBytes_ += size;
        unparsed_.append(answerBuffer.data(), size);
        parse();
    }

    /// Parses what was received, and skips interim answers and answers to other requests.
    void Call::parse()
    {
        for (;;) {
            error_code error;
            feedParser(*parser_, unparsed_, error);
            if (error && error != http::error::need_more)
                return fail("answer: " + error.message());
            if (parser_->is_header_done() && !isStatus(parser_->get().result_int()))
                return fail("answer: status " + std::to_string(parser_->get().result_int()));
            if (countFields(parser_->get()) > maxAnswerFields)
                return fail("answer: too many header fields");
            if (!holdAnswer())
                return;
            considerSink();
            if (isPartReady())
                return passPart();
            if (!parser_->is_done())
                return isFramingBounded() ? waitReadable() : fail("answer: chunk framing without end");
            if (isOwnAnswer())
                return onAnswer();
            strayAnswers_ = strayAnswers_ || !isInterim(parser_->get());
            if (++skippedAnswers_ > maxSkippedAnswers)
                return fail(strayAnswers_ ? "answers to other requests" : "too many interim answers");
            resetParser();
            if (unparsed_.empty())
                return waitReadable();
        }
    }

    /// Counts the bytes of the answer, and ends the largest answers while there is no room. Returns whether
    /// this call goes on.
    bool Call::holdAnswer()
    {
        const uint64_t bodyBytes = parser_->get().body().size();
        if (headBytes_ == 0 && parser_->is_header_done())
            headBytes_ = receivedBytes_ - std::min(receivedBytes_, bodyBytes + unparsed_.size());
        holdUnfinished(*owner_->answerBudget_, number_,
            headBytes_ + parser_->get().body().memoryBytes() + unparsed_.capacity());
        owner_->receivingCalls_.try_emplace(number_, weak_from_this());
        if (owner_->options_.memory_)
            updateAnswerLimit(*owner_->options_.memory_, monotonicNow());
        while (const auto largest = answerToEnd(*owner_->answerBudget_)) {
            if (const auto call = owner_->receivingCalls_[*largest].lock())
                call->fail("answer: no memory for more of it");
            else
                releaseUnfinished(*owner_->answerBudget_, *largest);
        }
        return handler_ != nullptr;
    }

    /// Asks the sink about an answer of which a part has arrived. One that is complete by now gains nothing.
    void Call::considerSink()
    {
        if (sinkAsked_ || !call_.sink_.onHead_ || call_.isHeadMethod_ || parser_->is_done())
            return;
        if (parser_->get().body().size() < minPartBytes || !isOwnAnswer())
            return;
        const auto length = parser_->content_length();
        if (!length || call_.echoValue_.empty())
            return;
        sinkAsked_ = true;
        sinkTakes_ = call_.sink_.onHead_(copyHead(parser_->get()), *length);
    }

    bool Call::isPartReady() const
    {
        return sinkTakes_ && (parser_->is_done() || parser_->get().body().size() >= minPartBytes);
    }

    /// Passes to the sink what has arrived, and ends the call after the last part.
    void Call::passPart()
    {
        Body part = std::exchange(parser_->get().body(), {});
        if (!parser_->is_done()) {
            partPassedAt_ = monotonicNow();
            holdUnfinished(*owner_->answerBudget_, number_,
                part.memoryBytes() + unparsed_.capacity() + upstreamWindowBytes);
            // Nothing else keeps the call while it does not read.
            return call_.sink_.onPart_(std::move(part), [self = shared_from_this()] { self->onTaken(); });
        }
        const auto hold = holdComplete(owner_->answerBudget_, part.memoryBytes());
        call_.sink_.onPart_(std::move(part), [hold] {});
        if (handler_)
            onAnswer();
    }

    void Call::onTaken()
    {
        if (!handler_)
            return;
        sinkTime_ += monotonicNow() - partPassedAt_;
        holdUnfinished(*owner_->answerBudget_, number_, unparsed_.size());
        waitReadable();
    }

    /// Whether the answer's chunk sizes, extensions and trailer are within their bounds.
    bool Call::isFramingBounded() const
    {
        const uint64_t bodyBytes = parser_->get().body().size();
        const uint64_t framingBytes = receivedBytes_ - std::min(receivedBytes_, headBytes_ + bodyBytes);
        return sinkTakes_ || !parser_->is_header_done()
            || (unparsed_.size() <= maxAnswerHeadBytes
                && framingBytes <= readBufferBytes + maxAnswerHeadBytes + maxFramingRatio * bodyBytes);
    }

    void Call::releaseAnswer()
    {
        releaseUnfinished(*owner_->answerBudget_, number_);
        owner_->receivingCalls_.erase(number_);
        parser_.reset();
        freeText(unparsed_);
    }

    void Call::onReadError(error_code error)
    {
        if (error != asio::error::eof || !parser_->is_header_done())
            return failEnded(error.message());
        endSeen_ = true;
        // While the request is being written, a reset may show there only: the first operation that sees the
        // error of a socket consumes it.
        if (requestWrite_ != RequestWrite::Running || !parser_->need_eof())
            onEnd();
    }

    /// Completes an answer without a length, which is complete only if the connection ended cleanly.
    void Call::onEnd()
    {
        error_code parsing;
        parser_->put_eof(parsing);
        if (parsing || !parser_->is_done() || !isOwnAnswer())
            return failEnded(error_code(asio::error::eof).message());
        if (requestWrite_ == RequestWrite::Failed)
            return failEnded("the request could not be written");
        onAnswer();
    }

    void Call::failEnded(const std::string& reason)
    {
        connectionEnded_ = true;
        fail((parser_->is_header_done() ? "answer broke off: " : "no answer: ") + reason);
    }

    /// Whether the complete answer is final and belongs to the request: all its ids, if it has several, are
    /// the request's own, or it has none if the request has none.
    bool Call::isOwnAnswer() const
    {
        const auto& message = parser_->get();
        if (isInterim(message))
            return false;
        const auto [first, last] = message.equal_range(call_.echoName_);
        const bool allOwn = std::all_of(
            first, last, [this](const auto& field) { return field.value() == call_.echoValue_; });
        return allOwn && (first != last || call_.echoValue_.empty());
    }

    void Call::onAnswer()
    {
        auto message = parser_->release();
        Response response = copyHead(message);
        if (message.result_int() >= 400)
            refusedIds_.push_back(hash64(call_.echoValue_));
        if (isReusable(message)) {
            owner_->keep(call_.upstream_,
                { std::move(socket_), monotonicNow() + idleTimeout(response.headers_),
                    std::move(refusedIds_) });
        }
        response.body_ = std::move(message.body());
        releaseAnswer();
        response.hold_ = holdComplete(owner_->answerBudget_, headBytes_ + response.body_.memoryBytes());
        finish(SendOutcome::Answered, std::move(response), {});
    }

    Response Call::copyHead(const http::response<BodyStorage>& message) const
    {
        return { message.result_int(), { message.reason().data(), message.reason().size() },
            copyHeaders(message), {} };
    }

    Duration Call::idleTimeout(const Headers& headers) const
    {
        const auto advertised = keepAliveSeconds(headerValue(headers, "Keep-Alive"));
        if (!advertised)
            return owner_->options_.defaultIdleTimeout_;
        return std::chrono::seconds(*advertised) - owner_->options_.keepAliveMargin_;
    }

    /// Whether the connection can carry another request. Bytes after the answer, or a request body that was
    /// not sent completely, prevent that.
    bool Call::isReusable(const http::response<BodyStorage>& message) const
    {
        return message.keep_alive() && requestWrite_ == RequestWrite::Done && unparsed_.empty()
            && !strayAnswers_ && !call_.echoValue_.empty() && refusedIds_.size() <= maxRefusedIds
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
        if (outcome == SendOutcome::Answered)
            close();
        else
            abort();
        releaseAnswer();
        handler({ outcome, std::move(response), detail, reused_, connectTime_, answerBegun_, connectionEnded_,
            sinkTime_ });
    }

    void Call::cancel()
    {
        handler_ = nullptr;
        abort();
        releaseAnswer();
    }

    /// Closes the connection with a reset. After an ordinary close, the system would go on sending the
    /// request that was given up, for as long as the network is interrupted.
    void Call::abort()
    {
        resetOnClose(socket_);
        close();
    }

    void Call::close()
    {
        timer_.cancel();
        error_code ignored; // A reusable socket was moved to the pool; any other is discarded.
        socket_.close(ignored);
    }

} // namespace detail

std::optional<detail::IdleConnection> UpstreamClient::State::takeIdle(
    const std::string& upstream, uint64_t requestId)
{
    const auto found = idle_.find(upstream);
    if (found == idle_.end())
        return std::nullopt;
    auto& connections = found->second;
    const TimePoint now = monotonicNow();
    for (size_t i = connections.size(); i-- > 0;) {
        // The upstream may repeat a refusal, which would look like the answer to a request with the same id.
        const auto& refused = connections[i].refusedIds_;
        if (std::find(refused.begin(), refused.end(), requestId) != refused.end())
            continue;
        detail::IdleConnection taken = std::move(connections[i]);
        connections.erase(connections.begin() + static_cast<std::ptrdiff_t>(i));
        if (now < taken.usableUntil_ && detail::isSilent(taken))
            return taken;
    }
    return std::nullopt;
}

void UpstreamClient::State::keep(const std::string& upstream, detail::IdleConnection connection)
{
    auto& connections = idle_[upstream];
    if (monotonicNow() >= connection.usableUntil_)
        return;
    if (connections.size() >= options_.maxIdlePerUpstream_)
        connections.erase(connections.begin());
    connections.push_back(std::move(connection));
}

UpstreamClient::UpstreamClient(asio::io_context& loop, UpstreamOptions options)
    : state_(std::make_shared<State>(loop, std::move(options)))
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

uint64_t UpstreamClient::heldAnswerBytes() const { return state_->answerBudget_->heldBytes_; }

} // namespace turmericwing::gateway
