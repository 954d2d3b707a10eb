// Helpers for the parser of Boost.Beast, shared by the listener and the upstream client.
#pragma once

#include "turmericwing/gateway/http.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/fields.hpp>

#include <iterator>
#include <string>

namespace turmericwing::gateway::detail {

/// Parses bytes until the message is complete or there are none left, and removes the consumed bytes. An
/// eager parser loses the error of a head when a part of the body follows in the same bytes, such as that of
/// a body above its limit, so parsers become eager after the head only.
template <typename Parser>
void feedParser(Parser& parser, std::string& bytes, boost::system::error_code& error)
{
    size_t consumed = 0;
    while (consumed < bytes.size() && !parser.is_done()) {
        parser.eager(parser.is_header_done());
        consumed += parser.put(boost::asio::buffer(bytes.data() + consumed, bytes.size() - consumed), error);
        if (error)
            break;
    }
    bytes.erase(0, consumed);
}

/// Returns the number of header fields.
inline size_t countFields(const boost::beast::http::fields& fields)
{
    return static_cast<size_t>(std::distance(fields.begin(), fields.end()));
}

/// Copies header fields in their order and spelling.
inline Headers copyHeaders(const boost::beast::http::fields& fields)
{
    Headers headers;
    for (const auto& field : fields) {
        const auto name = field.name_string();
        const auto value = field.value();
        headers.push_back({ { name.data(), name.size() }, { value.data(), value.size() } });
    }
    return headers;
}

} // namespace turmericwing::gateway::detail
