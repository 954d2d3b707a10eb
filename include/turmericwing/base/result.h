// Errors as return values. Functions that can fail return Result<T>; exceptions do not leave a library.
#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/try.hpp>

#include <string>

namespace turmericwing {

enum class ErrorCode {
    Invalid, ///< The input is malformed or violates a constraint.
    NotFound,
    Conflict, ///< The condition of a write failed because of another writer.
    Unavailable, ///< The remote side is unreachable or rejects requests for now; nothing was changed.
    Unknown, ///< The response was lost; the operation may have taken effect.
    Denied, ///< Authentication or authorisation failed.
    Internal, ///< An unexpected failure, such as a malformed response.
};

struct Error {
    ErrorCode code_ = ErrorCode::Internal;
    std::string message_;
    friend bool operator==(const Error&, const Error&) = default;
};

/// Either a value or an Error. Accessing the alternative that is not present terminates the process.
template <typename T>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

/// Returns the lower-case name of a code, as used in messages and JSON.
const char* toString(ErrorCode);

inline Error makeError(ErrorCode code, std::string message) { return { code, std::move(message) }; }

} // namespace turmericwing
