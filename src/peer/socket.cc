// WebSocket connections through websocketpp. Compiled as C++17: websocketpp 0.8.2 repeats the template
// arguments in constructor names, which C++20 forbids.
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
    // Before authentication a peer may send no more than a handshake message.
    constexpr size_t initialMessageLimit = 1024;

    // Exactly one of the two is set.
    struct Connection {
        Server::connection_ptr inbound_;
        Client::connection_ptr outbound_;
    };

    template <typename F> auto with(const Connection& connection, F&& function)
    {
        return connection.inbound_ ? function(*connection.inbound_) : function(*connection.outbound_);
    }

} // namespace

struct SocketLoop::State {
    explicit State(SocketEvents events)
        : events_(std::move(events))
    {
        prepare(server_);
        prepare(client_);
        server_.set_reuse_addr(true);
        server_.set_validate_handler([this](const websocketpp::connection_hdl& handle) {
            Connection connection { server_.get_con_from_hdl(handle), nullptr };
            const SocketId id = add(connection, *connection.inbound_);
            connection.inbound_->set_open_handler([this, id](auto) {
                if (connections_.count(id) != 0)
                    events_.opened_(id, true);
            });
            return true;
        });
    }

    template <typename Endpoint> void prepare(Endpoint& endpoint)
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

    template <typename C> SocketId add(const Connection& connection, C& implementation)
    {
        const SocketId id = ++lastId_;
        connections_[id] = connection;
        implementation.set_max_message_size(initialMessageLimit);
        implementation.set_message_handler([this, id](auto, const auto& message) {
            if (connections_.count(id) != 0)
                events_.message_(id, message->get_payload());
        });
        implementation.set_pong_handler([this, id](auto, const std::string&) {
            if (connections_.count(id) != 0)
                events_.pong_(id);
        });
        implementation.set_close_handler([this, id](auto) { ended(id); });
        implementation.set_fail_handler([this, id](auto) { ended(id); });
        return id;
    }

    void ended(SocketId id)
    {
        if (connections_.erase(id) != 0)
            events_.closed_(id);
    }

    // Declared first, because endpoints and connections refer to it when they are destroyed.
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
    const SocketId id = state_->add(connection, *connection.outbound_);
    connection.outbound_->set_open_handler([state = state_.get(), id](auto) {
        if (state->connections_.count(id) != 0)
            state->events_.opened_(id, false);
    });
    state_->client_.connect(connection.outbound_);
    return id;
}

void SocketLoop::limitMessages(SocketId id, size_t bytes)
{
    const auto it = state_->connections_.find(id);
    if (it != state_->connections_.end())
        with(it->second, [&](auto& connection) { connection.set_max_message_size(bytes); });
}

bool SocketLoop::send(SocketId id, const std::string& payload)
{
    const auto it = state_->connections_.find(id);
    return it != state_->connections_.end() && with(it->second, [&](auto& connection) {
        return !connection.send(payload, websocketpp::frame::opcode::binary);
    });
}

void SocketLoop::ping(SocketId id)
{
    const auto it = state_->connections_.find(id);
    if (it == state_->connections_.end())
        return;
    ErrorCode ignored;
    with(it->second, [&](auto& connection) { connection.ping({}, ignored); });
}

size_t SocketLoop::buffered(SocketId id) const
{
    const auto it = state_->connections_.find(id);
    return it == state_->connections_.end()
        ? 0
        : with(it->second, [](auto& connection) { return connection.get_buffered_amount(); });
}

void SocketLoop::close(SocketId id)
{
    const auto it = state_->connections_.find(id);
    if (it == state_->connections_.end())
        return;
    const Connection connection = it->second;
    state_->connections_.erase(it);
    // Posted, because a connection must not be terminated from within its own handlers.
    state_->io_.post([connection] {
        with(connection, [](auto& implementation) {
            implementation.terminate(websocketpp::error::make_error_code(websocketpp::error::general));
        });
    });
}

void SocketLoop::after(std::chrono::milliseconds delay, std::function<void()> task)
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
        // The terminations posted above run first, so that peers see the connections end.
        post([this] { state_->io_.stop(); });
    });
}

void SocketLoop::drain()
{
    state_->io_.restart();
    state_->io_.poll();
}

} // namespace turmericwing::peer::detail
