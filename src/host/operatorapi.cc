// Handlers of the operator port. Reads need the role "read" or "change", changes the role "change". Every
// change records the operator's name.
#include "turmericwing/host/operatorapi.h"

#include "turmericwing/base/hash.h"
#include "turmericwing/control/membership.h"
#include "turmericwing/limits/placement.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace turmericwing::host {

namespace detail {

    using Json = nlohmann::json;

    constexpr const char* operatorPrefix = "/v1/operator/";
    constexpr size_t defaultAuditEntries = 20;
    constexpr size_t maxAuditEntries = 500;
    constexpr size_t maxTraces = 20;

    /// JSON text; invalid UTF-8 is replaced.
    std::string serialize(const Json& json)
    {
        return json.dump(-1, ' ', false, Json::error_handler_t::replace);
    }

    LocalResponse jsonResponse(int status, const Json& json)
    {
        return { status, serialize(json), "application/json", {} };
    }

    /// Problem details (RFC 9457) with the members of `extra` added.
    LocalResponse problemResponse(
        int status, const std::string& title, const std::string& text, Json extra = Json::object())
    {
        extra["type"] = "urn:turmericwing:problem:" + title;
        extra["title"] = title;
        extra["status"] = status;
        extra["detail"] = text;
        return { status, serialize(extra), "application/problem+json", {} };
    }

    int httpStatusOf(ErrorCode code)
    {
        switch (code) {
        case ErrorCode::Invalid:
            return 422;
        case ErrorCode::NotFound:
            return 404;
        case ErrorCode::Conflict:
            return 409;
        case ErrorCode::Unavailable:
            return 503;
        case ErrorCode::Unknown:
            return 504;
        case ErrorCode::Denied:
            return 403;
        case ErrorCode::Internal:
            break;
        }
        return 500;
    }

    /// Problem details of an error. A conflict also names the last change of the head and its author.
    LocalResponse errorResponse(const OperatorParts& parts, const Error& error)
    {
        Json extra = Json::object();
        if (error.code_ == ErrorCode::Conflict) {
            const auto stored = readHead(parts.table_);
            const control::Head head = stored ? stored.value() : parts.controller_.status().newestHead_;
            extra["by"] = head.publisher_;
            extra["change"] = head.change_;
            extra["revision"] = head.revision_;
        }
        return problemResponse(httpStatusOf(error.code_), toString(error.code_), error.message_, extra);
    }

    const char* stateName(control::MemberState state)
    {
        return state == control::MemberState::Live ? "live" : "leaving";
    }

    const char* phaseName(control::MovePhase phase)
    {
        switch (phase) {
        case control::MovePhase::Running:
            return "running";
        case control::MovePhase::Done:
            return "done";
        case control::MovePhase::RolledBack:
            break;
        }
        return "rolled-back";
    }

    Json membersJson(const control::Head& head)
    {
        Json members = Json::array();
        for (const control::Member& member : head.members_)
            members.push_back({ { "host", member.host_ }, { "incarnation", member.incarnation_ },
                { "region", member.region_ }, { "failureDomain", member.failureDomain_ },
                { "callerAddress", member.callerAddress_ }, { "state", stateName(member.state_) } });
        return members;
    }

    Json movesJson(const control::Head& head)
    {
        Json moves = Json::array();
        for (const control::MoveStatus& move : head.moves_)
            moves.push_back({ { "name", move.name_ }, { "step", move.step_ }, { "share", move.share_ },
                { "phase", phaseName(move.phase_) }, { "reason", move.reason_ } });
        return moves;
    }

