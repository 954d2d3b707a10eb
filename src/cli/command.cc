// Commands of the operator command-line tool.
#include "command.h"

#include "turmericwing/model/diff.h"
#include "turmericwing/model/parse.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <ostream>
#include <set>

namespace turmericwing::cli {

namespace detail {

    namespace {

        using Json = nlohmann::json;

        /// Replaces control characters other than line feeds, because text from a host could contain terminal
        /// escape sequences.
        std::string printable(std::string text)
        {
            std::replace_if(
                text.begin(), text.end(), [](unsigned char c) { return (c < ' ' && c != '\n') || c == 127; },
                '?');
            return text;
        }

        /// Formats JSON on one line. Replaces invalid UTF-8, which command-line arguments may contain.
        std::string toCompactJson(const Json& value)
        {
            return value.dump(-1, ' ', false, Json::error_handler_t::replace);
        }

        /// Formats a JSON value on one line for the terminal; strings without quotes.
        std::string toPlainText(const Json& value)
        {
            return printable(value.is_string() ? value.get<std::string>() : toCompactJson(value));
        }

        /// Returns the member `name` of an object as text, or "-" if it is absent.
        std::string memberText(const Json& object, const char* name)
        {
            return object.is_object() && object.contains(name) ? toPlainText(object[name]) : "-";
        }

        Json toJson(const std::vector<model::Fault>& faults)
        {
            Json out = Json::array();
            for (const auto& fault : faults)
                out.push_back({ { "file", fault.file_ }, { "line", fault.line_ }, { "object", fault.object_ },
                    { "field", fault.field_ }, { "reason", fault.reason_ } });
            return out;
        }

        Json toJson(const std::vector<model::Difference>& differences)
        {
            Json out = Json::array();
            for (const auto& difference : differences)
                out.push_back({ { "type", toString(difference.type_) }, { "kind", difference.kind_ },
                    { "name", difference.name_ }, { "field", difference.field_ }, { "old", difference.old_ },
                    { "new", difference.new_ } });
            return out;
        }

        /// The published set and its revision.
        struct Published {
            uint64_t revision_ = 0;
            model::ObjectSet set_;
        };

        /// Runs one command.
        struct CommandRunner {
            const Invocation& invocation_;
            const SendRequest& sendRequest_;
            std::ostream& out_;
            std::ostream& err_;

            std::string formatJson(const Json& json) const
            {
                return json.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
            }

            /// Writes an error message, as JSON if requested, and returns `code`.
            ExitCode fail(ExitCode code, const std::string& text)
            {
                if (invocation_.json_)
                    err_ << formatJson({ { "error", text }, { "exitCode", static_cast<int>(code) } });
                else
                    err_ << "turmericwing: " << text << "\n";
                return code;
            }

            ExitCode usageError(const std::string& text)
            {
                return fail(Usage, invocation_.command_ + ": " + text + " (see turmericwing --help)");
            }

            /// Parses and validates files as one set. If the result is not Ok, the error has been reported.
            ExitCode readSet(const std::vector<std::string>& files, model::ObjectSet& set)
            {
                if (files.empty())
                    return usageError("needs at least one file");
                std::vector<model::Source> sources;
                for (const auto& file : files) {
                    std::ifstream stream(file, std::ios::binary);
                    std::string text(std::istreambuf_iterator<char>(stream), {});
                    if (!stream.is_open() || stream.bad())
                        return usageError("cannot read file \"" + file + "\"");
                    sources.push_back({ file, std::move(text) });
                }
                auto parsed = model::parseSet(sources);
                if (!parsed.faults_.empty()) {
                    if (invocation_.json_)
                        out_ << formatJson({ { "faults", toJson(parsed.faults_) } });
                    else
                        for (const auto& fault : parsed.faults_)
                            err_ << printable(toString(fault)) << "\n";
                    return fail(Refused, std::to_string(parsed.faults_.size()) + " faults");
                }
                set = std::move(parsed.set_);
                return Ok;
            }

