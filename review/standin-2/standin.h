// Stand-ins of the review: the platform's store, upstreams, the process under test and callers. They speak
// what the users' pages say, on loopback addresses, with one thread for each connection.
#pragma once

#include <nlohmann/json.hpp>

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <string>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

inline const Clock::time_point startedAt = Clock::now();
inline double elapsed() { return std::chrono::duration<double>(Clock::now() - startedAt).count(); }
inline void sleepFor(double seconds) { std::this_thread::sleep_for(std::chrono::duration<double>(seconds)); }

/// The record of a run, one line an event, with seconds since the start.
class Record {
public:
    explicit Record(const char* path)
        : file_(std::fopen(path, "w"))
    {
        if (!file_)
            throw std::runtime_error(std::string("cannot write ") + path);
    }
    ~Record() { std::fclose(file_); }
    Record(const Record&) = delete;
    Record& operator=(const Record&) = delete;

    __attribute__((format(printf, 2, 3))) void line(const char* format, ...)
    {
        std::lock_guard lock(mutex_);
        std::fprintf(file_, "%8.3f s  ", elapsed());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(file_, format, arguments);
        va_end(arguments);
        std::fputc('\n', file_);
        std::fflush(file_);
    }

private:
    std::mutex mutex_;
    std::FILE* file_;
};

inline sockaddr_in loopback(int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<uint16_t>(port));
    return address;
}

inline int listenOn(int port, int backlog = 1024)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = loopback(port);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0
        || listen(fd, backlog) != 0)
        throw std::runtime_error("cannot listen");
    return fd;
}

