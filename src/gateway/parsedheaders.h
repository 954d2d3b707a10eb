// Header fields out of the HTTP library's parser.
#pragma once

#include "turmericwing/gateway/http.h"

#include <boost/beast/http/fields.hpp>

namespace turmericwing::gateway::detail {

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
