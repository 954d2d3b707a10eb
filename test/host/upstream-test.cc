// Tests of calls to upstreams. They guard against a response that is taken for complete and is none.
#include "server.h"
#include "turmericwing/host/upstream.h"

#include <doctest/doctest.h>

using namespace turmericwing;
using namespace turmericwing::host;

TEST_CASE("a response with a status that does not exist is not passed on")
{
    standin::Server server;
    server.Get(".*", [](const httplib::Request& request, httplib::Response&) {
        const std::string response = "HTTP/1.1 000 Trouble\r\nTurmericwing-Request-Id: "
            + request.get_header_value("Turmericwing-Request-Id") + "\r\nContent-Length: 2\r\n\r\nno";
        auto& connection = standin::Server::currentConnection();
        send(connection.fd_, response.data(), response.size(), MSG_NOSIGNAL);
        connection.dropped_ = true;
    });
    Executor executor(1);
    UpstreamPool pool(executor);
    const auto call = pool.start({ .address_ = "127.0.0.1:" + std::to_string(server.start("127.0.0.1", 0)),
        .method_ = "GET",
        .target_ = "/x",
        .requestId_ = "1",
        .deadline_ = monotonicNow() + std::chrono::seconds(10) });
    CHECK(call->waitUntilBuffered() == CallState::Incomplete);
    CHECK(call->head().status_ == 0);
    CHECK(call->readBody().empty());
    executor.shutdown();
}
