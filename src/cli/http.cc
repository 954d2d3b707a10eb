// HTTP client of the operators' tool on cpp-httplib.
#include "http.h"

#include <httplib.h>

namespace turmericwing::cli {

Call httpCall(HttpOptions options)
{
    return [options = std::move(options)](const std::string& method, const std::string& target,
               const std::string& body) -> Result<Reply> {
        const bool hasScheme = options.host_.find("://") != std::string::npos;
        httplib::Client client(hasScheme ? options.host_ : "http://" + options.host_);
        if (!client.is_valid())
            return makeError(
                ErrorCode::Unavailable, "host \"" + options.host_ + "\" is not an address ip:port");
        if (!options.caFile_.empty())
            client.set_ca_cert_path(options.caFile_);
        client.set_connection_timeout(options.timeout_);
        client.set_read_timeout(options.timeout_);
        client.set_write_timeout(options.timeout_);
        const httplib::Headers headers { { "Authorization", "Bearer " + options.token_ } };
        const auto result = method == "GET" ? client.Get(target, headers)
                                            : client.Post(target, headers, body, "application/json");
        if (result)
            return Reply { result->status, result->body };
        const auto error = result.error();
        const std::string text = options.host_ + ": " + httplib::to_string(error);
        const bool sent = error == httplib::Error::Read || error == httplib::Error::Write
            || error == httplib::Error::Unknown || error == httplib::Error::Canceled;
        return makeError(sent ? ErrorCode::Unknown : ErrorCode::Unavailable, text);
    };
}

} // namespace turmericwing::cli
