// Starts and stops the processes and servers of a soak run, and runs its callers.
#include "world.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace turmericwing::soak {

using nlohmann::json;

namespace {

    constexpr int callerPort = 20'501;
    constexpr int readinessPort = 20'502;
    constexpr int lookupPort = 20'503;
    constexpr int peerPort = 20'504;
    constexpr int metricsPort = 20'505;
    constexpr auto stopTime = std::chrono::seconds(6); ///< Graceful-stop limit of the users' requirements.
    /// Time in which a new host loads all of its state.
    constexpr auto startupTime = std::chrono::seconds(2);
    /// Time to load the program on a busy machine.
    constexpr auto programLoadTime = std::chrono::milliseconds(300);
    /// Longest wait until a program that is being loaded can be told to reload.
    constexpr auto maxLoadWait = std::chrono::seconds(5);
    constexpr auto requestDeadline = std::chrono::milliseconds(2000);
    /// Callers wait this long beyond the deadline.
    constexpr auto responseSlack = std::chrono::milliseconds(1500);
    constexpr auto lookupInterval = std::chrono::milliseconds(1500);
    constexpr uint32_t upstreamSlots = 4;
    constexpr uint32_t upstreamQueue = 8;

    /// Derives the loopback network from the process id, so that concurrent runs do not share addresses.
    std::string hostIp(size_t index)
    {
        const int pid = getpid();
        return "127." + std::to_string(pid % 127 + 1) + "." + std::to_string(pid / 127 % 256) + "."
            + std::to_string(index + 1);
    }

    /// Whether a process of this run has blocked SIGHUP or handles it, from the masks that the system shows
    /// of it.
    bool survivesReload(pid_t pid)
    {
        constexpr uint64_t hangupBit = uint64_t { 1 } << (SIGHUP - 1);
        std::ifstream file("/proc/" + std::to_string(pid) + "/status");
        uint64_t mask = 0;
        for (std::string name; file >> name;) {
            if ((name == "SigBlk:" || name == "SigCgt:") && file >> std::hex >> mask
                && (mask & hangupBit) != 0)
                return true;
        }
        return false;
    }

    void writeSettings(const World& world, const HostProcess& host, size_t index)
    {
        const std::string domain = index % 2 == 0 ? "a" : "b";
        std::ofstream file(host.settingsPath_);
        file
            << "[host]\nname = " << host.name_ << "\nregion = " << domain << "\nfailure-domain = " << domain
            << "1\n[listen]\ncallers = " << host.ip_ << ":" << callerPort << "\nreadiness = " << host.ip_
            << ":" << readinessPort << "\nlookups = " << host.ip_ << ":" << lookupPort
            << "\npeer-ports = " << peerPort << "," << peerPort << "\nmetrics-port = " << metricsPort
            << "\n[store]\naddress = 127.0.0.1:" << host.storeProxy_->port()
            << "\n[failure-domains]\na1 = a\nb1 = b\n[bounds]\n"
            << "retry-ratio = 0.2\nretry-slack = 60\ndrain-time = 2500ms\nstop-time = 6s\nlookup-life = 5s\n";
        if (!file)
            throw std::runtime_error(
                "cannot write " + host.settingsPath_ + " for seed " + std::to_string(world.options_.seed_));
    }

    httplib::Headers requestHeaders(const std::string& id, const std::string& key)
    {
        return { { "Host", "soak.example" }, { "X-Attempt-Id", id },
            { "X-Deadline-Ms", std::to_string(requestDeadline.count()) },
            { "Authorization", "Token " + key } };
    }

    /// Refuses the request and asks for a pause if the upstream wants one; returns whether it does.
    bool refusesForPause(
        World& world, const Upstream& upstream, const std::string& id, httplib::Response& response)
    {
        const TimePoint now = monotonicNow();
        const TimePoint end = upstream.pausedUntil_;
        if (now >= end)
            return false;
        world.ledger_.add(Announcement { id, upstream.id_, now, end });
        response.status = 503;
        response.set_header("X-Not-Run", "paused");
        response.set_header("Retry-After", std::to_string(seconds(end - now)));
        return true;
    }

