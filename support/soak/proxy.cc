// Loopback TCP proxy on Boost.Asio. All of its state is accessed only on the thread of its event loop.
#include "proxy.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <vector>

namespace turmericwing::soak {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

    constexpr auto chunkDelay = std::chrono::milliseconds(120); ///< A few round trips between regions.
    /// How often a blocked chunk checks whether the fault has ended.
    constexpr auto blockedPollInterval = std::chrono::milliseconds(20);

    /// One direction of a proxied connection.
    struct Direction {
        explicit Direction(asio::io_context& loop)
            : timer_(loop)
        {
        }

        std::array<char, 16384> buffer_ {};
        asio::steady_timer timer_;
    };

    /// The client's connection and the matching connection to the target.
    struct ProxiedConnection {
        ProxiedConnection(asio::io_context& loop, tcp::socket client)
            : client_(std::move(client))
            , target_(loop)
            , toTarget_(loop)
            , toClient_(loop)
        {
        }

        tcp::socket client_;
        tcp::socket target_;
        Direction toTarget_;
        Direction toClient_;
        bool stalled_ = false; ///< Set for the rest of the connection's life.

        void close(bool reset)
        {
            error_code ignored; // The connection is closed in any case.
            for (tcp::socket* socket : { &client_, &target_ }) {
                if (reset && socket->is_open())
                    socket->set_option(asio::socket_base::linger(true, 0), ignored);
                socket->close(ignored);
            }
            toTarget_.timer_.cancel();
            toClient_.timer_.cancel();
        }
    };

    using ConnectionPtr = std::shared_ptr<ProxiedConnection>;

} // namespace

struct Proxy::State : std::enable_shared_from_this<State> {
    State(asio::io_context& loop, uint16_t targetPort)
        : loop_(loop)
        , acceptor_(loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , target_(asio::ip::address_v4::loopback(), targetPort)
    {
    }

    asio::io_context& loop_;
    tcp::acceptor acceptor_;
    const tcp::endpoint target_;
    LinkFault fault_ = LinkFault::None;
    std::vector<std::weak_ptr<ProxiedConnection>> connections_;

    void accept();
    void connect(const ConnectionPtr&);
    void readChunk(const ConnectionPtr&, bool toTarget);
    void writeChunk(const ConnectionPtr&, bool toTarget, size_t size);
    bool isBlocked(const ProxiedConnection& connection, bool toTarget) const
    {
        return connection.stalled_ || fault_ == LinkFault::Silent
            || (fault_ == LinkFault::OneWay && !toTarget);
    }
    void applyFault(LinkFault);
};

void Proxy::State::accept()
{
    acceptor_.async_accept([self = shared_from_this()](error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (!error) {
            const auto connection = std::make_shared<ProxiedConnection>(self->loop_, std::move(socket));
            std::erase_if(self->connections_, [](const auto& known) { return known.expired(); });
            self->connections_.push_back(connection);
            if (self->fault_ == LinkFault::Reset)
                connection->close(true);
            else
                self->connect(connection);
        }
        self->accept();
    });
}

void Proxy::State::connect(const ConnectionPtr& connection)
{
    connection->target_.async_connect(target_, [self = shared_from_this(), connection](error_code error) {
        if (error)
            return connection->close(true);
        self->readChunk(connection, true);
        self->readChunk(connection, false);
    });
}

void Proxy::State::readChunk(const ConnectionPtr& connection, bool toTarget)
{
    Direction& direction = toTarget ? connection->toTarget_ : connection->toClient_;
    tcp::socket& from = toTarget ? connection->client_ : connection->target_;
    from.async_read_some(asio::buffer(direction.buffer_),
        [self = shared_from_this(), connection, toTarget](error_code error, size_t size) {
            if (error && !self->isBlocked(*connection, toTarget))
                return connection->close(error != asio::error::eof);
            if (!error)
                self->writeChunk(connection, toTarget, size);
        });
}

void Proxy::State::writeChunk(const ConnectionPtr& connection, bool toTarget, size_t size)
{
    Direction& direction = toTarget ? connection->toTarget_ : connection->toClient_;
    const bool blocked = isBlocked(*connection, toTarget);
    const auto write = [self = shared_from_this(), connection, toTarget, size] {
        tcp::socket& to = toTarget ? connection->target_ : connection->client_;
        const Direction& source = toTarget ? connection->toTarget_ : connection->toClient_;
        asio::async_write(
            to, asio::buffer(source.buffer_, size), [self, connection, toTarget](error_code error, size_t) {
                if (error)
                    return connection->close(true);
                self->readChunk(connection, toTarget);
            });
    };
    if (!blocked && fault_ != LinkFault::Delayed)
        return write();
    direction.timer_.expires_after(blocked ? std::chrono::milliseconds(blockedPollInterval) : chunkDelay);
    direction.timer_.async_wait(
        [self = shared_from_this(), connection, toTarget, size, blocked, write](error_code cancelled) {
            if (cancelled)
                return;
            if (blocked)
                self->writeChunk(connection, toTarget, size);
            else
                write();
        });
}

void Proxy::State::applyFault(LinkFault fault)
{
    fault_ = fault;
    for (const auto& known : connections_) {
        const ConnectionPtr connection = known.lock();
        if (connection && fault == LinkFault::Reset)
            connection->close(true);
        if (connection && fault == LinkFault::Silent)
            connection->stalled_ = true;
    }
}

Proxy::Proxy(asio::io_context& loop, uint16_t targetPort)
    : state_(std::make_shared<State>(loop, targetPort))
{
    asio::post(loop, [state = state_] { state->accept(); });
}

Proxy::~Proxy()
{
    asio::post(state_->loop_, [state = state_] {
        error_code ignored; // The listener is no longer needed.
        state->acceptor_.close(ignored);
        state->applyFault(LinkFault::Reset);
    });
}

uint16_t Proxy::port() const { return state_->acceptor_.local_endpoint().port(); }

void Proxy::setFault(LinkFault fault)
{
    asio::post(state_->loop_, [state = state_, fault] { state->applyFault(fault); });
}

} // namespace turmericwing::soak
