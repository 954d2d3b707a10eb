// Entry point of the operator command-line tool: flags, token and exit codes.
#include "command.h"
#include "http.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>

DEFINE_string(host, "", "operator port: ip:port or https://ip:port");
DEFINE_string(token_file, "", "file with the operator token");
DEFINE_string(ca_file, "", "certificate authority for https");
DEFINE_uint32(timeout_ms, 10'000, "time limit of one request");
DEFINE_string(message, "", "reason of a publication");
DEFINE_uint64(expected_revision, 0, "publish only on top of this revision");
DEFINE_string(base, "", "base of diff");
DEFINE_uint32(limit, 20, "number of audit entries");
DEFINE_bool(fenced, false, "states that the region serves no request any more");
DEFINE_bool(json, false, "results and errors as JSON");
DEFINE_string(service, "", "explain: service");
DEFINE_string(path, "", "explain: path");
DEFINE_string(method, "", "explain: method");
DEFINE_string(workspace, "", "explain: workspace");
DEFINE_string(client, "", "explain: client address");
DEFINE_string(move, "", "explain: move");
DEFINE_string(request, "", "explain: request id");
DEFINE_string(gateway, "", "explain: metrics address of a gateway, ip:port");
DEFINE_string(authority, "", "explain --gateway: host name of the request");
DEFINE_string(object, "", "explain --gateway: object of the request");
DEFINE_string(deadline, "", "explain --gateway: milliseconds");
DECLARE_bool(help);
DECLARE_bool(version);

namespace turmericwing::cli {

namespace {

    int reportUsageError(const std::string& text)
    {
        std::cerr << "turmericwing: " << text << " (see turmericwing --help)\n";
        return Usage;
    }

    /// Sets the flags and appends the other arguments to `positionalArguments`. Returns an error message, or
    /// an empty string. The parser of gflags is not used because it exits with 1 on a usage error, but 1
    /// means a refused set or request here.
    std::string parseArguments(int argc, char** argv, std::vector<std::string>& positionalArguments)
    {
        for (int i = 1; i < argc; ++i) {
            const std::string argument = argv[i];
            if (argument == "--") {
                positionalArguments.insert(positionalArguments.end(), argv + i + 1, argv + argc);
                break;
            }
            if (argument.size() < 2 || argument[0] != '-') {
                positionalArguments.push_back(argument);
                continue;
            }
            const size_t start = argument[1] == '-' ? 2 : 1;
            const size_t equals = std::min(argument.find('='), argument.size());
            std::string name = argument.substr(start, equals - start);
            // Arguments are visible in the process list, so a token is not accepted as one. The message omits
            // its value.
            if (name == "token")
                return "a token is read from --token-file or $TURMERICWING_TOKEN, never from an argument";
            std::replace(name.begin(), name.end(), '-', '_');
            gflags::CommandLineFlagInfo info;
            const bool isOwnFlag = gflags::GetCommandLineFlagInfo(name.c_str(), &info)
                && (info.filename == __FILE__ || name == "help" || name == "version");
            if (!isOwnFlag)
                return "unknown flag \"" + argument.substr(0, equals) + "\"";
            std::string value;
            if (equals < argument.size())
                value = argument.substr(equals + 1);
            else if (info.type == "bool")
                value = "true";
            else if (i + 1 < argc)
                value = argv[++i];
            else
                return "flag --" + argument.substr(start) + " needs a value";
            if (gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty())
                return "flag " + argument.substr(0, equals) + " does not accept \"" + value + "\"";
        }
        return {};
    }

    bool isSet(const char* flag) { return !gflags::GetCommandLineFlagInfoOrDie(flag).is_default; }

    /// Returns the value of an environment variable, or an empty string if it is not set.
    std::string environmentVariable(const char* name)
    {
        const char* value = std::getenv(name);
        return value ? value : "";
    }

    /// Returns the operator token, or an empty string if none was given. A token file yields its first word.
    /// Sets `error` if the file cannot be read or the token is malformed.
    std::string readToken(std::string& error)
    {
        std::string token = environmentVariable("TURMERICWING_TOKEN");
        if (!FLAGS_token_file.empty()) {
            std::ifstream stream(FLAGS_token_file);
            token.clear();
            if (!(stream >> token))
                error = "token file \"" + FLAGS_token_file + "\" cannot be read or is empty";
        }
        if (token.find_first_of("\r\n") != std::string::npos)
            error = "the token contains a line break";
        return token;
    }

    int run(int argc, char** argv)
    {
        Invocation invocation;
        if (const auto error = parseArguments(argc, argv, invocation.arguments_); !error.empty())
            return reportUsageError(error);
        if (FLAGS_help) {
            std::cout << helpText();
            return Ok;
        }
        if (FLAGS_version) {
            std::cout << "turmericwing " << TURMERICWING_VERSION << "\n";
            return Ok;
        }
        if (invocation.arguments_.empty())
            return reportUsageError("no command");
        invocation.command_ = invocation.arguments_.front();
        invocation.arguments_.erase(invocation.arguments_.begin());
        invocation.json_ = FLAGS_json;
        invocation.message_ = FLAGS_message;
        invocation.base_ = FLAGS_base;
        invocation.limit_ = FLAGS_limit;
        invocation.fenced_ = FLAGS_fenced;
        if (isSet("expected_revision"))
            invocation.expectedRevision_ = FLAGS_expected_revision;
        for (const char* name :
            { "service", "path", "method", "workspace", "client", "move", "request", "object", "deadline" })
            if (isSet(name))
                gflags::GetCommandLineOption(name, &invocation.query_[name]);
        if (isSet("authority"))
            invocation.query_["host"] = FLAGS_authority;
        invocation.asksGateway_ = !FLAGS_gateway.empty();
        if (invocation.asksGateway_ && invocation.command_ != "explain")
            return reportUsageError("--gateway is for explain only");

        HttpOptions options;
        options.host_ = FLAGS_host.empty() ? environmentVariable("TURMERICWING_HOST") : FLAGS_host;
        options.caFile_ = FLAGS_ca_file;
        options.timeout_ = std::chrono::milliseconds { FLAGS_timeout_ms };
        std::string error;
        if (invocation.asksGateway_)
            options.host_ = FLAGS_gateway;
        else
            options.token_ = readToken(error);
        const SendRequest sendOverHttp = makeHttpSender(options);
        // Host and token are checked at the first request, so that faults of the files are reported first.
        const SendRequest sendRequest = [&](const std::string& method, const std::string& target,
                                            const std::string& body) -> Result<HttpResponse> {
            if (options.host_.empty())
                return makeError(ErrorCode::Invalid, "no host: use --host or $TURMERICWING_HOST");
            if (!invocation.asksGateway_ && (!error.empty() || options.token_.empty()))
                return makeError(ErrorCode::Invalid,
                    error.empty() ? "no operator token: use --token-file or $TURMERICWING_TOKEN" : error);
            return sendOverHttp(method, target, body);
        };
        return runCommand(invocation, sendRequest, std::cout, std::cerr);
    }

} // namespace

} // namespace turmericwing::cli

int main(int argc, char** argv) { return turmericwing::cli::run(argc, argv); }
