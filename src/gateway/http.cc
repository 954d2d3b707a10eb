// Header fields and message heads of HTTP/1.1.
#include "turmericwing/gateway/http.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <strings.h>

namespace turmericwing::gateway {

namespace detail {

    /// Fields that are not forwarded: hop-by-hop fields (RFC 9110, section 7.6.1, and RFC 2616,
    /// section 13.5.1), Expect, and Content-Length, which is written for each message.
    constexpr std::array<std::string_view, 11> notForwardedFields { "Connection", "Keep-Alive",
        "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "TE", "Trailer", "Transfer-Encoding",
        "Upgrade", "Expect", "Content-Length" };

    std::string_view trimWhitespace(std::string_view text)
    {
        while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
            text.remove_prefix(1);
        while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
            text.remove_suffix(1);
        return text;
    }

    /// Whether a comma-separated list contains the name, case-insensitively.
    bool containsToken(std::string_view list, std::string_view name)
    {
        while (!list.empty()) {
            const std::string_view token = list.substr(0, list.find(','));
            if (equalNames(trimWhitespace(token), name))
                return true;
            list.remove_prefix(std::min(list.size(), token.size() + 1));
        }
        return false;
    }

    void appendFields(std::string& head, const Headers& headers)
    {
        for (const HeaderField& field : headers) {
            head += field.name_;
            head += ": ";
            head += field.value_;
            head += "\r\n";
        }
    }

} // namespace detail

std::shared_ptr<const Body> takeBody(Request& request)
{
    struct HeldBody {
        Body body_;
        std::shared_ptr<const void> hold_;
    };
    auto held = std::make_shared<const HeldBody>(HeldBody { std::move(request.body_), request.hold_ });
    const Body* body = &held->body_;
    return { std::move(held), body };
}

bool equalNames(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

std::string_view headerValue(const Headers& headers, std::string_view name)
{
    const auto found = std::find_if(headers.begin(), headers.end(),
        [&](const HeaderField& field) { return equalNames(field.name_, name); });
    return found == headers.end() ? std::string_view() : std::string_view(found->value_);
}

std::optional<uint64_t> parseUnsigned(std::string_view text)
{
    uint64_t value = 0;
    const char* end = text.data() + text.size();
    const auto [rest, status] = std::from_chars(text.data(), end, value);
    const bool whole = !text.empty() && status == std::errc() && rest == end;
    return whole ? std::optional(value) : std::nullopt;
}

Headers endToEndHeaders(const Headers& headers)
{
    const std::string_view options = headerValue(headers, "Connection");
    Headers endToEnd;
    endToEnd.reserve(headers.size());
    for (const HeaderField& field : headers) {
        const bool isHopByHop
            = std::any_of(detail::notForwardedFields.begin(), detail::notForwardedFields.end(),
                [&](std::string_view name) { return equalNames(field.name_, name); });
        if (!isHopByHop && !detail::containsToken(options, field.name_))
            endToEnd.push_back(field);
    }
    return endToEnd;
}

std::string requestHead(
    const std::string& method, const std::string& target, const Headers& headers, size_t bodyBytes)
{
    std::string head = method + " " + target + " HTTP/1.1\r\n";
    detail::appendFields(head, headers);
    const bool methodHasBody = method == "POST" || method == "PUT" || method == "PATCH";
    if (bodyBytes > 0 || methodHasBody)
        head += "Content-Length: " + std::to_string(bodyBytes) + "\r\n";
    head += "\r\n";
    return head;
}

std::string responseHead(const Response& response, bool close)
{
    const std::string& reason = response.reason_;
    std::string head = "HTTP/1.1 " + std::to_string(response.status_) + " "
        + (reason.empty() ? reasonPhrase(response.status_) : reason) + "\r\n";
    detail::appendFields(head, response.headers_);
    const bool bodiless = response.status_ == 204 || response.status_ == 304;
    if (!bodiless && headerValue(response.headers_, "Content-Length").empty())
        head += "Content-Length: " + std::to_string(response.body_.size()) + "\r\n";
    if (close)
        head += "Connection: close\r\n";
    head += "\r\n";
    return head;
}

bool isStatus(unsigned status) { return status >= 100 && status <= 599; }

const char* reasonPhrase(unsigned status)
{
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 405:
        return "Method Not Allowed";
    case 408:
        return "Request Timeout";
    case 413:
        return "Content Too Large";
    case 421:
        return "Misdirected Request";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 500:
        return "Internal Server Error";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

} // namespace turmericwing::gateway
