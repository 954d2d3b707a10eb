// Tests of reading the store through a relay. They guard against followers that miss changes and against
// followers that keep waiting for a relay whose copies are stale.
#include "turmericwing/gateway/relay.h"

#include "turmericwing/gateway/listener.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <doctest/doctest.h>

#include <unistd.h>

using namespace turmericwing;
using namespace turmericwing::gateway;

namespace {

const TimePoint start { std::chrono::seconds(100) };

StoredRow makeRow(const std::string& key, uint64_t version, bool removed = false)
{
    return { "servers", key, removed ? "" : "value of " + key, version, removed };
}

Fleet makeFleet(size_t hosts, const std::string& region)
{
    Fleet fleet { .self_ = "h0" };
    for (size_t i = 1; i < hosts; ++i) {
        receiveReport(fleet, start,
            { .name_ = "h" + std::to_string(i),
                .incarnation_ = 1,
                .sequence_ = 1,
                .peerAddress_ = { "10.0.0." + std::to_string(i), 80 },
                .region_ = region,
                .ready_ = true,
                .reachesStore_ = true });
    }
    return fleet;
}

/// An exchange that keeps its response, as a connection does until it is sent.
struct KeptResponse : Exchange {
    Response response_;
    void respond(Response response) override { response_ = std::move(response); }
    bool beginResponse(Response, uint64_t) override { return false; }
    void sendPart(Body, std::function<void()>) override { }
    void abandonResponse() override { }
    void onCallerGone(std::function<void()>) override { }
    bool isCallerGone() override { return false; }
};

/// A store, a relay that serves its copy, and a follower of the relay, all on one event loop.
struct Chain {
    boost::asio::io_context loop_ { 1 };
    bool isFresh_ = true;
    int directCalls_ = 0;
    uint64_t directEra_ = 0; ///< Era of the store's own answers.
    Address address_ { "127.0.0.1", static_cast<uint16_t>(11'000 + getpid() % 900) };
    RelayChoice choice_ { .relay_ = address_ };
    RelayServer server_;
    Listener listener_ { loop_,
        { .address_ = address_,
            .handler_ = [this](Request&& request, const std::shared_ptr<Exchange>& exchange) {
                server_.handle(request, exchange);
            } } };
    TableStore direct_ { .read_
        = [this](const std::string&, TableStore::Handler<TableRead> handler) { answerDirect(handler); },
        .follow_ = [this](const std::string&, const StorePosition&, Duration,
                       TableStore::Handler<TableRead> handler) { answerDirect(handler); },
        .transact_ = {},
        .reset_ = [] {} };
    TableStore follower_ = makeRelayedStore(loop_, direct_, {}, [this] { return choice_; });

    explicit Chain(const RelayOptions& options = {})
        : server_(options, [this] { return isFresh_; })
    {
        REQUIRE(listener_.start());
        server_.onReplaced("servers", { { makeRow("u1", 5), makeRow("u2", 7) }, 7, 1000 });
    }

    void answerDirect(const TableStore::Handler<TableRead>& handler)
    {
        ++directCalls_;
        handler(TableRead { { makeRow("direct", 9) }, 9, 1, directEra_ });
    }

    /// Sends a follow call and runs the loop until its answer; `meanwhile` runs 100 ms after the call.
    Result<TableRead> follow(
        const StorePosition& position, const std::function<void()>& meanwhile = [] {})
    {
        std::optional<Result<TableRead>> answer;
        boost::asio::steady_timer timer(loop_, std::chrono::milliseconds(100));
        timer.async_wait([&](boost::system::error_code cancelled) {
            if (!cancelled)
                meanwhile();
        });
        follower_.follow_("servers", position, std::chrono::seconds(3), [&](Result<TableRead> read) {
            answer = std::move(read);
            loop_.stop();
        });
        loop_.restart();
        loop_.run_for(std::chrono::seconds(10));
        REQUIRE(answer);
        return *answer;
    }
};

} // namespace

TEST_CASE("a small fleet has no relays, a large one has two")
{
    CHECK(regionRelays({}, makeFleet(11, "a"), start, "a", true).empty());
    const Fleet fleet = makeFleet(30, "a");
    const auto relays = regionRelays({}, fleet, start, "a", true);
    CHECK(relays.size() == 2);
    const auto choice = chooseRelay({}, fleet, start, "a", true);
    CHECK(choice.isRelay_ != choice.relay_.has_value());
    // If no host reaches the store, the follower reads the store directly.
    CHECK(chooseRelay({}, fleet, start + std::chrono::minutes(1), "a", false) == RelayChoice());
}

TEST_CASE("a copy returns the rows that changed, including removed ones")
{
    TableCopy copy;
    CHECK_FALSE(changesSince(copy, { 0, 0 }));
    replaceCopy(copy, { { makeRow("u1", 5), makeRow("u2", 7) }, 7, 1 });
    CHECK_FALSE(changesSince(copy, { 0, 6 }));
    CHECK(changesSince(copy, { 0, 7 }).value().rows_.empty());
    applyChanges(copy, { { makeRow("u1", 9, true), makeRow("u3", 8) }, 9, 2 });
    const auto changes = changesSince(copy, { 0, 7 }).value();
    CHECK(changes.rows_ == std::vector<StoredRow> { makeRow("u3", 8), makeRow("u1", 9, true) });
    CHECK(changes.version_ == 9);
    CHECK(tableSnapshot(copy).rows_ == std::vector<StoredRow> { makeRow("u2", 7), makeRow("u3", 8) });
    // A follower that has read the store directly may be ahead of the relay's copy.
    CHECK(changesSince(copy, { 0, 12 }).value().version_ == 12);
}

TEST_CASE("a relay's answer round-trips through its encoding")
{
    const TableRead read { { makeRow("u1", 5), { "t", "k", std::string("\0\xff", 2), 6, false } }, 7, 99 };
    const auto decoded = decodeTableRead(encodeTableRead(read));
    REQUIRE(decoded);
    CHECK(decoded.value().rows_ == read.rows_);
    CHECK(decoded.value().version_ == 7);
    CHECK(decoded.value().storeMs_ == 99);
    CHECK_FALSE(decodeTableRead("nonsense"));
}

TEST_CASE("a follower receives a change through its relay without waiting")
{
    Chain chain;
    const bool behind = chain.follow({ 0, 5 }).error().code_ == ErrorCode::NotFound;
    CHECK(behind);
    const TimePoint begin = monotonicNow();
    const auto changes = chain.follow({ 0, 7 }, [&] {
        chain.server_.onChanged("servers", { { makeRow("u3", 8) }, 8, 1100 });
    });
    CHECK(changes.value().rows_ == std::vector<StoredRow> { makeRow("u3", 8) });
    CHECK(monotonicNow() - begin < std::chrono::seconds(1));
    CHECK(chain.directCalls_ == 0);
}

TEST_CASE("a follower falls back to the store when its relay becomes stale, also during a pending call")
{
    Chain chain;
    SUBCASE("before the call") { chain.isFresh_ = false; }
    const auto answer = chain.follow({ 0, 7 }, [&] {
        chain.isFresh_ = false;
        chain.server_.expirePending(monotonicNow());
    });
    CHECK(answer.value().rows_.front().key_ == "direct");
    CHECK(chain.directCalls_ == 1);
}

TEST_CASE("a follower falls back to the store when its relay is unreachable or its calls are reset")
{
    Chain chain;
    SUBCASE("unreachable") { chain.listener_.stop(); }
    SUBCASE("reset") { }
    const auto answer = chain.follow({ 0, 7 }, [&] { chain.follower_.reset_(); });
    CHECK(answer.value().rows_.front().key_ == "direct");
    // A relay that failed is not called again for a while.
    CHECK(chain.follow({ 0, 7 }).value().rows_.front().key_ == "direct");
    CHECK(chain.directCalls_ == 2);
}

TEST_CASE("a relay sends no more at a time than its link carries, and refuses the rest at once")
{
    // A host with a link of 10 Mbit/s sent a configuration of 1 MB to each of 13 followers; callers could not
    // reach it meanwhile, and the followers had the configuration seconds later than from the store.
    RelayServer server({ .maxOutgoingBytes_ = 250'000 }, [] { return true; });
    const StoredRow large { "op", "config", std::string(100'000, 'c'), 8, false };
    server.onReplaced("op", { { large }, 8, 1000 });
    std::vector<std::shared_ptr<KeptResponse>> followers;
    const auto call = [&] {
        followers.push_back(std::make_shared<KeptResponse>());
        server.handle({ "GET", "/read/op", {}, {}, {} }, followers.back());
        return followers.back()->response_.status_;
    };
    CHECK(call() == 200);
    CHECK(call() == 200);
    CHECK(call() == 429);
    followers.front()->response_ = {}; // As after it was sent.
    CHECK(call() == 200);
    CHECK(call() == 429);
}

TEST_CASE("a follower reads the store while its relay is busy, and then the relay again")
{
    Chain chain({ .maxOutgoingBytes_ = 1000 });
    chain.server_.onChanged("servers", { { makeRow(std::string(2000, 'u'), 8) }, 8, 1000 });
    const TimePoint begin = monotonicNow();
    CHECK(chain.follow({ 0, 7 }).value().rows_.front().key_ == "direct");
    CHECK(monotonicNow() - begin < std::chrono::seconds(1));
    CHECK(chain.directCalls_ == 1);
    chain.server_.onChanged("servers", { { makeRow("u3", 10) }, 10, 1100 });
    CHECK(chain.follow({ 0, 9 }).value().rows_.front().key_ == "u3");
    CHECK(chain.directCalls_ == 1);
}

TEST_CASE("a deeply nested answer of a relay is an error")
{
    // The CBOR decoder recurses for each level, so an answer of nested arrays overflowed the stack.
    for (const size_t levels : { size_t { 100 }, size_t { 1'000'000 } }) {
        CHECK_FALSE(decodeTableRead(std::string(levels, '\x81')));
        CHECK_FALSE(decodeTableRead(std::string(levels, '\x7f')));
    }
    CHECK_FALSE(decodeTableRead("{\"not\": \"CBOR\"}"));
    CHECK_FALSE(decodeTableRead(""));
}

TEST_CASE("a copy answers positions of its own era only")
{
    // A follower with a higher version from before the restore got an empty answer for ever.
    TableCopy copy;
    replaceCopy(copy, { { makeRow("u1", 90) }, 95, 1, 1 });
    replaceCopy(copy, { { makeRow("u1", 20) }, 40, 2, 2 });
    const bool readAgain = changesSince(copy, { 1, 95 }).error().code_ == ErrorCode::NotFound;
    CHECK(readAgain);
    CHECK(changesSince(copy, { 2, 40 }).value().position() == StorePosition { 2, 40 });
    const bool behind = changesSince(copy, { 3, 10 }).error().code_ == ErrorCode::Unavailable;
    CHECK(behind);
    CHECK(tableSnapshot(copy).era_ == 2);
    CHECK(decodeTableRead(encodeTableRead(tableSnapshot(copy))).value().era_ == 2);
}

TEST_CASE("a follower's pending call is answered when its relay notices that the store was restored")
{
    Chain chain;
    chain.server_.onReplaced("servers", { { makeRow("u1", 90) }, 95, 1000, 1 });
    const TimePoint begin = monotonicNow();
    const auto answer = chain.follow({ 1, 95 }, [&] {
        chain.server_.onReplaced("servers", { { makeRow("u1", 20) }, 40, 1100, 2 });
    });
    REQUIRE_FALSE(answer);
    const bool readAgain = answer.error().code_ == ErrorCode::NotFound;
    CHECK(readAgain);
    CHECK(monotonicNow() - begin < std::chrono::seconds(1));
    CHECK(chain.directCalls_ == 0);
}

TEST_CASE("a follower that knows of a restore does not go back to the era of its relay")
{
    Chain chain;
    chain.server_.onReplaced("servers", { { makeRow("u1", 90) }, 95, 1000, 1 });
    SUBCASE("follow call") { }
    SUBCASE("full read")
    {
        chain.choice_ = {};
        chain.directEra_ = 2;
        CHECK(chain.follow({ 2, 40 }));
        chain.choice_ = { .relay_ = chain.address_ };
        std::optional<uint64_t> era;
        chain.follower_.read_("servers", [&](const Result<TableRead>& read) {
            era = read.value().era_;
            chain.loop_.stop();
        });
        chain.loop_.restart();
        chain.loop_.run_for(std::chrono::seconds(10));
        CHECK(era == 2);
    }
    CHECK(chain.follow({ 2, 40 }).value().rows_.front().key_ == "direct");
}
