// CBOR value of a host's report, which is a message of its own and a part of the summary of a failure domain.
#pragma once

#include "turmericwing/gateway/report.h"

#include <nlohmann/json.hpp>

namespace turmericwing::gateway::detail {

constexpr size_t maxReportDepth = 8; ///< Levels of nested arrays; an encoded report has 5.

nlohmann::json encodeReportValue(const HostReport&);

/// Errors: Invalid. Throws json::exception and std::out_of_range for members of another type or out of range.
Result<HostReport> decodeReportValue(const nlohmann::json&);

} // namespace turmericwing::gateway::detail
