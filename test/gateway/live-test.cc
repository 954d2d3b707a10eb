// End-to-end tests of a gateway with a store, upstreams and callers over sockets.
#include "live.h"

#include <doctest/doctest.h>

#include <fcntl.h>

using namespace turmericwing;
using namespace turmericwing::gateway;
using namespace turmericwing::gateway::test;

namespace {

/// Makes an upstream delay its answers, and record whether a caller disconnects meanwhile.
void holdRequests(Upstream& upstream, Duration time)
{
    upstream.handler_ = [&upstream, time](const httplib::Request&, httplib::Response& response) {
        if (!standin::Server::waitUntil(monotonicNow() + time))
            upstream.callerDisconnected_ = true;
        response.set_content("late answer of " + upstream.id_, "text/plain");
    };
}

/// Makes an upstream send the given bytes instead of an answer, and then close or reset the connection.
void answerRaw(Upstream& upstream, const std::function<std::string(const std::string& id)>& bytes, bool reset)
{
    upstream.handler_ = [bytes, reset](const httplib::Request& request, httplib::Response&) {
        auto& connection = standin::Server::currentConnection();
        const std::string answer = bytes(request.get_header_value("X-Attempt-Id"));
        send(connection.fd_, answer.data(), answer.size(), MSG_NOSIGNAL);
        if (reset) {
            const linger now { 1, 0 };
            setsockopt(connection.fd_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
            close(dup2(open("/dev/null", O_RDONLY), connection.fd_));
        }
        connection.dropped_ = true;
    };
}

} // namespace

TEST_CASE("an authenticated request is forwarded unchanged, and others are refused with a status")
{
    // Guards against API keys that reach an upstream, and against answers changed in transit.
    Fixture fixture;
    Upstream upstream(fixture.store_, "u1");
    std::string seenKey = "none";
    std::string seenWorkspace;
    upstream.handler_ = [&](const httplib::Request& request, httplib::Response& response) {
        seenKey = request.get_header_value("Authorization");
        seenWorkspace = request.get_header_value("X-Tenant");
        response.status = 201;
        response.set_content(request.body + " by " + request.get_header_value("X-Expect-Instance"), "text/x");
    };
    fixture.start();
    REQUIRE(eventually([&] { return fixture.isReady(); }));
    const auto client = fixture.client();
    auto headers = fixture.headers("id-1");
    headers.emplace("X-Tenant", "forged");
    const auto answer = client->Post("/write/x?q=1", headers, "body", "text/plain");
    REQUIRE(answer);
    CHECK(answer->status == 201);
    CHECK(answer->body == "body by u1");
    CHECK(answer->get_header_value("X-Response-Seal") == "seal-of-u1");
    CHECK(seenKey.empty());
    CHECK(seenWorkspace == "w1");
    CHECK(client->Get("/read/x", fixture.headers("id-2", "wrong"))->status == 401);
    CHECK(client->Get("/other/x", fixture.headers("id-3"))->status == 404);
    httplib::Client lookups("127.0.0.1", fixture.settings_.lookupAddress_.port_);
    const auto found = lookups.Get("/api/resolve?name=a.example&region=a&zone=a1");
    REQUIRE(found);
    CHECK(found->body.find(addressText(fixture.settings_.callerAddress_)) != std::string::npos);
    httplib::Client metrics("127.0.0.1", fixture.settings_.metricsAddress_.port_);
    CHECK(metrics.Get("/metrics")->body.find("turmericwing_requests_total") != std::string::npos);
}

TEST_CASE("an operator asks where a request would go, and nothing is sent")
{
    // Guards against an explanation that reaches an upstream, and against faults that are not told.
    Fixture fixture;
    const Upstream upstream(fixture.store_, "u1");
    fixture.start();
    REQUIRE(eventually([&] { return fixture.isReady(); }));
    httplib::Client metrics("127.0.0.1", fixture.settings_.metricsAddress_.port_);
    const auto explained = metrics.Get("/explain?host=a.example&path=/read/x&workspace=w1");
    REQUIRE(explained);
    CHECK(explained->status == 200);
    const auto backend = nlohmann::json::parse(explained->body).at("backends").at(0);
    CHECK(backend.at("decision") == "sent");
    CHECK(backend.at("upstreams").at(0).at("id") == "u1");
    CHECK(upstream.requests_ == 0);
    const auto keyed = metrics.Get("/explain?host=a.example&path=/read/x", fixture.headers("id-1"));
    CHECK(nlohmann::json::parse(keyed->body).at("workspace") == "w1");
    CHECK(keyed->body.find("key-1") == std::string::npos);
    const auto malformed = metrics.Get("/explain?host=a.example&path=read");
    CHECK(malformed->status == 400);
    CHECK(malformed->body.find("path beginning with") != std::string::npos);
    CHECK(metrics.Post("/explain?host=a.example&path=/read/x")->status == 405);
}

TEST_CASE("idempotent requests are retried on another upstream, others are not")
{
    Fixture fixture;
    Upstream broken(fixture.store_, "u1");
    Upstream sound(fixture.store_, "u2");
    broken.handler_ = [](const httplib::Request&, httplib::Response&) {
        standin::Server::currentConnection().dropped_ = true;
    };
    fixture.start();
    REQUIRE(eventually([&] { return fixture.isReady(); }));
    const auto client = fixture.client();
    int failed = 0;
    for (int i = 0; i < 30; ++i) {
        const std::string id = "id-" + std::to_string(i);
        const auto read = client->Get("/read/x", fixture.headers(id));
        REQUIRE(read);
        // Requests earn the retry budget, so a request that fails early may have none.
        failed += read->status == 200 ? 0 : 1;
        const int before = broken.requests_ + sound.requests_;
        const auto write = client->Post("/write/x", fixture.headers(id + "w"), "x", "text/plain");
        REQUIRE(write);
        CHECK((write->status == 200 || write->status == 502));
        CHECK(broken.requests_ + sound.requests_ == before + 1);
        CHECK(write->get_header_value("X-Response-Seal").empty() == (write->status == 502));
    }
    CHECK(failed <= 3);
    CHECK(broken.requests_ > 0);
}

TEST_CASE("an upstream's failure reaches the caller where no other upstream can retry the request")
{
    // The gateway replaced the failure, with its signature, by a 502 of its own when the retry found no
    // upstream.
    Fixture fixture;
    Upstream only(fixture.store_, "u1");
    only.handler_ = [](const httplib::Request&, httplib::Response& response) {
        response.status = 500;
        response.set_content("failed", "text/plain");
    };
    fixture.start();
    REQUIRE(eventually([&] { return fixture.isReady(); }));
    const auto client = fixture.client();
    for (int i = 0; i < 10; ++i) {
        const auto read = client->Get("/read/x", fixture.headers("id-" + std::to_string(i)));
        REQUIRE(read);
        CHECK(read->status == 500);
        CHECK(read->get_header_value("X-Response-Seal") == "seal-of-u1");
        CHECK(read->body == "failed");
    }
}

TEST_CASE("a request that crashes upstreams is quarantined, one whose answers are lost is not")
{
    // Lost answers to a frequent request on two upstreams counted as two crashes, and the request was refused
    // for a minute.
    Fixture fixture;
    std::vector<std::unique_ptr<Upstream>> upstreams;
    for (int i = 1; i <= 6; ++i)
        upstreams.push_back(std::make_unique<Upstream>(fixture.store_, "u" + std::to_string(i)));
    bool crashes = false;
    SUBCASE("lost answers") { crashes = false; }
    SUBCASE("crashes") { crashes = true; }
    std::atomic<int> ran = 0;
    for (const auto& upstream : upstreams) {
        upstream->handler_
            = [&ran, crashes, &upstream](const httplib::Request& request, httplib::Response& response) {
                  if (request.body != "poison") {
                      response.set_content("fine", "text/plain");
                      return;
                  }
                  ++ran;
                  if (crashes)
                      upstream->server_.stop();
                  standin::Server::currentConnection().dropped_ = true;
              };
    }
    fixture.start();
    REQUIRE(eventually([&] { return fixture.isReady(); }));
    const auto client = fixture.client();
    for (int i = 0; i < 12; ++i) {
        client->Post("/write/x", fixture.headers("id-" + std::to_string(i)), "poison", "text/plain");
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
    }
    if (crashes)
        CHECK(ran <= 3);
    else
        CHECK(ran >= 10);
    CHECK(client->Post("/write/x", fixture.headers("id-last"), "other", "text/plain")->status == 200);
}

TEST_CASE("a not-run refusal is retried, and then passed on as not run with a Retry-After")
{
    Fixture fixture;
    Upstream full(fixture.store_, "u1");
    full.handler_ = [](const httplib::Request&, httplib::Response& response) {
        response.status = 503;
        response.set_header("X-Not-Run", "1");
    };
    fixture.start();
    REQUIRE(eventually([&] { return fixture.isReady(); }));
    const auto refused = fixture.client()->Post("/write/x", fixture.headers("id-1"), "x", "text/plain");
    REQUIRE(refused);
    CHECK(refused->status == 503);
    CHECK(std::stod(refused->get_header_value("Retry-After")) > 0);
    CHECK(refused->get_header_value("Turmericwing-Outcome") == "not-run");
}

TEST_CASE("an upstream is notified immediately when its caller disconnects")
{
    Fixture fixture;
    Upstream upstream(fixture.store_, "u1");
    holdRequests(upstream, std::chrono::seconds(20));
    fixture.start();
    REQUIRE(eventually([&] { return fixture.isReady(); }));
    auto client = fixture.client();
    client->set_read_timeout(0, 300'000);
    CHECK_FALSE(client->Get("/read/x", fixture.headers("id-1")));
    client.reset();
    CHECK(eventually([&] { return upstream.callerDisconnected_.load(); }));
}

TEST_CASE("a request is answered with 504 at its route's timeout")
{
    Fixture fixture;
    Upstream upstream(fixture.store_, "u1");
    holdRequests(upstream, std::chrono::seconds(20));
    fixture.start();
    REQUIRE(eventually([&] { return fixture.isReady(); }));
    const TimePoint begin = monotonicNow();
    const auto answer = fixture.client()->Get("/read/x", fixture.headers("id-1"));
    REQUIRE(answer);
    CHECK(answer->status == 504);
    CHECK(monotonicNow() - begin >= std::chrono::milliseconds(2900));
    CHECK(eventually([&] { return upstream.callerDisconnected_.load(); }));
}

TEST_CASE("answers that belong to no request are not passed to callers")
{
    // The upstream sends an answer to another request first, then the right one, then a second answer.
    Fixture fixture;
    Upstream upstream(fixture.store_, "u1");
    const auto message = [](const std::string& id, const std::string& body) {
        return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id
            + "\r\nX-Response-Seal: s\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    };
    answerRaw(
        upstream,
        [&](const std::string& id) {
            return message("other", "stray") + message(id, "own") + message(id, "extra");
        },
        false);
    fixture.start();
    REQUIRE(eventually([&] { return fixture.isReady(); }));
    const auto client = fixture.client();
    for (int i = 0; i < 5; ++i) {
        const auto answer = client->Get("/read/x", fixture.headers("id-" + std::to_string(i)));
        REQUIRE(answer);
        CHECK(answer->body == "own");
    }
}

TEST_CASE("a truncated answer is not passed on as complete")
{
    Fixture fixture;
    Upstream upstream(fixture.store_, "u1");
    const std::string head = "HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\nX-Attempt-Id: ";
    bool reset = false;
    SUBCASE("shorter than its length")
    {
        answerRaw(
            upstream, [&](const std::string& id) { return head + id + "\r\nContent-Length: 9\r\n\r\nabc"; },
            false);
    }
    SUBCASE("without a length, by a reset")
    {
        reset = true;
        answerRaw(
            upstream, [&](const std::string& id) { return head + id + "\r\nConnection: close\r\n\r\nabc"; },
            true);
    }
    // Other operators saw a 200 with an empty or short body, framed as whole, after an upstream had stopped
    // in the head of its answer.
    SUBCASE("within its head, after a line")
    {
        answerRaw(
            upstream, [&](const std::string& id) { return head + id + "\r\n"; }, false);
    }
    SUBCASE("within a line of its head")
    {
        answerRaw(
            upstream, [&](const std::string& id) { return head + id + "\r\nContent-Length: 9\r\nConn"; },
            false);
    }
    SUBCASE("within its head, by a reset")
    {
        reset = true;
        answerRaw(
            upstream, [&](const std::string& id) { return head + id + "\r\nContent-Length: 0\r\n"; }, true);
    }
    SUBCASE("within its head, with an announced close")
    {
        answerRaw(
            upstream, [&](const std::string& id) { return head + id + "\r\nConnection: close\r\n"; }, false);
    }
    SUBCASE("without its last chunk")
    {
        answerRaw(
            upstream,
            [&](const std::string& id) {
                return head + id + "\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n";
            },
            false);
    }
    SUBCASE("malformed")
    {
        answerRaw(
            upstream, [&](const std::string&) { return "\x01\x02 nonsense\r\n\r\n"; }, false);
    }
    fixture.start();
    REQUIRE(eventually([&] { return fixture.isReady(); }));
    const auto answer = fixture.client()->Post("/write/x", fixture.headers("id-1"), "x", "text/plain");
    REQUIRE(answer);
    INFO("reset: ", reset);
    CHECK(answer->status == 502);
    CHECK(answer->get_header_value("X-Response-Seal").empty());
}

TEST_CASE("an answer without a length is complete if the connection closes cleanly")
{
    Fixture fixture;
    Upstream upstream(fixture.store_, "u1");
    answerRaw(
        upstream,
        [](const std::string& id) {
            return "HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\nX-Attempt-Id: " + id + "\r\n\r\nabc";
        },
        false);
    fixture.start();
    REQUIRE(eventually([&] { return fixture.isReady(); }));
    const auto answer = fixture.client()->Get("/read/x", fixture.headers("id-1"));
    REQUIRE(answer);
    CHECK(answer->status == 200);
    CHECK(answer->body == "abc");
}

TEST_CASE("requests are served during an outage of the store, and changes apply after it")
{
    Fixture fixture;
    Upstream upstream(fixture.store_, "u1");
    fixture.start();
    REQUIRE(eventually([&] { return fixture.isReady(); }));
    const auto client = fixture.client();
    standin::RowFaults faults;
    SUBCASE("refusing") { faults.refuse_ = true; }
    SUBCASE("breaking connections") { faults.drop_ = true; }
    fixture.store_.setFaults(faults);
    fixture.store_.put("op", "config", configuration(2, "key-2"));
    fixture.store_.remove("servers", "u1");
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    CHECK(client->Get("/read/x", fixture.headers("id-1"))->status == 200);
    CHECK(fixture.isReady());
    fixture.store_.setFaults({});
    upstream.publish("ready");
    CHECK(
        eventually([&] { return client->Get("/read/x", fixture.headers("id-2", "key-2"))->status == 200; }));
    CHECK(client->Get("/read/x", fixture.headers("id-3", "key-1"))->status == 401);
}

TEST_CASE("the tables are read again when the store has lost its history")
{
    Fixture fixture;
    Upstream first(fixture.store_, "u1");
    fixture.start();
    REQUIRE(eventually([&] { return fixture.isReady(); }));
    fixture.store_.remove("servers", "u1");
    fixture.store_.dropHistory();
    Upstream second(fixture.store_, "u2");
    const auto client = fixture.client();
    CHECK(eventually([&] {
        const auto answer = client->Get("/read/x", fixture.headers("id-1"));
        return answer && answer->body == "answer of u2";
    }));
}

TEST_CASE("a draining upstream receives no further requests")
{
    Fixture fixture;
    Upstream leaving(fixture.store_, "u1");
    Upstream staying(fixture.store_, "u2");
    fixture.start();
    REQUIRE(eventually([&] { return fixture.isReady(); }));
    leaving.publish("draining");
    const auto client = fixture.client();
    std::this_thread::sleep_for(std::chrono::milliseconds(1000));
    const int before = leaving.requests_;
    for (int i = 0; i < 20; ++i)
        CHECK(client->Get("/read/x", fixture.headers("id-" + std::to_string(i)))->status == 200);
    CHECK(leaving.requests_ == before);
}

TEST_CASE("malformed entries and configurations are ignored")
{
    Fixture fixture;
    Upstream upstream(fixture.store_, "u1");
    fixture.store_.put("servers", "u2", "\xff not an entry");
    fixture.store_.put("servers", "u3", R"({"service":"s","address":"127.0.0.1:1","zone":"a1"})");
    fixture.start();
    REQUIRE(eventually([&] { return fixture.isReady(); }));
    fixture.store_.put("op", "config", R"({"version":9,"resources":[{"type":"routes"}]})");
    fixture.store_.put("op", "unknown", "x");
    std::this_thread::sleep_for(std::chrono::milliseconds(700));
    const auto client = fixture.client();
    for (int i = 0; i < 10; ++i)
        CHECK(client->Get("/read/x", fixture.headers("id-" + std::to_string(i)))->status == 200);
}

TEST_CASE("invalid requests are refused with the matching status")
{
    Fixture fixture;
    Upstream upstream(fixture.store_, "u1");
    fixture.start();
    REQUIRE(eventually([&] { return fixture.isReady(); }));
    const std::string end = "\r\n\r\n";
    CHECK(fixture.sendRaw("nonsense" + end, end).starts_with("HTTP/1.1 400"));
    CHECK(fixture.sendRaw("GET /read/x HTTP/1.1\r\nX-Long: " + std::string(3000, 'x') + end, end)
              .starts_with("HTTP/1.1 431"));
    CHECK(fixture.sendRaw("POST /write/x HTTP/1.1\r\nContent-Length: 200000" + end, end)
              .starts_with("HTTP/1.1 413"));
    CHECK(fixture
              .sendRaw("POST /write/x HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked" + end, end)
              .starts_with("HTTP/1.1 400"));
    // An incomplete head is refused after the header timeout.
    CHECK(fixture.sendRaw("GET /read/x HTTP/1.1\r\nHost:", end).starts_with("HTTP/1.1 408"));
    CHECK(upstream.requests_ == 0);
    const std::string late
        = "GET /read/x HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token key-1\r\nX-Deadline-Ms: soon";
    CHECK(fixture.sendRaw(late + end, end).starts_with("HTTP/1.1 400"));
}

TEST_CASE("a draining gateway finishes running requests and then stops")
{
    Fixture fixture;
    Upstream upstream(fixture.store_, "u1");
    holdRequests(upstream, std::chrono::milliseconds(800));
    fixture.start();
    REQUIRE(eventually([&] { return fixture.isReady(); }));
    std::atomic<int> status = 0;
    std::thread caller([&] {
        const auto answer = fixture.client()->Get("/read/x", fixture.headers("id-1"));
        status = answer ? answer->status : -1;
    });
    REQUIRE(eventually([&] { return upstream.requests_ == 1; }));
    fixture.drain();
    CHECK(eventually([&] { return !fixture.isReady(); }));
    caller.join();
    CHECK(status == 200);
    CHECK(eventually([&] { return fixture.loop_.stopped(); }));
    CHECK_FALSE(fixture.store_.get("hosts", "h1"));
}

TEST_CASE("a rollout is started, advanced and ended by the hosts, and its end is written once")
{
    Fixture fixture;
    Upstream before(fixture.store_, "u1");
    fixture.start();
    REQUIRE(eventually([&] { return fixture.isReady(); }));
    Upstream after(fixture.store_, "u2", "a1", "v2");
    const bool isBad = [] {
        bool bad = false;
        SUBCASE("good") { bad = false; }
        SUBCASE("bad") { bad = true; }
        return bad;
    }();
    if (isBad) {
        after.handler_ = [](const httplib::Request&, httplib::Response& response) { response.status = 500; };
    }
    const auto client = fixture.client();
    for (int i = 0; i < 20; ++i)
        CHECK(client->Get("/read/x", fixture.headers("id-" + std::to_string(i)))->status == 200);
    CHECK(after.requests_ == 0);
    fixture.store_.put("op", "rollout/s", R"({"service":"s","to":"v2","duration":"8s"})");
    REQUIRE(eventually([&] { return fixture.store_.get("status", "rollout/s").has_value(); }));
    const std::string end = isBad ? "reverted" : "complete";
    CHECK(eventually([&] {
        client->Get("/read/x", fixture.headers("id"));
        return fixture.store_.get("status", "rollout/s")->find(end) != std::string::npos;
    }));
    const int sent = isBad ? after.requests_ : before.requests_;
    for (int i = 0; i < 10; ++i)
        CHECK(client->Get("/read/x", fixture.headers("id-" + std::to_string(i)))->status == 200);
    CHECK((isBad ? after.requests_ : before.requests_) == sent);
}
