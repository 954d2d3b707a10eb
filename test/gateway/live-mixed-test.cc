// A gateway with upstreams that end their answers while a long request is still being written to them, or
// that answer with a status that does not exist. Guards against callers that get a part of an answer, or what
// is no answer, as a complete one.
#include "rawupstream.h"

#include "turmericwing/gateway/httpchannel.h"

#include <doctest/doctest.h>

using namespace turmericwing;
using namespace turmericwing::gateway;
using namespace turmericwing::gateway::test;

namespace {

/// More than the sockets of a connection buffer.
constexpr size_t longBodyBytes = size_t { 24 } << 20;

/// Allows long bodies.
void allowLongBodies(Fixture& fixture)
{
    nlohmann::json document = nlohmann::json::parse(configuration(1));
    for (auto& resource : document["resources"]) {
        if (resource["type"] == "limits")
            resource["spec"]["max_body_bytes"] = 2 * longBodyBytes;
    }
    fixture.store_.put("op", "config", document.dump());
}

/// Sends a long request that must not run twice.
httplib::Result writeLong(Fixture& fixture)
{
    fixture.start();
    REQUIRE(eventually([&] { return fixture.isReady(); }));
    return fixture.client()->Post(
        "/write/x", fixture.headers("id-1"), std::string(longBodyBytes, 'x'), "text/plain");
}

} // namespace

TEST_CASE("an answer without a length that ends by a reset during the upload is not complete")
{
    // The failed write consumed the socket's error, the next read returned the end of the stream, and the
    // part that had arrived went to the caller as a complete answer.
    Fixture fixture;
    allowLongBodies(fixture);
    std::string part;
    SUBCASE("after a part of its body") { part = "part"; }
    SUBCASE("after its head") { part = ""; }
    RawUpstream upstream(fixture.store_, "u1", [&](const RawConnection& connection) {
        connection.send(connection.head() + "\r\n" + part);
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        connection.resetAtEnd();
    });
    const auto answer = writeLong(fixture);
    REQUIRE(answer);
    CHECK(answer->status == 502);
    CHECK(answer->get_header_value("X-Response-Seal").empty());
    CHECK(upstream.requests_ == 1);
}

TEST_CASE("an answer without a length that ends before the upload does waits for the upload's outcome")
{
    Fixture fixture;
    allowLongBodies(fixture);
    bool reads = false;
    SUBCASE("the upstream reads the whole request") { reads = true; }
    SUBCASE("the upstream resets the connection") { reads = false; }
    const RawUpstream upstream(fixture.store_, "u1", [&](const RawConnection& connection) {
        connection.send(connection.head() + "\r\nwhole");
        shutdown(connection.fd_, SHUT_WR);
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        if (reads)
            connection.readToEnd();
        else
            connection.resetAtEnd();
    });
    const auto answer = writeLong(fixture);
    REQUIRE(answer);
    CHECK(answer->status == (reads ? 200 : 502));
    CHECK((answer->body == "whole") == reads);
}

TEST_CASE("an answer with a length is complete although the rest of the upload is refused")
{
    Fixture fixture;
    allowLongBodies(fixture);
    std::string end;
    SUBCASE("with a body") { end = "Content-Length: 5\r\n\r\nwhole"; }
    SUBCASE("without a body") { end = "Content-Length: 0\r\n\r\n"; }
    const RawUpstream upstream(fixture.store_, "u1", [&](const RawConnection& connection) {
        connection.send(connection.head() + end);
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        connection.resetAtEnd();
    });
    const auto answer = writeLong(fixture);
    REQUIRE(answer);
    CHECK(answer->status == 200);
}

TEST_CASE("a status that does not exist is no answer")
{
    // The caller got an answer with status 000.
    Fixture fixture;
    std::string status;
    SUBCASE("zero") { status = "000 Trouble"; }
    SUBCASE("below the range") { status = "099 Trouble"; }
    SUBCASE("above the range") { status = "600 Trouble"; }
    const std::string end = "Content-Length: 7\r\n\r\ntrouble";
    RawUpstream faulty(fixture.store_, "u1", [&](const RawConnection& connection) {
        connection.send(connection.head(status) + end);
        connection.readToEnd();
    });
    fixture.start();
    REQUIRE(eventually([&] { return fixture.isReady(); }));
    const auto client = fixture.client();
    const auto write = client->Post("/write/x", fixture.headers("id-1"), "x", "text/plain");
    REQUIRE(write);
    CHECK(write->status == 502);
    CHECK(write->get_header_value("X-Response-Seal").empty());
    CHECK(faulty.requests_ == 1);
    Upstream sound(fixture.store_, "u2");
    CHECK(eventually([&] {
        const auto read = client->Get("/read/x", fixture.headers("id-2"));
        return read && read->status == 200 && read->body == "answer of u2";
    }));
}

TEST_CASE("a status that does not exist leaves open whether the store has written")
{
    standin::Server server;
    server.Post(".*", [](const httplib::Request&, httplib::Response&) {
        const std::string answer = "HTTP/1.1 000 Trouble\r\nContent-Length: 2\r\n\r\n{}";
        auto& connection = standin::Server::currentConnection();
        send(connection.fd_, answer.data(), answer.size(), MSG_NOSIGNAL);
        connection.dropped_ = true;
    });
    boost::asio::io_context loop { 1 };
    HttpChannel channel(loop, { "127.0.0.1", static_cast<uint16_t>(server.start("127.0.0.1", 0)) });
    std::optional<Result<HttpAnswer>> received;
    channel.call({ .method_ = "POST", .target_ = "/", .body_ = "{}" }, [&](const Result<HttpAnswer>& answer) {
        received = answer;
        loop.stop();
    });
    loop.run_for(std::chrono::seconds(10));
    REQUIRE(received);
    REQUIRE_FALSE(*received);
    const bool isOpen = received->error().code_ == ErrorCode::Unknown;
    CHECK(isOpen);
}

TEST_CASE("an announced length beyond any memory is a broken answer")
{
    // The parser reserved the announced length where a part of the body came with the head, and the process
    // ended.
    Fixture fixture;
    const RawUpstream upstream(fixture.store_, "u1", [](const RawConnection& connection) {
        connection.send(
            connection.head() + "Content-Length: 4000000000000000000\r\n\r\n" + std::string(99, 'x'));
        connection.readToEnd();
    });
    fixture.start();
    REQUIRE(eventually([&] { return fixture.isReady(); }));
    const auto answer = fixture.client()->Post("/write/x", fixture.headers("id-1"), "x", "text/plain");
    REQUIRE(answer);
    CHECK(answer->status == 502);
}

TEST_CASE("a length beyond any memory that the store announces is an error")
{
    standin::Server server;
    server.Get(".*", [](const httplib::Request&, httplib::Response&) {
        const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 4000000000000000000\r\n\r\n{}";
        auto& connection = standin::Server::currentConnection();
        send(connection.fd_, answer.data(), answer.size(), MSG_NOSIGNAL);
        connection.dropped_ = true;
    });
    boost::asio::io_context loop { 1 };
    HttpChannel channel(loop, { "127.0.0.1", static_cast<uint16_t>(server.start("127.0.0.1", 0)) });
    std::optional<Result<HttpAnswer>> received;
    channel.call({ .target_ = "/" }, [&](const Result<HttpAnswer>& answer) {
        received = answer;
        loop.stop();
    });
    loop.run_for(std::chrono::seconds(10));
    REQUIRE(received);
    CHECK_FALSE(*received);
}
