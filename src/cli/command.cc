// Commands of the operators' tool.
#include "command.h"

#include "turmericwing/model/diff.h"
#include "turmericwing/model/parse.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <ostream>

namespace turmericwing::cli {

namespace detail {

    namespace {

        using Json = nlohmann::json;

        /// Text from a host without control characters, which could drive the operator's terminal.
        std::string printable(std::string text)
        {
            std::replace_if(
                text.begin(), text.end(), [](unsigned char c) { return (c < ' ' && c != '\n') || c == 127; },
                '?');
            return text;
        }

        /// JSON on one line. Words of the command line may be invalid UTF-8, which is replaced.
        std::string encode(const Json& value)
        {
            return value.dump(-1, ' ', false, Json::error_handler_t::replace);
        }

        /// A JSON value as short text: strings without quotes.
        std::string plain(const Json& value)
        {
            return printable(value.is_string() ? value.get<std::string>() : encode(value));
        }

        /// The member `name` of an object as text; "-" when absent.
        std::string member(const Json& object, const char* name)
        {
            return object.is_object() && object.contains(name) ? plain(object[name]) : "-";
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
            for (const auto& d : differences)
                out.push_back({ { "type", toString(d.type_) }, { "kind", d.kind_ }, { "name", d.name_ },
                    { "field", d.field_ }, { "old", d.old_ }, { "new", d.new_ } });
            return out;
        }

        struct Published {
            uint64_t revision_ = 0;
            model::ObjectSet set_;
        };

        struct Runner {
            const Invocation& invocation_;
            const Call& call_;
            std::ostream& out_;
            std::ostream& err_;

            std::string dump(const Json& json) const
            {
                return json.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
            }

            ExitCode fail(ExitCode code, const std::string& text)
            {
                if (invocation_.json_)
                    err_ << dump({ { "error", text }, { "exitCode", static_cast<int>(code) } });
                else
                    err_ << "turmericwing: " << text << "\n";
                return code;
            }

            ExitCode usage(const std::string& text)
            {
                return fail(Usage, invocation_.command_ + ": " + text + " (see turmericwing --help)");
            }

            /// Reads and checks the files of the command line. On a code other than Ok the faults were
            /// reported.
            ExitCode readSet(const std::vector<std::string>& files, model::ObjectSet& set)
            {
                if (files.empty())
                    return usage("needs at least one file");
                std::vector<model::Source> sources;
                for (const auto& file : files) {
                    std::ifstream stream(file, std::ios::binary);
                    std::string text(std::istreambuf_iterator<char>(stream), {});
                    if (!stream.is_open() || stream.bad())
                        return usage("cannot read file \"" + file + "\"");
                    sources.push_back({ file, std::move(text) });
                }
                auto parsed = model::parseSet(sources);
                if (!parsed.faults_.empty()) {
                    if (invocation_.json_)
                        out_ << dump({ { "faults", toJson(parsed.faults_) } });
                    else
                        for (const auto& fault : parsed.faults_)
                            err_ << printable(toString(fault)) << "\n";
                    return fail(Refused, std::to_string(parsed.faults_.size()) + " faults");
                }
                set = std::move(parsed.set_);
                return Ok;
            }

            /// Sends a request and decodes the response. Refusals and lost responses are reported here.
            ExitCode request(
                const std::string& method, const std::string& target, const Json& body, Json& response)
            {
                const auto reply
                    = call_(method, "/v1/operator/" + target, body.is_null() ? "" : encode(body));
                if (!reply) {
                    const bool lost = reply.error().code_ == ErrorCode::Unknown && method != "GET";
                    return fail(reply.error().code_ == ErrorCode::Invalid ? Usage : Unreachable,
                        reply.error().message_
                            + (lost ? "; the change may have taken effect, see turmericwing audit" : ""));
                }
                const Reply& got = reply.value();
                response = Json::parse(got.body_, nullptr, false);
                if (got.status_ >= 200 && got.status_ < 300) {
                    if (response.is_discarded())
                        return fail(Refused, target + ": the response is not JSON");
                    return Ok;
                }
                if (got.status_ == 409)
                    return lostRace(response);
                if (invocation_.json_ && response.is_object()) {
                    out_ << dump(response);
                } else if (response.is_object() && response.contains("faults")
                    && response["faults"].is_array()) {
                    for (const auto& fault : response["faults"])
                        err_ << member(fault, "file") << ":" << member(fault, "line") << ": "
                             << member(fault, "object") << ": " << member(fault, "field") << ": "
                             << member(fault, "reason") << "\n";
                }
                std::string text = "the host refused with status " + std::to_string(got.status_);
                for (const char* name : { "title", "detail" })
                    if (response.is_object() && response.contains(name))
                        text += ": " + plain(response[name]);
                return fail(Refused, text);
            }

            ExitCode lostRace(const Json& response)
            {
                if (invocation_.json_)
                    out_ << dump(response.is_discarded() ? Json::object() : response);
                return fail(LostRace,
                    "lost a race: " + member(response, "by") + " published revision "
                        + member(response, "revision") + " first: " + member(response, "change"));
            }

            ExitCode published(Published& result)
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
                // A newer release of the hosts may know fields that this program does not.
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
                    out_ << dump({ { "faults", Json::array() } });
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
                const auto code = invocation_.base_.empty() ? published(before)
                                                            : readSet({ invocation_.base_ }, before.set_);
                if (code != Ok)
                    return code;
                const auto differences = model::diff(before.set_, after);
                if (invocation_.json_)
                    out_ << dump(toJson(differences));
                else
                    out_ << (differences.empty() ? "no differences\n" : printable(toString(differences)));
                return Ok;
            }

