// Decoding of messages between hosts, and the CBOR value of a host's report, which is a message of its own
// and a part of the summary of a failure domain.
#pragma once

#include "jsonvalues.h"

#include "turmericwing/base/cbor.h"
#include "turmericwing/gateway/report.h"

#include <nlohmann/json.hpp>

#include <stdexcept>

namespace turmericwing::gateway::detail {

constexpr size_t maxReportDepth = 8; ///< Levels of nested arrays; an encoded report has 5.

/// Flags of a host, in the brief form of its report and in summaries.
enum HostFlag : uint32_t { ReadyFlag = 1, LeavingFlag = 2, ReachesStoreFlag = 4 };

template <typename Host> uint32_t encodeFlags(const Host& host)
{
    return (host.ready_ ? ReadyFlag : 0U) | (host.leaving_ ? LeavingFlag : 0U)
        | (host.reachesStore_ ? ReachesStoreFlag : 0U);
}

/// Throws std::out_of_range if the value is no whole number.
template <typename Host> void decodeFlags(const nlohmann::json& value, Host& host)
{
    const auto flags = countValue<uint32_t>(value);
    host.ready_ = (flags & ReadyFlag) != 0;
    host.leaving_ = (flags & LeavingFlag) != 0;
    host.reachesStore_ = (flags & ReachesStoreFlag) != 0;
}

nlohmann::json encode(const HostCapacity&);

/// Throws json::exception and std::out_of_range for members of another type or out of range.
HostCapacity decodeCapacity(const nlohmann::json&);

nlohmann::json encodeReportValue(const HostReport&);

/// Errors: Invalid. Throws json::exception and std::out_of_range for members of another type or out of range.
Result<HostReport> decodeReportValue(const nlohmann::json&);

/// Checks and decodes the CBOR of a message, then calls `decode` with its value. `what` names the message
/// in errors.
template <typename Decode>
auto decodeChecked(const std::string& bytes, size_t maxDepth, const std::string& what, const Decode& decode)
    -> decltype(decode(nlohmann::json()))
{
    if (bytes.size() > maxReportBytes)
        return makeError(ErrorCode::Invalid, what + " is larger than a datagram");
    // The decoder recurses for each level.
    if (const auto fault = checkCborStructure(bytes, maxDepth))
        return makeError(ErrorCode::Invalid, what + ": " + toString(*fault));
    try {
        // The decoder throws on array sizes that exceed memory even if exceptions are disabled.
        return decode(nlohmann::json::from_cbor(bytes, true, false));
    } catch (const nlohmann::json::exception& parseError) {
        return makeError(ErrorCode::Invalid, what + ": " + parseError.what());
    } catch (const std::out_of_range& rangeError) {
        return makeError(ErrorCode::Invalid, what + ": " + rangeError.what());
    }
}

} // namespace turmericwing::gateway::detail
