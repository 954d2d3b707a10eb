// A request that crashes the upstreams that run it comes again and again, beside calm traffic over kept
// connections. Counts how often it reaches upstreams after it has crashed the third.
#include "world.h"

using namespace review;

namespace {

constexpr double contactSeconds = 3; // terms.bounds.contact of the site sanad-lease
constexpr double heartbeatSeconds = 1.5; // platform.heartbeat
constexpr double downSeconds = 2; // "the upstream is back after some seconds"
constexpr double runSeconds = 45;
constexpr double poisonInterval = 1;
constexpr size_t allowedRetries = 3;
constexpr int slots = 3;
constexpr const char* crashingPath = "/orders/swap-77";

struct Shared {
    Record& record_;
    std::mutex mutex_ {};
    std::vector<std::pair<double, std::string>> poisonArrivals_ {}; ///< Time and attempt.
    std::vector<double> crashes_ {};
    int brokenByCrash_ = 0; ///< Other orders that ran on an upstream when it crashed.
};

/// An upstream of the service. A crash ends it, with all its connections; it starts again under a new id.
class Upstream {
public:
    Upstream(Shared& shared, Store& store, std::string zone, std::string ip, bool keepsConnections)
        : shared_(shared)
        , store_(store)
        , zone_(std::move(zone))
        , ip_(std::move(ip))
        , keepsConnections_(keepsConnections)
    {
    }

    void start()
    {
        std::lock_guard lock(mutex_);
        id_ = "i-" + randomId().substr(0, 8);
        running_ = 0;
        sequence_ = 0;
        const auto unixMs = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch());
        bornMs_ = unixMs.count();
        crashing_ = false;
        server_ = std::make_unique<Server>(ip_, port_, [this](int fd) { serve(fd); });
        if (!server_->start()) {
            std::fprintf(stderr, "an upstream cannot listen\n");
            std::_Exit(2);
        }
        port_ = server_->port();
        store_.put("servers", id_,
            { { "service", "billing-orders" }, { "address", ip_ + ":" + std::to_string(port_) },
                { "zone", zone_ }, { "version", "v1" }, { "slots", slots }, { "state", "ready" },
                { "cold_left", "0ms" }, { "seq", ++sequence_ }, { "born", bornMs_ } });
        shared_.record_.line("upstream ", id_, " starts at ", ip_, ":", port_);
    }

    void stop() { server_->stop(); }

    /// Ends, is back after some seconds, and the entry that it leaves lapses after three heartbeats.
    void crashAndReturn()
    {
        std::string old;
        {
            std::lock_guard lock(mutex_);
            old = id_;
        }
        server_->stop();
        sleepSeconds(downSeconds);
        start();
        sleepSeconds(3 * heartbeatSeconds - downSeconds);
        store_.remove("servers", old);
    }

private:
    void serve(int fd)
    {
        std::string rest;
        Message request;
        while (readMessage(fd, rest, request)) {
            const std::string attempt = request.header("X-Attempt-Id");
            const bool poison = request.word(1) == crashingPath;
            std::string id;
            bool full = false;
            {
                std::lock_guard lock(mutex_);
                id = id_;
                full = running_ >= 4 * slots;
            }
            const std::string expected = request.header("X-Expect-Instance");
            if (!expected.empty() && expected != id) {
                if (!answer(fd, 421, attempt, true, ""))
                    return;
                continue;
            }
            if (full) {
                if (!answer(fd, 503, attempt, true, ""))
                    return;
                continue;
            }
            {
                std::lock_guard lock(mutex_);
                ++running_;
            }
            if (poison)
                return crash(attempt, id);
            sleepSeconds(0.03);
            {
                std::lock_guard lock(mutex_);
                --running_;
                if (crashing_) {
                    std::lock_guard both(shared_.mutex_);
                    ++shared_.brokenByCrash_;
                    shared_.record_.line("upstream ", id, " breaks off order ", attempt);
                    return;
                }
            }
            if (!answer(fd, 200, attempt, false, "done " + attempt))
                return;
        }
    }

    void crash(const std::string& attempt, const std::string& id)
    {
        {
            std::lock_guard lock(shared_.mutex_);
            shared_.poisonArrivals_.emplace_back(now(), attempt);
            shared_.crashes_.push_back(now());
            shared_.record_.line(
                "upstream ", id, " runs ", crashingPath, " attempt ", attempt, " and crashes");
        }
        {
            std::lock_guard lock(mutex_);
            if (std::exchange(crashing_, true))
                return;
        }
        std::thread([this] { crashAndReturn(); }).detach();
        // The process ends as a whole: this connection must not close before the listening socket.
        while (server_->running())
            sleepSeconds(0.001);
        sleepSeconds(0.005);
    }

    bool answer(int fd, int status, const std::string& attempt, bool notRun, const std::string& body)
    {
        std::string head = "HTTP/1.1 " + std::to_string(status) + " Status\r\nX-Attempt-Id: " + attempt
            + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
        head += notRun ? "X-Not-Run: 1\r\n" : "X-Response-Seal: s.1\r\n";
        head += keepsConnections_ ? "Keep-Alive: timeout=10\r\n" : "Connection: close\r\n";
        return sendAll(fd, head + "\r\n" + body) && keepsConnections_;
    }

    Shared& shared_;
    Store& store_;
    const std::string zone_;
    const std::string ip_;
    const bool keepsConnections_;
    std::mutex mutex_;
    std::string id_;
    int port_ = 0;
    int running_ = 0;
    int sequence_ = 0;
    int64_t bornMs_ = 0;
    bool crashing_ = false;
    std::unique_ptr<Server> server_;
};

