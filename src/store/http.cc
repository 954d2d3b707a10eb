// HTTP client of the platform: connection pool, mapping of failures to error codes, JSON encoding.
#include "turmericwing/store/http.h"

#include "turmericwing/base/hash.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <charconv>
#include <condition_variable>
#include <csignal>
#include <mutex>

namespace turmericwing::store {

namespace detail {

    using Json = nlohmann::json;

    // Decides the error code of a request whose response was lost: a write may have taken effect.
    enum class Access { Read, Write };

    std::string percentEncode(std::string_view text)
    {
        static constexpr char digits[] = "0123456789ABCDEF";
        std::string out;
        for (const char c : text) {
            const auto byte = static_cast<unsigned char>(c);
            if (std::isalnum(byte) || c == '-' || c == '_' || c == '.' || c == '~' || c == '/') {
                out += c;
            } else {
                out += '%';
                out += digits[byte >> 4];
                out += digits[byte & 15];
            }
        }
        return out;
    }

    Error malformedResponse(const std::string& what)
    {
        return makeError(ErrorCode::Internal, "malformed response from the platform: " + what);
    }

    // Parses an ETag, with or without quotes.
    Result<uint64_t> parseVersion(std::string_view text)
    {
        if (text.size() >= 2 && text.front() == '"' && text.back() == '"')
            text = text.substr(1, text.size() - 2);
        uint64_t version = 0;
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), version);
        if (error != std::errc() || end != text.data() + text.size())
            return malformedResponse("version '" + std::string(text) + "'");
        return version;
    }

    Row rowFromJson(const Json& json)
    {
        return { json.at("key").get<std::string>(), json.at("value").get<std::string>(),
            json.at("version").get<uint64_t>() };
    }

    std::optional<Row> optionalRowFromJson(const Json& json)
    {
        if (json.is_null())
            return std::nullopt;
        return rowFromJson(json);
    }

    Json toJson(const ConditionalWrite& write)
    {
        return { { "key", write.key_ }, { "value", write.value_ }, { "version", write.expectedVersion_ } };
    }

    // Parses a response body. nlohmann-json throws on malformed input; the exception is converted to an
    // Error.
    template <typename T, typename F> Result<T> parseBody(const std::string& body, F&& convert)
    {
        try {
            return convert(Json::parse(body));
        } catch (const Json::exception& e) {
            return malformedResponse(e.what());
        }
    }

    // Fails with Invalid if a string is not UTF-8, which JSON requires.
    Result<std::string> serialize(const Json& json)
    {
        try {
            return json.dump();
        } catch (const Json::exception& e) {
            return makeError(ErrorCode::Invalid, e.what());
        }
    }

    // A pooled connection. It is reused only while the pool still has the same generation.
    struct PooledClient {
        std::unique_ptr<httplib::Client> client_;
        TimePoint lastUse_;
        uint64_t generation_ = 0;
    };

} // namespace detail

using detail::Access;
using detail::Json;

struct HttpPlatform::State {
    explicit State(HttpOptions options)
        : options_(std::move(options))
    {
        // Writing to a connection that the platform has closed must return an error, not terminate the
        // process.
        std::signal(SIGPIPE, SIG_IGN);
        const size_t colon = options_.address_.rfind(':');
        if (colon != std::string::npos) {
            host_ = options_.address_.substr(0, colon);
            port_ = std::atoi(options_.address_.c_str() + colon + 1);
        }
    }

    // Takes an idle connection, or creates a new one if there is none or `newConnection` is set. Returns
    // empty if all connections stay in use until the timeout.
    std::optional<detail::PooledClient> acquire(bool newConnection)
    {
        std::unique_lock lock(mutex_);
        if (!connectionReleased_.wait_for(
                lock, options_.requestTimeout_, [&] { return inUse_ < options_.maxConnections_; }))
            return std::nullopt;
        ++inUse_;
        const TimePoint now = monotonicNow();
        while (!idle_.empty()) {
            detail::PooledClient pooled = std::move(idle_.back());
            idle_.pop_back();
            if (!newConnection && pooled.generation_ == generation_
                && now - pooled.lastUse_ <= options_.maxIdleTime_)
                return pooled;
        }
        detail::PooledClient pooled { std::make_unique<httplib::Client>(host_, port_), now, generation_ };
        pooled.client_->set_keep_alive(true);
        pooled.client_->set_tcp_nodelay(true);
        pooled.client_->set_url_encode(false);
        pooled.client_->set_connection_timeout(options_.connectTimeout_);
        pooled.client_->set_read_timeout(options_.requestTimeout_);
        pooled.client_->set_write_timeout(options_.requestTimeout_);
        return pooled;
    }

    // Returns a connection to the pool. If it is not usable, it is closed, and connections opened before are
    // not reused.
    void release(detail::PooledClient pooled, bool usable)
    {
        {
            std::lock_guard lock(mutex_);
            --inUse_;
            pooled.lastUse_ = monotonicNow();
            if (usable)
                idle_.push_back(std::move(pooled));
            else
                ++generation_; // Connections opened before the failure may be unresponsive as well.
        }
        connectionReleased_.notify_one();
    }

