// HTTP/1.1 server on Boost.Asio: accepts the connections of callers.
#include "turmericwing/gateway/listener.h"

#include "callerconnection.h"
#include "tcpoptions.h"

#include <boost/asio/io_context.hpp>

namespace turmericwing::gateway {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace detail {

    /// Of a connection, in the system. What a caller does not read then stands in this process, where it
    /// counts, and a write shows soon whether the caller reads on.
    constexpr size_t maxUnsentBytes = size_t { 32 } << 10;
    constexpr auto acceptRetryDelay = std::chrono::milliseconds(50);
    /// A connection may close in favour of a new one after this time without a request or without progress.
    constexpr auto quietTime = std::chrono::seconds(1);

} // namespace detail

void Listener::State::accept()
{
    if (!makeRoom())
        return acceptLater();
    acceptor_.async_accept([self = shared_from_this()](error_code error, tcp::socket socket) {
        self->onAccepted(error, std::move(socket));
    });
}

void Listener::State::onAccepted(error_code error, tcp::socket socket)
{
    // A connection that was accepted before the listener stopped may have a request.
    if (!error)
        addConnection(std::move(socket));
    if (stopped_)
        return;
    if (!error)
        return accept();
    // Usually a lack of file descriptors, which ends when connections close.
    acceptLater();
}

void Listener::State::acceptLater()
{
    retryTimer_.expires_after(detail::acceptRetryDelay);
    retryTimer_.async_wait([self = shared_from_this()](error_code cancelled) {
        if (!cancelled && !self->stopped_)
            self->accept();
    });
}

void Listener::State::forget(detail::Connection* connection)
{
    if (connections_.erase(connection) > 0)
        options_.memory_->host_.windowBytes_ -= connection->windowBytes();
}

/// Closes the quietest connection if there are as many as allowed, or no memory for another one. Returns
/// whether there is room for one.
bool Listener::State::makeRoom()
{
    if (connections_.size() < options_.maxConnections_ && claimConnection(*options_.memory_, monotonicNow()))
        return true;
    detail::Connection* quietest = nullptr;
    TimePoint quietestSince = monotonicNow() - detail::quietTime;
    for (detail::Connection* connection : connections_) {
        const auto since = connection->quietSince();
        if (!since || *since > quietestSince)
            continue;
        quietest = connection;
        quietestSince = *since;
    }
    if (!quietest)
        return false;
    ++options_.memory_->connectionsClosed_;
    quietest->close();
    return true;
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
    detail::setReceiveWindow(state_->acceptor_.native_handle(), state_->options_.windowBytes_);
    detail::setUnsentLimit(state_->acceptor_.native_handle(), detail::maxUnsentBytes);
    state_->acceptor_.listen(state_->options_.queueLength_, error);
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