            /// Sends a request and parses the JSON response. If the result is not Ok, the error has been
            /// reported.
            ExitCode request(
                const std::string& method, const std::string& target, const Json& body, Json& response)
            {
                const std::string path = (invocation_.asksGateway_ ? "/" : "/v1/operator/") + target;
                const auto reply = sendRequest_(method, path, body.is_null() ? "" : toCompactJson(body));
                if (!reply) {
                    const bool outcomeUnknown = reply.error().code_ == ErrorCode::Unknown && method != "GET";
                    return fail(reply.error().code_ == ErrorCode::Invalid ? Usage : Unreachable,
                        reply.error().message_
                            + (outcomeUnknown ? "; the change may have taken effect, see turmericwing audit"
                                              : ""));
                }
                const HttpResponse& httpResponse = reply.value();
                response = Json::parse(httpResponse.body_, nullptr, false);
                if (httpResponse.status_ >= 200 && httpResponse.status_ < 300) {
                    if (response.is_discarded())
                        return fail(Refused, target + ": the response is not JSON");
                    return Ok;
                }
                if (httpResponse.status_ == 409)
                    return reportConflict(response);
                if (invocation_.json_ && response.is_object()) {
                    out_ << formatJson(response);
                } else if (response.is_object() && response.contains("faults")
                    && response["faults"].is_array()) {
                    for (const auto& fault : response["faults"])
                        err_ << memberText(fault, "file") << ":" << memberText(fault, "line") << ": "
                             << memberText(fault, "object") << ": " << memberText(fault, "field") << ": "
                             << memberText(fault, "reason") << "\n";
                }
                std::string text = "the host refused with status " + std::to_string(httpResponse.status_);
                for (const char* name : { "title", "detail" })
                    if (response.is_object() && response.contains(name))
                        text += ": " + toPlainText(response[name]);
                return fail(Refused, text);
            }

            /// Reports that another operator published a revision since the one that this change is based on.
            ExitCode reportConflict(const Json& response)
            {
                if (invocation_.json_)
                    out_ << formatJson(response.is_discarded() ? Json::object() : response);
                return fail(RevisionConflict,
                    "lost a race: " + memberText(response, "by") + " published revision "
                        + memberText(response, "revision") + " first: " + memberText(response, "change"));
            }

            /// Fetches the published set; leaves the set empty if the text is empty.
            ExitCode fetchPublished(Published& result)
            {
                Json response;
                if (const auto code = request("GET", "config", nullptr, response); code != Ok)
                    return code;
                if (!response.is_object() || !response.contains("revision")
                    || !response["revision"].is_number_unsigned() || !response.contains("text")
                    || !response["text"].is_string())
                    return fail(Refused, "config: the response lacks revision or text");
                result.revision_ = response["revision"].get<uint64_t>();
                const auto text = response["text"].get<std::string>();
                if (text.empty())
                    return Ok;
                auto parsed = model::parseSet({ { "published", text } });
                // Hosts of a newer release may publish fields that this program does not know.
                if (!parsed.faults_.empty())
                    return fail(Refused,
                        "the published set has faults for this release: "
                            + printable(toString(parsed.faults_.front())));
                result.set_ = std::move(parsed.set_);
                return Ok;
            }

            ExitCode check()
            {
                model::ObjectSet set;
                if (const auto code = readSet(invocation_.arguments_, set); code != Ok)
                    return code;
                if (invocation_.json_)
                    out_ << formatJson({ { "faults", Json::array() } });
                else
                    out_ << "ok: " << set.services_.size() << " services, " << set.upstreams_.size()
                         << " upstreams, " << set.routes_.size() << " routes, " << set.workspaces_.size()
                         << " workspaces, " << set.keys_.size() << " keys, " << set.moves_.size()
                         << " moves, " << set.clientBlocks_.size() << " client blocks\n";
                return Ok;
            }

            ExitCode diff()
            {
                model::ObjectSet after;
                if (const auto code = readSet(invocation_.arguments_, after); code != Ok)
                    return code;
                Published before;
                const auto code = invocation_.base_.empty() ? fetchPublished(before)
                                                            : readSet({ invocation_.base_ }, before.set_);
                if (code != Ok)
                    return code;
                const auto differences = model::diff(before.set_, after);
                if (invocation_.json_)
                    out_ << formatJson(toJson(differences));
                else
                    out_ << (differences.empty() ? "no differences\n" : printable(toString(differences)));
                return Ok;
            }

            ExitCode publish()
            {
                if (invocation_.message_.empty())
                    return usageError("needs --message with the reason of the change");
                model::ObjectSet after;
                if (const auto code = readSet(invocation_.arguments_, after); code != Ok)
                    return code;
                Published before;
                if (const auto code = fetchPublished(before); code != Ok)
                    return code;
                const auto differences = model::diff(before.set_, after);
                if (!invocation_.json_)
                    out_ << printable(toString(differences)) << std::flush;
                if (differences.empty()) {
                    out_ << (invocation_.json_ ? formatJson({ { "differences", Json::array() } })
                                               : "no differences, nothing published\n");
                    return Ok;
                }
                Json response;
                const auto code = request("POST", "publish",
                    { { "expectedRevision", invocation_.expectedRevision_.value_or(before.revision_) },
                        { "text", model::canonicalText(after) }, { "message", invocation_.message_ } },
                    response);
                if (code != Ok)
                    return code;
                if (invocation_.json_)
                    out_ << formatJson({ { "response", response }, { "differences", toJson(differences) } });
                else
                    out_ << "published revision " << memberText(response, "revision") << "\n";
                return Ok;
            }