    // Sends a request once. `reused` tells whether the connection was already open. Errors: Unavailable if
    // the request was not executed or is a read, otherwise Unknown.
    Result<httplib::Response> sendOnce(
        const httplib::Request& prototype, Access access, bool newConnection, bool& reused)
    {
        auto pooled = acquire(newConnection);
        if (!pooled)
            return makeError(ErrorCode::Unavailable, "all connections to the platform are in use");
        reused = pooled->client_->is_socket_open() != 0;
        if (!reused)
            ++connections_;
        ++(access == Access::Read ? reads_ : writes_);
        httplib::Request request = prototype;
        const TimePoint deadline = monotonicNow() + options_.connectTimeout_ + options_.requestTimeout_;
        request.progress = [&](uint64_t current, uint64_t total) {
            return std::max(current, total) <= options_.maxResponseBytes_ && monotonicNow() < deadline;
        };
        httplib::Response response;
        httplib::Error error = httplib::Error::Success;
        const bool complete = pooled->client_->send(request, response, error);
        release(std::move(*pooled), complete);
        // A status that does not exist says as little as a failure of the platform.
        const bool isAnswer = response.status >= 100 && response.status < 500;
        if (complete && isAnswer)
            return response;
        ++failures_;
        // The protocol guarantees that a request answered with status 503 was not executed.
        if (complete && response.status == 503)
            return makeError(ErrorCode::Unavailable, "platform rejects requests: status 503");
        const bool sent = complete
            || (error != httplib::Error::Connection && error != httplib::Error::ConnectionTimeout
                && error != httplib::Error::BindIPAddress);
        const std::string cause = "platform " + options_.address_ + ": "
            + (complete ? "status " + std::to_string(response.status) : httplib::to_string(error));
        return makeError(
            sent && access == Access::Write ? ErrorCode::Unknown : ErrorCode::Unavailable, cause);
    }

    // Sends a request. A `repeatable` request that fails on a reused connection is retried once on a new one.
    Result<httplib::Response> send(const std::string& method, const std::string& path, std::string body,
        Access access, bool repeatable, const httplib::Headers& headers = {})
    {
        httplib::Request request;
        request.method = method;
        request.path = path;
        request.headers = headers;
        request.body = std::move(body);
        bool reused = false;
        auto response = sendOnce(request, access, false, reused);
        if (!response && repeatable && reused)
            response = sendOnce(request, access, true, reused);
        return response;
    }

    Result<httplib::Response> read(const std::string& path, const httplib::Headers& headers = {})
    {
        return send("GET", path, {}, Access::Read, true, headers);
    }

    static Error statusError(const httplib::Response& response)
    {
        const std::string message
            = "platform: status " + std::to_string(response.status) + ": " + response.body.substr(0, 200);
        switch (response.status) {
        case 401:
        case 403:
            return makeError(ErrorCode::Denied, message);
        case 404:
            return makeError(ErrorCode::NotFound, message);
        case 400:
        case 413:
            return makeError(ErrorCode::Invalid, message);
        default:
            return makeError(ErrorCode::Internal, message);
        }
    }

    Result<std::optional<Row>> get(const std::string& key)
    {
        BOOST_OUTCOME_TRY(response, read("/table/" + detail::percentEncode(key)));
        return rowFromResponse(key, response);
    }

    Result<std::optional<Row>> getIfChanged(const std::string& key, uint64_t knownVersion)
    {
        const std::string tag = '"' + std::to_string(knownVersion) + '"';
        BOOST_OUTCOME_TRY(
            response, read("/table/" + detail::percentEncode(key), { { "If-None-Match", tag } }));
        if (response.status == 304)
            return std::optional<Row>(Row { key, {}, knownVersion });
        return rowFromResponse(key, response);
    }

    Result<std::optional<Row>> rowFromResponse(const std::string& key, const httplib::Response& response)
    {
        if (response.status == 404)
            return std::optional<Row>();
        if (response.status != 200)
            return statusError(response);
        BOOST_OUTCOME_TRY(version, detail::parseVersion(response.get_header_value("ETag")));
        return std::optional<Row>(Row { key, response.body, version });
    }

    Result<std::vector<Row>> scan(const std::string& prefix, size_t limit)
    {
        BOOST_OUTCOME_TRY(response,
            read("/table?prefix=" + detail::percentEncode(prefix) + "&limit=" + std::to_string(limit)));
        if (response.status != 200)
            return statusError(response);
        return detail::parseBody<std::vector<Row>>(response.body, [](const Json& json) {
            std::vector<Row> rows;
            for (const auto& row : json)
                rows.push_back(detail::rowFromJson(row));
            return rows;
        });
    }

