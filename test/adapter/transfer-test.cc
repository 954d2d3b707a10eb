// Tests of reading a table over a link that is slow for its size. They guard against a host that keeps an old
// configuration because every transfer of a large one is cut off and begins again.
#include "platform/store.h"

#include "turmericwing/base/base64.h"
#include "turmericwing/gateway/httpchannel.h"
#include "turmericwing/gateway/watch.h"

#include <boost/asio/io_context.hpp>

#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <atomic>
#include <functional>
#include <mutex>
#include <optional>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace turmericwing;
using namespace turmericwing::gateway;

namespace {

/// How an answer is sent: in pieces of equal size, with a pause before each piece after the first.
struct Pace {
    size_t pieces_ = 1;
    std::chrono::milliseconds pause_ {};
    size_t sentPieces_ = SIZE_MAX; ///< Pieces after which the connection falls silent.
};

struct PacedAnswer {
    std::string body_;
    Pace pace_;
    bool closeInstead_ = false; ///< Closes the connection without an answer.
};

/// Serves HTTP on a loopback port, one thread for each connection. `answer_` gets the target of each request.
class PacedServer {
public:
    explicit PacedServer(std::function<PacedAnswer(const std::string&)> answer)
        : answer_(std::move(answer))
        , listener_(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
        REQUIRE(listen(listener_, 16) == 0);
        socklen_t size = sizeof(address);
        getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
        address_ = { "127.0.0.1", ntohs(address.sin_port) };
        acceptor_ = std::thread([this] { accept(); });
    }

    ~PacedServer()
    {
        stopping_ = true;
        shutdown(listener_, SHUT_RDWR);
        acceptor_.join();
        {
            const std::lock_guard lock(mutex_);
            for (const int fd : connections_)
                shutdown(fd, SHUT_RDWR);
        }
        for (std::thread& thread : threads_)
            thread.join();
        for (const int fd : connections_)
            close(fd);
        close(listener_);
    }

    PacedServer(const PacedServer&) = delete;
    PacedServer& operator=(const PacedServer&) = delete;

    const Address& address() const { return address_; }

private:
    void accept()
    {
        for (int fd = ::accept(listener_, nullptr, nullptr); fd >= 0 && !stopping_;
             fd = ::accept(listener_, nullptr, nullptr)) {
            const std::lock_guard lock(mutex_);
            connections_.push_back(fd);
            threads_.emplace_back([this, fd] { serve(fd); });
        }
    }

    void serve(int fd)
    {
        std::string received;
        char buffer[4096];
        for (ssize_t size = recv(fd, buffer, sizeof(buffer), 0); size > 0;
             size = recv(fd, buffer, sizeof(buffer), 0)) {
            received.append(buffer, static_cast<size_t>(size));
            if (received.find("\r\n\r\n") == std::string::npos)
                continue;
            const size_t start = received.find(' ') + 1;
            const PacedAnswer answer = answer_(received.substr(start, received.find(' ', start) - start));
            received.clear();
            if (answer.closeInstead_ || !send(fd, answer))
                break;
        }
        shutdown(fd, SHUT_RDWR);
    }

    bool send(int fd, const PacedAnswer& answer) const
    {
        const std::string bytes = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
            + std::to_string(answer.body_.size()) + "\r\n\r\n" + answer.body_;
        const size_t piece = bytes.size() / answer.pace_.pieces_ + 1;
        size_t sentPieces = 0;
        for (size_t at = 0; at < bytes.size(); at += piece) {
            if (++sentPieces > answer.pace_.sentPieces_)
                return waitForClose(fd);
            if (at > 0)
                std::this_thread::sleep_for(answer.pace_.pause_);
            const size_t size = std::min(piece, bytes.size() - at);
            if (::send(fd, bytes.data() + at, size, MSG_NOSIGNAL) != static_cast<ssize_t>(size))
                return false;
        }
        return true;
    }

    static bool waitForClose(int fd)
    {
        char byte = 0;
        recv(fd, &byte, 1, 0);
        return false;
    }

