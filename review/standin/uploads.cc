// Large uploads within the configured limit, beside calm orders on kept connections. The platform ends a
// process that exceeds its memory and starts it again. Counts the orders that a gateway had passed on to an
// upstream when it closed their connection without an answer.
#include "world.h"

using namespace review;

namespace {

constexpr size_t maxBodyBytes = 67108864; // limits.max_body_bytes, as `fleetbench wire` shows it
constexpr size_t largeUpload = 60'000'000;
constexpr size_t smallUpload = 60'000; // mean size on the sheet
constexpr double linkBytesPerSecond = 1000e6 / 8; // limits.link_mbps of a machine
constexpr int uploadsAtOnce = 15;
constexpr int orderCallers = 30;
constexpr double runSeconds = 30;
constexpr double restartDelay = 0.5; // "restarted after a short delay"
constexpr int allowedLosses = 3;
static_assert(largeUpload <= maxBodyBytes);

struct Counts {
    std::mutex mutex_ {};
    std::set<std::string> arrived_ {}; ///< Attempts of orders that reached an upstream.
    std::map<std::string, int> lost_ {}; ///< Orders without an answer, by gateway.
    std::map<std::string, int> ends_ {}; ///< Of gateway processes, by memory.
    std::map<std::string, double> mostMb_ {};
};

/// Reads a request and discards its body. Returns false at the end of the connection.
bool readAndDiscard(int fd, std::string& rest, Message& request)
{
    size_t headEnd;
    char bytes[65536];
    while ((headEnd = rest.find("\r\n\r\n")) == std::string::npos) {
        const ssize_t size = recv(fd, bytes, sizeof(bytes), 0);
        if (size <= 0)
            return false;
        rest.append(bytes, static_cast<size_t>(size));
    }
    std::string head = rest.substr(0, headEnd + 4);
    rest.erase(0, headEnd + 4);
    const size_t at = head.find("Content-Length: ");
    size_t left = at == std::string::npos ? 0 : static_cast<size_t>(std::atoll(head.c_str() + at + 16));
    if (at != std::string::npos)
        head.replace(at, head.find("\r\n", at) - at, "Content-Length: 0");
    readMessage(fd, head, request);
    const size_t buffered = std::min(left, rest.size());
    rest.erase(0, buffered);
    left -= buffered;
    while (left > 0) {
        const ssize_t size = recv(fd, bytes, std::min(left, sizeof(bytes)), 0);
        if (size <= 0)
            return false;
        left -= static_cast<size_t>(size);
    }
    return true;
}

/// An upstream that takes its time for each request and keeps its connections.
void serveUpstream(int fd, const std::string& id, double workSeconds, Counts& counts)
{
    std::string rest;
    Message request;
    while (readAndDiscard(fd, rest, request)) {
        const std::string attempt = request.header("X-Attempt-Id");
        {
            std::lock_guard lock(counts.mutex_);
            if (request.word(1).rfind("/orders/", 0) == 0)
                counts.arrived_.insert(attempt);
        }
        const bool expected = request.header("X-Expect-Instance") == id;
        if (expected)
            sleepSeconds(workSeconds);
        const std::string head = expected ? "HTTP/1.1 200 OK\r\nX-Response-Seal: s.1\r\n"
                                          : "HTTP/1.1 421 Misdirected Request\r\nX-Not-Run: 1\r\n";
        if (!sendAll(fd,
                head + "X-Attempt-Id: " + attempt
                    + "\r\nKeep-Alive: timeout=10\r\nContent-Length: 2\r\n\r\nok"))
            return;
    }
}

std::string head(const std::string& path, const std::string& attempt, size_t bodyBytes)
{
    return "POST " + path + " HTTP/1.1\r\nHost: app.example\r\nX-Attempt-Id: " + attempt
        + "\r\nX-Deadline-Ms: 15000\r\nAuthorization: Token key-1\r\nContent-Length: "
        + std::to_string(bodyBytes) + "\r\n\r\n";
}

Json configuration()
{
    const auto route = [](const char* name, const char* prefix, const char* service, const char* kind) {
        return resource("routes", name,
            { { "host", "app.example" }, { "prefix", prefix }, { "service", service }, { "kind", kind },
                { "timeout", "10s" }, { "slo", "2s" }, { "attempts", 2 }, { "priority", 1 } });
    };
    const auto service = [](const char* name) {
        return resource("services", name,
            { { "health_path", "/healthz" }, { "max_conns", 390 }, { "cold", "3s" }, { "cold_per_s", 14 } });
    };
    return { { "version", 3 },
        { "resources",
            { route("charge-swap", "/orders/", "billing-orders", "non_idempotent"),
                route("survey-upload", "/videos/", "survey-intake", "upload"), service("billing-orders"),
                service("survey-intake"),
                resource("tenants", "franchise", { { "api_keys", { "key-1" } }, { "priority", 0 } }),
                resource("limits", "limits",
                    { { "header_bytes", 16384 }, { "max_body_bytes", maxBodyBytes },
                        { "header_timeout", "3000ms" }, { "idle_timeout", "15000ms" } }) } } };
}

/// The platform's watch over a process: ends it above its memory limit and starts it again.
void enforceMemoryLimit(Gateway& gateway, Counts& counts, Record& record, const std::atomic<bool>& stopping)
{
    const std::string& name = gateway.place().name_;
    while (!stopping) {
        const double mb = gateway.residentMb();
        {
            std::lock_guard lock(counts.mutex_);
            counts.mostMb_[name] = std::max(counts.mostMb_[name], mb);
        }
        if (mb <= memoryLimitMb) {
            sleepSeconds(0.01);
            continue;
        }
        gateway.end();
        {
            std::lock_guard lock(counts.mutex_);
            ++counts.ends_[name];
        }
        record.line("platform: ", name, " has ", mb, " MB of ", memoryLimitMb, " MB and is ended");
        sleepSeconds(restartDelay);
        gateway.start();
        sleepSeconds(0.2);
    }
}

/// Sends orders one after the other on a kept connection.
void sendOrders(const Gateway& gateway, int port, Counts& counts, Record& record, std::atomic<int>& served,
    const std::atomic<bool>& stopping)
{
    const std::string& name = gateway.place().name_;
    int fd = -1;
    std::string rest;
    while (!stopping) {
        if (fd < 0) {
            rest.clear();
            fd = connectTo(gateway.place().ip_, port);
            if (fd < 0) {
                sleepSeconds(0.1);
                continue;
            }
        }
        const std::string attempt = randomId();
        Message answer;
        const bool sent = sendAll(fd, head("/orders/1", attempt, 2) + "{}");
        if (sent && readMessage(fd, rest, answer, 15000)) {
            served += answer.status() == 200 ? 1 : 0;
            if (answer.status() != 200)
                record.line("order ", attempt, " at ", name, " got ", answer.status());
            if (strcasecmp(answer.header("Connection").c_str(), "close") == 0) {
                close(fd);
                fd = -1;
            }
        } else {
            close(fd);
            fd = -1;
            std::lock_guard lock(counts.mutex_);
            if (counts.arrived_.contains(attempt)) {
                ++counts.lost_[name];
                record.line("order ", attempt, " at ", name,
                    " had reached an upstream; its connection closed without an answer");
            }
        }
        sleepSeconds(0.05);
    }
    if (fd >= 0)
        close(fd);
}

/// Uploads one body after the other; all uploads to a gateway together stay below its link's rate.
void sendUploads(
    const Fleet& fleet, size_t caller, size_t bytes, Record& record, const std::atomic<bool>& stopping)
{
    static const std::string part(1'000'000, 'v');
    const Gateway& gateway = *fleet.gateways_[caller % fleet.gateways_.size()];
    const double uploaders = static_cast<double>(uploadsAtOnce) / static_cast<double>(fleet.gateways_.size());
    const double bytesPerSecond = 0.8 * linkBytesPerSecond / uploaders;
    while (!stopping) {
        const std::string attempt = randomId();
        const int fd = connectTo(gateway.place().ip_, fleet.callersPort_);
        bool sent = fd >= 0 && sendAll(fd, head("/videos/1", attempt, bytes));
        const double begin = now();
        for (size_t done = 0; sent && done < bytes;) {
            const size_t size = std::min(part.size(), bytes - done);
            sent = sendAll(fd, part.substr(0, size));
            done += size;
            const double wait = begin + static_cast<double>(done) / bytesPerSecond - now();
            if (wait > 0)
                sleepSeconds(wait);
        }
        Message answer;
        std::string rest;
        if (sent && !readMessage(fd, rest, answer, 15000))
            answer = {};
        record.line("upload ", attempt, " of ", bytes, " bytes at ", gateway.place().name_,
            sent ? " was sent" : " was cut", ", status ", answer.status());
        if (fd >= 0)
            close(fd);
        sleepSeconds(0.3);
    }
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 4) {
        std::fprintf(stderr, "usage: uploads REPOSITORY TEMPORARY_FOLDER RECORD\n");
        return 2;
    }
    const char* setting = std::getenv("TROUBLE");
    const bool trouble = !setting || std::string(setting) != "0";
    Record record(argv[3]);
    Counts counts;
    Store store("127.62.9.1", record);
    if (!store.start())
        return 2;
    store.put("op", "config", configuration());
    const std::map<std::string, std::string> zones { { "amman-a", "amman" }, { "amman-b", "amman" },
        { "irbid-a", "irbid" } };
    std::vector<std::unique_ptr<Server>> upstreams;
    for (const char* service : { "billing-orders", "survey-intake" }) {
        for (const auto& [zone, region] : zones) {
            const std::string id = "i-" + randomId().substr(0, 8);
            const std::string ip = "127.62.8." + std::to_string(upstreams.size() + 1);
            upstreams.push_back(std::make_unique<Server>(
                ip, 0, [&counts, id](int fd) { serveUpstream(fd, id, 0.4, counts); }));
            if (!upstreams.back()->start())
                return 2;
            store.put("servers", id,
                { { "service", service }, { "address", ip + ":" + std::to_string(upstreams.back()->port()) },
                    { "zone", zone }, { "version", "v1" }, { "slots", 20 }, { "state", "ready" },
                    { "cold_left", "0ms" }, { "seq", 1 }, { "born", 1767225600000 } });
        }
    }
    Fleet fleet = startFleet(argv[1], argv[2], "127.62.7", { "amman-a", "amman-b", "irbid-a" }, zones,
        "127.62.9.1:" + std::to_string(store.port()));
    if (fleet.gateways_.empty())
        return 2;
    sleepSeconds(1);

