// Test fixtures: hosts in the test process, a platform stand-in for each, and raw upstreams on loopback
// ports.
#pragma once

#include "turmericwing/base/hash.h"
#include "turmericwing/host/host.h"

#include "platform-server.h"
#include "upstream.h"

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <functional>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace turmericwing::host::test {

inline const std::string key1 = "key-of-workspace-one";
inline const std::string key2 = "key-of-workspace-two";
inline const std::string operatorToken = "operator-token";

/// Polls until `condition` returns true, for at most 40 s; the limit is generous because the machine may be
/// busy.
inline bool eventually(const std::function<bool()>& condition)
{
    for (const TimePoint end = monotonicNow() + std::chrono::seconds(40); monotonicNow() < end;) {
        if (condition())
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return false;
}

inline sockaddr_in loopback(int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<uint16_t>(port));
    return address;
}

/// Opens a listening socket on a free port. Returns its descriptor, -1 on failure, and the port.
inline std::pair<int, int> listenOnFreePort()
{
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof(address);
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 || listen(fd, 64) != 0)
        return { -1, 0 };
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    return { fd, ntohs(address.sin_port) };
}

/// A free port below the ephemeral range, so that no outgoing connection of the test occupies it before it is
/// used.
inline uint16_t freePort()
{
    static int next = 10000 + getpid() % 200 * 100;
    for (;; ++next) {
        const int fd = socket(AF_INET, SOCK_STREAM, 0);
        const sockaddr_in address = loopback(next);
        const int bound = bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
        close(fd);
        if (bound == 0)
            return static_cast<uint16_t>(next++);
    }
}

/// Sends bytes and returns everything received until the peer closes the connection or is silent for
/// `silenceMs`.
inline std::string sendRaw(int port, const std::string& bytes, int silenceMs = 1500)
{
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = loopback(port);
    const timeval limit { silenceMs / 1000, (silenceMs % 1000) * 1000 };
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    std::string received;
    if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0) {
        send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        char buffer[4096];
        for (ssize_t n = 0; (n = recv(fd, buffer, sizeof(buffer), 0)) > 0;)
            received.append(buffer, static_cast<size_t>(n));
    }
    close(fd);
    return received;
}

/// An upstream at byte level: each connection carries one request, with a Content-Length or without a body,
/// and `respond_` returns the bytes of the response.
class RawUpstream {
public:
    using Respond = std::function<std::string(const std::string& request, const std::string& id)>;

    explicit RawUpstream(Respond respond)
        : respond_(std::move(respond))
    {
        std::tie(listenFd_, port_) = listenOnFreePort();
        thread_ = std::thread([this] { run(); });
    }
    ~RawUpstream()
    {
        shutdown(listenFd_, SHUT_RDWR);
        thread_.join();
        close(listenFd_);
    }
    int port() const { return port_; }

    /// Value of a header field; empty when absent.
    static std::string header(const std::string& request, const std::string& name)
    {
        const size_t at = request.find("\r\n" + name + ": ");
        if (at == std::string::npos)
            return {};
        const size_t start = at + name.size() + 4;
        return request.substr(start, request.find("\r\n", start) - start);
    }

private:
    void run()
    {
        for (int fd = 0; (fd = accept(listenFd_, nullptr, nullptr)) >= 0;) {
            std::string request;
            char buffer[4096];
            size_t expectedSize = std::string::npos;
            while (request.size() < expectedSize) {
                const ssize_t n = recv(fd, buffer, sizeof(buffer), 0);
                if (n <= 0)
                    break;
                request.append(buffer, static_cast<size_t>(n));
                const size_t end = request.find("\r\n\r\n");
                if (end == std::string::npos)
                    continue;
                const std::string length = header(request, "Content-Length");
                expectedSize = end + 4 + (length.empty() ? 0 : std::stoul(length));
            }
            const std::string response = respond_(request, header(request, "Turmericwing-Request-Id"));
            send(fd, response.data(), response.size(), MSG_NOSIGNAL);
            close(fd);
        }
    }

    const Respond respond_;
    int listenFd_ = -1;
    int port_ = 0;
    std::thread thread_;
};

/// A host with its own port of the platform stand-in. Drained and stopped on destruction.
struct RunningHost {
    Settings settings_;
    std::unique_ptr<Host> host_;
    std::unique_ptr<standin::PlatformServer> platform_;

    RunningHost(const std::string& name, const std::string& failureDomain)
    {
        settings_.name_ = name;
        settings_.region_ = "r";
        settings_.failureDomain_ = failureDomain;
        for (Address* address : { &settings_.callerAddress_, &settings_.peerAddress_,
                 &settings_.operatorAddress_, &settings_.platformAddress_ })
            *address = { "127.0.0.1", freePort() };
        settings_.peerSecret_ = "0123456789abcdef";
        settings_.operators_.push_back({ "nour", Role::Change, sha256Hex(operatorToken) });
    }
    ~RunningHost() { stop(); }

    void startPlatform(const store::MemoryPlatform& memory)
    {
        platform_ = std::make_unique<standin::PlatformServer>(memory, settings_.name_);
        platform_->start("127.0.0.1", settings_.platformAddress_.port_);
    }
    Result<void> start()
    {
        host_ = std::make_unique<Host>(settings_);
        auto started = host_->start();
        if (!started)
            host_.reset();
        return started;
    }
    void stop()
    {
        if (!host_)
            return;
        host_->drain();
        host_->waitStopped();
        host_.reset();
    }

    int callerPort() const { return settings_.callerAddress_.port_; }

    httplib::Client caller() const { return client(callerPort()); }
    httplib::Client operators() const { return client(settings_.operatorAddress_.port_); }
    bool ready() const
    {
        const auto response = operators().Get("/readyz");
        return response && response->status == 200;
    }

private:
    httplib::Client client(int port) const
    {
        httplib::Client client((settings_.tlsCertificate_.empty() ? "http" : "https")
            + std::string("://127.0.0.1:") + std::to_string(port));
        client.enable_server_certificate_verification(false);
        client.set_read_timeout(std::chrono::seconds(40));
        client.set_decompress(false);
        client.set_url_encode(false);
        return client;
    }
};

} // namespace turmericwing::host::test
