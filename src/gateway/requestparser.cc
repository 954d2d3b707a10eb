// Callbacks of the request parser.
#include "requestparser.h"

namespace turmericwing::gateway::detail {

void RequestParser::on_request_impl(
    boost::beast::http::verb, string_view method, string_view target, int, error_code&)
{
    request_.method_.assign(method.data(), method.size());
    request_.target_.assign(target.data(), target.size());
}

void RequestParser::on_field_impl(boost::beast::http::field, string_view name, string_view value, error_code&)
{
    if (!isHeadDone_)
        request_.headers_.push_back({ { name.data(), name.size() }, { value.data(), value.size() } });
}

size_t RequestParser::on_body_impl(string_view bytes, error_code&)
{
    request_.body_.append({ bytes.data(), bytes.size() });
    return bytes.size();
}

size_t RequestParser::on_chunk_body_impl(uint64_t, string_view bytes, error_code&)
{
    request_.body_.append({ bytes.data(), bytes.size() });
    return bytes.size();
}

} // namespace turmericwing::gateway::detail
