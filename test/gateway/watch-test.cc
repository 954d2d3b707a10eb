// Tests of following a table. They guard against a host that keeps old data after the store is back.
#include "turmericwing/gateway/watch.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <doctest/doctest.h>

using namespace turmericwing;
using namespace turmericwing::gateway;

TEST_CASE("while the store is lost, follow calls do not wait for changes")
{
    // A call sent just before the store came back waited for 4 s, and the host used an old configuration for
    // longer than allowed.
    boost::asio::io_context loop { 1 };
    std::vector<Duration> waits;
    const auto answer = [&](TableStore::Handler<TableRead> handler, Result<TableRead> result) {
        boost::asio::post(
            loop, [handler = std::move(handler), result = std::move(result)] { handler(result); });
    };
    const TableStore store { .read_ =
                                 [&](const std::string&, TableStore::Handler<TableRead> handler) {
                                     answer(std::move(handler), TableRead { {}, 1, 1 });
                                 },
        .follow_ =
            [&](const std::string&, uint64_t, Duration wait, TableStore::Handler<TableRead> handler) {
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