inline int portOf(int fd)
{
    sockaddr_in address {};
    socklen_t size = sizeof address;
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

inline int freePort()
{
    const int fd = listenOn(0);
    const int port = portOf(fd);
    close(fd);
    return port;
}

/// Returns a connected socket, or -1.
inline int connectTo(int port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    if (fd < 0 || connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        if (fd >= 0)
            close(fd);
        return -1;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

inline bool sendAll(int fd, const char* data, size_t size)
{
    while (size > 0) {
        const ssize_t sent = send(fd, data, size, MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        data += sent;
        size -= static_cast<size_t>(sent);
    }
    return true;
}
inline bool sendAll(int fd, const std::string& data) { return sendAll(fd, data.data(), data.size()); }

/// A received HTTP/1.1 message with a body of known length.
struct Message {
    std::string start_;
    std::map<std::string, std::string> fields_; ///< Names in lower case.
    std::string body_;
    std::string field(const std::string& name) const
    {
        const auto found = fields_.find(name);
        return found == fields_.end() ? std::string() : found->second;
    }
    int status() const { return start_.size() > 12 ? std::atoi(start_.c_str() + 9) : 0; }
    std::string method() const { return start_.substr(0, start_.find(' ')); }
    std::string target() const
    {
        const size_t from = start_.find(' ') + 1;
        return start_.substr(from, start_.find(' ', from) - from);
    }
};

/// Reads messages from a connection; keeps what was read beyond one.
class Reader {
public:
    explicit Reader(int fd)
        : fd_(fd)
    {
    }

    /// Returns false at the end of the connection, or without a whole message within `seconds`.
    bool read(Message& message, double seconds = 3600)
    {
        const double until = elapsed() + seconds;
        size_t end = 0;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
            if (!more(until))
                return false;
        }
        message = {};
        size_t line = 0;
        while (line < end) {
            const size_t next = std::min(buffer_.find("\r\n", line), end);
            const std::string text = buffer_.substr(line, next - line);
            const size_t colon = text.find(':');
            if (line == 0)
                message.start_ = text;
            else if (colon != std::string::npos) {
                std::string name = text.substr(0, colon);
                for (char& c : name)
                    c = static_cast<char>(std::tolower(c));
                message.fields_[name]
                    = text.substr(std::min(text.find_first_not_of(' ', colon + 1), text.size()));
            }
            line = next + 2;
        }
        const size_t size = std::strtoul(message.field("content-length").c_str(), nullptr, 10);
        while (buffer_.size() < end + 4 + size) {
            if (!more(until))
                return false;
        }
        message.body_ = buffer_.substr(end + 4, size);
        buffer_.erase(0, end + 4 + size);
        return true;
    }

private:
    bool more(double until)
    {
        pollfd wait { fd_, POLLIN, 0 };
        const double left = until - elapsed();
        if (left <= 0 || poll(&wait, 1, static_cast<int>(left * 1000) + 1) <= 0)
            return false;
        char bytes[65536];
        const ssize_t size = recv(fd_, bytes, sizeof bytes, 0);
        if (size <= 0)
            return false;
        buffer_.append(bytes, static_cast<size_t>(size));
        return true;
    }

    const int fd_;
    std::string buffer_;
};

/// Accepts connections and serves each in a thread of its own.
class Server {
public:
    using Handler = std::function<void(int fd)>;
    explicit Server(Handler handler)
        : handler_(std::move(handler))
        , fd_(listenOn(0))
        , port_(portOf(fd_))
    {
        std::thread([fd = fd_, serve = handler_] {
            for (;;) {
                const int connection = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (connection < 0)
                    continue;
                const int on = 1;
                setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                std::thread([connection, serve] {
                    serve(connection);
                    close(connection);
                }).detach();
            }
        }).detach();
    }
    int port() const { return port_; }

private:
    const Handler handler_;
    const int fd_;
    const int port_;
};

inline std::string toBase64(const std::string& bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (size_t i = 0; i < bytes.size(); i += 3) {
        uint32_t group = 0;
        for (size_t j = 0; j < 3; ++j)
            group = group << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0);
        for (size_t j = 0; j < 4; ++j)
            text += i + j <= bytes.size() ? digits[group >> (18 - 6 * j) & 63] : '=';
    }
    return text;
}

/// The platform's metadata store: rows in tables, with an empty part only.
class Store {
public:
    Store()
        : server_([this](int fd) { serve(fd); })
    {
    }
    int port() const { return server_.port(); }

    /// Writes a row as the operator or an upstream does.
    void put(const std::string& table, const std::string& key, const Json& value)
    {
        std::lock_guard lock(mutex_);
        rows_[{ table, key }] = { toBase64(value.dump()), ++version_, false };
        changed_.notify_all();
    }

private:
    struct Row {
        std::string value_; ///< Base64.
        uint64_t version_ = 0;
        bool removed_ = false;
    };

    static std::string parameter(const std::string& target, const std::string& name)
    {
        const size_t found = target.find(name + "=");
        if (found == std::string::npos)
            return {};
        const size_t from = found + name.size() + 1;
        return target.substr(from, target.find('&', from) - from);
    }

    Json rowJson(const std::pair<std::string, std::string>& name, const Row& row) const
    {
        Json json { { "table", name.first }, { "part", "" }, { "key", name.second },
            { "ver", row.version_ } };
        if (row.removed_)
            json["tombstone"] = true;
        else
            json["value"] = row.value_;
        return json;
    }

    Json changedRows(const std::string& table, uint64_t after) const
    {
        std::map<uint64_t, Json> rows;
        for (const auto& [name, row] : rows_) {
            if (name.first == table && row.version_ > after)
                rows.emplace(row.version_, rowJson(name, row));
        }
        Json list = Json::array();
        for (const auto& [version, row] : rows)
            list.push_back(row);
        return list;
    }

    int transact(const Json& call)
    {
        for (const Json& row : call.value("expected", Json::array())) {
            const auto known = rows_.find({ row.at("table"), row.at("key") });
            const uint64_t version
                = known == rows_.end() || known->second.removed_ ? 0 : known->second.version_;
            if (row.at("ver").get<uint64_t>() != version)
                return 412;
        }
        ++version_;
        for (const Json& row : call.value("writes", Json::array()))
            rows_[{ row.at("table"), row.at("key") }] = { row.at("value"), version_, false };
        for (const Json& row : call.value("remove", Json::array()))
            rows_[{ row.at("table"), row.at("key") }] = { "", version_, true };
        changed_.notify_all();
        return 200;
    }

    void serve(int fd)
    {
        Reader reader(fd);
        for (Message call; reader.read(call);) {
            const std::string target = call.target();
            const std::string table = parameter(target, "table");
            int status = 200;
            Json answer = Json::object();
            std::unique_lock lock(mutex_);
            if (target.starts_with("/api/rows-get")) {
                answer["rows"] = Json::array();
                for (const auto& [name, row] : rows_) {
                    if (name.first == table && !row.removed_)
                        answer["rows"].push_back(rowJson(name, row));
                }
                answer["has_more"] = false;
            } else if (target.starts_with("/api/rows-feed")) {
                const uint64_t after = std::strtoull(parameter(target, "after").c_str(), nullptr, 10);
                const auto wait = std::chrono::milliseconds(std::atoi(parameter(target, "wait_ms").c_str()));
                changed_.wait_for(lock, wait, [&] { return !changedRows(table, after).empty(); });
                answer["rows"] = changedRows(table, after);
            } else if (target.starts_with("/api/rows-tx")) {
                status = transact(Json::parse(call.body_));
            } else {
                status = 404;
            }
            answer["ver"] = version_;
            answer["now"] = std::to_string(static_cast<int64_t>(elapsed() * 1000) + 1000) + "ms";
            lock.unlock();
            const std::string body = answer.dump();
            if (!sendAll(fd,
                    "HTTP/1.1 " + std::to_string(status)
                        + " Status\r\nContent-Type: application/json\r\nContent-Length: "
                        + std::to_string(body.size()) + "\r\n\r\n" + body))
                return;
        }
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::pair<std::string, std::string>, Row> rows_;
    uint64_t version_ = 0;
    Server server_;
};

/// An upstream: answers each request after `work` seconds with its seal and a short body. Refuses what
/// exceeds its slots and three times as many waiting ones, and says so.
class Upstream {
public:
    Upstream(
        Store& store, std::string id, const char* zone, int slots, std::function<double(const Message&)> work)
        : id_(std::move(id))
        , slots_(slots)
        , work_(std::move(work))
        , server_([this](int fd) { serve(fd); })
    {
        store.put("servers", id_,
            { { "service", "s" }, { "address", "127.0.0.1:" + std::to_string(server_.port()) },
                { "zone", zone }, { "version", "v1" }, { "slots", slots }, { "state", "ready" },
                { "cold_left", "0ms" }, { "seq", 1 }, { "born", 1'790'000'000'000 } });
    }
    std::atomic<int> runs_ = 0;

private:
    void serve(int fd)
    {
        Reader reader(fd);
        for (Message request; reader.read(request);) {
            const std::string head = "X-Attempt-Id: " + request.field("x-attempt-id") + "\r\n";
            if (request.field("x-expect-instance") != id_) {
                if (!sendAll(fd, "HTTP/1.1 421 Misdirected\r\n" + head + "Content-Length: 0\r\n\r\n"))
                    return;
                continue;
            }
            if (present_ >= 4 * slots_) {
                if (!sendAll(
                        fd, "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\n" + head + "Content-Length: 0\r\n\r\n"))
                    return;
                continue;
            }
            ++present_;
            ++runs_;
            sleepFor(work_(request));
            --present_;
            if (!sendAll(fd,
                    "HTTP/1.1 200 OK\r\n" + head + "X-Response-Seal: " + id_
                        + "\r\nContent-Length: 2\r\n\r\nok"))
                return;
        }
    }

    const std::string id_;
    const int slots_;
    const std::function<double(const Message&)> work_;
    std::atomic<int> present_ = 0;
    Server server_;
};

inline Json route(
    const char* name, const char* prefix, const char* kind, const char* timeout, const char* slo)
{
    return { { "type", "routes" }, { "metadata", { { "name", name } } },
        { "spec",
            { { "host", "a.example" }, { "prefix", prefix }, { "kind", kind }, { "timeout", timeout },
                { "slo", slo }, { "priority", 1 }, { "service", "s" }, { "attempts", 2 }, { "public", false },
                { "sticky", false }, { "home_regions", Json::array() } } } };
}

/// The operator's configuration, with the limits of the users' example.
inline Json configuration(const Json& routes)
{
    Json resources = routes;
    resources.push_back({ { "type", "services" }, { "metadata", { { "name", "s" } } },
        { "spec",
            { { "health_path", "/healthz" }, { "max_conns", 1560 }, { "protocol", "h1" }, { "tls", false },
                { "cold", "3s" }, { "cold_per_s", 5.0 } } } });
    resources.push_back({ { "type", "tenants" }, { "metadata", { { "name", "t1" } } },
        { "spec",
            { { "api_keys", { "key-1" } }, { "priority", 0 }, { "rate_per_s", 100000 }, { "burst", 100000 },
                { "home_regions", Json::array() } } } });
    resources.push_back({ { "type", "limits" }, { "metadata", Json::object() },
        { "spec",
            { { "header_bytes", 16384 }, { "max_body_bytes", 67108864 }, { "header_timeout", "3000ms" },
                { "idle_timeout", "15000ms" } } } });
    return { { "version", 1 }, { "resources", resources } };
}

struct Limits {
    int memoryMb_ = 260;
    int descriptors_ = 4100;
    int linkMbps_ = 1000;
    double cpuShare_ = 0.2;
};

/// A gateway process with the command of the deploy file.
class Gateway {
public:
    Gateway(const std::string& directory, const Store& store, const Limits& limits)
    {
        const std::string path = directory + "/host.ini";
        const auto local = [](int port) { return "127.0.0.1:" + std::to_string(port) + "\n"; };
        const std::string peers = std::to_string(freePort());
        std::ofstream(path) << "[host]\nname = edge-a-1\nregion = r\nfailure-domain = a\n[listen]\ncallers = "
                            << local(callerPort_) << "readiness = " << local(readinessPort_)
                            << "lookups = " << local(freePort()) << "peer-ports = " << peers << "," << peers
                            << "\nmetrics-port = " << freePort()
                            << "\n[store]\naddress = " << local(store.port())
                            << "[limits]\nmemory-mb = " << limits.memoryMb_
                            << "\nlink-mbps = " << limits.linkMbps_ << "\ncpu-share = " << limits.cpuShare_
                            << "\ncores = 1\nmax-descriptors = " << limits.descriptors_
                            << "\n[failure-domains]\na = r\n[bounds]\nretry-ratio = 0.2\nretry-slack = 62\n"
                               "drain-time = 2500ms\nstop-time = 6s\nlookup-life = 5s\n";
        const std::string log = directory + "/gateway.log";
        pid_ = fork();
        if (pid_ < 0)
            throw std::runtime_error("cannot fork");
        if (pid_ == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL); // Ends with the case, also when that is killed.
            const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
            dup2(out, STDOUT_FILENO);
            dup2(out, STDERR_FILENO);
            execl("target/src/daemon/turmericwingd", "target/src/daemon/turmericwingd", "--front=gateway",
                "--settings", path.c_str(), static_cast<char*>(nullptr));
            _exit(127);
        }
    }
    ~Gateway() { end(); }
    Gateway(const Gateway&) = delete;
    Gateway& operator=(const Gateway&) = delete;

    bool isReady() const
    {
        const int fd = connectTo(readinessPort_);
        if (fd < 0)
            return false;
        Message answer;
        const bool answered
            = sendAll(fd, "GET /api/readyz HTTP/1.1\r\nHost: platform\r\n\r\n") && Reader(fd).read(answer, 1);
        close(fd);
        return answered && answer.status() == 200;
    }
    bool waitReady(double seconds) const
    {
        for (const double until = elapsed() + seconds; elapsed() < until; sleepFor(0.05)) {
            if (isReady())
                return true;
        }
        return false;
    }
    bool hasEnded()
    {
        if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) != 0)
            pid_ = 0;
        return pid_ == 0;
    }
    void end()
    {
        if (pid_ > 0) {
            kill(pid_, SIGKILL);
            waitpid(pid_, nullptr, 0);
        }
        pid_ = 0;
    }

    /// Memory of the process that lies in the machine's memory, in KB.
    uint64_t residentKb() const
    {
        std::ifstream status("/proc/" + std::to_string(pid_.load()) + "/status");
        for (std::string word; status >> word;) {
            uint64_t kb = 0;
            if (word == "VmRSS:" && status >> kb)
                return kb;
        }
        return 0;
    }
    int callerPort() const { return callerPort_; }

private:
    const int callerPort_ = freePort();
    const int readinessPort_ = freePort();
    std::atomic<pid_t> pid_ = 0; ///< 0 once the process has ended.
};

