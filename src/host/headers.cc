// Header fields and request targets: lookup, hop-by-hop filtering and detection of dot segments.
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

/// Whether a field is hop-by-hop, carries the caller's credentials, or belongs to this system.
bool isUnforwardedHeader(const std::string& name)
{
    static constexpr std::array unforwarded { "Connection", "Keep-Alive", "Proxy-Connection",
        "Proxy-Authorization", "Proxy-Authenticate", "TE", "Trailer", "Transfer-Encoding", "Upgrade",
        "Expect", "Content-Length", "Host", "Authorization", "Cookie", "REMOTE_ADDR", "REMOTE_PORT",
        "LOCAL_ADDR", "LOCAL_PORT" };
    const bool listed = std::any_of(unforwarded.begin(), unforwarded.end(),
        [&](const char* listedName) { return equalNames(name, listedName); });
    return listed || strncasecmp(name.c_str(), "Turmericwing-", 13) == 0;
}

/// Whether the Connection header lists this field, which makes it hop-by-hop too.
bool isConnectionOption(const std::string& connectionOptions, const std::string& name)
{
    size_t start = 0;
    while (start < connectionOptions.size()) {
        const size_t end = std::min(connectionOptions.find(',', start), connectionOptions.size());
        std::string token = connectionOptions.substr(start, end - start);
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
    const std::string connectionOptions = headerValue(headers, "Connection");
    HeaderList forwarded;
    for (const auto& [name, value] : headers) {
        if (!isUnforwardedHeader(name) && !isConnectionOption(connectionOptions, name))
            forwarded.emplace_back(name, value);
    }
    return forwarded;
}

Target splitTarget(const std::string& target)
{
    const size_t end = target.find_first_of("/?", 1);
    Target split;
    split.service_ = target.substr(1, end == std::string::npos ? end : end - 1);
    split.pathAndQuery_ = end == std::string::npos ? "/" : target.substr(end);
    if (split.pathAndQuery_[0] != '/')
        split.pathAndQuery_ = "/" + split.pathAndQuery_;
    split.path_ = split.pathAndQuery_.substr(0, split.pathAndQuery_.find('?'));
    return split;
}

/// Decodes percent-encoded dots, slashes and backslashes. A backslash becomes a slash, because some servers
/// treat it as one.
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
