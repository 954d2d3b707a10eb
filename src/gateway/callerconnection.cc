// Reads requests from a connection and writes the responses, one request at a time.
#include "callerconnection.h"

#include "tcpoptions.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace turmericwing::gateway::detail {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr size_t readBytes = 65536;
/// Read at a time outside bodies, which have claimed their room.
constexpr size_t smallReadBytes = 16384;
constexpr size_t maxReadAhead = 16384; ///< Bytes behind an unanswered request above which reading pauses.
/// Time for the request of a caller that was accepted as the listener stopped.
constexpr auto lastRequestTimeout = std::chrono::milliseconds(200);
/// Time for a caller to read the last response and close.
constexpr auto lingerTimeout = std::chrono::seconds(1);
constexpr auto roomRetryInterval = std::chrono::milliseconds(100);
/// Longest wait of a request for room; beyond it, another host is the better choice.
constexpr auto roomTimeout = std::chrono::seconds(5);
constexpr const char* refusedRetryAfter = "1"; ///< Seconds.

/// Shared by all connections of the event loop; its content is copied before the next read.
std::array<char, readBytes> readBuffer;

Connection::Connection(std::shared_ptr<Listener::State> owner, tcp::socket socket)
    : owner_(std::move(owner))
    , socket_(std::move(socket))
    , timer_(owner_->loop_)
    , reader_(owner_->options_.memory_, [this] { reject(503); })
{
    owner_->connections_.insert(this);
}

Connection::~Connection() { owner_->connections_.erase(this); }

void Connection::start()
{
    beginRequest();
    waitReadable();
}

bool Connection::isIdle() const
{
    error_code error;
    return phase_ == Phase::Idle && reader_.keptBytes() == 0 && (socket_.available(error) == 0 || error);
}

std::optional<TimePoint> Connection::quietSince() const
{
    if (phase_ == Phase::Reading)
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
    if (phase_ == Phase::Reading && reader_.state() == RequestReader::State::Waiting)
        readOn({});
    else if (phase_ == Phase::Reading)
        reject(408);
    else if (phase_ == Phase::Idle || phase_ == Phase::Lingering)
        close();
}

void Connection::close()
{
    if (phase_ == Phase::Closed)
        return;
    phase_ = Phase::Closed;
    owner_->connections_.erase(this);
    timer_.cancel();
    error_code ignored; // The connection is closed regardless.
    socket_.shutdown(tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
    reader_.clear();
    callerGoneHandler_ = nullptr;
}

void Connection::beginRequest()
{
    phase_ = Phase::Idle;
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

/// Returns how many bytes to read; 0 pauses reading, to bound memory.
size_t Connection::readSize() const
{
    if (phase_ == Phase::Lingering)
        return readBytes;
    if (isReading() && reader_.state() == RequestReader::State::Waiting)
        return 0;
    if (isReading())
        return reader_.state() == RequestReader::State::Body ? readBytes : smallReadBytes;
    if (!hasRoomToReadAhead(owner_->options_.memory_->budget_, maxReadAhead))
        return 0;
    return maxReadAhead - std::min(maxReadAhead, reader_.keptBytes());
}

void Connection::onReadable(error_code error)
{
    const size_t most = readSize();
    // A caller that pauses is still noticed when it leaves, if it has sent nothing since.
    if (!error && most == 0 && peekSocket(socket_) != PeekResult::Ended)
        return;
    size_t size = 0;
    if (!error)
        size = socket_.read_some(asio::buffer(readBuffer.data(), std::max<size_t>(most, 1)), error);
    if (error == asio::error::would_block)
        return waitReadable();
    if (error)
        return onDisconnect();
    const std::string_view bytes(readBuffer.data(), size);
    if (isReading())
        readOn(bytes);
    else if (phase_ != Phase::Lingering)
        reader_.keep(bytes);
    if (phase_ != Phase::Closed && readSize() > 0)
        waitReadable();
}

/// Parses what was read and moves on to what follows from it.
void Connection::readOn(std::string_view bytes)
{
    const CallerLimits limits = owner_->options_.limits_();
    const auto before = reader_.state();
    const auto state = reader_.read(bytes, limits, monotonicNow());
    switch (state) {
    case RequestReader::State::Idle:
        return;
    case RequestReader::State::Head:
        phase_ = Phase::Reading;
        // The head timeout counts from the first byte.
        if (before == RequestReader::State::Idle)
            startTimer(limits.headerTimeout_);
        return;
    case RequestReader::State::Body:
        phase_ = Phase::Reading;
        // A body may take any time, with at most the idle timeout between two parts.
        startTimer(limits.idleTimeout_);
        if (reader_.takeContinue())
            sendContinue();
        return waitReadable();
    case RequestReader::State::Waiting:
        phase_ = Phase::Reading;
        if (before != RequestReader::State::Waiting)
            roomUntil_ = monotonicNow() + roomTimeout;
        return awaitRoom();
    case RequestReader::State::Complete:
        return handle();
    case RequestReader::State::Failed:
        return reject(reader_.status());
    }
}

void Connection::awaitRoom()
{
    if (monotonicNow() >= roomUntil_)
        return reject(503);
    startTimer(roomRetryInterval);
}

void Connection::sendContinue()
{
    static constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
    error_code error;
    asio::write(socket_, asio::buffer(interim), error);
    if (error)
        onDisconnect();
}

void Connection::handle()
{
    timer_.cancel();
    phase_ = Phase::Handling;
    Request request = reader_.take();
    isHeadMethod_ = request.method_ == "HEAD";
    owner_->options_.handler_(std::move(request), shared_from_this());
}

/// Refuses a request that has not been handled, and closes the connection.
void Connection::reject(unsigned status)
{
    reader_.clear();
    isHeadMethod_ = false;
    Response response { .status_ = status };
    if (status == 503)
        response.headers_.push_back({ "Retry-After", refusedRetryAfter });
    write(std::move(response), true);
}

void Connection::respond(Response response)
{
    if (phase_ != Phase::Handling)
        return;
    callerGoneHandler_ = nullptr;
    write(std::move(response), !reader_.keepAlive() || owner_->closeAfterAnswers_);
}

void Connection::beginResponse(Response head, uint64_t bodyBytes)
{
    if (phase_ != Phase::Handling)
        return;
    closeAfterResponse_ = !reader_.keepAlive() || owner_->closeAfterAnswers_;
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
    asio::async_write(
        socket_, buffers, [self = shared_from_this(), onSent = std::move(onSent)](error_code error, size_t) {
            self->onPartWritten(error, onSent);
        });
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
    readOn({});
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

} // namespace turmericwing::gateway::detail
