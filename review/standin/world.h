// Stand-ins for the review's scripts: the platform's store, upstreams, callers and gateway processes, written
// from the users' pages. Blocking sockets, one thread a connection; everything listens on loopback addresses.
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <strings.h>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Json = nlohmann::json;

inline const Clock::time_point startedAt = Clock::now();

/// Seconds since the start of the script.
inline double now() { return std::chrono::duration<double>(Clock::now() - startedAt).count(); }

inline void sleepSeconds(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

/// Lines of record.txt, each with its time.
class Record {
public:
    explicit Record(const std::string& path)
        : file_(path)
    {
    }

    template <typename... Parts> void line(const Parts&... parts)
    {
        std::ostringstream text;
        (text << ... << parts);
        std::lock_guard lock(mutex_);
        char time[32];
        std::snprintf(time, sizeof(time), "%8.3f ", now());
        file_ << time << text.str() << "\n";
        file_.flush();
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
};

struct Message {
    std::string start_; ///< Request or status line.
    std::vector<std::pair<std::string, std::string>> headers_;
    std::string body_;

    std::string header(const std::string& name) const
    {
        for (const auto& [known, value] : headers_)
            if (strcasecmp(known.c_str(), name.c_str()) == 0)
                return value;
        return {};
    }
    /// Word of the start line, from 0.
    std::string word(size_t index) const
    {
        std::istringstream words(start_);
        std::string text;
        for (size_t i = 0; i <= index; ++i)
            text.clear(), words >> text;
        return text;
    }
    int status() const { return std::atoi(word(1).c_str()); }
};

/// Reads one message with a Content-Length, or without a body. `rest` keeps bytes of the next one. Returns
/// false at the end of the connection or after `timeoutMs` without a byte.
inline bool readMessage(int fd, std::string& rest, Message& message, int timeoutMs = -1)
{
    const auto fill = [&] {
        pollfd waiting { fd, POLLIN, 0 };
        if (poll(&waiting, 1, timeoutMs) <= 0)
            return false;
        char bytes[65536];
        const ssize_t size = recv(fd, bytes, sizeof(bytes), 0);
        if (size <= 0)
            return false;
        rest.append(bytes, static_cast<size_t>(size));
        return true;
    };
    size_t headEnd;
    while ((headEnd = rest.find("\r\n\r\n")) == std::string::npos)
        if (!fill())
            return false;
    message = {};
    std::istringstream head(rest.substr(0, headEnd));
    std::getline(head, message.start_);
    if (!message.start_.empty() && message.start_.back() == '\r')
        message.start_.pop_back();
    for (std::string line; std::getline(head, line);) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        const size_t colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        const size_t value = line.find_first_not_of(' ', colon + 1);
        message.headers_.emplace_back(
            line.substr(0, colon), value == std::string::npos ? std::string() : line.substr(value));
    }
    rest.erase(0, headEnd + 4);
    const size_t length = static_cast<size_t>(std::atoll(message.header("Content-Length").c_str()));
    while (rest.size() < length)
        if (!fill())
            return false;
    message.body_ = rest.substr(0, length);
    rest.erase(0, length);
    return true;
}

inline bool sendAll(int fd, const std::string& bytes)
{
    size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t size = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0)
            return false;
        sent += static_cast<size_t>(size);
    }
    return true;
}

