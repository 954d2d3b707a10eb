// A gateway with upstreams that repeat an earlier refusal on a kept connection. Guards against callers that
// are told "not run" for a request that an upstream has run, and against requests that run twice.
#include "live.h"

#include <doctest/doctest.h>

#include <map>
#include <mutex>

using namespace turmericwing;
using namespace turmericwing::gateway;
using namespace turmericwing::gateway::test;

namespace {

/// Where an upstream repeats the refusal that it sent last on the connection.
struct Repetition {
    int beforeAnswer_ = 0; ///< Copies before the next answer, after its request was read.
    int whileIdle_ = 0; ///< Copies right after an answer.
    bool withoutId_ = false; ///< The copies have no request id.
    bool withBothIds_
        = false; ///< The copies have the id of the running request and then that of the refused.
    bool afterInterim_ = false; ///< An interim answer precedes the copies.
};

void sendAll(int fd, const std::string& bytes) { send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL); }

/// Refuses requests whose body is "refuse" and runs all others. Counts the runs by request id.
class RepeatingUpstream {
public:
    RepeatingUpstream(standin::RowStore& store, const std::string& id, Repetition repetition,
        std::function<void(const std::string& requestId)> onRun)
        : repetition_(repetition)
        , onRun_(std::move(onRun))
        , upstream_(store, id)
    {
        upstream_.handler_ = [this](const httplib::Request& request, httplib::Response& response) {
            handle(request, response);
        };
    }

    ~RepeatingUpstream()
    {
        std::lock_guard lock(mutex_);
        for (std::thread& sender : senders_)
            sender.join();
    }

private:
    static std::string refusal(const std::string& idFields)
    {
        return "HTTP/1.1 503 Service Unavailable\r\n" + idFields
            + "X-Not-Run: 1\r\nX-Response-Seal: s\r\nContent-Length: 0\r\n\r\n";
    }

    void handle(const httplib::Request& request, httplib::Response& response)
    {
        const int fd = standin::Server::currentConnection().fd_;
        const std::string id = request.get_header_value("X-Attempt-Id");
        if (request.body == "refuse") {
            std::lock_guard lock(mutex_);
            refused_[fd] = id;
            response.status = 503;
            response.set_header("X-Not-Run", "1");
            return;
        }
        onRun_(id);
        const std::string copy = repeatedRefusal(fd, id);
        if (!copy.empty() && repetition_.afterInterim_)
            sendAll(fd, "HTTP/1.1 102 Processing\r\n\r\n");
        for (int i = 0; i < repetition_.beforeAnswer_; ++i)
            sendAll(fd, copy);
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        response.set_content("ran", "text/plain");
        if (repetition_.whileIdle_ == 0)
            return;
        std::lock_guard lock(mutex_);
        senders_.emplace_back([copy, fd, count = repetition_.whileIdle_] {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
            for (int i = 0; i < count; ++i)
                sendAll(fd, copy);
        });
    }

    /// The refusal to repeat on the connection; empty if nothing was refused there.
    std::string repeatedRefusal(int fd, const std::string& runningId)
    {
        std::lock_guard lock(mutex_);
        const auto refused = refused_.find(fd);
        if (refused == refused_.end())
            return {};
        const std::string idField = "X-Attempt-Id: " + refused->second + "\r\n";
        if (repetition_.withoutId_)
            return refusal("");
        if (repetition_.withBothIds_)
            return refusal("X-Attempt-Id: " + runningId + "\r\n" + idField);
        return refusal(idField);
    }

    const Repetition repetition_;
    const std::function<void(const std::string&)> onRun_;
    std::mutex mutex_;
    std::vector<std::thread> senders_; ///< Send copies after an answer.
    std::map<int, std::string> refused_; ///< Id of the request refused last, by connection.
    Upstream upstream_;
};

/// Two upstreams that repeat refusals, and the runs of each request at both.
struct RepeatingFixture {
    explicit RepeatingFixture(Repetition repetition)
    {
        const auto count = [this](const std::string& id) {
            std::lock_guard lock(mutex_);
            ++runs_[id];
        };
        for (const std::string id : { "u1", "u2" })
            upstreams_.push_back(std::make_unique<RepeatingUpstream>(fixture_.store_, id, repetition, count));
        fixture_.start();
        REQUIRE(eventually([&] { return fixture_.isReady(); }));
        client_ = fixture_.client();
    }

