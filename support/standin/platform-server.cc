// HTTP routes of the simulated platform.
#include "platform-server.h"

#include "turmericwing/base/hash.h"

#include <nlohmann/json.hpp>

namespace turmericwing::standin {

using httplib::Request;
using httplib::Response;
using Json = nlohmann::json;

namespace detail {

    void reply(Response& response, int status, const Json& body)
    {
        response.status = status;
        response.set_content(body.dump(-1, ' ', false, Json::error_handler_t::replace), "application/json");
    }

    // A lost response closes the connection without sending a byte; an outage is a 503.
    void replyError(Response& response, const Error& error)
    {
        if (error.code_ == ErrorCode::Unknown) {
            Server::currentConnection().dropped_ = true;
            return;
        }
        const int status = error.code_ == ErrorCode::NotFound ? 404 : 503;
        reply(response, status, { { "error", toString(error.code_) }, { "message", error.message_ } });
    }

    Json rowJson(const store::Row& row)
    {
        return { { "key", row.key_ }, { "value", row.value_ }, { "version", row.version_ } };
    }

    Json optionalRowJson(const std::optional<store::Row>& row) { return row ? rowJson(*row) : Json(); }

    std::string etag(uint64_t version) { return '"' + std::to_string(version) + '"'; }

    std::optional<uint64_t> parseNumber(std::string text)
    {
        if (text.size() >= 2 && text.front() == '"' && text.back() == '"')
            text = text.substr(1, text.size() - 2);
        if (text.empty() || text.size() > 19 || text.find_first_not_of("0123456789") != std::string::npos)
            return std::nullopt;
        return std::stoull(text);
    }