    Result<std::vector<WriteOutcome>> put(const ConditionalWrite& write)
    {
        BOOST_OUTCOME_TRY(response,
            send("PUT", "/table/" + detail::percentEncode(write.key_), write.value_, Access::Write, false,
                { { "If-Match", std::to_string(write.expectedVersion_) } }));
        if (response.status == 412)
            return detail::parseBody<std::vector<WriteOutcome>>(response.body, [](const Json& json) {
                return std::vector<WriteOutcome> { { .applied_ = false,
                    .current_ = detail::optionalRowFromJson(json) } };
            });
        if (response.status != 200)
            return statusError(response);
        return std::vector<WriteOutcome> { { .applied_ = true, .current_ = std::nullopt } };
    }

    Result<std::vector<WriteOutcome>> write(const std::vector<ConditionalWrite>& writes, bool atomic)
    {
        if (writes.empty())
            return std::vector<WriteOutcome>();
        if (writes.size() == 1)
            return put(writes.front());
        Json list = Json::array();
        for (const auto& write : writes)
            list.push_back(detail::toJson(write));
        BOOST_OUTCOME_TRY(
            body, detail::serialize(Json { { "atomic", atomic }, { "writes", std::move(list) } }));
        BOOST_OUTCOME_TRY(response, send("POST", "/table", body, Access::Write, false));
        if (response.status != 200)
            return statusError(response);
        auto outcomes = detail::parseBody<std::vector<WriteOutcome>>(response.body, [](const Json& json) {
            std::vector<WriteOutcome> out;
            for (const auto& item : json)
                out.push_back({ .applied_ = item.at("applied").get<bool>(),
                    .current_ = detail::optionalRowFromJson(item.value("current", Json())) });
            return out;
        });
        // The writes were executed, but their outcomes are not known.
        if (!outcomes || outcomes.value().size() != writes.size())
            return makeError(ErrorCode::Unknown, "malformed outcome list from the platform");
        return outcomes;
    }

    Result<std::string> putObject(const std::string& bytes)
    {
        std::string digest = sha256Hex(bytes);
        BOOST_OUTCOME_TRY(response, send("PUT", "/objects/" + digest, bytes, Access::Write, true));
        if (response.status != 200 && response.status != 201)
            return statusError(response);
        return digest;
    }

    Result<std::string> getObject(const std::string& digest)
    {
        BOOST_OUTCOME_TRY(response, read("/objects/" + detail::percentEncode(digest)));
        if (response.status != 200)
            return statusError(response);
        if (sha256Hex(response.body) != digest)
            return makeError(ErrorCode::Invalid, "object " + digest + " does not match its digest");
        return std::move(response.body);
    }

    Result<std::vector<HostEntry>> hosts()
    {
        BOOST_OUTCOME_TRY(response, read("/hosts"));
        if (response.status != 200)
            return statusError(response);
        return detail::parseBody<std::vector<HostEntry>>(response.body, [](const Json& json) {
            std::vector<HostEntry> out;
            for (const auto& item : json)
                out.push_back({ item.at("name").get<std::string>(), item.at("address").get<std::string>(),
                    item.at("state") == "leaving" ? HostState::Leaving : HostState::Live });
            return out;
        });
    }

    HttpOptions options_;
    std::string host_;
    int port_ = 0;
    std::mutex mutex_;
    std::condition_variable connectionReleased_;
    std::vector<detail::PooledClient> idle_;
    size_t inUse_ = 0;
    uint64_t generation_ = 0;
    std::atomic<uint64_t> reads_ = 0;
    std::atomic<uint64_t> writes_ = 0;
    std::atomic<uint64_t> failures_ = 0;
    std::atomic<uint64_t> connections_ = 0;
};

HttpPlatform::HttpPlatform(HttpOptions options)
    : state_(std::make_shared<State>(std::move(options)))
{
}

Platform HttpPlatform::platform() const
{
    auto state = state_;
    Platform out;
    out.table_.get_ = [state](const std::string& key) { return state->get(key); };
    out.table_.getIfChanged_
        = [state](const std::string& key, uint64_t version) { return state->getIfChanged(key, version); };
    out.table_.scan_
        = [state](const std::string& prefix, size_t limit) { return state->scan(prefix, limit); };
    out.table_.writeBatch_ = [state](const auto& writes) { return state->write(writes, false); };
    out.table_.transact_ = [state](const auto& writes) { return state->write(writes, true); };
    out.objects_.put_ = [state](const std::string& bytes) { return state->putObject(bytes); };
    out.objects_.get_ = [state](const std::string& digest) { return state->getObject(digest); };
    out.hosts_.list_ = [state] { return state->hosts(); };
    return out;
}

Result<void> HttpPlatform::putHost(const HostEntry& entry) const
{
    BOOST_OUTCOME_TRY(body,
        detail::serialize({ { "address", entry.address_ },
            { "state", entry.state_ == HostState::Leaving ? "leaving" : "live" } }));
    BOOST_OUTCOME_TRY(response,
        state_->send("PUT", "/hosts/" + detail::percentEncode(entry.name_), body, Access::Write, true));
    if (response.status != 200)
        return State::statusError(response);
    return boost::outcome_v2::success();
}

HttpCounters HttpPlatform::counters() const
{
    return { state_->reads_, state_->writes_, state_->failures_, state_->connections_ };
}

} // namespace turmericwing::store
