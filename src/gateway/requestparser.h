// Parses the head and body of a request into a Request, on the parser of Boost.Beast.
#pragma once

#include "turmericwing/gateway/http.h"

#include <boost/beast/http/basic_parser.hpp>

namespace turmericwing::gateway::detail {

/// Puts header fields and body straight into the request, without a copy of Boost.Beast's own. Trailer fields
/// are dropped: nothing here knows their meaning, and as header fields they could pass for those of the head
/// (RFC 9110, section 6.5.1).
class RequestParser : public boost::beast::http::basic_parser<true> {
public:
    Request& request() { return request_; }

private:
    using error_code = boost::beast::error_code;
    using string_view = boost::beast::string_view;

    void on_request_impl(
        boost::beast::http::verb, string_view method, string_view target, int, error_code&) override;
    void on_response_impl(int, string_view, int, error_code&) override { }
    void on_field_impl(boost::beast::http::field, string_view name, string_view value, error_code&) override;
    void on_header_impl(error_code&) override { isHeadDone_ = true; }
    void on_body_init_impl(const boost::optional<uint64_t>&, error_code&) override { }
    size_t on_body_impl(string_view bytes, error_code&) override;
    void on_chunk_header_impl(uint64_t, string_view, error_code&) override { }
    size_t on_chunk_body_impl(uint64_t, string_view bytes, error_code&) override;
    void on_finish_impl(error_code&) override { }

    Request request_;
    bool isHeadDone_ = false;
};

} // namespace turmericwing::gateway::detail
