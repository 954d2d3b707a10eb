// SocketLoop on top of websocketpp. Compiled as C++17, because websocketpp 0.8.2 repeats template arguments
// in constructor names, which C++20 forbids.
#include "socket.h"

#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include <map>

namespace turmericwing::peer::detail {

namespace {

    using Server = websocketpp::server<websocketpp::config::asio>;
    using Client = websocketpp::client<websocketpp::config::asio_client>;
    using ErrorCode = websocketpp::lib::error_code;

    constexpr long handshakeTimeoutMs = 1500;
    // Limit until setMaxMessageBytes() raises it: an unauthenticated peer sends only small handshake
    // messages.
    constexpr size_t initialMaxMessageBytes = 1024;

    // Exactly one of the two pointers is set.
    struct Connection {
        Server::connection_ptr inbound_;
        Client::connection_ptr outbound_;
    };

    template <typename F> auto visitConnection(const Connection& connection, F&& function)
    {
        return connection.inbound_ ? function(*connection.inbound_) : function(*connection.outbound_);
    }

} // namespace

struct SocketLoop::State {
    explicit State(SocketEvents events)
        : events_(std::move(events))
    {
        configureEndpoint(server_);
        configureEndpoint(client_);
        server_.set_reuse_addr(true);
        server_.set_validate_handler([this](const websocketpp::connection_hdl& handle) {
            Connection connection { server_.get_con_from_hdl(handle), nullptr };
            const SocketId id = registerConnection(connection, *connection.inbound_);
            connection.inbound_->set_open_handler([this, id](auto) {
                if (connections_.count(id) != 0)
                    events_.onOpen_(id, true);
            });
            return true;
        });
    }

    template <typename Endpoint> void configureEndpoint(Endpoint& endpoint)
    {
        endpoint.clear_access_channels(websocketpp::log::alevel::all);
        endpoint.clear_error_channels(websocketpp::log::elevel::all);
        endpoint.init_asio(&io_);
        endpoint.set_open_handshake_timeout(handshakeTimeoutMs);
        endpoint.set_tcp_post_init_handler([&endpoint](const websocketpp::connection_hdl& handle) {
            ErrorCode error;
            if (auto connection = endpoint.get_con_from_hdl(handle, error)) {
                boost::system::error_code ignored;
                connection->get_raw_socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
            }
        });
    }

    template <typename C> SocketId registerConnection(const Connection& connection, C& implementation)
    {
        const SocketId id = ++lastId_;
        connections_[id] = connection;
        implementation.set_max_message_size(initialMaxMessageBytes);
        implementation.set_message_handler([this, id](auto, const auto& message) {
            if (connections_.count(id) != 0)
                events_.onMessage_(id, message->get_payload());
        });
        implementation.set_pong_handler([this, id](auto, const std::string&) {
            if (connections_.count(id) != 0)
                events_.onPong_(id);
        });
        implementation.set_close_handler([this, id](auto) { handleClose(id); });
        implementation.set_fail_handler([this, id](auto) { handleClose(id); });
        return id;
    }

    void handleClose(SocketId id)
    {
        if (connections_.erase(id) != 0)
            events_.onClose_(id);
    }

    // Declared first so that it is destroyed last: the endpoints and connections use it in their destructors.
    boost::asio::io_service io_;
    SocketEvents events_;
    SocketId lastId_ = 0;
    std::map<SocketId, Connection> connections_;
    Server server_;
    Client client_;
    bool stopping_ = false;
};

SocketLoop::SocketLoop(SocketEvents events)
    : state_(std::make_unique<State>(std::move(events)))
{
}

SocketLoop::~SocketLoop() = default;

int SocketLoop::listen(const std::string& ip, int port, std::string& error)
{
    boost::system::error_code addressError;
    const auto address = boost::asio::ip::make_address(ip, addressError);
    if (addressError) {
        error = addressError.message();
        return 0;
    }
    ErrorCode code;
    state_->server_.listen(boost::asio::ip::tcp::endpoint(address, static_cast<uint16_t>(port)), code);
    if (!code)
        state_->server_.start_accept(code);
    if (code) {
        error = code.message();
        return 0;
    }
    boost::system::error_code endpointError;
    return state_->server_.get_local_endpoint(endpointError).port();
}

SocketId SocketLoop::connect(const std::string& address)
{
    ErrorCode error;
    Connection connection { nullptr, state_->client_.get_connection("ws://" + address + "/peer", error) };
    if (error)
        return 0;
    const SocketId id = state_->registerConnection(connection, *connection.outbound_);
    connection.outbound_->set_open_handler([state = state_.get(), id](auto) {
        if (state->connections_.count(id) != 0)
            state->events_.onOpen_(id, false);
    });
    state_->client_.connect(connection.outbound_);
    return id;
}

void SocketLoop::setMaxMessageBytes(SocketId id, size_t bytes)
{
    const auto it = state_->connections_.find(id);
    if (it != state_->connections_.end())
        visitConnection(it->second, [&](auto& connection) { connection.set_max_message_size(bytes); });
}

bool SocketLoop::send(SocketId id, const std::string& payload)
{
    const auto it = state_->connections_.find(id);
    return it != state_->connections_.end() && visitConnection(it->second, [&](auto& connection) {
        return !connection.send(payload, websocketpp::frame::opcode::binary);
    });
}

void SocketLoop::ping(SocketId id)
{
    const auto it = state_->connections_.find(id);
    if (it == state_->connections_.end())
        return;
    ErrorCode ignored;
    visitConnection(it->second, [&](auto& connection) { connection.ping({}, ignored); });
}

size_t SocketLoop::bufferedBytes(SocketId id) const
{
    const auto it = state_->connections_.find(id);
    return it == state_->connections_.end()
        ? 0
        : visitConnection(it->second, [](auto& connection) { return connection.get_buffered_amount(); });
}

void SocketLoop::close(SocketId id)
{
    const auto it = state_->connections_.find(id);
    if (it == state_->connections_.end())
        return;
    const Connection connection = it->second;
    state_->connections_.erase(it);
    // Posted, because a connection must not be terminated from within one of its own handlers.
    state_->io_.post([connection] {
        visitConnection(connection, [](auto& implementation) {
            implementation.terminate(websocketpp::error::make_error_code(websocketpp::error::general));
        });
    });
}

void SocketLoop::callAfter(std::chrono::milliseconds delay, std::function<void()> task)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(state_->io_, delay);
    timer->async_wait(
        [state = state_.get(), timer, task = std::move(task)](const boost::system::error_code& error) {
            if (!error && !state->stopping_)
                task();
        });
}

void SocketLoop::post(std::function<void()> task) { state_->io_.post(std::move(task)); }

void SocketLoop::run()
{
    boost::asio::io_service::work work(state_->io_);
    state_->io_.run();
}

void SocketLoop::stop()
{
    post([this] {
        state_->stopping_ = true;
        ErrorCode ignored;
        if (state_->server_.is_listening())
            state_->server_.stop_listening(ignored);
        while (!state_->connections_.empty())
            close(state_->connections_.begin()->first);
        // Posted after the terminations above, so that the peers' connections are closed before the loop
        // stops.
        post([this] { state_->io_.stop(); });
    });
}

void SocketLoop::runQueuedTasks()
{
    state_->io_.restart();
    state_->io_.poll();
}

} // namespace turmericwing::peer::detail