            ExitCode publish()
            {
                if (invocation_.message_.empty())
                    return usage("needs --message with the reason of the change");
                model::ObjectSet after;
                if (const auto code = readSet(invocation_.arguments_, after); code != Ok)
                    return code;
                Published before;
                if (const auto code = published(before); code != Ok)
                    return code;
                const auto differences = model::diff(before.set_, after);
                if (!invocation_.json_)
                    out_ << printable(toString(differences)) << std::flush;
                if (differences.empty()) {
                    out_ << (invocation_.json_ ? dump({ { "differences", Json::array() } })
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
                    out_ << dump({ { "response", response }, { "differences", toJson(differences) } });
                else
                    out_ << "published revision " << member(response, "revision") << "\n";
                return Ok;
            }

            /// Prints a JSON value as indented "name: value" lines.
            void print(const Json& value, int depth)
            {
                const std::string indent(static_cast<size_t>(depth) * 2, ' ');
                if (value.is_object()) {
                    for (const auto& [name, item] : value.items()) {
                        const bool nested = item.is_structured() && !item.empty();
                        out_ << indent << printable(name) << ":"
                             << (nested ? "\n" : " " + plain(item) + "\n");
                        if (nested)
                            print(item, depth + 1);
                    }
                    return;
                }
                for (const auto& item : value) {
                    if (!item.is_structured()) {
                        out_ << indent << plain(item) << "\n";
                        continue;
                    }
                    out_ << indent << "-\n";
                    print(item, depth + 1);
                }
            }

            ExitCode show(const std::string& target)
            {
                Json response;
                if (const auto code = request("GET", target, nullptr, response); code != Ok)
                    return code;
                if (invocation_.json_)
                    out_ << dump(response);
                else if (response.is_structured())
                    print(response, 0);
                else
                    out_ << plain(response) << "\n";
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
                    out_ << dump(members);
                    return Ok;
                }
                for (const auto& host : members) {
                    std::string line;
                    for (const char* name : { "host", "state", "region", "failureDomain", "incarnation" })
                        line += (line.empty() ? "" : "  ") + member(host, name);
                    out_ << line << "\n";
                }
                return Ok;
            }

            ExitCode change(const std::string& target, const Json& body)
            {
                Json response;
                if (const auto code = request("POST", target, body, response); code != Ok)
                    return code;
                if (invocation_.json_)
                    out_ << dump(response);
                else
                    out_ << "ok\n";
                return Ok;
            }

            ExitCode explain()
            {
                if (invocation_.query_.empty())
                    return usage(
                        "needs at least one of --service, --path, --method, --workspace, --client, --move, "
                        "--request");
                std::string target;
                for (const auto& [name, value] : invocation_.query_)
                    target += (target.empty() ? "explain?" : "&") + name + "=" + encoded(value);
                return show(target);
            }

            static std::string encoded(const std::string& value)
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
                    return usage("needs start, hold or rollback, and the name of a move");
                return change("move", { { "name", arguments[1] }, { "state", states.at(arguments[0]) } });
            }

            ExitCode regionLost()
            {
                // The other regions take over the region's rates and slots, so a live region would exceed
                // them.
                if (!invocation_.fenced_)
                    return usage(
                        "needs --fenced, which states that no host of the region still serves requests");
                return change("region-lost", { { "region", invocation_.arguments_[0] } });
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
                static const std::map<std::string, const char*> oneArgument { { "withdraw-key",
                                                                                  "the name of a key" },
                    { "drain-host", "the name of a host" }, { "drain-upstream", "the name of an upstream" },
                    { "undrain-upstream", "the name of an upstream" },
                    { "region-lost", "the name of a region" } };
                if (const auto found = oneArgument.find(command); found != oneArgument.end()) {
                    if (arguments.size() != 1)
                        return usage(std::string("needs ") + found->second);
                    if (command == "withdraw-key")
                        return change("key-withdraw", { { "name", arguments[0] } });
                    if (command == "drain-host")
                        return change("host-drain", { { "host", arguments[0] } });
                    if (command == "region-lost")
                        return regionLost();
                    return change("upstream-drain",
                        { { "name", arguments[0] }, { "drain", command == "drain-upstream" } });
                }
                if (command != "status" && command != "hosts" && command != "audit" && command != "explain")
                    return fail(Usage, "unknown command \"" + command + "\" (see turmericwing --help)");
                if (!arguments.empty())
                    return usage("takes no argument \"" + arguments[0] + "\"");
                if (command == "explain")
                    return explain();
                if (command == "hosts")
                    return hosts();
                return show(
                    command == "audit" ? "audit?limit=" + std::to_string(invocation_.limit_) : "status");
            }
        };

    } // namespace

} // namespace detail

ExitCode runCommand(const Invocation& invocation, const Call& call, std::ostream& out, std::ostream& err)
{
    return detail::Runner { invocation, call, out, err }.run();
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
                             --workspace --client --move --request
  withdraw-key NAME          stop a key on every host
  move start|hold|rollback NAME
  drain-host NAME            stop a host after its requests
  drain-upstream NAME        give an upstream no new work
  undrain-upstream NAME
  region-lost NAME           state that a region is fenced; needs --fenced

Flags:
  --host ADDRESS             operator port: ip:port or https://ip:port; default $TURMERICWING_HOST
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