            /// Prints a JSON object or array as indented lines: "name: value", or "-" before a nested array
            /// item.
            void printIndented(const Json& value, int depth)
            {
                const std::string indent(static_cast<size_t>(depth) * 2, ' ');
                if (value.is_object()) {
                    for (const auto& [name, item] : value.items()) {
                        const bool nested = item.is_structured() && !item.empty();
                        out_ << indent << printable(name) << ":"
                             << (nested ? "\n" : " " + toPlainText(item) + "\n");
                        if (nested)
                            printIndented(item, depth + 1);
                    }
                    return;
                }
                for (const auto& item : value) {
                    if (!item.is_structured()) {
                        out_ << indent << toPlainText(item) << "\n";
                        continue;
                    }
                    out_ << indent << "-\n";
                    printIndented(item, depth + 1);
                }
            }

            /// Fetches and prints a resource of the operator port.
            ExitCode printResource(const std::string& target)
            {
                Json response;
                if (const auto code = request("GET", target, nullptr, response); code != Ok)
                    return code;
                if (invocation_.json_)
                    out_ << formatJson(response);
                else if (response.is_structured())
                    printIndented(response, 0);
                else
                    out_ << toPlainText(response) << "\n";
                return Ok;
            }

            ExitCode hosts()
            {
                Json response;
                if (const auto code = request("GET", "status", nullptr, response); code != Ok)
                    return code;
                const Json members = response.is_object() && response.contains("members")
                    ? response["members"]
                    : Json::array();
                if (invocation_.json_) {
                    out_ << formatJson(members);
                    return Ok;
                }
                for (const auto& host : members) {
                    std::string line;
                    for (const char* name : { "host", "state", "region", "failureDomain", "incarnation" })
                        line += (line.empty() ? "" : "  ") + memberText(host, name);
                    out_ << line << "\n";
                }
                return Ok;
            }

            /// Posts a change and prints the response or "ok".
            ExitCode postChange(const std::string& target, const Json& body)
            {
                Json response;
                if (const auto code = request("POST", target, body, response); code != Ok)
                    return code;
                if (invocation_.json_)
                    out_ << formatJson(response);
                else
                    out_ << "ok\n";
                return Ok;
            }

            /// Checks the parameters of `explain`, which a gateway and an operator port don't share.
            ExitCode checkExplainQuery()
            {
                static const std::set<std::string> gatewayNames { "host", "path", "method", "object",
                    "workspace", "deadline" };
                static const std::set<std::string> operatorNames { "service", "path", "method", "workspace",
                    "client", "move", "request" };
                const auto& names = invocation_.asksGateway_ ? gatewayNames : operatorNames;
                for (const auto& [name, value] : invocation_.query_) {
                    if (!names.contains(name))
                        return usageError("no parameter \"" + name + "\" "
                            + (invocation_.asksGateway_ ? "with --gateway" : "without --gateway"));
                }
                return Ok;
            }

            ExitCode explain()
            {
                if (const auto code = checkExplainQuery(); code != Ok)
                    return code;
                if (invocation_.query_.empty())
                    return usageError(
                        "needs at least one of --service, --path, --method, --workspace, --client, --move, "
                        "--request");
                std::string target;
                for (const auto& [name, value] : invocation_.query_)
                    target += (target.empty() ? "explain?" : "&") + name + "=" + percentEncode(value);
                return printResource(target);
            }

