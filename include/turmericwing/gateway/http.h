// Requests and answers as the gateway handles them, apart from any HTTP library.
#pragma once

#include "turmericwing/base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmericwing::gateway {

struct HeaderField {
    std::string name_;
    std::string value_;
    friend bool operator==(const HeaderField&, const HeaderField&) = default;
};

using Headers = std::vector<HeaderField>;

struct Request {
    std::string method_;
    std::string target_;
    Headers headers_;
    std::string body_;
    TimePoint receivedAt_ {}; ///< When its first byte was read.
};

struct Response {
    unsigned status_ = 0;
    std::string reason_;
    Headers headers_;
    std::string body_;
};

/// Names of header fields do not depend on case.
bool equalNames(std::string_view a, std::string_view b);

/// Value of the first field with that name; empty if there is none.
std::string_view headerValue(const Headers&, std::string_view name);

/// A whole decimal number and nothing else.
std::optional<uint64_t> parseCount(std::string_view);

/// Fields that concern more than one connection: without hop-by-hop fields, those that Connection lists, and
/// the length, which is set anew.
Headers endToEndHeaders(const Headers&);

/// Head of a request with a body of `bodyBytes`; ends with the empty line.
std::string requestHead(
    const std::string& method, const std::string& target, const Headers&, size_t bodyBytes);

/// Head of a response. A Content-Length among the fields stays, as in an answer to HEAD.
std::string responseHead(const Response&, bool close);

const char* reasonPhrase(unsigned status);

} // namespace turmericwing::gateway
