// Connection handling of the HTTP server for simulated services.
#include "server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <condition_variable>
#include <csignal>
#include <functional>

namespace turmericwing::standin {

namespace detail {

    thread_local Connection* threadConnection = nullptr;

    constexpr int idlePollMs = 100;
    constexpr int ioTimeoutMs = 10'000;

    // A cpp-httplib worker serves one connection until it closes, so with a fixed number of threads
    // keep-alive connections of many hosts would starve the others.
    class ThreadPerConnection : public httplib::TaskQueue {
    public:
        void enqueue(std::function<void()> task) override
        {
            {
                std::lock_guard lock(mutex_);
                ++running_;
            }
            std::thread([this, task = std::move(task)] {
                task();
                std::lock_guard lock(mutex_);
                --running_;
                ended_.notify_all();
            }).detach();
        }

        void shutdown() override
        {
            std::unique_lock lock(mutex_);
            ended_.wait(lock, [this] { return running_ == 0; });
        }

    private:
        std::mutex mutex_;
        std::condition_variable ended_;
        size_t running_ = 0;
    };

    /// Waits for poll events. Returns false after the timeout.
    bool waitForEvents(int fd, int16_t events, int timeoutMs)
    {
        pollfd entry { fd, events, 0 };
        return poll(&entry, 1, timeoutMs) > 0;
    }

    /// Buffered stream of cpp-httplib over the socket of a connection.
    class SocketStream : public httplib::Stream {
    public:
        explicit SocketStream(Connection& connection)
            : connection_(connection)
        {
        }

        bool buffered() const { return position_ < size_; }
        bool is_readable() const override
        {
            return buffered() || waitForEvents(connection_.fd_, POLLIN, ioTimeoutMs);
        }
        bool is_writable() const override { return waitForEvents(connection_.fd_, POLLOUT, ioTimeoutMs); }

        ssize_t read(char* out, size_t size) override
        {
            if (!buffered()) {
                if (!is_readable())
                    return -1;
                const ssize_t count = recv(connection_.fd_, buffer_.data(), buffer_.size(), 0);
                if (count <= 0)
                    return count;
                position_ = 0;
                size_ = static_cast<size_t>(count);
            }
            const size_t count = std::min(size, size_ - position_);
            std::copy_n(buffer_.data() + position_, count, out);
            position_ += count;
            return static_cast<ssize_t>(count);
        }

        ssize_t write(const char* data, size_t size) override
        {
            if (connection_.dropped_ || !is_writable())
                return -1;
            return send(connection_.fd_, data, size, MSG_NOSIGNAL);
        }

        void get_remote_ip_and_port(std::string& ip, int& port) const override
        {
            getAddress(getpeername, ip, port);
        }
        void get_local_ip_and_port(std::string& ip, int& port) const override
        {
            getAddress(getsockname, ip, port);
        }
        int socket() const override { return connection_.fd_; }

    private:
        template <typename F> void getAddress(F function, std::string& ip, int& port) const
        {
            sockaddr_in address {};
            socklen_t size = sizeof(address);
            if (function(connection_.fd_, reinterpret_cast<sockaddr*>(&address), &size) != 0)
                return;
            std::array<char, INET_ADDRSTRLEN> text {};
            inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
            ip = text.data();
            port = ntohs(address.sin_port);
        }

        Connection& connection_;
        std::array<char, 16384> buffer_;
        size_t position_ = 0;
        size_t size_ = 0;
    };

} // namespace detail

Server::Server()
{
    new_task_queue = [] { return new detail::ThreadPerConnection; };
    // The default options include SO_REUSEPORT, which would hide that a port is already in use.
    set_socket_options([](int fd) {
        const int on = 1;
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    });
    set_tcp_nodelay(true);
    set_keep_alive_max_count(1'000'000);
}

Server::~Server() { shutDown(); }

int Server::start(const std::string& ip, int port)
{
    if (port == 0)
        port = bind_to_any_port(ip);
    else if (!bind_to_port(ip, port))
        port = 0;
    if (port <= 0)
        return 0;
    // cpp-httplib listens with a backlog of 5; a burst of connections would have to wait for
    // SYN retransmission.
    ::listen(svr_sock_, 1024);
    thread_ = std::thread([this] { listen_after_bind(); });
    while (!is_running())
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    return port;
}

void Server::shutDown()
{
    if (!thread_.joinable())
        return;
    stopping_ = true;
    stop();
    breakConnections();
    thread_.join();
}

void Server::breakConnections()
{
    std::lock_guard lock(mutex_);
    for (const int fd : openSockets_)
        shutdown(fd, SHUT_RDWR);
}

size_t Server::connections() const
{
    std::lock_guard lock(mutex_);
    return openSockets_.size();
}

Connection& Server::currentConnection() { return *detail::threadConnection; }

bool Server::waitUntil(TimePoint deadline)
{
    for (TimePoint now = monotonicNow(); now < deadline; now = monotonicNow()) {
        const auto remainingMs = std::chrono::ceil<std::chrono::milliseconds>(deadline - now).count();
        // poll has a resolution of 1 ms, so the last part is slept through.
        if (remainingMs <= 1) {
            std::this_thread::sleep_for(deadline - now);
            break;
        }
        if (detail::waitForEvents(
                detail::threadConnection->fd_, POLLRDHUP, static_cast<int>(remainingMs - 1)))
            return false;
    }
    return true;
}

bool Server::process_and_close_socket(int fd)
{
    Connection connection { .fd_ = fd, .openedAt_ = monotonicNow() };
    bool accepted = false;
    {
        std::lock_guard lock(mutex_);
        accepted = !stopping_ && (connectionLimit_ == 0 || openSockets_.size() < connectionLimit_);
        if (accepted)
            openSockets_.insert(fd);
        else
            ++refusedConnections_;
    }
    if (accepted) {
        detail::threadConnection = &connection;
        serveConnection(connection);
        detail::threadConnection = nullptr;
        std::lock_guard lock(mutex_);
        openSockets_.erase(fd);
    }
    shutdown(fd, SHUT_RDWR);
    close(fd);
    return true;
}

void Server::serveConnection(Connection& connection)
{
    detail::SocketStream stream(connection);
    while (!stopping_) {
        if (!stream.buffered() && !detail::waitForEvents(connection.fd_, POLLIN, detail::idlePollMs))
            continue;
        bool closed = false;
        if (!process_request(stream, false, closed, nullptr) || closed || connection.dropped_)
            return;
    }
}

} // namespace turmericwing::standin
