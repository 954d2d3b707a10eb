// Pipelined requests through a gateway. They guard against a read that waits for the one before it, against
// answers out of order, and against requests that are passed on behind an answer that closes the connection.
#include "live.h"

#include <doctest/doctest.h>

using namespace turmericwing;
using namespace turmericwing::gateway::test;

namespace {

std::string request(const std::string& method, const std::string& target, const std::string& fields = {})
{
    return method + " " + target + " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + target
        + "\r\nX-Deadline-Ms: 3000\r\nAuthorization: Token key-1\r\n" + fields + "\r\n";
}

/// An upstream that records the targets that it runs, and how many of them at the same time.
struct PipelineFixture {
    PipelineFixture()
        : upstream_(fixture_.store_, "u1")
    {
        upstream_.handler_ = [this](const httplib::Request& received, httplib::Response& response) {
            begin(received.path);
            // Later answers are ready first.
            const bool slow = received.path.find("slow") != std::string::npos;
            standin::Server::waitUntil(monotonicNow() + std::chrono::milliseconds(slow ? 600 : 100));
            end();
            response.set_content("answer to " + received.path, "text/plain");
        };
        fixture_.start();
        REQUIRE(eventually([&] { return fixture_.isReady(); }));
    }

    void begin(const std::string& path)
    {
        std::lock_guard lock(mutex_);
        paths_.push_back(path);
        mostRunning_ = std::max(mostRunning_, ++running_);
    }
    void end()
    {
        std::lock_guard lock(mutex_);
        --running_;
    }
    std::vector<std::string> paths()
    {
        std::lock_guard lock(mutex_);
        return paths_;
    }

    std::mutex mutex_;
    std::vector<std::string> paths_;
    int running_ = 0;
    int mostRunning_ = 0;
    Fixture fixture_;
    Upstream upstream_;
};

} // namespace

TEST_CASE("reads run side by side and are answered in order")
{
    PipelineFixture pipeline;
    const std::string answers = pipeline.fixture_.sendRaw(
        request("GET", "/read/slow") + request("GET", "/read/2") + request("GET", "/read/3"),
        "answer to /read/3");
    const size_t first = answers.find("answer to /read/slow");
    const size_t second = answers.find("answer to /read/2");
    CHECK(first != std::string::npos);
    CHECK(second != std::string::npos);
    CHECK(first < second);
    CHECK(second < answers.find("answer to /read/3"));
    CHECK(pipeline.mostRunning_ > 1);
}

TEST_CASE("a write runs alone, and what follows it waits")
{
    PipelineFixture pipeline;
    const std::string answers = pipeline.fixture_.sendRaw(request("GET", "/read/slow")
            + request("POST", "/write/1", "Content-Length: 0\r\n") + request("GET", "/read/2"),
        "answer to /read/2");
    CHECK(answers.find("answer to /write/1") != std::string::npos);
    CHECK(pipeline.mostRunning_ == 1);
    CHECK(pipeline.paths() == std::vector<std::string> { "/read/slow", "/write/1", "/read/2" });
}

TEST_CASE("nothing is passed on behind a request that closes the connection or is malformed")
{
    PipelineFixture pipeline;
    const std::string closed = pipeline.fixture_.sendRaw(
        request("GET", "/read/1", "Connection: close\r\n") + request("GET", "/read/2"), {});
    CHECK(closed.find("answer to /read/1") != std::string::npos);
    CHECK(closed.find("Connection: close") != std::string::npos);
    const std::string malformed = pipeline.fixture_.sendRaw(
        request("GET", "/read/slow") + "nonsense\r\n\r\n" + request("GET", "/read/2"), {});
    CHECK(malformed.find("answer to /read/slow") < malformed.find("HTTP/1.1 400"));
    CHECK(malformed.find("HTTP/1.1 400") != std::string::npos);
    CHECK(pipeline.paths() == std::vector<std::string> { "/read/1", "/read/slow" });
}

TEST_CASE("a caller that leaves ends all of its requests")
{
    PipelineFixture pipeline;
    std::atomic<int> left = 0;
    pipeline.upstream_.handler_ = [&](const httplib::Request& received, httplib::Response&) {
        pipeline.begin(received.path);
        left += standin::Server::waitUntil(monotonicNow() + std::chrono::seconds(30)) ? 0 : 1;
    };
    const int fd = connectTo(pipeline.fixture_.settings_.callerAddress_);
    const std::string both = request("GET", "/read/1") + request("GET", "/read/2");
    CHECK(send(fd, both.data(), both.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(both.size()));
    CHECK(eventually([&] { return pipeline.paths().size() == 2; }));
    close(fd);
    CHECK(eventually([&] { return left == 2; }));
}

TEST_CASE("a drain answers the requests that were passed on")
{
    PipelineFixture pipeline;
    std::string answers;
    std::thread caller([&] {
        answers = pipeline.fixture_.sendRaw(request("GET", "/read/slow") + request("GET", "/read/slow2"), {});
    });
    CHECK(eventually([&] { return pipeline.paths().size() == 2; }));
    pipeline.fixture_.drain();
    caller.join();
    CHECK(answers.find("answer to /read/slow2") != std::string::npos);
    CHECK(answers.find("Connection: close") > answers.find("answer to /read/slow"));
}