    /// Handles one request at a simulated upstream and records its execution.
    void handleRequest(
        World& world, Upstream& upstream, const httplib::Request& request, httplib::Response& response)
    {
        const std::string id = request.get_header_value("X-Attempt-Id");
        response.set_header("X-Attempt-Id", id);
        if (upstream.leaving_)
            response.set_header("Server-Leaving", "1");
        if (request.get_header_value("X-Expect-Instance") != upstream.id_) {
            response.status = 421;
            return;
        }
        world.ledger_.add(Arrival { id, upstream.id_, monotonicNow() });
        if (refusesForPause(world, upstream, id, response))
            return;
        if (upstream.running_ >= upstreamSlots + upstreamQueue) {
            response.status = 503;
            return response.set_header("X-Not-Run", "full");
        }
        ++upstream.running_;
        world.ledger_.add(Execution { id, upstream.id_, monotonicNow(), request.get_header_value("X-Tenant"),
            request.method + " " + request.path + " " + request.body, request.has_header("Authorization") });
        const auto work = std::chrono::milliseconds(upstream.faults_.slow_ ? 400 : 20);
        standin::Server::waitUntil(monotonicNow() + work);
        --upstream.running_;
        auto& connection = standin::Server::currentConnection();
        if (upstream.faults_.dropResponses_ || upstream.faults_.truncateResponses_) {
            const std::string partialResponse = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id
                + "\r\nX-Response-Seal: " + expectedSignature(id, upstream.id_)
                + "\r\nContent-Length: 100\r\n\r\nanswer to";
            if (upstream.faults_.truncateResponses_)
                send(connection.fd_, partialResponse.data(), partialResponse.size(), MSG_NOSIGNAL);
            connection.dropped_ = true;
            return;
        }
        if (response.has_header("Server-Leaving"))
            world.ledger_.add(Announcement { id, upstream.id_, monotonicNow(), {} });
        response.set_header("X-Response-Seal", expectedSignature(id, upstream.id_));
        response.set_content(expectedBody(id, upstream.id_), "text/plain");
    }

    /// Asks a random host which addresses a caller should use. Returns an empty list if the lookup fails.
    std::vector<std::string> resolveHosts(const World& world, Random& random)
    {
        const HostProcess& host = *world.hosts_[random() % world.hosts_.size()];
        httplib::Client client(host.ip_, lookupPort);
        client.set_connection_timeout(1);
        client.set_read_timeout(1);
        const auto result = client.Get("/api/resolve?name=soak.example&region=a&zone=a1");
        if (!result || result->status != 200)
            return {};
        const json document = json::parse(result->body, nullptr, false);
        return document.is_object() ? document.value("addrs", std::vector<std::string>())
                                    : std::vector<std::string>();
    }

    std::string hostNameAt(const World& world, const std::string& address)
    {
        for (const auto& host : world.hosts_) {
            if (address.starts_with(host->ip_ + ":"))
                return host->name_;
        }
        return address;
    }

    /// Records the result of a request. Returns its HTTP status, or 0 without a response.
    int recordResult(World& world, Attempt attempt, const httplib::Result& result)
    {
        attempt.endedAt_ = monotonicNow();
        if (result) {
            attempt.status_ = result->status;
            attempt.body_ = result->body;
            attempt.signature_ = result->get_header_value("X-Response-Seal");
        }
        const int status = attempt.status_;
        world.ledger_.add(std::move(attempt));
        return status;
    }

    void sendRequest(World& world, Random& random, httplib::Client& client, const std::string& address)
    {
        Attempt attempt { .id_ = randomId(random),
            .write_ = random() % 2 == 0,
            .workspace_ = random() % 2 == 0 ? "w1" : "w2",
            .host_ = hostNameAt(world, address),
            .sentAt_ = monotonicNow() };
        const auto headers = requestHeaders(attempt.id_, "key-" + attempt.workspace_);
        const auto result = attempt.write_
            ? client.Post("/write/" + attempt.id_, headers, "body of " + attempt.id_, "text/plain")
            : client.Get("/read/" + attempt.id_, headers);
        recordResult(world, std::move(attempt), result);
    }

    /// Sends requests over keep-alive connections until the run stops. Looks up hosts at intervals and
    /// changes to a new connection at random.
    void runCaller(World& world, uint64_t seed)
    {
        Random random(seed);
        std::vector<std::string> addresses;
        TimePoint nextLookupAt {};
        std::string address;
        std::unique_ptr<httplib::Client> client;
        while (!world.stopCallers_) {
            if (monotonicNow() >= nextLookupAt) {
                nextLookupAt = monotonicNow() + lookupInterval;
                auto resolved = resolveHosts(world, random);
                if (!resolved.empty())
                    addresses = std::move(resolved);
            }
            if (!addresses.empty() && (!client || random() % 8 == 0)) {
                address = addresses[random() % addresses.size()];
                client = std::make_unique<httplib::Client>("http://" + address);
                client->set_keep_alive(true);
                client->set_connection_timeout(1);
                client->set_read_timeout(requestDeadline + responseSlack);
            }
            if (client)
                sendRequest(world, random, *client, address);
            std::this_thread::sleep_for(std::chrono::milliseconds(random() % 40));
        }
    }