    std::function<PacedAnswer(const std::string&)> answer_;
    const int listener_;
    Address address_;
    std::atomic<bool> stopping_ = false;
    std::mutex mutex_;
    std::vector<int> connections_;
    std::vector<std::thread> threads_;
    std::thread acceptor_;
};

constexpr size_t largeRowBytes = 900'000;

std::string tableAnswer(size_t rowBytes, uint64_t version)
{
    const std::string value = toBase64(std::string(rowBytes, 'r'));
    return R"({"ver":)" + std::to_string(version)
        + R"(,"now":"1000ms","rows":[{"table":"op","part":"","key":"config","ver":)" + std::to_string(version)
        + R"(,"value":")" + value + R"("}]})";
}

std::string emptyAnswer(uint64_t version)
{
    return R"({"ver":)" + std::to_string(version) + R"(,"now":"1000ms","rows":[]})";
}

bool isFollow(const std::string& target) { return target.find("rows-feed") != std::string::npos; }

/// Sizes of the rows that a watch delivered, and how often it lost the store.
struct Watched {
    std::vector<size_t> rowBytes_;
    int lost_ = 0;
};

/// Follows the table until `enough` or for `limit`.
Watched watchTable(const Address& store, Duration limit, const std::function<bool(const Watched&)>& enough)
{
    boost::asio::io_context loop { 1 };
    Watched watched;
    const auto record = [&](const TableRead& read) {
        for (const StoredRow& row : read.rows_)
            watched.rowBytes_.push_back(row.value_.size());
        if (enough(watched))
            loop.stop();
    };
    TableWatch watch(loop, platform::makeTableStore(loop, store), { .table_ = "op" },
        { .onReplaced_ = record,
            .onChanged_ = record,
            .onLost_ =
                [&](const Error&) {
                    ++watched.lost_;
                    if (enough(watched))
                        loop.stop();
                },
            .onRegained_ = [] {} });
    watch.start();
    loop.run_for(limit);
    return watched;
}

} // namespace

TEST_CASE("a table that takes 3 s to arrive is read at the first try")
{
    // A full read was cut off after 1.5 s, however steadily its bytes came, and began again.
    const PacedServer store([](const std::string& target) {
        if (isFollow(target))
            return PacedAnswer { emptyAnswer(1), {} };
        return PacedAnswer { tableAnswer(largeRowBytes, 1), { 30, std::chrono::milliseconds(100) } };
    });
    const Watched watched = watchTable(
        store.address(), std::chrono::seconds(12), [](const Watched& all) { return !all.rowBytes_.empty(); });
    CHECK(watched.rowBytes_ == std::vector { largeRowBytes });
    CHECK(watched.lost_ == 0);
}

TEST_CASE("a change that takes 3 s to arrive is read after the store was lost")
{
    // Follow calls while the store is lost were cut off after 1 s, so that the host kept its old rows.
    std::atomic<int> follows = 0;
    const PacedServer store([&](const std::string& target) {
        if (!isFollow(target))
            return PacedAnswer { tableAnswer(10, 1), {} };
        if (++follows == 1)
            return PacedAnswer { .closeInstead_ = true };
        return PacedAnswer { tableAnswer(largeRowBytes, 2), { 30, std::chrono::milliseconds(100) } };
    });
    const Watched watched = watchTable(store.address(), std::chrono::seconds(12),
        [](const Watched& all) { return all.rowBytes_.size() >= 2; });
    CHECK(watched.rowBytes_ == std::vector<size_t> { 10, largeRowBytes });
    CHECK(watched.lost_ == 1);
}

TEST_CASE("a transfer that falls silent ends within the time for an answer")
{
    // Without a bound on the silence, a connection that broke in the middle of an answer would hold a host's
    // configuration back until the bound of the whole transfer, or of the wait for a change.
    for (const bool silentFollow : { false, true }) {
        CAPTURE(silentFollow);
        const PacedServer store([&](const std::string& target) {
            if (silentFollow && !isFollow(target))
                return PacedAnswer { tableAnswer(10, 1), {} };
            return PacedAnswer { tableAnswer(largeRowBytes, 2), { 10, std::chrono::milliseconds(50), 4 } };
        });
        const TimePoint start = monotonicNow();
        const Watched watched = watchTable(
            store.address(), std::chrono::seconds(12), [](const Watched& all) { return all.lost_ > 0; });
        CHECK(watched.lost_ == 1);
        CHECK(watched.rowBytes_.size() == (silentFollow ? 1 : 0));
        CHECK(monotonicNow() - start < std::chrono::seconds(3));
    }
}

TEST_CASE("a transfer that goes on without end is given up")
{
    // Guards against a host that waits for good for an answer that trickles in.
    const PacedServer server([](const std::string&) {
        return PacedAnswer { std::string(10'000, 'x'), { 200, std::chrono::milliseconds(20) } };
    });
    boost::asio::io_context loop { 1 };
    HttpChannel channel(loop, server.address());
    std::optional<Result<HttpAnswer>> result;
    channel.call({ .target_ = "/", .transferTimeout_ = std::chrono::milliseconds(400) },
        [&](const Result<HttpAnswer>& answer) {
            result = answer;
            loop.stop();
        });
    loop.run_for(std::chrono::seconds(3));
    REQUIRE(result);
    REQUIRE_FALSE(*result);
    CHECK(result->error().message_.find("not complete in time") != std::string::npos);
}