    std::atomic<bool> stopping = false;
    std::atomic<bool> uploadsStopping = false;
    std::atomic<int> served = 0;
    std::vector<std::thread> threads;
    for (const auto& gateway : fleet.gateways_)
        threads.emplace_back(
            [&, &gateway = *gateway] { enforceMemoryLimit(gateway, counts, record, stopping); });
    for (size_t caller = 0; caller < orderCallers; ++caller) {
        threads.emplace_back([&, caller] {
            sendOrders(*fleet.gateways_[caller % fleet.gateways_.size()], fleet.callersPort_, counts, record,
                served, stopping);
        });
    }
    sleepSeconds(4);
    std::vector<std::thread> uploaders;
    for (size_t caller = 0; caller < uploadsAtOnce; ++caller) {
        uploaders.emplace_back([&, caller] {
            sendUploads(fleet, caller, trouble ? largeUpload : smallUpload, record, uploadsStopping);
        });
    }
    sleepSeconds(runSeconds);
    uploadsStopping = true;
    for (std::thread& uploader : uploaders)
        uploader.join();
    sleepSeconds(1);
    stopping = true;
    for (std::thread& thread : threads)
        thread.join();
    for (const auto& gateway : fleet.gateways_)
        gateway->end();

    std::lock_guard lock(counts.mutex_);
    int mostLost = 0;
    int ends = 0;
    for (const auto& gateway : fleet.gateways_) {
        const std::string& name = gateway->place().name_;
        record.line(name, ": most memory ", counts.mostMb_[name], " MB, ended for memory ",
            counts.ends_[name], " times, orders passed on and closed without an answer ", counts.lost_[name],
            " (allowed: ", allowedLosses, ")");
        mostLost = std::max(mostLost, counts.lost_[name]);
        ends += counts.ends_[name];
    }
    std::printf("processes ended for memory %d, most orders lost at one gateway %d, orders served %d\n", ends,
        mostLost, served.load());
    std::fflush(stdout);
    if (served < 200)
        std::_Exit(2);
    std::_Exit(mostLost > allowedLosses ? 1 : 0);
}
