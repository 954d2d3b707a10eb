// Commands of the operator command-line tool. They send requests through a function object, so that tests
// need no socket.
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
    Usage = 2, ///< The command line is invalid, or a file, host or token cannot be used.
    Unreachable = 3, ///< No response from the host.
    RevisionConflict = 4, ///< Another operator published first.
};

/// HTTP response of a host.
struct HttpResponse {
    int status_ = 0;
    std::string body_ {};
};

/// Sends one request to the operator port and returns the response, whatever its status. Errors: Invalid if
/// host or token cannot be used, Unavailable if nothing was sent, Unknown if the response was lost, in which
/// case a change may have taken effect.
using SendRequest = std::function<Result<HttpResponse>(
    const std::string& method, const std::string& target, const std::string& body)>;

/// A parsed command line.
struct Invocation {
    std::string command_ {};
    std::vector<std::string> arguments_ {};
    bool json_ = false;
    std::string message_ {};
    std::optional<uint64_t> expectedRevision_ {};
    std::string base_ {}; ///< File that `diff` compares with; if empty, the published set.
    uint32_t limit_ = 20;
    bool fenced_ = false;
    std::map<std::string, std::string> query_ {}; ///< Parameters of `explain`.
    bool asksGateway_ = false; ///< `explain` asks the metrics address of a gateway.
};

/// Runs one command. Writes results to `out` and errors to `err`. Faults go to `err`, or as JSON to `out`.
ExitCode runCommand(const Invocation&, const SendRequest&, std::ostream& out, std::ostream& err);

/// Returns true for commands that need no host.
bool isLocal(const Invocation&);

/// Returns the help text: all commands, flags and exit codes.
const char* helpText();

} // namespace turmericwing::cli
