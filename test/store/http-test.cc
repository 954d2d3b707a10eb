// Tests of HttpPlatform against the platform stand-in.
#include "turmericwing/store/http.h"

#include "platform-server.h"

#include <doctest/doctest.h>

using namespace turmericwing;
using namespace turmericwing::store;

namespace {

struct Fixture {
    MemoryPlatform memory_;
    standin::PlatformServer server_ { memory_, "c" };
    int port_ = server_.start("127.0.0.1", 0);
    HttpPlatform http_ { { .address_ = "127.0.0.1:" + std::to_string(port_),
        .requestTimeout_ = std::chrono::milliseconds(200) } };
    Platform platform_ = http_.platform();
};

} // namespace

TEST_CASE_FIXTURE(Fixture, "table calls return the same results as the in-memory platform")
{
    // Guards against results that deviate from the contract of Table, for instance for keys that need
    // encoding.
    const Table& table = platform_.table_;
    const std::string key = "claims/a b%2F?&#\xc3\xa4";
    CHECK_FALSE(table.get_(key).value());
    CHECK(table.writeBatch_({ { key, "1", 0 } }).value().front().applied_);
    CHECK(table.get_(key).value() == Row { key, "1", 1 });
    auto conflicting = table.writeBatch_({ { key, "2", 0 } }).value().front();
    CHECK_FALSE(conflicting.applied_);
    CHECK(conflicting.current_ == Row { key, "1", 1 });
    CHECK_FALSE(table.writeBatch_({ { "absent", "2", 3 } }).value().front().current_);
    auto batch = table.writeBatch_({ { key, "3", 1 }, { "b", "1", 9 } }).value();
    CHECK(batch[0].applied_);
    CHECK_FALSE(batch[1].applied_);
    auto transaction = table.transact_({ { "b", "1", 0 }, { key, "4", 1 } }).value();
    CHECK_FALSE(transaction[0].applied_);
    CHECK(transaction[1].current_ == Row { key, "3", 2 });
    CHECK(table.transact_({ { "b", "1", 0 }, { "c", "1", 0 } }).value()[1].applied_);
    CHECK(table.scan_("", 10).value() == memory_.platform().table_.scan_("", 10).value());
    CHECK(table.scan_("claims/", 10).value().size() == 1);
    CHECK(table.scan_("", 2).value().size() == 2);
    CHECK(table.writeBatch_({ { "x", "\xff", 0 }, { "y", "", 0 } }).error().code_ == ErrorCode::Invalid);
}

TEST_CASE_FIXTURE(Fixture, "a read of a known version does not transfer the value")
{
    // Guards against transferring the whole head 2.5 times per second, and against missing a newer version.
    const Table& table = platform_.table_;
    CHECK_FALSE(getIfChanged(table, "k", 1).value());
    CHECK(table.writeBatch_({ { "k", "1", 0 } }).value().front().applied_);
    CHECK(getIfChanged(table, "k", 0).value() == Row { "k", "1", 1 });
    CHECK(getIfChanged(table, "k", 1).value() == Row { "k", "", 1 });
    CHECK(table.writeBatch_({ { "k", "2", 1 } }).value().front().applied_);
    CHECK(getIfChanged(table, "k", 1).value() == Row { "k", "2", 2 });
    CHECK(getIfChanged(memory_.platform().table_, "k", 2).value() == Row { "k", "2", 2 });
}

TEST_CASE_FIXTURE(Fixture, "objects and host entries are transferred unchanged")
{
    // Guards against corruption of binary objects in transit.
    const std::string bytes("\0\xff\r\n\r\n", 6);
    const std::string digest = platform_.objects_.put_(bytes).value();
    CHECK(platform_.objects_.get_(digest).value() == bytes);
    CHECK(platform_.objects_.get_(std::string(64, '0')).error().code_ == ErrorCode::NotFound);
    const HostEntry entry { "h1", "127.0.0.1:9", HostState::Leaving };
    CHECK(http_.putHost(entry));
    CHECK(platform_.hosts_.list_().value() == std::vector { entry });
}

TEST_CASE_FIXTURE(Fixture, "failures say whether the write may have taken effect")
{
    // Guards against reporting a write as not executed although it was applied.
    memory_.setFaults({ .lostResponse_ = 1 });
    CHECK(platform_.table_.writeBatch_({ { "a", "1", 0 } }).error().code_ == ErrorCode::Unknown);
    CHECK(writeOnce(platform_.table_, { "b", "1", 0 }).value().version_ == 1);
    memory_.setFaults({ .outage_ = true });
    CHECK(platform_.table_.writeBatch_({ { "c", "1", 0 } }).error().code_ == ErrorCode::Unavailable);
    CHECK(platform_.table_.get_("a").error().code_ == ErrorCode::Unavailable);
    memory_.setFaults({ .delay_ = std::chrono::milliseconds(400) });
    CHECK(platform_.table_.writeBatch_({ { "c", "1", 0 } }).error().code_ == ErrorCode::Unknown);
    CHECK(platform_.table_.get_("a").error().code_ == ErrorCode::Unavailable);
    memory_.setFaults({});
    server_.stop();
    CHECK(platform_.table_.writeBatch_({ { "d", "1", 0 } }).error().code_ == ErrorCode::Unavailable);
}

TEST_CASE_FIXTURE(Fixture, "unresponsive connections are replaced")
{
    // Guards against a client that keeps using an unresponsive connection until the process is restarted.
    CHECK(platform_.table_.get_("a"));
    const auto before = http_.counters();
    server_.silenceConnections();
    CHECK(platform_.table_.get_("a"));
    CHECK(platform_.table_.get_("a"));
    const auto after = http_.counters();
    CHECK(after.connections_ - before.connections_ == 1);
    CHECK(after.failures_ - before.failures_ == 1);
    CHECK(after.reads_ - before.reads_ == 3);
}

TEST_CASE("a status that does not exist leaves open whether a write was executed")
{
    // Guards against a write that counts as rejected although the platform may have executed it.
    standin::Server server;
    server.Put(".*", [](const httplib::Request&, httplib::Response&) {
        const std::string answer = "HTTP/1.1 000 Trouble\r\nContent-Length: 0\r\n\r\n";
        auto& connection = standin::Server::currentConnection();
        send(connection.fd_, answer.data(), answer.size(), MSG_NOSIGNAL);
        connection.dropped_ = true;
    });
    const HttpPlatform http { { .address_ = "127.0.0.1:" + std::to_string(server.start("127.0.0.1", 0)) } };
    const auto written = http.platform().table_.writeBatch_({ { "k", "1", 0 } });
    REQUIRE_FALSE(written);
    CHECK(written.error().code_ == ErrorCode::Unknown);
}
