// Errors as values. Functions that can fail return Result<T>; exceptions do not cross library borders.
#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/try.hpp>

#include <string>

namespace turmericwing {

enum class ErrorCode {
    Invalid, ///< The input is malformed or breaks a rule.
    NotFound,
    Conflict, ///< A conditional write lost against another writer.
    Unavailable, ///< The other side cannot be reached or refuses for now; nothing was changed.
    Unknown, ///< The answer was lost; the effect may have happened.
    Denied, ///< Authentication or authorisation failed.
    Internal,
};

struct Error {
    ErrorCode code_ = ErrorCode::Internal;
    std::string message_;
    friend bool operator==(const Error&, const Error&) = default;
};

/// Either a value or an Error. Reading the wrong side stops the process.
template <typename T>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

/// Short lower-case name of a code, used in messages and JSON.
const char* toString(ErrorCode);

inline Error makeError(ErrorCode code, std::string message) { return { code, std::move(message) }; }

} // namespace turmericwing
