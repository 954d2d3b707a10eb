// An upstream that reads and writes the bytes of its connections itself, for answers that an HTTP library
// would not send.
#pragma once

#include "live.h"

namespace turmericwing::gateway::test {

/// A connection whose request head has been read.
struct RawConnection {
    int fd_ = -1;
    std::string requestId_;

    /// Returns whether all bytes were sent.
    bool send(const std::string& bytes) const
    {
        size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t size = ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (size <= 0)
                return false;
            sent += static_cast<size_t>(size);
        }
        return true;
    }

    /// Status line and the fields of an own answer, without the empty line at their end.
    std::string head(const std::string& status = "200 OK") const
    {
        return "HTTP/1.1 " + status + "\r\nX-Attempt-Id: " + requestId_ + "\r\nX-Response-Seal: s\r\n";
    }

    /// Reads until the peer ends the connection, for 10 s at most.
    void readToEnd() const
    {
        char buffer[65536];
        while (recv(fd_, buffer, sizeof(buffer), 0) > 0) { }
    }

    /// Makes the close after the handler a reset.
    void resetAtEnd() const
    {
        const linger now { 1, 0 };
        setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    }
};

/// Reads the head of one request on each connection, calls the handler, and closes the connection.
class RawUpstream {
public:
    using Handler = std::function<void(const RawConnection&)>;

    RawUpstream(standin::RowStore& store, const std::string& id, Handler handler)
        : handler_(std::move(handler))
        , listener_(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        if (bind(listener_, reinterpret_cast<sockaddr*>(&address), size) != 0 || listen(listener_, 64) != 0)
            throw std::runtime_error("cannot listen");
        getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
        store.put("servers", id,
            nlohmann::json { { "service", "s" },
                { "address", "127.0.0.1:" + std::to_string(ntohs(address.sin_port)) }, { "zone", "a1" },
                { "version", "v1" }, { "slots", 4 }, { "state", "ready" }, { "cold_left", "0ms" },
                { "seq", 1 }, { "born", 1 } }
                .dump());
        acceptor_ = std::thread([this] { acceptAll(); });
    }

    ~RawUpstream()
    {
        shutdown(listener_, SHUT_RDWR);
        acceptor_.join();
        close(listener_);
        for (std::thread& thread : threads_)
            thread.join();
    }

    std::atomic<int> requests_ = 0;

private:
    void acceptAll()
    {
        for (int fd = 0; (fd = accept(listener_, nullptr, nullptr)) >= 0;)
            threads_.emplace_back([this, fd] { serve(fd); });
    }

    void serve(int fd)
    {
        const timeval limit { 10, 0 };
        setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
        setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
        std::string head;
        // One byte at a time, so that the body stays unread.
        char byte = 0;
        while (head.find("\r\n\r\n") == std::string::npos && recv(fd, &byte, 1, 0) == 1)
            head += byte;
        const std::string name = "X-Attempt-Id: ";
        const size_t field = head.find(name);
        if (field != std::string::npos) {
            const size_t begin = field + name.size();
            ++requests_;
            handler_({ fd, head.substr(begin, head.find("\r\n", begin) - begin) });
        }
        close(fd);
    }

    const Handler handler_;
    const int listener_;
    std::thread acceptor_;
    std::vector<std::thread> threads_; ///< Of acceptor_ until it has ended.
};

} // namespace turmericwing::gateway::test
