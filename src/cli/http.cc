// HTTP client of the operator command-line tool, on top of cpp-httplib.
#include "http.h"

#include "turmericwing/model/address.h"

#include <httplib.h>

namespace turmericwing::cli {

SendRequest makeHttpSender(HttpOptions options)
{
    return [options = std::move(options)](const std::string& method, const std::string& target,
               const std::string& body) -> Result<HttpResponse> {
        const size_t schemeEnd = options.host_.find("://");
        const std::string address
            = schemeEnd == std::string::npos ? options.host_ : options.host_.substr(schemeEnd + 3);
        const std::string url = schemeEnd == std::string::npos ? "http://" + address : options.host_;
        const bool supportedScheme = url.starts_with("http://") || url.starts_with("https://");
        // Checked first because httplib throws on a port that does not fit into an integer.
        if (!supportedScheme || !model::isNumericAddress(address))
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
            return HttpResponse { result->status, result->body };
        const auto error = result.error();
        const std::string text = options.host_ + ": " + httplib::to_string(error);
        const bool mayBeSent = error == httplib::Error::Read || error == httplib::Error::Write
            || error == httplib::Error::Unknown || error == httplib::Error::Canceled;
        return makeError(mayBeSent ? ErrorCode::Unknown : ErrorCode::Unavailable, text);
    };
}

} // namespace turmericwing::cli