    int runs(const std::string& id)
    {
        std::lock_guard lock(mutex_);
        return runs_[id];
    }

    /// Sends a request that must not run twice. Returns the status.
    int write(const std::string& id, const std::string& body)
    {
        auto headers = Fixture::headers(id);
        if (id.empty())
            headers.erase("X-Attempt-Id");
        const auto answer = client_->Post("/write/x", headers, body, "text/plain");
        return answer ? answer->status : 0;
    }

    std::mutex mutex_;
    std::map<std::string, int> runs_;
    std::vector<std::unique_ptr<RepeatingUpstream>> upstreams_;
    Fixture fixture_;
    std::unique_ptr<httplib::Client> client_;
};

bool promisesNotRun(int status) { return status == 408 || status == 421 || status == 429 || status == 503; }

} // namespace

TEST_CASE("a refusal that an upstream repeats is not taken for the answer to another request")
{
    Repetition repetition;
    int served = 200;
    SUBCASE("once before the next answer") { repetition = { .beforeAnswer_ = 1 }; }
    SUBCASE("three times before the next answer") { repetition = { .beforeAnswer_ = 3 }; }
    SUBCASE("while the connection is idle") { repetition = { .whileIdle_ = 2 }; }
    SUBCASE("without an id") { repetition = { .beforeAnswer_ = 1, .withoutId_ = true }; }
    SUBCASE("with both ids") { repetition = { .beforeAnswer_ = 1, .withBothIds_ = true }; }
    SUBCASE("after an interim answer") { repetition = { .beforeAnswer_ = 1, .afterInterim_ = true }; }
    SUBCASE("without end")
    {
        repetition = { .beforeAnswer_ = 200 };
        served = 502;
    }
    RepeatingFixture test(repetition);
    int answers = 0;
    for (int i = 0; i < 6; ++i) {
        const std::string id = "id-" + std::to_string(i);
        CHECK(test.write(id + "-refused", "refuse") == 503);
        CHECK(test.runs(id + "-refused") == 0);
        for (int j = 0; j < 3; ++j) {
            const std::string next = id + "-" + std::to_string(j);
            const int status = test.write(next, "x");
            CAPTURE(next);
            CAPTURE(status);
            // After refusals, the upstreams may count as full for a moment.
            const int ran = test.runs(next);
            CHECK(ran <= 1);
            CHECK((ran == 0 ? status == 503 : status == 200 || status == served));
            answers += status == 200 || status == served ? 1 : 0;
        }
    }
    CHECK(answers > 0);
}

TEST_CASE("a caller that uses an id again, or none, is not told that its request has not run")
{
    RepeatingFixture test({ .beforeAnswer_ = 1 });
    const std::string id = [] {
        std::string used;
        SUBCASE("the same id") { used = "id"; }
        SUBCASE("no id") { used = ""; }
        return used;
    }();
    for (int i = 0; i < 6; ++i) {
        test.write(id, "refuse");
        const int before = test.runs(id);
        const int status = test.write(id, "x");
        const int ran = test.runs(id) - before;
        CAPTURE(status);
        CHECK(ran <= 1);
        if (ran == 1)
            CHECK_FALSE(promisesNotRun(status));
    }
}

TEST_CASE("a status that promises no run is not passed on without the upstream's statement")
{
    // An upstream's own 503 was passed on, and callers took it for a promise that the request has not run.
    Fixture fixture;
    Upstream upstream(fixture.store_, "u1");
    int status = 0;
    SUBCASE("503") { status = 503; }
    SUBCASE("429") { status = 429; }
    SUBCASE("408") { status = 408; }
    upstream.handler_
        = [status](const httplib::Request&, httplib::Response& response) { response.status = status; };
    fixture.start();
    REQUIRE(eventually([&] { return fixture.isReady(); }));
    const auto answer = fixture.client()->Post("/write/x", fixture.headers("id-1"), "x", "text/plain");
    REQUIRE(answer);
    CHECK(answer->status == 502);
    CHECK(answer->get_header_value("X-Response-Seal").empty());
    CHECK(upstream.requests_ == 1);
}
