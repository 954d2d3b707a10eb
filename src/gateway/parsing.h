// What both sides do with the HTTP library's parser.
#pragma once

#include "turmericwing/gateway/http.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/fields.hpp>

#include <string>

namespace turmericwing::gateway::detail {

/// Gives the parser as many of the bytes as it takes, and removes them.
template <typename Parser> void feed(Parser& parser, std::string& bytes, boost::system::error_code& error)
{
    size_t used = 0;
    while (used < bytes.size() && !parser.is_done()) {
        used += parser.put(boost::asio::buffer(bytes.data() + used, bytes.size() - used), error);
        if (error)
            break;
    }
    bytes.erase(0, used);
}

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
