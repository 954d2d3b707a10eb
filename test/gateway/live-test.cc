// The whole path through a gateway process: store, upstreams and callers over sockets.
#include "live.h"

#include <doctest/doctest.h>

#include <fcntl.h>

using namespace turmericwing;
using namespace turmericwing::gateway;
using namespace turmericwing::gateway::test;

namespace {

/// Makes an upstream keep its requests for a while, and note callers that leave.
void holdRequests(Upstream& upstream, Duration time)
{
    upstream.handler_ = [&upstream, time](const httplib::Request&, httplib::Response& response) {
        if (!standin::Server::waitUntil(monotonicNow() + time))
            upstream.leftEarly_ = true;
        response.set_content("late answer of " + upstream.id_, "text/plain");
    };
}

/// Sends raw bytes in place of an answer. The connection ends after them.
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

TEST_CASE("a keyed request passes whole, and others are refused with their reason")
{
    // Guards against a key that reaches an upstream, and an answer that changes on its way.
    Bed bed;
    Upstream upstream(bed.store_, "u1");
    std::string seenKey = "none";
    std::string seenWorkspace;
    upstream.handler_ = [&](const httplib::Request& request, httplib::Response& response) {
        seenKey = request.get_header_value("Authorization");
        seenWorkspace = request.get_header_value("X-Tenant");
        response.status = 201;
        response.set_content(request.body + " by " + request.get_header_value("X-Expect-Instance"), "text/x");
    };
    bed.start();
    REQUIRE(eventually([&] { return bed.isReady(); }));
    const auto client = bed.client();
    auto headers = bed.headers("id-1");
    headers.emplace("X-Tenant", "forged");
    const auto answer = client->Post("/write/x?q=1", headers, "body", "text/plain");
    REQUIRE(answer);
    CHECK(answer->status == 201);
    CHECK(answer->body == "body by u1");
    CHECK(answer->get_header_value("X-Response-Seal") == "seal-of-u1");
    CHECK(seenKey.empty());
    CHECK(seenWorkspace == "w1");
    CHECK(client->Get("/read/x", bed.headers("id-2", "wrong"))->status == 401);
    CHECK(client->Get("/other/x", bed.headers("id-3"))->status == 404);
    httplib::Client lookups("127.0.0.1", bed.settings_.lookupAddress_.port_);
    const auto found = lookups.Get("/api/resolve?name=a.example&region=a&zone=a1");
    REQUIRE(found);
    CHECK(found->body.find(addressText(bed.settings_.callerAddress_)) != std::string::npos);
    httplib::Client metrics("127.0.0.1", bed.settings_.metricsAddress_.port_);
    CHECK(metrics.Get("/metrics")->body.find("turmericwing_requests_total") != std::string::npos);
}

TEST_CASE("a request that may run twice is repeated elsewhere, one that may not is not")
{
    Bed bed;
    Upstream broken(bed.store_, "u1");
    Upstream sound(bed.store_, "u2");
    broken.handler_ = [](const httplib::Request&, httplib::Response&) {
        standin::Server::currentConnection().dropped_ = true;
    };
    bed.start();
    REQUIRE(eventually([&] { return bed.isReady(); }));
    const auto client = bed.client();
    int lost = 0;
    for (int i = 0; i < 30; ++i) {
        const std::string id = "id-" + std::to_string(i);
        const auto read = client->Get("/read/x", bed.headers(id));
        REQUIRE(read);
        // The budget of repeats is earned by requests, so a first break may end a request.
        lost += read->status == 200 ? 0 : 1;
        const int before = broken.requests_ + sound.requests_;
        const auto write = client->Post("/write/x", bed.headers(id + "w"), "x", "text/plain");
        REQUIRE(write);
        CHECK((write->status == 200 || write->status == 502));
        CHECK(broken.requests_ + sound.requests_ == before + 1);
        CHECK(write->get_header_value("X-Response-Seal").empty() == (write->status == 502));
    }
    CHECK(lost <= 3);
    CHECK(broken.requests_ > 0);
}

TEST_CASE("a request that ends its upstreams is kept from the others, one whose answers are lost is not")
{
    // Lost answers of a popular request on two upstreams counted as two crashes, and it was refused for a
    // minute.
    Bed bed;
    std::vector<std::unique_ptr<Upstream>> upstreams;
    for (int i = 1; i <= 6; ++i)
        upstreams.push_back(std::make_unique<Upstream>(bed.store_, "u" + std::to_string(i)));
    bool ends = false;
    SUBCASE("lost answers") { ends = false; }
    SUBCASE("crashes") { ends = true; }
    std::atomic<int> ran = 0;
    for (const auto& upstream : upstreams) {
        upstream->handler_
            = [&ran, ends, &upstream](const httplib::Request& request, httplib::Response& response) {
                  if (request.body != "poison") {
                      response.set_content("fine", "text/plain");
                      return;
                  }
                  ++ran;
                  if (ends)
                      upstream->server_.stop();
                  standin::Server::currentConnection().dropped_ = true;
              };
    }
    bed.start();
    REQUIRE(eventually([&] { return bed.isReady(); }));
    const auto client = bed.client();
    for (int i = 0; i < 12; ++i) {
        client->Post("/write/x", bed.headers("id-" + std::to_string(i)), "poison", "text/plain");
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
    }
    if (ends)
        CHECK(ran <= 3);
    else
        CHECK(ran >= 10);
    CHECK(client->Post("/write/x", bed.headers("id-last"), "other", "text/plain")->status == 200);
}

TEST_CASE("a refusal that says not run is repeated, and passed on as not run with a time to come back")
{
    Bed bed;
    Upstream full(bed.store_, "u1");
    full.handler_ = [](const httplib::Request&, httplib::Response& response) {
        response.status = 503;
        response.set_header("X-Not-Run", "1");
    };
    bed.start();
    REQUIRE(eventually([&] { return bed.isReady(); }));
    const auto refused = bed.client()->Post("/write/x", bed.headers("id-1"), "x", "text/plain");
    REQUIRE(refused);
    CHECK(refused->status == 503);
    CHECK(std::stod(refused->get_header_value("Retry-After")) > 0);
    CHECK(refused->get_header_value("Turmericwing-Outcome") == "not-run");
}

TEST_CASE("an upstream learns at once that its caller has left")
{
    Bed bed;
    Upstream upstream(bed.store_, "u1");
    holdRequests(upstream, std::chrono::seconds(20));
    bed.start();
    REQUIRE(eventually([&] { return bed.isReady(); }));
    auto client = bed.client();
    client->set_read_timeout(0, 300'000);
    CHECK_FALSE(client->Get("/read/x", bed.headers("id-1")));
    client.reset();
    CHECK(eventually([&] { return upstream.leftEarly_.load(); }));
}

TEST_CASE("a request has its final answer at its route's timeout")
{
    Bed bed;
    Upstream upstream(bed.store_, "u1");
    holdRequests(upstream, std::chrono::seconds(20));
    bed.start();
    REQUIRE(eventually([&] { return bed.isReady(); }));
    const TimePoint begin = monotonicNow();
    const auto answer = bed.client()->Get("/read/x", bed.headers("id-1"));
    REQUIRE(answer);
    CHECK(answer->status == 504);
    CHECK(monotonicNow() - begin >= std::chrono::milliseconds(2900));
    CHECK(eventually([&] { return upstream.leftEarly_.load(); }));
}

TEST_CASE("bytes that belong to no request reach no caller")
{
    // An upstream sends a second answer after a whole one, and an answer to another request before its own.
    Bed bed;
    Upstream upstream(bed.store_, "u1");
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
    bed.start();
    REQUIRE(eventually([&] { return bed.isReady(); }));
    const auto client = bed.client();
    for (int i = 0; i < 5; ++i) {
        const auto answer = client->Get("/read/x", bed.headers("id-" + std::to_string(i)));
        REQUIRE(answer);
        CHECK(answer->body == "own");
    }
}

TEST_CASE("an answer that breaks off is not passed on as whole")
{
    Bed bed;
    Upstream upstream(bed.store_, "u1");
    const std::string head = "HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\nX-Attempt-Id: ";
    bool reset = false;
    SUBCASE("before its length")
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
    SUBCASE("with bytes that are no answer")
    {
        answerRaw(
            upstream, [&](const std::string&) { return "\x01\x02 nonsense\r\n\r\n"; }, false);
    }
    bed.start();
    REQUIRE(eventually([&] { return bed.isReady(); }));
    const auto answer = bed.client()->Post("/write/x", bed.headers("id-1"), "x", "text/plain");
    REQUIRE(answer);
    INFO("reset: ", reset);
    CHECK(answer->status == 502);
    CHECK(answer->get_header_value("X-Response-Seal").empty());
}

TEST_CASE("an answer without a length that ends cleanly is whole")
{
    Bed bed;
    Upstream upstream(bed.store_, "u1");
    answerRaw(
        upstream,
        [](const std::string& id) {
            return "HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\nX-Attempt-Id: " + id + "\r\n\r\nabc";
        },
        false);
    bed.start();
    REQUIRE(eventually([&] { return bed.isReady(); }));
    const auto answer = bed.client()->Get("/read/x", bed.headers("id-1"));
    REQUIRE(answer);
    CHECK(answer->status == 200);
    CHECK(answer->body == "abc");
}

TEST_CASE("requests go on while the store is away, and what changed meanwhile applies afterwards")
{
    Bed bed;
    Upstream upstream(bed.store_, "u1");
    bed.start();
    REQUIRE(eventually([&] { return bed.isReady(); }));
    const auto client = bed.client();
    standin::RowFaults away;
    SUBCASE("refusing") { away.refuse_ = true; }
    SUBCASE("breaking connections") { away.drop_ = true; }
    bed.store_.setFaults(away);
    bed.store_.put("op", "config", configuration(2, "key-2"));
    bed.store_.remove("servers", "u1");
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    CHECK(client->Get("/read/x", bed.headers("id-1"))->status == 200);
    CHECK(bed.isReady());
    bed.store_.setFaults({});
    upstream.enter("ready");
    CHECK(eventually([&] { return client->Get("/read/x", bed.headers("id-2", "key-2"))->status == 200; }));
    CHECK(client->Get("/read/x", bed.headers("id-3", "key-1"))->status == 401);
}

TEST_CASE("a store that forgot its history is read again")
{
    Bed bed;
    Upstream first(bed.store_, "u1");
    bed.start();
    REQUIRE(eventually([&] { return bed.isReady(); }));
    bed.store_.remove("servers", "u1");
    bed.store_.dropHistory();
    Upstream second(bed.store_, "u2");
    const auto client = bed.client();
    CHECK(eventually([&] {
        const auto answer = client->Get("/read/x", bed.headers("id-1"));
        return answer && answer->body == "answer of u2";
    }));
}

TEST_CASE("an upstream that leaves gets nothing more")
{
    Bed bed;
    Upstream leaving(bed.store_, "u1");
    Upstream staying(bed.store_, "u2");
    bed.start();
    REQUIRE(eventually([&] { return bed.isReady(); }));
    leaving.enter("draining");
    const auto client = bed.client();
    std::this_thread::sleep_for(std::chrono::milliseconds(1000));
    const int before = leaving.requests_;
    for (int i = 0; i < 20; ++i)
        CHECK(client->Get("/read/x", bed.headers("id-" + std::to_string(i)))->status == 200);
    CHECK(leaving.requests_ == before);
}

TEST_CASE("entries and configurations of other writers change nothing")
{
    Bed bed;
    Upstream upstream(bed.store_, "u1");
    bed.store_.put("servers", "u2", "\xff not an entry");
    bed.store_.put("servers", "u3", R"({"service":"s","address":"127.0.0.1:1","zone":"a1"})");
    bed.start();
    REQUIRE(eventually([&] { return bed.isReady(); }));
    bed.store_.put("op", "config", R"({"version":9,"resources":[{"type":"routes"}]})");
    bed.store_.put("op", "unknown", "x");
    std::this_thread::sleep_for(std::chrono::milliseconds(700));
    const auto client = bed.client();
    for (int i = 0; i < 10; ++i)
        CHECK(client->Get("/read/x", bed.headers("id-" + std::to_string(i)))->status == 200);
}

TEST_CASE("callers that send what is not allowed get a clear refusal")
{
    Bed bed;
    Upstream upstream(bed.store_, "u1");
    bed.start();
    REQUIRE(eventually([&] { return bed.isReady(); }));
    const std::string end = "\r\n\r\n";
    CHECK(bed.raw("nonsense" + end, end).starts_with("HTTP/1.1 400"));
    CHECK(bed.raw("GET /read/x HTTP/1.1\r\nX-Long: " + std::string(3000, 'x') + end, end)
              .starts_with("HTTP/1.1 431"));
    CHECK(bed.raw("POST /write/x HTTP/1.1\r\nContent-Length: 200000" + end, end).starts_with("HTTP/1.1 413"));
    CHECK(bed.raw("POST /write/x HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked" + end, end)
              .starts_with("HTTP/1.1 400"));
    // Half a request is given up after the time for a head.
    CHECK(bed.raw("GET /read/x HTTP/1.1\r\nHost:", end).starts_with("HTTP/1.1 408"));
    CHECK(upstream.requests_ == 0);
    const std::string late
        = "GET /read/x HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token key-1\r\nX-Deadline-Ms: soon";
    CHECK(bed.raw(late + end, end).starts_with("HTTP/1.1 400"));
}

TEST_CASE("a drained gateway finishes what runs and then stops")
{
    Bed bed;
    Upstream upstream(bed.store_, "u1");
    holdRequests(upstream, std::chrono::milliseconds(800));
    bed.start();
    REQUIRE(eventually([&] { return bed.isReady(); }));
    std::atomic<int> status = 0;
    std::thread caller([&] {
        const auto answer = bed.client()->Get("/read/x", bed.headers("id-1"));
        status = answer ? answer->status : -1;
    });
    REQUIRE(eventually([&] { return upstream.requests_ == 1; }));
    bed.drain();
    CHECK(eventually([&] { return !bed.isReady(); }));
    caller.join();
    CHECK(status == 200);
    CHECK(eventually([&] { return bed.loop_.stopped(); }));
    CHECK_FALSE(bed.store_.get("hosts", "h1"));
}

TEST_CASE("a rollout is started, moved and ended by the hosts, and its end written once")
{
    Bed bed;
    Upstream before(bed.store_, "u1");
    bed.start();
    REQUIRE(eventually([&] { return bed.isReady(); }));
    Upstream after(bed.store_, "u2", "a1", "v2");
    const bool isBad = [] {
        bool bad = false;
        SUBCASE("good") { bad = false; }
        SUBCASE("bad") { bad = true; }
        return bad;
    }();
    if (isBad) {
        after.handler_ = [](const httplib::Request&, httplib::Response& response) { response.status = 500; };
    }
    const auto client = bed.client();
    for (int i = 0; i < 20; ++i)
        CHECK(client->Get("/read/x", bed.headers("id-" + std::to_string(i)))->status == 200);
    CHECK(after.requests_ == 0);
    bed.store_.put("op", "rollout/s", R"({"service":"s","to":"v2","duration":"8s"})");
    REQUIRE(eventually([&] { return bed.store_.get("status", "rollout/s").has_value(); }));
    const std::string end = isBad ? "reverted" : "complete";
    CHECK(eventually([&] {
        client->Get("/read/x", bed.headers("id"));
        return bed.store_.get("status", "rollout/s")->find(end) != std::string::npos;
    }));
    const int sent = isBad ? after.requests_ : before.requests_;
    for (int i = 0; i < 10; ++i)
        CHECK(client->Get("/read/x", bed.headers("id-" + std::to_string(i)))->status == 200);
    CHECK((isBad ? after.requests_ : before.requests_) == sent);
}
