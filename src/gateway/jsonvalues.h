// Checked conversions of JSON and CBOR values that another host, or another writer of the store, has written.
// They throw json::exception for values of another type and std::out_of_range for values out of range.
#pragma once

#include <nlohmann/json.hpp>

#include <cmath>
#include <cstdint>
#include <limits>
#include <stdexcept>
#include <string>

namespace turmericwing::gateway::detail {

constexpr uint64_t maxTimeMs = uint64_t { 1 } << 53; ///< Sums of two such times cannot overflow.
constexpr double maxAmount = 1e9; ///< Of requests/s or slots.

template <typename Count> Count countValue(const nlohmann::json& value)
{
    if (!value.is_number_unsigned())
        throw std::out_of_range("not a whole number of at least 0");
    const auto count = value.get<uint64_t>();
    if (count > std::numeric_limits<Count>::max())
        throw std::out_of_range("number too large");
    return static_cast<Count>(count);
}

/// A time in milliseconds since the start of its clock.
inline int64_t timeValue(const nlohmann::json& value)
{
    const auto ms = countValue<uint64_t>(value);
    if (ms > maxTimeMs)
        throw std::out_of_range("time too large");
    return static_cast<int64_t>(ms);
}

inline double amountValue(const nlohmann::json& value)
{
    const auto amount = value.get<double>();
    if (!std::isfinite(amount) || amount < 0 || amount > maxAmount)
        throw std::out_of_range("amount out of range");
    return amount;
}

/// A text in UTF-8. CBOR texts are not checked by the parser, and JSON documents cannot hold others.
inline std::string textValue(const nlohmann::json& value)
{
    static_cast<void>(value.dump()); // Throws for other bytes.
    return value.get<std::string>();
}

} // namespace turmericwing::gateway::detail