    LocalResponse statusResponse(const OperatorParts& parts)
    {
        const ControlStatus control = parts.controller_.status();
        Json json { { "host", parts.settings_.name_ }, { "region", parts.settings_.region_ },
            { "failureDomain", parts.settings_.failureDomain_ }, { "member", control.member_ },
            { "draining", parts.state_.draining() }, { "revision", control.activeRevision_ },
            { "digest", control.activeDigest_ }, { "knownRevision", control.newestHead_.revision_ },
            { "headVersion", control.newestHead_.version_ }, { "epoch", control.newestHead_.epoch_ },
            { "leaseValid", control.leaseValid_ }, { "leaseRemainingMs", control.leaseRemainingMs_ },
            { "storeContact", control.storeContact_ }, { "members", membersJson(control.newestHead_) },
            { "moves", movesJson(control.newestHead_) },
            { "drainedUpstreams", control.newestHead_.drainedUpstreams_ } };
        Json services = Json::object();
        const auto snapshot = parts.state_.snapshot();
        for (const model::Service& service :
            snapshot ? snapshot->set_->services_ : std::vector<model::Service>()) {
            Json upstreams = Json::array();
            for (const UpstreamStatus& row : parts.dispatch_.status(service.name_))
                upstreams.push_back({ { "upstream", row.upstream_ }, { "version", row.version_ },
                    { "region", row.region_ }, { "heldSlots", row.held_ }, { "freeSlots", row.free_ },
                    { "inFlight", row.inFlight_ }, { "drained", row.drained_ }, { "ejected", row.ejected_ },
                    { "latencyMs", row.latency_ * 1000 } });
            services[service.name_] = upstreams;
        }
        json["services"] = services;
        return jsonResponse(200, json);
    }

    LocalResponse configurationResponse(const OperatorParts& parts)
    {
        const auto [revision, text] = parts.controller_.configuration();
        return jsonResponse(200,
            { { "revision", revision }, { "digest", text.empty() ? "" : sha256Hex(text) },
                { "text", text } });
    }

    Json faultsJson(const std::vector<model::Fault>& faults)
    {
        Json list = Json::array();
        for (const model::Fault& fault : faults)
            list.push_back({ { "file", fault.file_ }, { "line", fault.line_ }, { "object", fault.object_ },
                { "field", fault.field_ }, { "reason", fault.reason_ } });
        return list;
    }

    LocalResponse publishResponse(const OperatorParts& parts, const Result<PublishOutcome>& outcome)
    {
        if (!outcome)
            return errorResponse(parts, outcome.error());
        if (!outcome.value().faults_.empty())
            return problemResponse(422, "faulty-set",
                std::to_string(outcome.value().faults_.size()) + " faults",
                { { "faults", faultsJson(outcome.value().faults_) } });
        return jsonResponse(200, { { "revision", outcome.value().revision_ } });
    }

    LocalResponse headResponse(const OperatorParts& parts, const Result<control::Head>& head)
    {
        if (!head)
            return errorResponse(parts, head.error());
        return jsonResponse(
            200, { { "headVersion", head.value().version_ }, { "epoch", head.value().epoch_ } });
    }

    /// JSON object in the body of a request.
    struct JsonBody {
        Json json_;

        /// Value of a string field; empty if the field is missing or not a string.
        std::string stringField(const char* name) const
        {
            const auto found = json_.find(name);
            return found != json_.end() && found->is_string() ? found->get<std::string>() : std::string();
        }
    };

    LocalResponse missingField(const char* field)
    {
        return problemResponse(400, "bad-request", std::string(field) + " is missing or has the wrong type");
    }

    LocalResponse publish(const OperatorParts& parts, const std::string& who, const JsonBody& body)
    {
        const auto revision = body.json_.find("expectedRevision");
        if (revision == body.json_.end() || !revision->is_number_unsigned())
            return missingField("expectedRevision");
        if (body.stringField("text").empty())
            return missingField("text");
        return publishResponse(parts,
            parts.controller_.publish(
                who, revision->get<uint64_t>(), body.stringField("text"), body.stringField("message")));
    }

    /// As model::find, for objects that the caller changes.
    template <typename T> T* findMutable(std::vector<T>& list, const std::string& name)
    {
        return const_cast<T*>(model::find(std::as_const(list), name));
    }