inline sockaddr_in endpoint(const std::string& ip, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/// A TCP server with a thread for each connection. stop() ends all of them, as the end of a process does.
class Server {
public:
    using Handler = std::function<void(int fd)>;

    Server(std::string ip, int port, Handler handler)
        : ip_(std::move(ip))
        , port_(port)
        , handler_(std::move(handler))
    {
    }
    ~Server() { stop(); }

    bool start()
    {
        listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int yes = 1;
        setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
        sockaddr_in address = endpoint(ip_, port_);
        if (bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0
            || listen(listener_, 512) != 0)
            return false;
        socklen_t size = sizeof(address);
        getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
        port_ = ntohs(address.sin_port);
        running_ = true;
        acceptor_ = std::thread([this, fd = listener_] { acceptLoop(fd); });
        return true;
    }

    void stop()
    {
        if (!running_.exchange(false))
            return;
        shutdown(listener_, SHUT_RDWR);
        close(listener_);
        if (acceptor_.joinable())
            acceptor_.join();
        std::unique_lock lock(mutex_);
        for (const int fd : connections_)
            shutdown(fd, SHUT_RDWR);
        ended_.wait(lock, [&] { return connections_.empty(); });
    }

    int port() const { return port_; }
    bool running() const { return running_; }

private:
    void acceptLoop(int listener)
    {
        while (running_) {
            const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                return;
            const int yes = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
            {
                std::lock_guard lock(mutex_);
                connections_.insert(fd);
            }
            std::thread([this, fd] {
                handler_(fd);
                std::lock_guard lock(mutex_);
                close(fd);
                connections_.erase(fd);
                ended_.notify_all();
            }).detach();
        }
    }

    const std::string ip_;
    int port_;
    const Handler handler_;
    int listener_ = -1;
    std::atomic<bool> running_ = false;
    std::thread acceptor_;
    std::mutex mutex_;
    std::condition_variable ended_;
    std::set<int> connections_;
};

inline std::string base64(const std::string& bytes)
{
    static const char* letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (size_t i = 0; i < bytes.size(); i += 3) {
        uint32_t block = static_cast<unsigned char>(bytes[i]) << 16;
        if (i + 1 < bytes.size())
            block |= static_cast<unsigned char>(bytes[i + 1]) << 8;
        if (i + 2 < bytes.size())
            block |= static_cast<unsigned char>(bytes[i + 2]);
        out += letters[block >> 18];
        out += letters[(block >> 12) & 63];
        out += i + 1 < bytes.size() ? letters[(block >> 6) & 63] : '=';
        out += i + 2 < bytes.size() ? letters[block & 63] : '=';
    }
    return out;
}

/// The platform's store: rows-get, rows-feed and rows-tx over one part.
class Store {
public:
    Store(const std::string& ip, Record& record)
        : record_(record)
        , server_(ip, 0, [this](int fd) { serve(fd); })
    {
    }
    ~Store()
    {
        {
            std::lock_guard lock(mutex_);
            stopping_ = true;
        }
        changed_.notify_all();
        server_.stop();
    }

    bool start() { return server_.start(); }
    int port() const { return server_.port(); }

    /// Writes of the operator and of the upstreams. Values of these are plain JSON texts.
    void put(const std::string& table, const std::string& key, const Json& value)
    {
        write(table, key, base64(value.dump()), false);
    }
    void remove(const std::string& table, const std::string& key) { write(table, key, {}, true); }

private:
    struct Row {
        std::string value_; ///< Base64.
        uint64_t version_ = 0;
        bool removed_ = false;
    };
    using Key = std::pair<std::string, std::string>;

    void write(const std::string& table, const std::string& key, const std::string& value, bool removed)
    {
        std::lock_guard lock(mutex_);
        rows_[{ table, key }] = { value, ++version_, removed };
        changed_.notify_all();
    }

    static std::string parameter(const std::string& target, const std::string& name)
    {
        const size_t query = target.find('?');
        std::istringstream pairs(query == std::string::npos ? "" : target.substr(query + 1));
        for (std::string pair; std::getline(pairs, pair, '&');)
            if (pair.rfind(name + "=", 0) == 0)
                return decode(pair.substr(name.size() + 1));
        return {};
    }

    static std::string decode(const std::string& text)
    {
        std::string out;
        for (size_t i = 0; i < text.size(); ++i) {
            if (text[i] != '%' || i + 2 >= text.size()) {
                out += text[i];
                continue;
            }
            out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        }
        return out;
    }

    Json rowJson(const Key& key, const Row& row) const
    {
        Json json { { "table", key.first }, { "part", "" }, { "key", key.second }, { "ver", row.version_ } };
        if (row.removed_)
            json["tombstone"] = true;
        else
            json["value"] = row.value_;
        return json;
    }

    Json answer(Json rows) const
    {
        const auto ms = static_cast<int64_t>(now() * 1000);
        return { { "rows", std::move(rows) }, { "has_more", false }, { "ver", version_ },
            { "now", std::to_string(ms) + "ms" } };
    }

    Json readTable(const std::string& table, const std::string& from) const
    {
        Json rows = Json::array();
        for (const auto& [key, row] : rows_)
            if (key.first == table && key.second >= from && !row.removed_)
                rows.push_back(rowJson(key, row));
        return answer(rows);
    }

    Json feed(std::unique_lock<std::mutex>& lock, const std::string& table, uint64_t after, int waitMs)
    {
        const auto end = Clock::now() + std::chrono::milliseconds(waitMs);
        for (;;) {
            std::vector<std::pair<Key, Row>> changes;
            for (const auto& [key, row] : rows_)
                if (key.first == table && row.version_ > after)
                    changes.emplace_back(key, row);
            std::sort(changes.begin(), changes.end(),
                [](const auto& a, const auto& b) { return a.second.version_ < b.second.version_; });
            if (!changes.empty() || stopping_ || Clock::now() >= end) {
                Json rows = Json::array();
                for (const auto& [key, row] : changes)
                    rows.push_back(rowJson(key, row));
                return answer(rows);
            }
            changed_.wait_until(lock, end);
        }
    }

    std::pair<int, Json> transact(const Json& call)
    {
        Json current = Json::array();
        bool applies = true;
        for (const Json& expected : call.at("expected")) {
            const Key key { expected.at("table"), expected.at("key") };
            const auto found = rows_.find(key);
            const bool exists = found != rows_.end() && !found->second.removed_;
            const uint64_t version = exists ? found->second.version_ : 0;
            applies = applies && version == expected.at("ver").get<uint64_t>();
            if (exists)
                current.push_back(rowJson(key, found->second));
        }
        if (!applies)
            return { 412, answer(current) };
        const bool changes = !call.at("writes").empty() || !call.at("remove").empty();
        version_ += changes ? 1 : 0;
        for (const Json& row : call.at("writes")) {
            rows_[{ row.at("table"), row.at("key") }] = { row.at("value"), version_, false };
            record_.line("store: row ", row.at("table").get<std::string>(), "/",
                row.at("key").get<std::string>(), " written");
        }
        for (const Json& row : call.at("remove"))
            rows_[{ row.at("table"), row.at("key") }] = { {}, version_, true };
        changed_.notify_all();
        return { 200, answer(Json::array()) };
    }

    void serve(int fd)
    {
        std::string rest;
        Message request;
        while (readMessage(fd, rest, request)) {
            const std::string target = request.word(1);
            int status = 200;
            Json body;
            {
                std::unique_lock lock(mutex_);
                if (target.rfind("/api/rows-get", 0) == 0)
                    body = readTable(parameter(target, "table"), parameter(target, "from"));
                else if (target.rfind("/api/rows-feed", 0) == 0)
                    body = feed(lock, parameter(target, "table"),
                        std::strtoull(parameter(target, "after").c_str(), nullptr, 10),
                        std::atoi(parameter(target, "wait_ms").c_str()));
                else if (target.rfind("/api/rows-tx", 0) == 0)
                    std::tie(status, body) = transact(Json::parse(request.body_));
                else
                    status = 404;
            }
            const std::string text = body.dump();
            if (!sendAll(fd,
                    "HTTP/1.1 " + std::to_string(status)
                        + " Status\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: "
                        + std::to_string(text.size()) + "\r\n\r\n" + text))
                return;
        }
    }

    Record& record_;
    Server server_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::map<Key, Row> rows_;
    uint64_t version_ = 0;
    bool stopping_ = false;
};

/// A port that is free on the address now.
inline int freePort(const std::string& ip)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = endpoint(ip, 0);
    socklen_t size = sizeof(address);
    int port = 0;
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) == 0
        && getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) == 0)
        port = ntohs(address.sin_port);
    close(fd);
    return port;
}

