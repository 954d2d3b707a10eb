// HTTP client of the operators' tool on cpp-httplib.
#include "http.h"

#include "turmericwing/model/address.h"

#include <httplib.h>

namespace turmericwing::cli {

Call httpCall(HttpOptions options)
{
    return [options = std::move(options)](const std::string& method, const std::string& target,
               const std::string& body) -> Result<Reply> {
        const size_t scheme = options.host_.find("://");
        const std::string address
            = scheme == std::string::npos ? options.host_ : options.host_.substr(scheme + 3);
        const std::string url = scheme == std::string::npos ? "http://" + address : options.host_;
        const bool known = url.starts_with("http://") || url.starts_with("https://");
        // httplib throws on a port that does not fit into an integer.
        if (!known || !model::isNumericAddress(address))
            return makeError(ErrorCode::Invalid, "host \"" + options.host_ + "\" is not a numeric ip:port");
        httplib::Client client(url);
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