    LocalResponse withdrawKey(const OperatorParts& parts, const std::string& who, const JsonBody& body)
    {
        const std::string name = body.stringField("name");
        return publishResponse(parts,
            parts.controller_.editConfiguration(
                who, "withdraw key " + name, [&](model::ObjectSet& set) -> Result<void> {
                    model::Key* key = findMutable(set.keys_, name);
                    if (!key)
                        return makeError(ErrorCode::NotFound, "no key '" + name + "'");
                    key->withdrawn_ = true;
                    return boost::outcome_v2::success();
                }));
    }

    LocalResponse changeMove(const OperatorParts& parts, const std::string& who, const JsonBody& body)
    {
        const std::string name = body.stringField("name");
        const std::string state = body.stringField("state");
        if (state != "running" && state != "held" && state != "rolled-back")
            return problemResponse(400, "bad-request", "state must be running, held or rolled-back");
        return publishResponse(parts,
            parts.controller_.editConfiguration(
                who, "move " + name + " " + state, [&](model::ObjectSet& set) -> Result<void> {
                    model::Move* move = findMutable(set.moves_, name);
                    if (!move)
                        return makeError(ErrorCode::NotFound, "no move '" + name + "'");
                    if (move->state_ == model::MoveState::RolledBack && state != "rolled-back")
                        return makeError(
                            ErrorCode::Invalid, "move '" + name + "' was rolled back, which is final");
                    move->state_ = state == "running" ? model::MoveState::Running
                        : state == "held"             ? model::MoveState::Held
                                                      : model::MoveState::RolledBack;
                    return boost::outcome_v2::success();
                }));
    }

    LocalResponse drainUpstream(const OperatorParts& parts, const std::string& who, const JsonBody& body)
    {
        const std::string name = body.stringField("name");
        const bool drain = body.json_.value("drain", Json(true)) == Json(true);
        const auto snapshot = parts.state_.snapshot();
        if (!snapshot || !model::find(snapshot->set_->upstreams_, name))
            return problemResponse(404, "not-found", "no upstream '" + name + "'");
        return headResponse(parts,
            parts.controller_.changeHead(who, std::string(drain ? "drain" : "undrain") + " upstream " + name,
                [&](control::Head& head) -> Result<void> {
                    auto& drained = head.drainedUpstreams_;
                    std::erase(drained, name);
                    if (drain)
                        drained.insert(std::lower_bound(drained.begin(), drained.end(), name), name);
                    return boost::outcome_v2::success();
                }));
    }

    /// Drains this host itself, or marks another host as leaving in the head.
    LocalResponse drainHost(const OperatorParts& parts, const std::string& who, const JsonBody& body)
    {
        const std::string name = body.stringField("host");
        if (name == parts.settings_.name_) {
            parts.startDrain_();
            return jsonResponse(200, { { "host", name }, { "state", "leaving" } });
        }
        return headResponse(parts,
            parts.controller_.changeHead(who, "drain host " + name, [&](control::Head& head) -> Result<void> {
                const auto member = std::find_if(head.members_.begin(), head.members_.end(),
                    [&](const control::Member& other) { return other.host_ == name; });
                if (member == head.members_.end())
                    return makeError(ErrorCode::NotFound, "no host '" + name + "' in the view");
                BOOST_OUTCOME_TRY(leaving, control::withLeaving(head, name, member->incarnation_));
                head = leaving;
                return boost::outcome_v2::success();
            }));
    }

    LocalResponse declareRegionLost(const OperatorParts& parts, const std::string&, const JsonBody& body)
    {
        const auto declared = parts.controller_.declareLost(body.stringField("region"));
        if (!declared)
            return errorResponse(parts, declared.error());
        return jsonResponse(
            200, { { "region", body.stringField("region") }, { "state", "declared lost on this host" } });
    }

