// End-to-end tests of requests that crash the upstreams that run them. They guard against crashes that go
// unnoticed, and against sound requests that are taken for their cause.
#include "live.h"

#include <doctest/doctest.h>

using namespace turmericwing;
using namespace turmericwing::gateway;
using namespace turmericwing::gateway::test;

namespace {

/// What an upstream does with the request "poison".
enum class Trouble {
    Crash, ///< Ends with all its connections.
    CrashInAnswer, ///< The same, after it has sent a part of the answer.
    CrashInInterim, ///< The same, after an interim answer.
    CrashSlowly, ///< Ends, its connections first and its listening socket a moment later.
    Drop, ///< Closes the connection and goes on, as upstreams do that forget idle connections.
    DropInAnswer, ///< Sends a part of the answer, closes the connection and goes on.
    Leave, ///< Announces that it leaves, breaks off what still runs and ends.
};

/// Sends bytes on the connection of the running request.
void sendBytes(const std::string& bytes)
{
    send(standin::Server::currentConnection().fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
}

/// Upstreams with which the gateway has kept connections.
class CrashFixture : public Fixture {
public:
    explicit CrashFixture(Trouble trouble)
        : trouble_(trouble)
    {
        for (int i = 1; i <= upstreamCount; ++i) {
            upstreams_.push_back(std::make_unique<Upstream>(store_, "u" + std::to_string(i)));
            Upstream& upstream = *upstreams_.back();
            upstream.handler_ = [this, &upstream](const httplib::Request& request,
                                    httplib::Response& answer) { onRequest(upstream, request, answer); };
        }
        start();
        REQUIRE(eventually([&] { return isReady(); }));
        keepConnections();
    }

    /// Sends the poisoned request a number of times, with sound ones in between. Returns how often it ran.
    int sendPoison(int count)
    {
        for (int i = 0; i < count; ++i) {
            post("poison", "poison-" + std::to_string(i));
            for (int sound = 0; sound < 4; ++sound)
                post("sound " + std::to_string(sound), "sound-" + std::to_string(4 * i + sound));
            std::this_thread::sleep_for(std::chrono::milliseconds(250));
        }
        return ran_;
    }

    int post(const std::string& body, const std::string& id) const
    {
        const auto answer = client()->Post("/write/x", headers(id), body, "text/plain");
        return answer ? answer->status : 0;
    }

    static constexpr int upstreamCount = 8;
    const Trouble trouble_;
    std::atomic<int> ran_ = 0;

private:
    /// Holds requests at all upstreams at once, so that each one keeps a connection afterwards.
    void keepConnections()
    {
        holding_ = true;
        std::vector<std::thread> threads;
        for (int i = 0; i < 3 * upstreamCount; ++i) {
            threads.emplace_back([this, i] { post("hold", "hold-" + std::to_string(i)); });
        }
        eventually([this] { return held_ >= 2 * upstreamCount; });
        holding_ = false;
        for (std::thread& thread : threads)
            thread.join();
    }

    void onRequest(Upstream& upstream, const httplib::Request& request, httplib::Response& answer)
    {
        if (request.body == "hold") {
            ++held_;
            while (holding_)
                std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        if (request.body != "poison") {
            answer.set_content("fine", "text/plain");
            return;
        }
        ++ran_;
        const std::string id = request.get_header_value("X-Attempt-Id");
        if (trouble_ == Trouble::CrashInAnswer || trouble_ == Trouble::DropInAnswer)
            sendBytes("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id
                + "\r\nX-Response-Seal: s\r\nContent-Length: 100\r\n\r\npart");
        if (trouble_ == Trouble::CrashInInterim)
            sendBytes("HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n");
        if (trouble_ == Trouble::Leave) {
            upstream.publish("draining");
            std::this_thread::sleep_for(std::chrono::milliseconds(300));
        }
        if (trouble_ == Trouble::CrashSlowly) {
            upstream.server_.breakConnections();
            std::this_thread::sleep_for(std::chrono::milliseconds(60));
        }
        if (trouble_ != Trouble::Drop && trouble_ != Trouble::DropInAnswer) {
            upstream.server_.stop();
            upstream.server_.breakConnections();
        }
        standin::Server::currentConnection().dropped_ = true;
    }

    std::atomic<bool> holding_ = false;
    std::atomic<int> held_ = 0;
    std::vector<std::unique_ptr<Upstream>> upstreams_; ///< Last, as their handlers use the members above.
};

/// Crashes after which the request must be known, also if the upstreams' crashes have other explanations.
constexpr int mostCrashes = 3;

} // namespace

TEST_CASE("a request that crashes upstreams over kept connections is quarantined")
{
    // Breaks on reused connections were never checked: the request crashed one upstream after the other, with
    // all orders that ran there.
    CrashFixture fixture(Trouble::Crash);
    CHECK(fixture.sendPoison(8) <= mostCrashes);
    CHECK(fixture.post("other", "id-last") == 200);
}

TEST_CASE("a request whose kept connections break, while their upstreams go on, is not quarantined")
{
    CrashFixture fixture(Trouble::Drop);
    CHECK(fixture.sendPoison(8) == 8);
    CHECK(fixture.post("other", "id-last") == 200);
}

TEST_CASE("a request that crashes upstreams while they answer is quarantined")
{
    // A crash after the first byte of an answer, or of an interim one, was taken for a broken answer only.
    Trouble trouble = Trouble::CrashInAnswer;
    SUBCASE("in the answer") { trouble = Trouble::CrashInAnswer; }
    SUBCASE("after an interim answer") { trouble = Trouble::CrashInInterim; }
    CrashFixture fixture(trouble);
    CHECK(fixture.sendPoison(8) <= mostCrashes);
    CHECK(fixture.post("other", "id-last") == 200);
}

TEST_CASE("a request whose answers break off, while their upstreams go on, is not quarantined")
{
    CrashFixture fixture(Trouble::DropInAnswer);
    CHECK(fixture.sendPoison(8) == 8);
    CHECK(fixture.post("other", "id-last") == 200);
}

TEST_CASE("a request that runs on upstreams as they leave is not quarantined")
{
    // The end of an upstream that had announced that it leaves counted as a crash by what ran there last.
    CrashFixture fixture(Trouble::Leave);
    CHECK(fixture.sendPoison(CrashFixture::upstreamCount - 2) == CrashFixture::upstreamCount - 2);
    CHECK(fixture.post("other", "id-last") == 200);
}

TEST_CASE("a request that crashes upstreams whose listening sockets close last is quarantined")
{
    // The first probe still connected, and no second one was made.
    CrashFixture fixture(Trouble::CrashSlowly);
    CHECK(fixture.sendPoison(8) <= mostCrashes);
    CHECK(fixture.post("other", "id-last") == 200);
}
