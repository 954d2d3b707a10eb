// Requests and responses as the gateway handles them, independent of the HTTP library.
#pragma once

#include "turmericwing/base/time.h"
#include "turmericwing/gateway/body.h"

#include <cstdint>
#include <memory>
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
    Body body_;
    TimePoint receivedAt_ {}; ///< When the first byte of the request was read.
    /// Counts the request as held until it is destroyed; see RequestBudget. May be null.
    std::shared_ptr<const void> hold_ {};
};

/// Moves the body out of a request. The request counts as held until the body is destroyed, too.
std::shared_ptr<const Body> takeBody(Request&);

struct Response {
    unsigned status_ = 0;
    std::string reason_; ///< Empty: reasonPhrase(status_).
    Headers headers_;
    Body body_;
    /// Counts an upstream's body as held until it is destroyed; see AnswerBudget. Null for other responses.
    std::shared_ptr<const void> hold_ {};
};

/// Whether two header field names are equal; ignores case.
bool equalNames(std::string_view a, std::string_view b);

/// Returns the value of the first field with that name, or an empty view if there is none.
std::string_view headerValue(const Headers&, std::string_view name);

/// Parses an unsigned decimal number. Returns nothing if the text is empty, has other characters or
/// overflows.
std::optional<uint64_t> parseUnsigned(std::string_view);

/// Returns the end-to-end fields: all without the hop-by-hop fields, the fields that Connection lists, and
/// Content-Length, which is written for each message.
Headers endToEndHeaders(const Headers&);

/// Returns the head of a request with a body of `bodyBytes`, including the final empty line.
std::string requestHead(
    const std::string& method, const std::string& target, const Headers&, size_t bodyBytes);

/// Returns the head of a response, including the final empty line. Keeps a Content-Length among the fields,
/// which a response to HEAD needs. `close` adds Connection: close.
std::string responseHead(const Response&, bool close);

/// Whether a status exists (RFC 9110, section 15). A message with another one is no response.
bool isStatus(unsigned);

/// Returns the reason phrase of a status, or "Status" for statuses that the gateway does not send itself.
const char* reasonPhrase(unsigned status);

} // namespace turmericwing::gateway
