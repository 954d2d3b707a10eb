// Header fields and request targets.
#include "headers.h"

#include <algorithm>
#include <array>
#include <strings.h>
#include <utility>

namespace turmericwing::host::detail {

bool equalNames(const std::string& a, const char* b) { return strcasecmp(a.c_str(), b) == 0; }

std::string headerValue(const HeaderList& headers, const char* name)
{
    for (const auto& [key, value] : headers) {
        if (equalNames(key, name))
            return value;
    }
    return {};
}

/// Headers that belong to one connection, to the caller's credentials, or to this system.
bool isPrivateHeader(const std::string& name)
{
    static constexpr std::array hopByHop { "Connection", "Keep-Alive", "Proxy-Connection",
        "Proxy-Authorization", "Proxy-Authenticate", "TE", "Trailer", "Transfer-Encoding", "Upgrade",
        "Expect", "Content-Length", "Host", "Authorization", "Cookie", "REMOTE_ADDR", "REMOTE_PORT",
        "LOCAL_ADDR", "LOCAL_PORT" };
    const bool listed = std::any_of(
        hopByHop.begin(), hopByHop.end(), [&](const char* hop) { return equalNames(name, hop); });
    return listed || strncasecmp(name.c_str(), "Turmericwing-", 13) == 0;
}

/// Whether the Connection header lists this header, which then ends at this host too.
bool isConnectionOption(const std::string& options, const std::string& name)
{
    size_t start = 0;
    while (start < options.size()) {
        const size_t end = std::min(options.find(',', start), options.size());
        std::string token = options.substr(start, end - start);
        token.erase(0, token.find_first_not_of(" \t"));
        token.erase(token.find_last_not_of(" \t") + 1);
        if (equalNames(token, name.c_str()))
            return true;
        start = end + 1;
    }
    return false;
}

HeaderList forwardedHeaders(const HeaderList& headers)
{
    const std::string options = headerValue(headers, "Connection");
    HeaderList kept;
    for (const auto& [name, value] : headers) {
        if (!isPrivateHeader(name) && !isConnectionOption(options, name))
            kept.emplace_back(name, value);
    }
    return kept;
}

Target splitTarget(const std::string& target)
{
    const size_t end = target.find_first_of("/?", 1);
    Target split;
    split.service_ = target.substr(1, end == std::string::npos ? end : end - 1);
    split.rest_ = end == std::string::npos ? "/" : target.substr(end);
    if (split.rest_[0] != '/')
        split.rest_ = "/" + split.rest_;
    split.path_ = split.rest_.substr(0, split.rest_.find('?'));
    return split;
}

/// Decodes the escapes of dots and slashes; a backslash counts as a slash, as some servers take it.
std::string decodeSeparators(const std::string& path)
{
    static constexpr std::array<std::pair<const char*, char>, 3> escapes { { { "%2e", '.' }, { "%2f", '/' },
        { "%5c", '/' } } };
    std::string decoded;
    for (size_t i = 0; i < path.size(); ++i) {
        const auto* escape = std::find_if(escapes.begin(), escapes.end(),
            [&](const auto& known) { return strncasecmp(path.c_str() + i, known.first, 3) == 0; });
        if (escape != escapes.end()) {
            decoded += escape->second;
            i += 2;
        } else
            decoded += path[i] == '\\' ? '/' : path[i];
    }
    return decoded;
}

bool hasDotSegments(const std::string& path)
{
    const std::string decoded = decodeSeparators(path) + "/";
    return decoded.find("/../") != std::string::npos || decoded.find("/./") != std::string::npos;
}

} // namespace turmericwing::host::detail
