// Fixture for tests of a complete gateway: runs it in this process, with test doubles of the users' store and
// of upstreams on loopback ports.
#pragma once

#include "platform/protocol.h"
#include "platform/store.h"
#include "rowstore.h"
#include "turmericwing/gateway/gateway.h"
#include "turmericwing/host/log.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <atomic>
#include <functional>
#include <mutex>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace turmericwing::gateway::test {

/// Waits until the condition holds and returns true, or false after 30 s; the limit is long because the
/// machine may be busy.
inline bool eventually(const std::function<bool()>& event)
{
    for (const TimePoint end = monotonicNow() + std::chrono::seconds(30); monotonicNow() < end;) {
        if (event())
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return false;
}

/// Returns a free port below the ephemeral range, so that no outgoing connection of the test occupies it
/// first.
inline uint16_t freePort()
{
    static int next = 12'000 + getpid() % 150 * 100;
    for (;; ++next) {
        const int fd = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(static_cast<uint16_t>(next));
        const bool free = bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
        close(fd);
        if (free)
            return static_cast<uint16_t>(next++);
    }
}

/// Connects to a loopback address. Returns the socket, whose reads end after 5 s.
inline int connectTo(const Address& address)
{
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in target {};
    target.sin_family = AF_INET;
    target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    target.sin_port = htons(address.port_);
    const timeval limit { 5, 0 };
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    if (connect(fd, reinterpret_cast<sockaddr*>(&target), sizeof(target)) != 0)
        throw std::runtime_error("cannot connect to " + addressText(address));
    return fd;
}

/// An upstream whose answers the test defines.
class Upstream {
public:
    using Handler = std::function<void(const httplib::Request&, httplib::Response&)>;

    Upstream(standin::RowStore& store, std::string id, std::string domain = "a1", std::string version = "v1")
        : store_(store)
        , id_(std::move(id))
        , domain_(std::move(domain))
        , version_(std::move(version))
    {
        const auto handler = [this](const httplib::Request& request, httplib::Response& response) {
            ++requests_;
            response.set_header("X-Attempt-Id", request.get_header_value("X-Attempt-Id"));
            if (leaving_)
                response.set_header("Server-Leaving", "1");
            for (const std::string& limit : namedLimits())
                response.set_header("Server-Limit", limit);
            if (const std::string pause = requestedPause(); !pause.empty())
                return refuse(response, pause);
            response.set_header("X-Response-Seal", "seal-of-" + id_);
            handler_(request, response);
        };
        server_.Get(".*", handler);
        server_.Post(".*", handler);
        port_ = server_.start("127.0.0.1", 0);
        publish("ready");
    }

    /// Writes the upstream's entry to the service directory, with a new sequence number.
    void publish(const std::string& state)
    {
        store_.put("servers", id_,
            nlohmann::json { { "service", service_ }, { "address", "127.0.0.1:" + std::to_string(port_) },
                { "zone", domain_ }, { "version", version_ }, { "slots", slots_ }, { "state", state },
                { "cold_left", "0ms" }, { "seq", ++seq_ }, { "born", startedMs_ } }
                .dump());
    }

    /// From now on refuses all requests as not run, with this Retry-After; an empty text ends that.
    void requestPause(const std::string& retryAfter)
    {
        std::lock_guard lock(mutex_);
        retryAfter_ = retryAfter;
    }

    /// From now on all answers have these limit fields, in requests/s.
    void nameLimits(std::vector<std::string> limits)
    {
        std::lock_guard lock(mutex_);
        limits_ = std::move(limits);
    }

    standin::RowStore& store_;
    const std::string id_;
    const std::string domain_;
    const std::string version_;
    std::string service_ = "s";
    int slots_ = 4;
    int seq_ = 0;
    int64_t startedMs_ = 1; ///< Names the incarnation in the entry.
    std::atomic<int> requests_ = 0;
    std::atomic<bool> leaving_ = false; ///< All its answers announce that it leaves.
    /// A caller closed its connection while the handler waited.
    std::atomic<bool> callerDisconnected_ = false;
    Handler handler_ = [this](const httplib::Request&, httplib::Response& response) {
        response.set_content("answer of " + id_, "text/plain");
    };
    standin::Server server_;
    int port_ = 0;

private:
    std::string requestedPause() const
    {
        std::lock_guard lock(mutex_);
        return retryAfter_;
    }

    std::vector<std::string> namedLimits() const
    {
        std::lock_guard lock(mutex_);
        return limits_;
    }

    static void refuse(httplib::Response& response, const std::string& retryAfter)
    {
        response.status = 503;
        response.set_header("X-Not-Run", "1");
        response.set_header("Retry-After", retryAfter);
    }

    mutable std::mutex mutex_;
    std::string retryAfter_;
    std::vector<std::string> limits_;
};

/// Returns a configuration with routes for /read/ and /write/ and one workspace.
inline std::string configuration(uint64_t version, const std::string& key = "key-1")
{
    const auto route = [](const char* name, const char* prefix, const char* kind) {
        return nlohmann::json { { "type", "routes" }, { "metadata", { { "name", name } } },
            { "spec",
                { { "host", "a.example" }, { "prefix", prefix }, { "kind", kind }, { "timeout", "3000ms" },
                    { "slo", "1000ms" }, { "priority", 1 }, { "service", "s" }, { "attempts", 2 } } } };
    };
    const nlohmann::json workspace { { "type", "tenants" }, { "metadata", { { "name", "w1" } } },
        { "spec", { { "api_keys", { key } }, { "rate_per_s", 1000 }, { "burst", 1000 } } } };
    const nlohmann::json limits { { "type", "limits" }, { "metadata", nlohmann::json::object() },
        { "spec",
            { { "header_bytes", 2000 }, { "max_body_bytes", 100000 }, { "header_timeout", "500ms" },
                { "idle_timeout", "5000ms" } } } };
    const nlohmann::json service { { "type", "services" }, { "metadata", { { "name", "s" } } },
        { "spec", { { "cold_per_s", 10.0 } } } };
    return nlohmann::json {
        { "version", version },
        { "resources",
            { route("read", "/read/", "idempotent"), route("write", "/write/", "non_idempotent"), workspace,
                limits, service } }
    }.dump();
}

/// A store with a configuration, and one gateway.
class Fixture {
public:
    Fixture()
    {
        storePort_ = store_.start();
        store_.put("op", "config", configuration(1));
    }

    ~Fixture() { stop(); }

    void start()
    {
        settings_ = Settings { .name_ = "h1",
            .region_ = "a",
            .failureDomain_ = "a1",
            .callerAddress_ = { "127.0.0.1", freePort() },
            .readinessAddress_ = { "127.0.0.1", freePort() },
            .lookupAddress_ = { "127.0.0.1", freePort() },
            .peerAddress_ = { "127.0.0.1", freePort() },
            .metricsAddress_ = { "127.0.0.1", freePort() },
            .storeAddress_ = { "127.0.0.1", static_cast<uint16_t>(storePort_) },
            .regionOf_ = { { "a1", "a" }, { "a2", "a" }, { "b1", "b" } },
            .bounds_ = { .stopTime_ = std::chrono::seconds(3) } };
        gateway_ = std::make_unique<Gateway>(loop_,
            GatewayOptions { .settings_ = settings_,
                .protocol_ = platform::makeProtocol(),
                .store_ = platform::makeTableStore(loop_, settings_.storeAddress_) });
        const auto started = gateway_->start();
        if (!started)
            throw std::runtime_error(started.error().message_);
        thread_ = std::thread([this] { loop_.run(); });
    }

    void stop()
    {
        loop_.stop();
        if (thread_.joinable())
            thread_.join();
    }

    void drain()
    {
        boost::asio::post(loop_, [this] { gateway_->drain(); });
    }

    bool isReady() const
    {
        httplib::Client client("127.0.0.1", settings_.readinessAddress_.port_);
        const auto answer = client.Get("/api/readyz");
        return answer && answer->status == 200;
    }

    std::unique_ptr<httplib::Client> client() const
    {
        auto client = std::make_unique<httplib::Client>("127.0.0.1", settings_.callerAddress_.port_);
        client->set_keep_alive(true);
        client->set_read_timeout(10);
        return client;
    }

    static httplib::Headers headers(const std::string& id, const std::string& key = "key-1")
    {
        return { { "Host", "a.example" }, { "X-Attempt-Id", id }, { "X-Deadline-Ms", "3000" },
            { "Authorization", "Token " + key } };
    }

    /// Sends bytes to the caller address. Returns what is received until the connection ends, `expected` is
    /// part of it, or nothing arrives for 10 s.
    std::string sendRaw(const std::string& bytes, const std::string& expected) const
    {
        const int fd = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(settings_.callerAddress_.port_);
        const timeval limit { 10, 0 };
        setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
        std::string answer;
        if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0
            && send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) >= 0) {
            char buffer[4096];
            for (ssize_t size = 1;
                 size > 0 && (expected.empty() || answer.find(expected) == std::string::npos);) {
                size = recv(fd, buffer, sizeof(buffer), 0);
                answer.append(buffer, static_cast<size_t>(std::max<ssize_t>(size, 0)));
            }
        }
        close(fd);
        return answer;
    }

    standin::RowStore store_;
    int storePort_ = 0;
    Settings settings_;
    boost::asio::io_context loop_ { 1 };
    std::unique_ptr<Gateway> gateway_;
    std::thread thread_;
};

} // namespace turmericwing::gateway::test