    json route(const char* name, const char* prefix, const char* kind)
    {
        return { { "type", "routes" }, { "metadata", { { "name", name } } },
            { "spec",
                { { "host", "soak.example" }, { "prefix", prefix }, { "kind", kind }, { "timeout", "2500ms" },
                    { "slo", "500ms" }, { "priority", 1 }, { "service", "s" }, { "attempts", 2 } } } };
    }

    json workspace(const std::string& name, const std::vector<std::string>& keys)
    {
        return { { "type", "tenants" }, { "metadata", { { "name", name } } },
            { "spec", { { "api_keys", keys }, { "rate_per_s", 2000 }, { "burst", 2000 } } } };
    }

} // namespace

std::string rotatingKey(uint64_t version) { return "rotating-" + std::to_string(version); }

void publishConfiguration(World& world)
{
    const uint64_t version = ++world.configVersion_;
    const json limits { { "type", "limits" }, { "metadata", json::object() },
        { "spec",
            { { "header_bytes", 4000 }, { "max_body_bytes", 100000 }, { "header_timeout", "1s" },
                { "idle_timeout", "8s" } } } };
    const json service { { "type", "services" }, { "metadata", { { "name", "s" } } },
        { "spec", json::object() } };
    const json document { { "version", version },
        { "resources",
            { route("read", "/read/", "idempotent"), route("write", "/write/", "non_idempotent"),
                workspace("w1", { "key-w1", rotatingKey(version) }), workspace("w2", { "key-w2" }), limits,
                service } } };
    world.store_.put("op", "config", document.dump());
}

void registerUpstream(World& world, const Upstream& upstream, const char* state)
{
    const json entry { { "service", "s" },
        { "address", "127.0.0.1:" + std::to_string(upstream.proxy_->port()) },
        { "zone", upstream.failureDomain_ }, { "version", "v1" }, { "slots", upstreamSlots },
        { "state", state }, { "cold_left", "0ms" }, { "seq", 1 }, { "born", 1 } };
    world.store_.put("servers", upstream.id_, entry.dump());
}

Upstream& addUpstream(World& world, boost::asio::io_context& proxies)
{
    world.upstreams_.push_back(std::make_unique<Upstream>());
    Upstream& upstream = *world.upstreams_.back();
    const uint64_t number = world.nextUpstream_++;
    upstream.id_ = "u" + std::to_string(number);
    upstream.failureDomain_ = number % 2 == 0 ? "a1" : "b1";
    const auto handler = [&world, &upstream](const httplib::Request& request, httplib::Response& response) {
        handleRequest(world, upstream, request, response);
    };
    upstream.server_.Get(".*", handler);
    upstream.server_.Post(".*", handler);
    const int port = upstream.server_.start("127.0.0.1", 0);
    if (port == 0)
        throw std::runtime_error("cannot start simulated upstream " + upstream.id_);
    upstream.proxy_ = std::make_unique<Proxy>(proxies, static_cast<uint16_t>(port));
    registerUpstream(world, upstream, "ready");
    return upstream;
}

