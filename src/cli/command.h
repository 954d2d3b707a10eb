// Commands of the operators' tool. They talk to a host through a function object, so that tests need no
// socket.
#pragma once

#include "turmericwing/base/result.h"

#include <cstdint>
#include <functional>
#include <iosfwd>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace turmericwing::cli {

/// Exit codes of the program.
enum ExitCode {
    Ok = 0,
    Refused = 1, ///< The set is faulty, or the host refused the request.
    Usage = 2,
    Unreachable = 3, ///< No response from the host.
    LostRace = 4, ///< Another operator published first.
};

struct Reply {
    int status_ = 0;
    std::string body_ {};
};

/// Sends one request to the operator port. Errors: Invalid when host or token cannot be used, Unavailable
/// when nothing was sent, Unknown when the response was lost, so that a change may have taken effect.
using Call = std::function<Result<Reply>(
    const std::string& method, const std::string& target, const std::string& body)>;

struct Invocation {
    std::string command_ {};
    std::vector<std::string> arguments_ {};
    bool json_ = false;
    std::string message_ {};
    std::optional<uint64_t> expectedRevision_ {};
    std::string base_ {}; ///< File that `diff` uses in place of the published set.
    uint32_t limit_ = 20;
    bool fenced_ = false;
    std::map<std::string, std::string> query_ {}; ///< Parameters of `explain`.
};

/// Runs one command. Results go to `out`, faults and errors to `err`.
ExitCode runCommand(const Invocation&, const Call&, std::ostream& out, std::ostream& err);

/// True for commands that work on files only.
bool isLocal(const Invocation&);

/// Usage of all commands with flags and exit codes.
const char* helpText();

} // namespace turmericwing::cli