std::string order(const std::string& path, const std::string& attempt)
{
    const std::string body = "{\"order\":\"swap\"}";
    return "POST " + path + " HTTP/1.1\r\nHost: app.example\r\nX-Attempt-Id: " + attempt
        + "\r\nX-Deadline-Ms: 3000\r\nAuthorization: Token key-1\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
}

Json configuration()
{
    return { { "version", 3 },
        { "resources",
            { resource("routes", "charge-swap",
                  { { "host", "app.example" }, { "prefix", "/orders/" }, { "service", "billing-orders" },
                      { "kind", "non_idempotent" }, { "timeout", "2000ms" }, { "slo", "400ms" },
                      { "attempts", 2 }, { "priority", 1 } }),
                resource("services", "billing-orders",
                    { { "health_path", "/healthz" }, { "max_conns", 390 }, { "cold", "3s" },
                        { "cold_per_s", 14 } }),
                resource("tenants", "franchise", { { "api_keys", { "key-1" } }, { "priority", 0 } }),
                resource("limits", "limits",
                    { { "header_bytes", 16384 }, { "max_body_bytes", 1048576 }, { "header_timeout", "3s" },
                        { "idle_timeout", "10s" } }) } } };
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 4) {
        std::fprintf(stderr, "usage: poison REPOSITORY TEMPORARY_FOLDER RECORD\n");
        return 2;
    }
    const auto setting = [](const char* name) {
        const char* value = std::getenv(name);
        return std::string(value ? value : "");
    };
    const bool trouble = setting("TROUBLE") != "0";
    const bool keepsConnections = setting("KEEP") != "0";
    Record record(argv[3]);
    Shared shared { record };
    Store store("127.61.9.1", record);
    if (!store.start())
        return 2;
    store.put("op", "config", configuration());

    const std::map<std::string, std::string> zones { { "amman-a", "amman" }, { "amman-b", "amman" },
        { "irbid-a", "irbid" }, { "irbid-b", "irbid" } };
    std::vector<std::unique_ptr<Upstream>> upstreams;
    for (const char* zone : { "amman-a", "amman-b", "irbid-a", "irbid-b", "amman-a", "amman-b" }) {
        const std::string ip = "127.61.8." + std::to_string(upstreams.size() + 1);
        upstreams.push_back(std::make_unique<Upstream>(shared, store, zone, ip, keepsConnections));
        upstreams.back()->start();
    }

    Fleet fleet = startFleet(argv[1], argv[2], "127.61.7", { "amman-a", "amman-b", "irbid-a" }, zones,
        "127.61.9.1:" + std::to_string(store.port()));
    const auto& gateways = fleet.gateways_;
    const int callers = fleet.callersPort_;
    if (gateways.empty())
        return 2;
    sleepSeconds(1);

    std::atomic<bool> stopping = false;
    std::atomic<int> served = 0;
    std::atomic<int> failed = 0;
    std::vector<std::thread> threads;
    for (int caller = 0; caller < 12; ++caller) {
        threads.emplace_back([&, caller] {
            std::mt19937 random(static_cast<unsigned>(caller) + 1);
            sleepSeconds(0.02 * caller);
            while (!stopping) {
                const Gateway& gateway = *gateways[random() % gateways.size()];
                const std::string attempt = randomId();
                const auto bytes = order("/orders/" + std::to_string(random() % 1000), attempt);
                const Message answer = request(gateway.place().ip_, callers, bytes, 3000);
                ++(answer.status() == 200 ? served : failed);
                if (answer.status() != 200)
                    record.line("order ", attempt, " at ", gateway.place().name_, " got ", answer.status());
                sleepSeconds(0.15 + 0.1 * static_cast<double>(random() % 100) / 100);
            }
        });
    }
    sleepSeconds(4);
    std::mt19937 random { 5 };
    const double end = now() + runSeconds;
    int poisonSent = 0;
    while (now() < end) {
        if (trouble) {
            const Gateway& gateway = *gateways[random() % gateways.size()];
            const std::string attempt = randomId();
            ++poisonSent;
            const Message answer = request(gateway.place().ip_, callers, order(crashingPath, attempt), 3000);
            record.line(
                "crashing order, attempt ", attempt, " at ", gateway.place().name_, " got ", answer.status());
        }
        sleepSeconds(poisonInterval);
    }
    stopping = true;
    for (std::thread& thread : threads)
        thread.join();
    bool gatewayEnded = false;
    for (const auto& gateway : gateways)
        gatewayEnded = gateway->hasEnded() || gatewayEnded;
    for (const auto& gateway : gateways)
        gateway->end();

    std::lock_guard lock(shared.mutex_);
    std::set<std::string> late;
    if (shared.crashes_.size() >= 3) {
        for (const auto& [time, attempt] : shared.poisonArrivals_)
            if (time > shared.crashes_[2] + contactSeconds)
                late.insert(attempt);
    }
    record.line("crashing order sent ", poisonSent, " times; crashes ", shared.crashes_.size(),
        "; attempts that reached an upstream later than ", contactSeconds,
        " s after the third crash: ", late.size(), " (allowed: ", allowedRetries, ")");
    record.line("other orders: served ", served.load(), ", failed ", failed.load(),
        ", broken off by a crash ", shared.brokenByCrash_);
    std::printf("crashes %zu, late attempts that reached an upstream %zu, other orders served %d failed %d "
                "broken off %d\n",
        shared.crashes_.size(), late.size(), served.load(), failed.load(), shared.brokenByCrash_);
    std::fflush(stdout);
    if (gatewayEnded || served < 500)
        std::_Exit(2);
    std::_Exit(late.size() > allowedRetries ? 1 : 0);
}
