// HTTP client of the operator command-line tool.
#pragma once

#include "command.h"

#include <chrono>
#include <string>

namespace turmericwing::cli {

/// Connection options of the client.
struct HttpOptions {
    std::string host_ {}; ///< "ip:port", "http://ip:port" or "https://ip:port".
    std::string token_ {}; ///< Operator token, sent as bearer credential.
    std::string caFile_ {}; ///< File of the certificate authority for https; may be empty.
    std::chrono::milliseconds timeout_ { 10'000 }; ///< Applies to connecting, reading and writing separately.
};

/// Returns a function that sends each request over a new connection, with the token as bearer credential.
SendRequest makeHttpSender(HttpOptions);

} // namespace turmericwing::cli
