// A gateway process under upstreams that answer without end. Guards against a process that runs out of memory
// and ends, with all requests of other callers.
#include "endless.h"
#include "live.h"
#include "process.h"

#include <doctest/doctest.h>

using namespace turmericwing;
using namespace turmericwing::gateway;
using namespace turmericwing::gateway::test;

namespace {

constexpr uint64_t memoryMb = 160; ///< Of the smallest hosts.

/// The usual configuration, and a route to a service "t" of its own.
std::string configurationWithTrouble()
{
    auto document = nlohmann::json::parse(configuration(1));
    auto& resources = document["resources"];
    auto route = resources[0];
    route["metadata"]["name"] = "trouble";
    route["spec"]["prefix"] = "/trouble/";
    route["spec"]["service"] = "t";
    resources.push_back(route);
    // Refusals by rate say nothing about memory, and troubled requests that end fast use up the rate.
    for (auto& resource : resources) {
        if (resource["type"] == "tenants")
            resource["spec"]["rate_per_s"] = 0;
    }
    resources.push_back({ { "type", "services" }, { "metadata", { { "name", "t" } } },
        { "spec", { { "cold_per_s", 10.0 } } } });
    return document.dump();
}

/// Sends GET requests to the process, one after the other, until told to stop.
class Caller {
public:
    Caller(const Process& process, std::string path, std::atomic<bool>& stopping)
        : thread_([this, &process, path = std::move(path), &stopping] {
            httplib::Client client("127.0.0.1", process.callerPort_);
            client.set_keep_alive(true);
            client.set_read_timeout(10);
            while (!stopping) {
                // Endless answers bear the id "id", so that they count as answers to this request.
                const auto answer = client.Get(path, Fixture::headers("id"));
                ++sent_;
                served_ += answer && answer->status == 200 ? 1 : 0;
                std::this_thread::sleep_for(std::chrono::milliseconds(10));
            }
        })
    {
    }
    void join() { thread_.join(); }

    int sent_ = 0;
    int served_ = 0;

private:
    std::thread thread_;
};

/// A process with upstreams that cause trouble, and a sound one for other requests.
class TroubleFixture {
public:
    TroubleFixture(int upstreamCount, const std::function<void()>& trouble)
        : storePort_(store_.start())
        , sound_(store_, "sound")
    {
        store_.put("op", "config", configurationWithTrouble());
        for (int i = 0; i < upstreamCount; ++i) {
            upstreams_.push_back(std::make_unique<Upstream>(store_, "u" + std::to_string(i)));
            upstreams_.back()->service_ = "t";
            upstreams_.back()->publish("ready");
            upstreams_.back()->handler_
                = [trouble](const httplib::Request&, httplib::Response&) { trouble(); };
        }
        process_ = std::make_unique<Process>(storePort_, memoryMb);
        REQUIRE(eventually([&] { return process_->isReady(); }));
    }

    /// Lets callers send requests to the troubled upstreams, beside others, and checks that the process stays
    /// within its memory and serves the others.
    void checkUnder(int troubledCallers)
    {
        std::atomic<bool> stopping = false;
        std::vector<std::unique_ptr<Caller>> troubled;
        std::vector<std::unique_ptr<Caller>> others;
        for (int i = 0; i < troubledCallers; ++i)
            troubled.push_back(std::make_unique<Caller>(*process_, "/trouble/x", stopping));
        for (int i = 0; i < 3; ++i)
            others.push_back(std::make_unique<Caller>(*process_, "/read/" + std::to_string(i), stopping));
        std::this_thread::sleep_for(std::chrono::milliseconds(1500));
        stopping = true;
        int sent = 0;
        int served = 0;
        int ended = 0;
        for (const auto& caller : troubled) {
            caller->join();
            ended += caller->sent_;
        }
        for (const auto& caller : others) {
            caller->join();
            sent += caller->sent_;
            served += caller->served_;
        }
        const uint64_t mostKb = process_->mostMemoryKb();
        MESSAGE(ended, " troubled requests ended, others served ", served, " of ", sent, ", peak ", mostKb,
            " KB");
        CHECK_FALSE(process_->hasEnded());
        CHECK(mostKb > 0);
        CHECK(mostKb < memoryMb * 1024);
        CHECK(ended >= troubledCallers);
        CHECK(sent > 0);
        CHECK(10 * served >= 9 * sent);
    }

private:
    standin::RowStore store_;
    const int storePort_;
    Upstream sound_;
    std::vector<std::unique_ptr<Upstream>> upstreams_;
    std::unique_ptr<Process> process_;
};

} // namespace

TEST_CASE("upstreams that answer without end do not end the process or stop the requests of others")
{
    // Several upstreams at once, in each part of an answer.
    std::mutex mutex;
    std::string part;
    TroubleFixture fixture(4, [&] {
        std::unique_lock lock(mutex);
        const EndlessAnswer endless = endlessAnswer(part);
        lock.unlock();
        writeWithoutEnd(endless);
    });
    for (const std::string& current : parts) {
        {
            std::lock_guard lock(mutex);
            part = current;
        }
        CAPTURE(current);
        fixture.checkUnder(16);
    }
}

TEST_CASE("heads of many small fields do not end the process")
{
    // Each field of four bytes took 85 bytes once parsed, which nothing counted: 120 heads that stalled below
    // their limit of 64 KB took 170 MB.
    std::string head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: id\r\n";
    SUBCASE("in the head") { }
    SUBCASE("in the trailer") { head = chunkedHead + "0\r\n"; }
    while (head.size() < 65'000)
        head += "a:\r\n";
    TroubleFixture fixture(30, [&] {
        auto& connection = standin::Server::currentConnection();
        connection.dropped_ = true;
        send(connection.fd_, head.data(), head.size(), MSG_NOSIGNAL);
        standin::Server::waitUntil(monotonicNow() + std::chrono::seconds(4));
    });
    fixture.checkUnder(120);
}
