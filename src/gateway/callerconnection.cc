// Reads requests from a connection, runs those that may overlap side by side, and writes the responses in
// order.
#include "callerconnection.h"

#include "parsing.h"
#include "tcpoptions.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace turmericwing::gateway::detail {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr size_t readBytes = 65536;
/// Read at a time outside bodies, which have claimed their room.
constexpr size_t smallReadBytes = 16384;
constexpr size_t maxWriteBytes = 65536; ///< Passed to the system at a time.
constexpr size_t maxReadAhead = 16384; ///< Bytes behind an unanswered request above which reading pauses.
/// Time for the request of a caller that was accepted as the listener stopped.
constexpr auto lastRequestTimeout = std::chrono::milliseconds(200);
/// Time for a caller to read the last response and close.
constexpr auto lingerTimeout = std::chrono::seconds(1);
constexpr auto roomRetryInterval = std::chrono::milliseconds(100);
/// Between two looks at a connection from which nothing is read for now.
constexpr auto pauseCheckInterval = std::chrono::milliseconds(250);
/// Longest wait of a request for room; beyond it, another host is the better choice.
constexpr auto roomTimeout = std::chrono::seconds(5);
constexpr const char* refusedRetryAfter = "1"; ///< Seconds.

/// Shared by all connections of the event loop; its content is copied before the next read.
std::array<char, readBytes> readBuffer;

/// One request of a connection, as its handler sees it.
class PipelinedExchange : public Exchange {
public:
    PipelinedExchange(std::shared_ptr<Connection> connection, uint64_t number)
        : connection_(std::move(connection))
        , number_(number)
    {
    }
    ~PipelinedExchange() override { connection_->onDropped(number_); }

    void respond(Response response) override { connection_->respond(number_, std::move(response)); }
    bool beginResponse(Response head, uint64_t bodyBytes) override
    {
        return connection_->beginResponse(number_, std::move(head), bodyBytes);
    }
    void sendPart(Body part, std::function<void()> onSent) override
    {
        connection_->sendPart(number_, std::move(part), std::move(onSent));
    }
    void abandonResponse() override { connection_->abandonResponse(number_); }
    void onCallerGone(std::function<void()> handler) override
    {
        connection_->onCallerGone(number_, std::move(handler));
    }
    bool isCallerGone() override { return connection_->isCallerGone(); }

private:
    const std::shared_ptr<Connection> connection_;
    const uint64_t number_;
};

Connection::Connection(std::shared_ptr<Listener::State> owner, tcp::socket socket)
    : owner_(std::move(owner))
    , socket_(std::move(socket))
    , timer_(owner_->loop_)
    , windowBytes_(owner_->options_.windowBytes_)
    , reader_(owner_->options_.memory_, [this] { reject(503); })
{
    owner_->connections_.insert(this);
    owner_->options_.memory_->onUnread_.emplace(reader_.number(), [this] { endUnread(); });
    owner_->options_.memory_->host_.windowBytes_ += windowBytes_;
}

Connection::~Connection()
{
    owner_->forget(this);
    owner_->options_.memory_->onUnread_.erase(reader_.number());
}

void Connection::start()
{
    beginIdle();
    waitReadable();
}

bool Connection::isIdle() const
{
    error_code error;
    return phase_ == Phase::Open && replies_.empty() && reader_.state() == RequestReader::State::Idle
        && reader_.keptBytes() == 0 && (socket_.available(error) == 0 || error);
}

std::optional<TimePoint> Connection::quietSince() const
{
    if (phase_ != Phase::Open || !replies_.empty())
        return std::nullopt;
    // A request that waits for room waits for this host, not for its caller.
    if (reader_.state() == RequestReader::State::Waiting)
        return std::nullopt;
    if (reader_.state() != RequestReader::State::Idle)
        return reader_.progressAt();
    return isIdle() ? std::optional(idleSince_) : std::nullopt;
}