    /// Audit entries, newest first. The default replaces an unusable `limit`; larger limits are cut to
    /// maxAuditEntries.
    LocalResponse auditResponse(const OperatorParts& parts, const LocalRequest& request)
    {
        size_t limit = defaultAuditEntries;
        const std::string limitText = request.parameter_("limit");
        if (!limitText.empty() && limitText.find_first_not_of("0123456789") == std::string::npos
            && limitText.size() < 6)
            limit = std::min<size_t>(std::stoul(limitText), maxAuditEntries);
        const auto head = readHead(parts.table_);
        if (!head)
            return errorResponse(parts, head.error());
        const auto entries = readAudit(parts.table_, head.value().version_, limit);
        if (!entries)
            return errorResponse(parts, entries.error());
        Json list = Json::array();
        for (const AuditEntry& entry : entries.value())
            list.push_back({ { "when", entry.at_.ms_ }, { "who", entry.who_ }, { "what", entry.what_ },
                { "version", entry.version_ }, { "fromRevision", entry.fromRevision_ },
                { "revision", entry.revision_ }, { "outcome", entry.outcome_ } });
        return jsonResponse(200, list);
    }

    Json explainRoute(const Snapshot& snapshot, const LocalRequest& request)
    {
        const std::string service = request.parameter_("service");
        std::string method = request.parameter_("method");
        if (method.empty())
            method = "GET";
        const RouteLookup found = findRoute(snapshot, service, request.parameter_("path"), method);
        if (!found.route_)
            return { { "match",
                found.match_ == RouteMatch::NoService     ? "no such service"
                    : found.match_ == RouteMatch::NoRoute ? "no route covers the path"
                                                          : "the route does not accept the method" } };
        return { { "route", found.route_->name_ }, { "open", found.route_->open_ },
            { "idempotent", found.route_->idempotent_ }, { "timeoutMs", found.route_->timeoutMs_ } };
    }

    Json explainWorkspace(const Snapshot& snapshot, const std::string& name)
    {
        const model::Workspace* workspace = model::find(snapshot.set_->workspaces_, name);
        if (!workspace)
            return { { "error", "no such workspace" } };
        std::vector<limits::PlacementHost> hosts;
        for (const control::Member& member : snapshot.head_.members_)
            hosts.push_back({ member.host_, member.region_, member.failureDomain_ });
        const auto placement = limits::placeWorkspace(name, workspace->region_, hosts);
        return { { "owner", placement.owner_ }, { "preferredHosts", placement.preferred_ },
            { "rate", workspace->rate_ }, { "burst", workspace->burst_ } };
    }

    /// The newest traces that match the parameters.
    Json explainRequests(const OperatorParts& parts, const LocalRequest& request)
    {
        Json list = Json::array();
        for (const RequestTrace& trace : parts.trace_.search(request.parameter_("request"),
                 request.parameter_("service"), request.parameter_("workspace"), maxTraces))
            list.push_back({ { "request", trace.requestId_ }, { "when", trace.at_.ms_ },
                { "service", trace.service_ }, { "route", trace.route_ }, { "workspace", trace.workspace_ },
                { "result", trace.result_ }, { "status", trace.status_ }, { "detail", trace.detail_ },
                { "upstreams", trace.upstreams_ }, { "revision", trace.revision_ },
                { "ms", static_cast<double>(trace.duration_.count()) / 1000 } });
        return list;
    }

    /// Explains each aspect that the request has a parameter for, and lists the matching request traces.
    LocalResponse explainResponse(const OperatorParts& parts, const LocalRequest& request)
    {
        const auto snapshot = parts.state_.snapshot();
        if (!snapshot)
            return problemResponse(503, "not-ready", "the host has no configuration yet");
        Json json = Json::object();
        if (!request.parameter_("path").empty())
            json["routing"] = explainRoute(*snapshot, request);
        if (!request.parameter_("workspace").empty())
            json["workspace"] = explainWorkspace(*snapshot, request.parameter_("workspace"));
        if (!request.parameter_("client").empty())
            json["lookup"] = Json::parse(parts.lookup_(request).body_, nullptr, false);
        if (!request.parameter_("move").empty()) {
            json["move"] = { { "state", "not started" } };
            for (const Json& move : movesJson(parts.controller_.status().newestHead_)) {
                if (move["name"] == request.parameter_("move"))
                    json["move"] = move;
            }
        }
        json["requests"] = explainRequests(parts, request);
        return jsonResponse(200, json);
    }

