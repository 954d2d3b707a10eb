// Tests of following a table. They guard against a host that keeps old data after the store is back.
#include "turmericwing/gateway/watch.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <doctest/doctest.h>

#include <optional>

using namespace turmericwing;
using namespace turmericwing::gateway;

TEST_CASE("while the store is lost, follow calls do not wait for changes")
{
    // A call sent just before the store came back waited for 4 s, and the host used an old configuration for
    // longer than allowed.
    boost::asio::io_context loop { 1 };
    std::vector<Duration> waits;
    const auto answer = [&](TableStore::Handler<TableRead> handler, const Result<TableRead>& result) {
        boost::asio::post(loop, [handler = std::move(handler), result] { handler(result); });
    };
    const TableStore store { .read_ =
                                 [&](const std::string&, TableStore::Handler<TableRead> handler) {
                                     answer(std::move(handler), TableRead { {}, 1, 1 });
                                 },
        .follow_ =
            [&](const std::string&, const StorePosition&, Duration wait,
                TableStore::Handler<TableRead> handler) {
                waits.push_back(wait);
                const bool lost = waits.size() == 2 || waits.size() == 3;
                if (waits.size() >= 5)
                    return loop.stop();
                if (lost)
                    return answer(std::move(handler), makeError(ErrorCode::Unknown, "no answer in time"));
                answer(std::move(handler), TableRead { {}, 1, 1 });
            },
        .transact_ = {},
        .reset_ = {} };
    int lost = 0;
    int regained = 0;
    const WatchOptions options { .table_ = "t", .initialRetryDelay_ = std::chrono::milliseconds(1) };
    TableWatch watch(loop, store, options,
        { .onReplaced_ = [](const TableRead&) {},
            .onChanged_ = [](const TableRead&) {},
            .onLost_ = [&](const Error&) { ++lost; },
            .onRegained_ = [&] { ++regained; } });
    watch.start();
    loop.run_for(std::chrono::seconds(10));
    const std::vector<Duration> expected { options.followWait_, options.followWait_, Duration::zero(),
        Duration::zero(), options.followWait_ };
    CHECK((waits == expected));
    CHECK(lost == 1);
    CHECK(regained == 1);
}

namespace {

/// A store whose answers the test defines, and the calls that a watch made.
struct ScriptedStore {
    boost::asio::io_context loop_ { 1 };
    std::vector<std::string> calls_; ///< "read", or "follow ERA/VERSION".
    std::vector<TimePoint> callTimes_;
    /// In the order of the calls; empty for a missing history. The loop stops after the last one.
    std::vector<std::optional<TableRead>> answers_;

    void answer(std::string call, TableStore::Handler<TableRead> handler)
    {
        calls_.push_back(std::move(call));
        callTimes_.push_back(monotonicNow());
        if (calls_.size() > answers_.size())
            return loop_.stop();
        if (const auto& read = answers_[calls_.size() - 1])
            boost::asio::post(loop_, [handler = std::move(handler), read = *read] { handler(read); });
        else
            boost::asio::post(loop_, [handler = std::move(handler)] {
                const Error missing = makeError(ErrorCode::NotFound, "no such history");
                handler(missing);
            });
    }

    void run()
    {
        const TableStore store { .read_
            = [this](const std::string&,
                  TableStore::Handler<TableRead> handler) { answer("read", std::move(handler)); },
            .follow_ =
                [this](const std::string&, const StorePosition& position, Duration,
                    TableStore::Handler<TableRead> handler) {
                    answer(
                        "follow " + std::to_string(position.era_) + "/" + std::to_string(position.version_),
                        std::move(handler));
                },
            .transact_ = {},
            .reset_ = {} };
        TableWatch watch(loop_, store, { .table_ = "t" },
            { .onReplaced_ = [](const TableRead&) {},
                .onChanged_ = [](const TableRead&) {},
                .onLost_ = [](const Error&) {},
                .onRegained_ = [] {} });
        watch.start();
        loop_.run_for(std::chrono::seconds(10));
    }
};

TableRead makeRead(uint64_t era, uint64_t version) { return { {}, version, 1, era }; }

constexpr std::nullopt_t missingHistory = std::nullopt;

} // namespace

TEST_CASE("after a restore of the store, a table is followed from the lower version of the full read")
{
    // The watch kept the higher version from before the restore, and read the table in full again and again.
    ScriptedStore store;
    store.answers_ = { makeRead(1, 90), makeRead(1, 95), missingHistory, makeRead(2, 40), makeRead(2, 41) };
    store.run();
    CHECK(store.calls_
        == std::vector<std::string> {
            "read", "follow 1/90", "follow 1/95", "read", "follow 2/40", "follow 2/41" });
}

TEST_CASE("changes of another era are not applied, and the table is read in full")
{
    // When versions had been given out again beyond the known one, the changes before it were missed.
    ScriptedStore store;
    store.answers_ = { makeRead(1, 90), makeRead(2, 95), makeRead(2, 96) };
    store.run();
    CHECK(store.calls_ == std::vector<std::string> { "read", "follow 1/90", "read", "follow 2/96" });
}

TEST_CASE("a watch whose position is refused again after a full read waits before the next one")
{
    ScriptedStore store;
    store.answers_ = { makeRead(1, 90), missingHistory, makeRead(1, 90), missingHistory, makeRead(1, 90) };
    store.run();
    REQUIRE(store.callTimes_.size() == 6);
    CHECK(store.callTimes_[2] - store.callTimes_[1] < std::chrono::milliseconds(40));
    CHECK(store.callTimes_[4] - store.callTimes_[3] >= std::chrono::milliseconds(50));
}
