// HTTP client of the operators' tool.
#pragma once

#include "command.h"

#include <chrono>
#include <string>

namespace turmericwing::cli {

struct HttpOptions {
    std::string host_ {}; ///< "ip:port", "http://ip:port" or "https://ip:port".
    std::string token_ {};
    std::string caFile_ {};
    std::chrono::milliseconds timeout_ { 10'000 };
};

/// A Call that sends each request with the token as bearer credential.
Call httpCall(HttpOptions);

} // namespace turmericwing::cli