    /// The operator of a bearer token, or nullptr.
    const Operator* authenticateOperator(const OperatorParts& parts, const std::string& authorization)
    {
        if (authorization.rfind("Bearer ", 0) != 0)
            return nullptr;
        const std::string digest = sha256Hex(std::string_view(authorization).substr(7));
        for (const Operator& candidate : parts.settings_.operators_) {
            if (constantTimeEqual(candidate.tokenSha256_, digest))
                return &candidate;
        }
        return nullptr;
    }

    /// Answers /healthz, or /readyz if `readiness`: ready are hosts that can admit keyed requests.
    LocalResponse healthResponse(const OperatorParts& parts, bool readiness)
    {
        const ControlStatus control = parts.controller_.status();
        const bool ready = !parts.state_.draining() && parts.state_.snapshot() && control.leaseValid_;
        if (!readiness || ready)
            return jsonResponse(200, { { "status", "ok" }, { "leaseValid", control.leaseValid_ } });
        return problemResponse(
            503, "not-ready", parts.state_.draining() ? "the host is leaving" : "no valid read lease");
    }

    using ChangeHandler = LocalResponse (*)(const OperatorParts&, const std::string&, const JsonBody&);

    /// Runs a change for an operator who has the role.
    LocalResponse handleChange(
        const OperatorParts& parts, const Operator& who, const std::string& name, const LocalRequest& request)
    {
        static const std::map<std::string, ChangeHandler> handlers { { "publish", publish },
            { "key-withdraw", withdrawKey }, { "move", changeMove }, { "upstream-drain", drainUpstream },
            { "host-drain", drainHost }, { "region-lost", declareRegionLost } };
        const auto handler = handlers.find(name);
        if (handler == handlers.end())
            return problemResponse(404, "not-found", "no such operation");
        if (who.role_ != Role::Change)
            return problemResponse(403, "denied", "operator '" + who.name_ + "' may only read");
        JsonBody body { Json::parse(request.body_, nullptr, false) };
        if (!body.json_.is_object())
            return problemResponse(400, "bad-request", "the body must be a JSON object");
        return handler->second(parts, who.name_, body);
    }

    LocalResponse handleRead(const OperatorParts& parts, const std::string& name, const LocalRequest& request)
    {
        if (name == "status")
            return statusResponse(parts);
        if (name == "config")
            return configurationResponse(parts);
        if (name == "audit")
            return auditResponse(parts, request);
        if (name == "explain")
            return explainResponse(parts, request);
        return problemResponse(404, "not-found", "no such operation");
    }

} // namespace detail

LocalResponse handleOperator(const OperatorParts& parts, const LocalRequest& request)
{
    if (request.path_ == "/healthz" || request.path_ == "/readyz")
        return detail::healthResponse(parts, request.path_ == "/readyz");
    if (request.path_ == "/metrics") {
        parts.refreshGauges_();
        return { 200, parts.metrics_.text(), "text/plain; version=0.0.4", {} };
    }
    if (request.path_.rfind(detail::operatorPrefix, 0) != 0)
        return detail::problemResponse(404, "not-found", "no such path");
    const Operator* who = detail::authenticateOperator(parts, request.authorization_);
    if (!who)
        return detail::problemResponse(401, "denied", "send an operator token as Authorization: Bearer");
    const std::string name = request.path_.substr(std::string_view(detail::operatorPrefix).size());
    if (request.method_ == "POST")
        return detail::handleChange(parts, *who, name, request);
    return detail::handleRead(parts, name, request);
}

} // namespace turmericwing::host