/// A gateway process, started with the command and the settings template of the deploy folder.
class Gateway {
public:
    struct Place {
        std::string name_;
        std::string zone_;
        std::string region_;
        std::string ip_;
    };

    Gateway(std::string root, std::string folder, Place place, std::map<std::string, std::string> fields,
        std::map<std::string, std::string> zones)
        : root_(std::move(root))
        , folder_(std::move(folder))
        , place_(std::move(place))
    {
        std::ifstream file(root_ + "/deploy/host.ini");
        std::string text((std::istreambuf_iterator<char>(file)), {});
        const std::string open = "{{#zones}}";
        const std::string close = "{{/zones}}";
        const size_t from = text.find(open);
        const size_t to = text.find(close);
        std::string list;
        for (const auto& [zone, region] : zones)
            list += zone + " = " + region + "\n";
        if (from != std::string::npos && to != std::string::npos)
            text.replace(from, to + close.size() - from, list);
        for (const auto& [name, value] : fields) {
            const std::string placeholder = "{{" + name + "}}";
            for (size_t at; (at = text.find(placeholder)) != std::string::npos;)
                text.replace(at, placeholder.size(), value);
        }
        // The template fixes this port; the script takes a free one.
        const std::string metrics = "metrics-port = ";
        if (const size_t at = text.find(metrics); at != std::string::npos) {
            const size_t value = at + metrics.size();
            text.replace(value, text.find('\n', value) - value, std::to_string(freePort(place_.ip_)));
        }
        std::ofstream(settingsPath()) << text;
    }

    const Place& place() const { return place_; }
    std::string settingsPath() const { return folder_ + "/" + place_.name_ + ".ini"; }

    void start()
    {
        const std::string program = root_ + "/target/src/daemon/turmericwingd";
        const std::string settings = settingsPath();
        const std::string log = folder_ + "/" + place_.name_ + ".log";
        pid_ = fork();
        if (pid_ != 0)
            return;
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(out, 1);
        dup2(out, 2);
        execl(program.c_str(), program.c_str(), "--front=gateway", "--settings", settings.c_str(), nullptr);
        _exit(127);
    }

    /// Whether the process has ended by itself.
    bool hasEnded()
    {
        if (pid_ <= 0 || waitpid(pid_, nullptr, WNOHANG) != pid_)
            return false;
        pid_ = -1;
        return true;
    }

