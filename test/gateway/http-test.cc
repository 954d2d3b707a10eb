// Tests of header fields and message heads. They guard against hop-by-hop fields that are passed on.
#include "turmericwing/gateway/http.h"

#include <doctest/doctest.h>

using namespace turmericwing::gateway;

TEST_CASE("hop-by-hop fields are not passed on")
{
    const Headers headers { { "Host", "h" }, { "connection", "close, X-Hop" }, { "X-Hop", "1" },
        { "Transfer-Encoding", "chunked" }, { "Content-Length", "3" }, { "X-Other", "2" } };
    CHECK(endToEndHeaders(headers) == Headers { { "Host", "h" }, { "X-Other", "2" } });
}

TEST_CASE("header names are case-insensitive")
{
    CHECK(headerValue({ { "RETRY-AFTER", "1" } }, "Retry-After") == "1");
    CHECK(headerValue({}, "Retry-After").empty());
}

TEST_CASE("message heads announce the length of the body")
{
    CHECK(requestHead("POST", "/x", { { "Host", "h" } }, 0)
        == "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
    CHECK(requestHead("GET", "/x", {}, 0) == "GET /x HTTP/1.1\r\n\r\n");
    CHECK(responseHead({ .status_ = 200, .body_ = "abc" }, true)
        == "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nConnection: close\r\n\r\n");
    CHECK(responseHead({ .status_ = 204 }, false) == "HTTP/1.1 204 Status\r\n\r\n");
}

TEST_CASE("statuses outside their range do not exist")
{
    for (const unsigned status : { 0U, 99U, 600U, 999U })
        CHECK_FALSE(isStatus(status));
    for (const unsigned status : { 100U, 200U, 599U })
        CHECK(isStatus(status));
}
