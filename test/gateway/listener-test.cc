// Tests of responses in parts on a connection with several requests. They guard against parts that are sent
// before the responses to earlier requests, and against one that ends early and looks complete.
#include "live.h"

#include "turmericwing/gateway/listener.h"

#include <doctest/doctest.h>

#include <map>

using namespace turmericwing;
using namespace turmericwing::gateway;
using namespace turmericwing::gateway::test;

namespace {

std::string get(const std::string& target) { return "GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n"; }

/// A listener whose requests may overlap; the test answers them.
class ListenerFixture {
public:
    ListenerFixture()
        : listener_(loop_,
            { .address_ = address_,
                .handler_ =
                    [this](Request&& request, const std::shared_ptr<Exchange>& exchange) {
                        std::lock_guard lock(mutex_);
                        exchanges_.emplace(request.target_, exchange);
                    },
                .mayOverlap_ = [](const Request&) { return true; } })
    {
        REQUIRE(listener_.start());
        thread_ = std::thread([this] { loop_.run(); });
        fd_ = connectTo(address_);
    }
    ~ListenerFixture()
    {
        close(fd_);
        loop_.stop();
        thread_.join();
        exchanges_.clear();
    }
    ListenerFixture(const ListenerFixture&) = delete;
    ListenerFixture& operator=(const ListenerFixture&) = delete;

    void send(const std::string& bytes) const
    {
        CHECK(::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
    }

    /// Runs `action` for the request of that target in the event loop, once it has arrived.
    void with(const std::string& target, const std::function<void(Exchange&)>& action)
    {
        std::shared_ptr<Exchange> exchange;
        REQUIRE(eventually([&] {
            std::lock_guard lock(mutex_);
            const auto known = exchanges_.find(target);
            exchange = known == exchanges_.end() ? nullptr : known->second;
            return exchange != nullptr;
        }));
        std::atomic<bool> done = false;
        boost::asio::post(loop_, [&] {
            action(*exchange);
            done = true;
        });
        CHECK(eventually([&] { return done.load(); }));
    }

    bool has(const std::string& target)
    {
        std::lock_guard lock(mutex_);
        return exchanges_.contains(target);
    }

    /// Reads until `expected` has arrived or the connection ends.
    std::string receiveUntil(const std::string& expected)
    {
        char buffer[4096];
        ssize_t size = 1;
        while (size > 0 && (expected.empty() || received_.find(expected) == std::string::npos)) {
            size = recv(fd_, buffer, sizeof(buffer), 0);
            received_.append(buffer, static_cast<size_t>(std::max<ssize_t>(size, 0)));
        }
        lastError_ = size < 0 ? errno : 0;
        return received_;
    }

    std::string received_;
    int lastError_ = 0;

private:
    const Address address_ { "127.0.0.1", freePort() };
    std::mutex mutex_;
    std::map<std::string, std::shared_ptr<Exchange>> exchanges_;
    boost::asio::io_context loop_ { 1 };
    Listener listener_;
    std::thread thread_;
    int fd_ = -1;
};

} // namespace

TEST_CASE("a response in parts goes out before what is behind it starts")
{
    ListenerFixture fixture;
    fixture.send(get("/2"));
    std::atomic<int> taken = 0;
    fixture.with("/2", [&](Exchange& exchange) {
        CHECK(exchange.beginResponse({ .status_ = 200 }, 8));
        exchange.sendPart("sec+", [&] { ++taken; });
    });
    fixture.receiveUntil("sec+");
    CHECK(eventually([&] { return taken == 1; }));
    // Nothing starts behind it, as it may still break off.
    fixture.send(get("/3"));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    CHECK_FALSE(fixture.has("/3"));
    fixture.with("/2", [](Exchange& exchange) { exchange.sendPart("ond!", [] {}); });
    fixture.with("/3", [](Exchange& exchange) { exchange.respond({ .status_ = 200, .body_ = "third" }); });
    const std::string all = fixture.receiveUntil("third");
    CHECK(all.find("ond!") < all.find("third"));
    CHECK(all.find("third") != std::string::npos);
    fixture.send(get("/4"));
    fixture.with("/4", [](Exchange& exchange) { exchange.respond({ .status_ = 200, .body_ = "fourth" }); });
    CHECK(fixture.receiveUntil("fourth").find("fourth") != std::string::npos);
}

TEST_CASE("a response beside other requests of its connection is not begun, so that it cannot end theirs")
{
    // A large answer that broke off reset the connection, with the rest of the answer in front of it and with
    // the requests behind it, which sound upstreams were running.
    ListenerFixture fixture;
    fixture.send(get("/1") + get("/2") + get("/3"));
    fixture.with("/3", [](Exchange& exchange) { exchange.respond({ .status_ = 200, .body_ = "third" }); });
    fixture.with("/2", [](Exchange& exchange) {
        CHECK_FALSE(exchange.beginResponse({ .status_ = 200 }, 100));
        exchange.sendPart("part", [] {});
        exchange.abandonResponse();
        exchange.respond({ .status_ = 502 });
    });
    fixture.with("/1", [](Exchange& exchange) { exchange.respond({ .status_ = 200, .body_ = "first" }); });
    const std::string all = fixture.receiveUntil("third");
    CHECK(all.find("first") < all.find("502"));
    CHECK(all.find("502") < all.find("third"));
    CHECK(all.find("part") == std::string::npos);
}

TEST_CASE("an abandoned response resets the connection, and what is behind it is not started")
{
    ListenerFixture fixture;
    fixture.send(get("/2"));
    fixture.with("/2", [](Exchange& exchange) {
        CHECK(exchange.beginResponse({ .status_ = 200 }, 100));
        exchange.sendPart("part", [] {});
    });
    fixture.receiveUntil("part");
    fixture.send(get("/3"));
    fixture.with("/2", [](Exchange& exchange) { exchange.abandonResponse(); });
    fixture.receiveUntil({});
    CHECK(fixture.lastError_ == ECONNRESET);
    CHECK_FALSE(fixture.has("/3"));
}