    pid_t pid() const { return pid_; }

    /// Resident memory in MB; 0 if the process has ended.
    double residentMb() const
    {
        std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
        for (std::string line; std::getline(status, line);)
            if (line.rfind("VmRSS:", 0) == 0)
                return std::atof(line.c_str() + 6) / 1024;
        return 0;
    }

    void end()
    {
        if (pid_ <= 0)
            return;
        kill(pid_, SIGKILL);
        waitpid(pid_, nullptr, 0);
        pid_ = -1;
    }

    ~Gateway() { end(); }

private:
    const std::string root_;
    const std::string folder_;
    const Place place_;
    pid_t pid_ = -1;
};

/// Opens a connection; -1 if that fails within a second.
inline int connectTo(const std::string& ip, int port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in address = endpoint(ip, port);
    connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    pollfd waiting { fd, POLLOUT, 0 };
    int error = 0;
    socklen_t size = sizeof(error);
    if (poll(&waiting, 1, 1000) != 1 || getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0
        || error != 0) {
        close(fd);
        return -1;
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    const int yes = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
    return fd;
}

/// Sends a request on a connection of its own and returns the answer; the status line is empty if there is
/// none within `timeoutMs`.
inline Message request(const std::string& ip, int port, const std::string& bytes, int timeoutMs)
{
    Message answer;
    const int fd = connectTo(ip, port);
    if (fd < 0)
        return answer;
    std::string rest;
    if (!sendAll(fd, bytes) || !readMessage(fd, rest, answer, timeoutMs))
        answer = {};
    close(fd);
    return answer;
}

/// The gateways of a script, one in each of the zones given, with the bounds of the site sanad-lease.
struct Fleet {
    int callersPort_ = 0;
    int readinessPort_ = 0;
    std::vector<std::unique_ptr<Gateway>> gateways_ {};
};

constexpr double memoryLimitMb = 260; // machines of the site sanad-lease

/// Starts the gateways on addresses `network`.1, .2 and so on. Returns an empty fleet if one of them is not
/// ready within 10 s.
inline Fleet startFleet(const std::string& root, const std::string& folder, const std::string& network,
    const std::vector<std::string>& places, const std::map<std::string, std::string>& zones,
    const std::string& storeAddress)
{
    const std::string firstIp = network + ".1";
    Fleet fleet { freePort(firstIp), freePort(firstIp) };
    const int lookups = freePort(firstIp);
    const int peers = freePort(firstIp);
    for (const std::string& zone : places) {
        const std::string ip = network + "." + std::to_string(fleet.gateways_.size() + 1);
        const std::string name = "edge-" + zone + "-" + std::to_string(fleet.gateways_.size() + 1);
        const auto at = [&](int port) { return ip + ":" + std::to_string(port); };
        fleet.gateways_.push_back(
            std::make_unique<Gateway>(root, folder, Gateway::Place { name, zone, zones.at(zone), ip },
                std::map<std::string, std::string> { { "node", name }, { "region", zones.at(zone) },
                    { "zone", zone }, { "listen.front", at(fleet.callersPort_) },
                    { "listen.ready", at(fleet.readinessPort_) }, { "listen.directory", at(lookups) },
                    { "port_range", std::to_string(peers) + "," + std::to_string(peers + 15) },
                    { "platform.address", storeAddress },
                    { "limits.memory_mb", std::to_string(static_cast<int>(memoryLimitMb)) },
                    { "limits.link_mbps", "1000.0" }, { "bounds.retry_ratio", "0.2" },
                    { "bounds.retry_slack", "62" }, { "bounds.drain", "2500ms" }, { "bounds.grace", "6s" },
                    { "bounds.ttl_max", "5s" } },
                zones));
        fleet.gateways_.back()->start();
    }
    const std::string check = "GET /api/readyz HTTP/1.1\r\nHost: a\r\n\r\n";
    const double end = now() + 10;
    for (const auto& gateway : fleet.gateways_) {
        while (request(gateway->place().ip_, fleet.readinessPort_, check, 500).status() != 200) {
            if (now() > end) {
                std::fprintf(stderr, "%s is not ready\n", gateway->place().name_.c_str());
                return {};
            }
            sleepSeconds(0.05);
        }
    }
    return fleet;
}

/// An entry of the configuration's list of resources.
inline Json resource(const std::string& type, const std::string& name, Json spec)
{
    return { { "type", type }, { "metadata", { { "name", name } } }, { "spec", std::move(spec) } };
}

inline std::string randomId()
{
    static std::mutex mutex;
    static std::mt19937_64 random { std::random_device {}() };
    std::lock_guard lock(mutex);
    char text[20];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(random()));
    return text;
}

} // namespace review