    // Wraps a handler of JSON bodies; malformed JSON gets a 400 response.
    template <typename F> httplib::Server::Handler jsonHandler(F handler)
    {
        return [handler](const Request& request, Response& response) {
            try {
                handler(request, response, Json::parse(request.body));
            } catch (const Json::exception& e) {
                reply(response, 400, { { "error", "invalid" }, { "message", e.what() } });
            }
        };
    }

} // namespace detail

using namespace detail;

PlatformServer::PlatformServer(store::MemoryPlatform memory, std::string client)
    : memory_(std::move(memory))
    , client_(std::move(client))
    , platform_(memory_.platform(client_))
{
    server_.set_pre_routing_handler([this](const Request&, Response&) {
        Connection& connection = Server::currentConnection();
        if (connection.openedAt_ >= silentSince_.load())
            return httplib::Server::HandlerResponse::Unhandled;
        Server::waitUntil(monotonicNow() + std::chrono::minutes(5));
        connection.dropped_ = true;
        return httplib::Server::HandlerResponse::Handled;
    });
    addTableRoutes();
    addObjectAndHostRoutes();
    addControlRoutes();
}

void PlatformServer::addTableRoutes()
{
    server_.Get("/table", [this](const Request& request, Response& response) {
        const auto limit
            = parseNumber(request.has_param("limit") ? request.get_param_value("limit") : "1000");
        if (!limit)
            return reply(response, 400, { { "error", "invalid" }, { "message", "limit is not a number" } });
        auto rows = platform_.table_.scan_(request.get_param_value("prefix"), *limit);
        if (!rows)
            return replyError(response, rows.error());
        Json list = Json::array();
        for (const auto& row : rows.value())
            list.push_back(rowJson(row));
        reply(response, 200, list);
    });
    server_.Get(R"(/table/([\s\S]+))", [this](const Request& request, Response& response) {
        auto row = platform_.table_.get_(request.matches[1]);
        if (!row)
            return replyError(response, row.error());
        if (!row.value())
            return reply(response, 404, { { "error", "not-found" } });
        response.set_header("ETag", etag(row.value()->version_));
        if (request.get_header_value("If-None-Match") == etag(row.value()->version_)) {
            response.status = 304;
            return;
        }
        response.set_content(row.value()->value_, "application/octet-stream");
    });
    server_.Put(R"(/table/([\s\S]+))", [this](const Request& request, Response& response) {
        const auto version = parseNumber(request.get_header_value("If-Match"));
        if (!version)
            return reply(
                response, 400, { { "error", "invalid" }, { "message", "If-Match must be a version" } });
        auto outcomes = platform_.table_.writeBatch_({ { request.matches[1], request.body, *version } });
        if (!outcomes)
            return replyError(response, outcomes.error());
        const auto& outcome = outcomes.value().front();
        if (!outcome.applied_)
            return reply(response, 412, optionalRowJson(outcome.current_));
        response.set_header("ETag", etag(*version + 1));
        reply(response, 200, { { "version", *version + 1 } });
    });
    server_.Post("/table", jsonHandler([this](const Request&, Response& response, const Json& body) {
        std::vector<store::ConditionalWrite> writes;
        for (const auto& item : body.at("writes"))
            writes.push_back({ item.at("key"), item.at("value"), item.at("version").get<uint64_t>() });
        const bool atomic = body.at("atomic").get<bool>();
        auto outcomes = atomic ? platform_.table_.transact_(writes) : platform_.table_.writeBatch_(writes);
        if (!outcomes)
            return replyError(response, outcomes.error());
        Json list = Json::array();
        for (const auto& outcome : outcomes.value()) {
            list.push_back({ { "applied", outcome.applied_ } });
            if (!outcome.applied_)
                list.back()["current"] = optionalRowJson(outcome.current_);
        }
        reply(response, 200, list);
    }));
}

void PlatformServer::addObjectAndHostRoutes()
{
    server_.Get(R"(/objects/([0-9a-f]{64}))", [this](const Request& request, Response& response) {
        auto bytes = platform_.objects_.get_(request.matches[1]);
        if (!bytes)
            return replyError(response, bytes.error());
        response.set_content(bytes.value(), "application/octet-stream");
    });
    server_.Put(R"(/objects/([0-9a-f]{64}))", [this](const Request& request, Response& response) {
        if (sha256Hex(request.body) != request.matches[1])
            return reply(response, 400, { { "error", "invalid" }, { "message", "digest does not match" } });
        auto digest = platform_.objects_.put_(request.body);
        if (!digest)
            return replyError(response, digest.error());
        reply(response, 200, { { "digest", digest.value() } });
    });
    server_.Get("/hosts", [this](const Request&, Response& response) {
        auto hosts = platform_.hosts_.list_();
        if (!hosts)
            return replyError(response, hosts.error());
        Json list = Json::array();
        for (const auto& host : hosts.value())
            list.push_back({ { "name", host.name_ }, { "address", host.address_ },
                { "state", host.state_ == store::HostState::Leaving ? "leaving" : "live" } });
        reply(response, 200, list);
    });
    server_.Put(
        "/hosts/([^/]+)", jsonHandler([this](const Request& request, Response& response, const Json& body) {
            if (memory_.faults(client_).outage_)
                return replyError(response, makeError(ErrorCode::Unavailable, "platform outage"));
            const std::string state = body.at("state");
            if (state != "live" && state != "leaving")
                return reply(response, 400, { { "error", "invalid" }, { "message", "unknown state" } });
            memory_.putHost({ request.matches[1], body.at("address"),
                state == "leaving" ? store::HostState::Leaving : store::HostState::Live });
            reply(response, 200, Json::object());
        }));
    server_.Delete("/hosts/([^/]+)", [this](const Request& request, Response& response) {
        memory_.removeHost(request.matches[1]);
        reply(response, 200, Json::object());
    });
}

void PlatformServer::addControlRoutes()
{
    server_.Post("/faults", jsonHandler([this](const Request&, Response& response, const Json& body) {
        using std::chrono::milliseconds;
        const std::string client = body.value("all", false) ? "" : client_;
        store::Faults faults = memory_.faults(client);
        faults.outage_ = body.value("outage", faults.outage_);
        faults.lostResponse_ = body.value("lostResponse", faults.lostResponse_);
        if (body.contains("delayMs"))
            faults.delay_ = milliseconds(body.at("delayMs").get<int64_t>());
        if (body.contains("hostListLagMs"))
            faults.hostListLag_ = milliseconds(body.at("hostListLagMs").get<int64_t>());
        if (body.value("silent", false))
            silenceConnections();
        memory_.setFaults(faults, client);
        if (body.value("clear", false))
            memory_.clearFaults(client_);
        reply(response, 200, Json::object());
    }));
    server_.Get("/stats", [this](const Request&, Response& response) {
        const auto counters = memory_.counters();
        reply(response, 200, { { "reads", counters.reads_ }, { "writes", counters.writes_ } });
    });
}

} // namespace turmericwing::standin