void startHost(World& world, HostProcess& host)
{
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(
        &files, STDOUT_FILENO, host.logPath_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
    std::vector<std::string> commandLine { world.options_.program_, "--front=gateway", "--settings",
        host.settingsPath_ };
    std::vector<char*> arguments;
    arguments.reserve(commandLine.size() + 1);
    for (std::string& argument : commandLine)
        arguments.push_back(argument.data());
    arguments.push_back(nullptr);
    const int error = posix_spawn(
        &host.pid_, world.options_.program_.c_str(), &files, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&files);
    if (error != 0)
        throw std::runtime_error("cannot start " + world.options_.program_ + ": " + std::strerror(error));
    const TimePoint now = monotonicNow();
    host.startedAt_ = now;
    host.paused_ = false;
    host.killed_ = false;
    host.stopBy_ = {};
    host.faultInjected_ = false;
    world.ledger_.add(FaultInterval { FaultKind::Start, host.name_, now, now + startupTime });
}

void killHost(World& world, HostProcess& host)
{
    if (host.pid_ == 0)
        return;
    const TimePoint now = monotonicNow();
    world.ledger_.add(FaultInterval { FaultKind::Process, host.name_, now, now + startupTime });
    host.faultInjected_ = true;
    host.killed_ = true;
    kill(host.pid_, SIGKILL);
}

void pauseHost(World& world, HostProcess& host, bool paused)
{
    if (host.pid_ == 0 || host.paused_ == paused)
        return;
    host.paused_ = paused;
    host.faultInjected_ = true;
    const TimePoint now = monotonicNow();
    // A resumed host first processes the requests that accumulated while it was paused.
    world.ledger_.add(FaultInterval { FaultKind::Process, host.name_, now, now + startupTime });
    kill(host.pid_, paused ? SIGSTOP : SIGCONT);
}

void stopHostGracefully(World& world, HostProcess& host)
{
    if (host.pid_ == 0 || host.killed_ || host.stopBy_ != TimePoint())
        return;
    const TimePoint now = monotonicNow();
    host.stopBy_ = now + stopTime;
    host.faultInjected_ = host.paused_;
    world.ledger_.add(FaultInterval { FaultKind::Stop, host.name_, now, now + stopTime });
    kill(host.pid_, SIGTERM);
}

void reloadHost(const HostProcess& host)
{
    if (host.pid_ == 0 || host.killed_)
        return;
    const TimePoint giveUpAt = monotonicNow() + maxLoadWait;
    while (!survivesReload(host.pid_) && monotonicNow() < giveUpAt)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    kill(host.pid_, SIGHUP);
}

void reapHosts(World& world)
{
    for (const auto& host : world.hosts_) {
        int status = 0;
        if (host->pid_ != 0 && waitpid(host->pid_, &status, WNOHANG) == host->pid_) {
            const bool stopped = host->stopBy_ != TimePoint();
            // A program that is still being loaded has not installed its SIGTERM handler yet.
            const bool endedWhileLoading = WIFSIGNALED(status) && WTERMSIG(status) == SIGTERM
                && host->stopBy_ < host->startedAt_ + stopTime + programLoadTime;
            const bool clean = (WIFEXITED(status) && WEXITSTATUS(status) == 0) || endedWhileLoading;
            if (!host->faultInjected_ && (!stopped || !clean))
                world.violations_.push_back({ "hosts exit only when told to, with status 0",
                    host->name_ + " ended with wait status " + std::to_string(status) });
            const TimePoint now = monotonicNow();
            if (!stopped)
                world.ledger_.add(FaultInterval { FaultKind::Process, host->name_, now, now + startupTime });
            host->pid_ = 0;
            startHost(world, *host);
        }
        const bool overdue = host->stopBy_ != TimePoint() && monotonicNow() > host->stopBy_;
        if (!overdue)
            continue;
        if (!host->faultInjected_)
            world.violations_.push_back({ "a graceful stop ends within its time limit", host->name_ });
        killHost(world, *host);
        host->stopBy_ = {};
    }
}

void startWorld(World& world, boost::asio::io_context& proxies)
{
    world.storePort_ = world.store_.start();
    if (world.storePort_ == 0)
        throw std::runtime_error("cannot start the simulated store");
    publishConfiguration(world);
    for (size_t i = 0; i < world.options_.upstreams_; ++i)
        addUpstream(world, proxies);
    for (size_t i = 0; i < world.options_.hosts_; ++i) {
        world.hosts_.push_back(std::make_unique<HostProcess>());
        HostProcess& host = *world.hosts_.back();
        host.name_ = "host-" + std::to_string(i + 1);
        host.ip_ = hostIp(i);
        host.settingsPath_ = world.options_.directory_ + "/" + host.name_ + ".ini";
        host.logPath_ = world.options_.directory_ + "/" + host.name_ + ".log";
        host.storeProxy_ = std::make_unique<Proxy>(proxies, static_cast<uint16_t>(world.storePort_));
        writeSettings(world, host, i);
        startHost(world, host);
    }
    for (size_t i = 0; i < world.options_.callers_; ++i)
        world.callers_.emplace_back([&world, seed = world.random_()] { runCaller(world, seed); });
}

void stopWorld(World& world)
{
    world.stopCallers_ = true;
    for (std::thread& caller : world.callers_)
        caller.join();
    world.callers_.clear();
    for (const auto& host : world.hosts_) {
        if (host->pid_ == 0)
            continue;
        kill(host->pid_, SIGKILL);
        waitpid(host->pid_, nullptr, 0);
        host->pid_ = 0;
    }
}

int probeHost(World& world, const HostProcess& host, const std::string& key)
{
    Attempt attempt {
        .id_ = randomId(world.random_), .workspace_ = "w1", .host_ = host.name_, .sentAt_ = monotonicNow()
    };
    httplib::Client client(host.ip_, callerPort);
    client.set_connection_timeout(1);
    client.set_read_timeout(requestDeadline + responseSlack);
    const auto result = client.Get("/read/" + attempt.id_, requestHeaders(attempt.id_, key));
    return recordResult(world, std::move(attempt), result);
}

bool isReady(const HostProcess& host)
{
    httplib::Client client(host.ip_, readinessPort);
    client.set_connection_timeout(1);
    client.set_read_timeout(1);
    const auto result = client.Get("/api/readyz");
    return result && result->status == 200;
}

} // namespace turmericwing::soak