bool Connection::isCallerGone()
{
    return phase_ == Phase::Closed || peekSocket(socket_) == PeekResult::Ended;
}

void Connection::startTimer(Duration time)
{
    timer_.expires_after(time);
    // While a request waits for room, nothing else keeps the connection.
    timer_.async_wait([self = shared_from_this()](error_code cancelled) {
        if (!cancelled)
            self->onTimer();
    });
}

void Connection::onTimer()
{
    // The timer was set again after this expiry had been queued.
    if (std::chrono::steady_clock::now() < timer_.expiry())
        return;
    const auto state = reader_.state();
    if (phase_ == Phase::Lingering)
        return close();
    if (phase_ == Phase::Closed)
        return;
    if (isPaused() && hasPeerClosed(socket_.native_handle()))
        return onDisconnect();
    if (state == RequestReader::State::Waiting) {
        readOn({});
        return readOrPause();
    }
    if (state == RequestReader::State::Head || state == RequestReader::State::Body)
        return reject(408);
    if (replies_.empty())
        return close();
    readOrPause();
}

/// Whether bytes that have been received are not read for now, with those that tell of the connection's end.
bool Connection::isPaused() const { return phase_ == Phase::Open && readSize() == 0; }

void Connection::close()
{
    if (phase_ == Phase::Closed)
        return;
    phase_ = Phase::Closed;
    owner_->forget(this);
    timer_.cancel();
    error_code ignored; // The connection is closed regardless.
    socket_.shutdown(tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
    reader_.clear();
    pipeline_.requests_.clear();
    replies_.clear();
}

/// Waits for the first byte of a request.
void Connection::beginIdle()
{
    countWindow(owner_->options_.windowBytes_);
    idleSince_ = monotonicNow();
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

/// Whether bytes that arrive are parsed, and not only kept behind unanswered requests.
bool Connection::mayParse() const { return phase_ == Phase::Open && mayReadNext(pipeline_); }

/// Returns how many bytes to read; 0 pauses reading, to bound memory.
size_t Connection::readSize() const
{
    if (phase_ == Phase::Lingering)
        return readBytes;
    const auto state = reader_.state();
    if (state == RequestReader::State::Waiting)
        return 0;
    if (state == RequestReader::State::Body)
        return readBytes;
    if (replies_.empty() || state == RequestReader::State::Head)
        return smallReadBytes;
    if (!hasRoomToReadAhead(*owner_->options_.memory_, maxReadAhead))
        return 0;
    return maxReadAhead - std::min(maxReadAhead, reader_.keptBytes());
}

void Connection::onReadable(error_code error)
{
    const size_t most = readSize();
    // A caller that pauses is still noticed when it leaves, if it has sent nothing since.
    if (!error && most == 0 && peekSocket(socket_) != PeekResult::Ended)
        return readOrPause();
    size_t size = 0;
    if (!error)
        size = socket_.read_some(asio::buffer(readBuffer.data(), std::max<size_t>(most, 1)), error);
    if (error == asio::error::would_block)
        return waitReadable();
    if (error)
        return onDisconnect();
    const std::string_view bytes(readBuffer.data(), size);
    if (mayParse())
        readOn(bytes);
    else if (phase_ != Phase::Lingering)
        reader_.keep(bytes);
    readOrPause();
}

/// Reads on. While nothing may be read, looks from time to time whether the caller has left.
void Connection::readOrPause()
{
    if (phase_ == Phase::Closed)
        return;
    if (readSize() > 0)
        return waitReadable();
    // One that waits for room has a timer already.
    if (reader_.state() != RequestReader::State::Waiting)
        startTimer(pauseCheckInterval);
}

/// Parses what was read, and starts the requests that are complete.
void Connection::readOn(std::string_view bytes)
{
    const CallerLimits limits = owner_->options_.limits_();
    for (bool more = true; more;) {
        const auto before = reader_.state();
        const bool isComplete = reader_.read(bytes, limits, monotonicNow()) == RequestReader::State::Complete;
        onReadState(before, limits);
        more = isComplete && mayParse() && reader_.keptBytes() > 0;
        bytes = {};
    }
    if (phase_ == Phase::Open && reader_.state() == RequestReader::State::Idle && !replies_.empty())
        timer_.cancel();
}

void Connection::onReadState(RequestReader::State before, const CallerLimits& limits)
{
    switch (reader_.state()) {
    case RequestReader::State::Idle:
        return;
    case RequestReader::State::Head:
        // The head timeout counts from the first byte.
        if (before == RequestReader::State::Idle)
            startTimer(limits.headerTimeout_);
        return;
    case RequestReader::State::Body:
        // A body may take any time, with at most the idle timeout between two parts.
        startTimer(limits.idleTimeout_);
        if (reader_.bodyClaim() > wideWindowBytes)
            widenWindow();
        sendContinue();
        return waitReadable();
    case RequestReader::State::Waiting:
        return awaitRoom(before);
    case RequestReader::State::Complete:
        return addRequest();
    case RequestReader::State::Failed:
        return reject(reader_.status());
    }
}

void Connection::awaitRoom(RequestReader::State before)
{
    const TimePoint now = monotonicNow();
    if (before != RequestReader::State::Waiting)
        roomUntil_ = now + roomTimeout;
    if (now >= roomUntil_)
        return reject(503);
    startTimer(roomRetryInterval);
}

/// Lets the caller send the body that it holds back, unless responses to earlier requests come first.
void Connection::sendContinue()
{
    if (!replies_.empty() || !reader_.takeContinue())
        return;
    static constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
    error_code error;
    asio::write(socket_, asio::buffer(interim), error);
    // A caller that does not read its responses sends its body after a wait of its own.
    if (error && error != asio::error::would_block)
        onDisconnect();
}

/// Lets the system receive more while a large body arrives.
void Connection::widenWindow()
{
    if (hasWideWindow_)
        return;
    hasWideWindow_ = true;
    setReceiveWindow(socket_.native_handle(), wideWindowBytes);
    countWindow(wideWindowBytes);
}

/// Ends that with the body. It counts on: as much may have been received behind the body, and stays until the
/// request has been answered.
void Connection::narrowWindow()
{
    if (std::exchange(hasWideWindow_, false))
        setReceiveWindow(socket_.native_handle(), owner_->options_.windowBytes_);
}

void Connection::countWindow(size_t bytes)
{
    owner_->options_.memory_->host_.windowBytes_ += bytes - windowBytes_;
    windowBytes_ = bytes;
}

void Connection::addRequest()
{
    timer_.cancel();
    narrowWindow();
    Request request = reader_.take();
    const uint64_t number = ++lastNumber_;
    pipeline_.requests_.push_back({ .number_ = number,
        .mayOverlap_ = owner_->options_.mayOverlap_(request),
        .isLast_ = !reader_.keepAlive() });
    Reply& reply = replies_[number];
    reply.isHeadMethod_ = request.method_ == "HEAD";
    reply.request_ = std::move(request);
    startNext();
}

void Connection::startNext()
{
    for (const uint64_t number : startRequests(pipeline_, owner_->closeAfterAnswers_)) {
        // The answer to an earlier one may have closed the connection.
        Reply* reply = findReply(number);
        if (!reply || !reply->request_)
            continue;
        Request request = std::move(*reply->request_);
        reply->request_.reset();
        owner_->options_.handler_(
            std::move(request), std::make_shared<PipelinedExchange>(shared_from_this(), number));
    }
}

/// Refuses a request that has not been handled. The connection closes after this response, which follows
/// those to earlier requests.
void Connection::reject(unsigned status)
{
    timer_.cancel();
    reader_.clear();
    Response response { .status_ = status };
    if (status == 503)
        response.headers_.push_back({ "Retry-After", refusedRetryAfter });
    const uint64_t number = ++lastNumber_;
    pipeline_.requests_.push_back({ .number_ = number, .isLast_ = true, .isStarted_ = true });
    replies_[number].response_ = std::move(response);
    sendNext();
}

Reply* Connection::findReply(uint64_t number)
{
    const auto known = replies_.find(number);
    return known == replies_.end() ? nullptr : &known->second;
}

void Connection::onCallerGone(uint64_t number, std::function<void()> handler)
{
    Reply* reply = findReply(number);
    if (reply && (!reply->response_ || reply->isBegun_))
        reply->callerGoneHandler_ = std::move(handler);
}

void Connection::respond(uint64_t number, Response response)
{
    Reply* reply = findReply(number);
    if (!reply || reply->response_)
        return;
    reply->callerGoneHandler_ = nullptr;
    reply->response_ = std::move(response);
    sendNext();
}

bool Connection::beginResponse(uint64_t number, Response head, uint64_t bodyBytes)
{
    Reply* reply = findReply(number);
    // One that breaks off resets the connection, with all other requests on it.
    if (!reply || reply->response_ || pipeline_.requests_.size() != 1)
        return false;
    pipeline_.requests_.front().mayOverlap_ = false;
    head.headers_.push_back({ "Content-Length", std::to_string(bodyBytes) });
    head.body_.clear();
    if (reply->isHeadMethod_ || bodyBytes == 0) {
        respond(number, std::move(head));
        return true;
    }
    reply->response_ = std::move(head);
    reply->isBegun_ = true;
    reply->remainingBodyBytes_ = bodyBytes;
    return true;
}

void Connection::sendPart(uint64_t number, Body part, std::function<void()> onSent)
{
    Reply* reply = findReply(number);
    if (!reply || !reply->isBegun_)
        return;
    part.truncate(std::min<uint64_t>(part.size(), reply->remainingBodyBytes_));
    reply->remainingBodyBytes_ -= part.size();
    reply->part_ = std::move(part);
    reply->onSent_ = std::move(onSent);
    sendNext();
}

void Connection::abandonResponse(uint64_t number)
{
    Reply* reply = findReply(number);
    if (!reply || !reply->isBegun_)
        return;
    reply->callerGoneHandler_ = nullptr;
    reply->isAbandoned_ = true;
    sendNext();
}

void Connection::onDropped(uint64_t number)
{
    Reply* reply = findReply(number);
    if (!reply || (reply->response_ && !reply->isBegun_) || reply->isAbandoned_)
        return;
    if (reply->isBegun_ && reply->remainingBodyBytes_ == 0)
        return;
    reply->callerGoneHandler_ = nullptr;
    // Not at once: the handlers of the other requests must not run while an exchange is being destroyed.
    asio::post(owner_->loop_, [self = shared_from_this()] {
        if (self->phase_ != Phase::Closed)
            self->onDisconnect();
    });
}

/// Sends what the request in turn has got, if nothing is being sent.
void Connection::sendNext()
{
    if (phase_ != Phase::Open || replies_.empty())
        return;
    Reply& reply = replies_.begin()->second;
    if (reply.isAbandoned_) {
        // A shutdown first would end the connection in order.
        resetOnClose(socket_);
        error_code ignored;
        socket_.close(ignored);
        return onDisconnect();
    }
    if (writing_ || !reply.response_)
        return;
    if (!reply.isBegun_)
        sendResponse(reply);
    else if (reply.part_)
        sendBegun(reply);
}

void Connection::sendResponse(Reply& reply)
{
    Response response = std::move(*reply.response_);
    closeAfterWrite_ = closesAfterFirst(pipeline_, owner_->closeAfterAnswers_);
    outgoingHead_ = responseHead(response, closeAfterWrite_);
    outgoingBody_ = reply.isHeadMethod_ ? Body() : std::move(response.body_);
    outgoingHold_ = std::move(response.hold_);
    write();
}

void Connection::sendBegun(Reply& reply)
{
    if (!reply.isHeadSent_) {
        reply.closes_ = closesAfterFirst(pipeline_, owner_->closeAfterAnswers_);
        outgoingHead_ = responseHead(*reply.response_, reply.closes_);
        reply.isHeadSent_ = true;
    }
    outgoingBody_ = std::move(*reply.part_);
    reply.part_.reset();
    write();
}

void Connection::write()
{
    writing_ = true;
    AnswerBudget& answers = *owner_->options_.memory_->answers_;
    beginSending(answers, reader_.number(), monotonicNow());
    // Called after each write of a part, before the next.
    const auto onProgress
        = [&answers, number = reader_.number()](error_code error, size_t sentBytes) -> size_t {
        recordSent(answers, number, sentBytes, monotonicNow());
        return error ? 0 : maxWriteBytes;
    };
    asio::async_write(socket_, messageBuffers(outgoingHead_, &outgoingBody_), onProgress,
        [self = shared_from_this()](error_code error, size_t) { self->onWritten(error); });
}

/// Ends an answer that the caller does not read, in favour of others.
void Connection::endUnread()
{
    if (phase_ == Phase::Closed)
        return;
    resetOnClose(socket_);
    error_code ignored; // A shutdown first would end the connection in order.
    socket_.close(ignored);
    onDisconnect();
    // A write that has been cancelled does not use its buffers any more.
    freeOutgoing();
}

void Connection::freeOutgoing()
{
    endSending(*owner_->options_.memory_->answers_, reader_.number());
    freeText(outgoingHead_);
    outgoingBody_.clear();
    outgoingHold_ = nullptr;
}

void Connection::onWritten(error_code error)
{
    writing_ = false;
    freeOutgoing();
    if (phase_ == Phase::Closed)
        return;
    if (error)
        return onDisconnect();
    Reply& reply = replies_.begin()->second;
    if (reply.isAbandoned_)
        return sendNext();
    if (reply.isBegun_)
        return onPartWritten(reply);
    finishReply(closeAfterWrite_);
}

void Connection::onPartWritten(Reply& reply)
{
    if (reply.remainingBodyBytes_ == 0)
        return finishReply(reply.closes_);
    const auto onSent = std::move(reply.onSent_);
    if (onSent)
        onSent();
}

/// Goes on after the complete response to the first request.
void Connection::finishReply(bool close)
{
    replies_.erase(replies_.begin());
    pipeline_.requests_.pop_front();
    if (close)
        return linger();
    startNext();
    sendNext();
    if (phase_ == Phase::Open && replies_.empty() && reader_.state() == RequestReader::State::Idle)
        beginIdle();
    if (mayParse() && reader_.keptBytes() > 0)
        readOn({});
    if (phase_ != Phase::Open)
        return;
    sendContinue();
    if (phase_ != Phase::Closed)
        waitReadable();
}

/// Shuts down sending and waits for the caller to close: closing a socket with unread bytes resets the
/// connection, and the caller could lose the response. Requests behind the response count as not read.
void Connection::linger()
{
    phase_ = Phase::Lingering;
    reader_.clear();
    pipeline_.requests_.clear();
    replies_.clear();
    error_code ignored; // Fails if the caller has closed already.
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    startTimer(lingerTimeout);
    waitReadable();
}

/// Closes and tells the handlers of unanswered requests, as nobody waits for their answers.
void Connection::onDisconnect()
{
    std::vector<std::function<void()>> handlers;
    for (auto& [number, reply] : replies_) {
        if (reply.callerGoneHandler_)
            handlers.push_back(std::move(reply.callerGoneHandler_));
    }
    close();
    for (const auto& handler : handlers)
        handler();
}

} // namespace turmericwing::gateway::detail