inline std::string requestHead(const std::string& method, const std::string& target, const std::string& id,
    size_t bodyBytes, int deadlineMs)
{
    std::string head = method + " " + target + " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + id
        + "\r\nX-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\nAuthorization: Token key-1\r\n";
    if (method == "POST")
        head += "Content-Length: " + std::to_string(bodyBytes) + "\r\n";
    return head + "\r\n";
}

/// Lets this process, and those that it starts, have that many descriptors. Returns false if the system does
/// not.
inline bool allowDescriptors(rlim_t count)
{
    rlimit limit {};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_max < count)
        return false;
    limit.rlim_cur = std::max(limit.rlim_cur, count);
    return setrlimit(RLIMIT_NOFILE, &limit) == 0;
}

/// Runs a case with a temporary folder that is removed at the end. Returns the exit status: 0 if the rule
/// held, 1 if it was broken, 2 if the case could not run.
inline int runCase(const char* recordPath,
    const std::function<int(Record&, const std::string& directory, bool trouble)>& run)
{
    std::signal(SIGPIPE, SIG_IGN);
    char directory[] = "/tmp/review-XXXXXX";
    int status = 2;
    try {
        Record record(recordPath);
        if (!mkdtemp(directory))
            throw std::runtime_error("no temporary folder");
        const char* trouble = std::getenv("TROUBLE");
        status = run(record, directory, !trouble || std::string(trouble) != "0");
        record.line("exit status %d", status);
    } catch (const std::exception& fault) {
        std::fprintf(stderr, "case could not run: %s\n", fault.what());
    }
    for (const char* name : { "/host.ini", "/gateway.log" })
        unlink((std::string(directory) + name).c_str());
    rmdir(directory);
    std::fflush(nullptr);
    _exit(status); // The threads of the stand-ins have no end of their own.
}

} // namespace review