            /// Percent-encodes all bytes except the unreserved characters of RFC 3986.
            static std::string percentEncode(const std::string& value)
            {
                static constexpr char digits[] = "0123456789ABCDEF";
                std::string out;
                for (const char c : value) {
                    if ((c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-'
                        || c == '_' || c == '.' || c == '~') {
                        out += c;
                        continue;
                    }
                    const auto byte = static_cast<unsigned char>(c);
                    out.append({ '%', digits[byte >> 4], digits[byte & 15] });
                }
                return out;
            }

            ExitCode move()
            {
                const auto& arguments = invocation_.arguments_;
                static const std::map<std::string, std::string> states { { "start", "running" },
                    { "hold", "held" }, { "rollback", "rolled-back" } };
                if (arguments.size() != 2 || !states.contains(arguments[0]))
                    return usageError("needs start, hold or rollback, and the name of a move");
                return postChange("move", { { "name", arguments[1] }, { "state", states.at(arguments[0]) } });
            }

            ExitCode regionLost()
            {
                // The other regions take over the rates and slots of the region. If it still served requests,
                // the totals would be exceeded.
                if (!invocation_.fenced_)
                    return usageError(
                        "needs --fenced, which states that no host of the region still serves requests");
                return postChange("region-lost", { { "region", invocation_.arguments_[0] } });
            }

            ExitCode run()
            {
                const std::string& command = invocation_.command_;
                const auto& arguments = invocation_.arguments_;
                if (command == "check")
                    return check();
                if (command == "diff")
                    return diff();
                if (command == "publish")
                    return publish();
                if (command == "move")
                    return move();
                static const std::map<std::string, const char*> argumentByCommand { { "withdraw-key",
                                                                                        "the name of a key" },
                    { "drain-host", "the name of a host" }, { "drain-upstream", "the name of an upstream" },
                    { "undrain-upstream", "the name of an upstream" },
                    { "region-lost", "the name of a region" } };
                if (const auto found = argumentByCommand.find(command); found != argumentByCommand.end()) {
                    if (arguments.size() != 1)
                        return usageError(std::string("needs ") + found->second);
                    if (command == "withdraw-key")
                        return postChange("key-withdraw", { { "name", arguments[0] } });
                    if (command == "drain-host")
                        return postChange("host-drain", { { "host", arguments[0] } });
                    if (command == "region-lost")
                        return regionLost();
                    return postChange("upstream-drain",
                        { { "name", arguments[0] }, { "drain", command == "drain-upstream" } });
                }
                if (command != "status" && command != "hosts" && command != "audit" && command != "explain")
                    return fail(Usage, "unknown command \"" + command + "\" (see turmericwing --help)");
                if (!arguments.empty())
                    return usageError("takes no argument \"" + arguments[0] + "\"");
                if (command == "explain")
                    return explain();
                if (command == "hosts")
                    return hosts();
                return printResource(
                    command == "audit" ? "audit?limit=" + std::to_string(invocation_.limit_) : "status");
            }
        };

    } // namespace

} // namespace detail

ExitCode runCommand(
    const Invocation& invocation, const SendRequest& sendRequest, std::ostream& out, std::ostream& err)
{
    return detail::CommandRunner { invocation, sendRequest, out, err }.run();
}

bool isLocal(const Invocation& invocation)
{
    return invocation.command_ == "check" || (invocation.command_ == "diff" && !invocation.base_.empty());
}

const char* helpText()
{
    return R"(turmericwing COMMAND [ARGUMENT...] [FLAG...]

Commands on files:
  check FILE...              check files as one set and list all faults
  diff FILE...               differences from the published set, or from the set in --base FILE

Commands on the deployment, through the operator port of any host:
  publish FILE...            check, show the differences and publish; needs --message
  status                     state of the host that answers
  hosts                      members of the current view
  audit                      latest changes, newest first; --limit N
  explain                    why a request would be routed as it is; --service --path --method
                             --workspace --client --move --request; with --gateway, where a request would
                             go now: --authority --path --method --object --workspace --deadline
  withdraw-key NAME          stop a key on every host
  move start|hold|rollback NAME
  drain-host NAME            stop a host after its requests
  drain-upstream NAME        give an upstream no new work
  undrain-upstream NAME
  region-lost NAME           state that a region is fenced; needs --fenced

Flags:
  --host ADDRESS             operator port: ip:port or https://ip:port; default $TURMERICWING_HOST
  --gateway ADDRESS          explain: metrics address of a gateway, ip:port; needs no token
  --token-file FILE          file with the operator token; default: the token in $TURMERICWING_TOKEN
  --ca-file FILE             certificate authority for https
  --timeout-ms N             time limit of one request; default 10000
  --message TEXT             reason of a publication, for the audit trail
  --expected-revision N      publish only on top of this revision; default: the revision published now
  --base FILE                base of diff
  --limit N                  number of audit entries; default 20
  --fenced                   see region-lost
  --json                     results and errors as JSON
  --help, --version

Exit codes: 0 done; 1 the set is faulty or the request was refused; 2 usage; 3 no response from
the host; 4 another operator published first.
)";
}

} // namespace turmericwing::cli
