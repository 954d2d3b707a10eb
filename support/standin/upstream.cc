// Request handling of the simulated upstream.
#include "upstream.h"

#include "turmericwing/base/hash.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace turmericwing::standin {

using httplib::Request;
using httplib::Response;
using Json = nlohmann::json;

namespace detail {

    void replyJson(Response& response, int status, const Json& body)
    {
        response.status = status;
        response.set_content(body.dump(-1, ' ', false, Json::error_handler_t::replace), "application/json");
    }

    Json statsJson(const UpstreamStats& stats, bool full)
    {
        Json repeated = Json::object();
        for (const auto& [key, count] : stats.byKey_)
            if (count > 1)
                repeated[key] = count;
        Json json { { "requests", stats.requests_ }, { "executed", stats.executed_ },
            { "overSlots", stats.overSlots_ }, { "mostAtOnce", stats.maxConcurrent_ },
            { "refusedDraining", stats.refusedDraining_ }, { "deadlineExceeded", stats.deadlineExceeded_ },
            { "cancelled", stats.cancelled_ }, { "errors", stats.errors_ }, { "crashes", stats.crashes_ },
            { "authorizationSeen", stats.authorizationSeen_ },
            { "connectionsRefused", stats.connectionsRefused_ }, { "keys", stats.byKey_.size() },
            { "repeatedKeys", repeated } };
        if (full) {
            json["byKey"] = stats.byKey_;
            json["byRequestId"] = stats.byRequestId_;
        }
        return json;
    }

    // Sets the faults that are present in the body.
    void updateFaults(UpstreamFaults& faults, const Json& body)
    {
        faults.failShare_ = body.value("fail", faults.failShare_);
        faults.slowFactor_ = body.value("slow", faults.slowFactor_);
        faults.path_ = body.value("path", faults.path_);
        faults.shortBody_ = body.value("shortBody", faults.shortBody_);
        if (body.contains("lateMs"))
            faults.late_ = std::chrono::milliseconds(body.at("lateMs").get<int64_t>());
        faults.wrongId_ = body.value("wrongId", faults.wrongId_);
        faults.crashMarker_ = body.value("crashMarker", faults.crashMarker_);
        faults.crashAll_ = body.value("crashAll", faults.crashAll_);
        faults.silentAll_ = body.value("silentAll", faults.silentAll_);
        faults.reportedLoad_ = body.value("reportedLoad", faults.reportedLoad_);
        faults.reportedHealth_ = body.value("reportedHealth", faults.reportedHealth_);
    }

    bool containsMarker(const Request& request, const std::string& marker)
    {
        if (marker.empty())
            return false;
        if (request.target.find(marker) != std::string::npos
            || request.body.find(marker) != std::string::npos)
            return true;
        for (const auto& [name, value] : request.headers)
            if (value.find(marker) != std::string::npos)
                return true;
        return false;
    }

    // Time until the caller's deadline; -1 if the header is malformed.
    std::optional<int64_t> deadlineMs(const Request& request)
    {
        if (!request.has_header("Turmericwing-Deadline-Ms"))
            return std::nullopt;
        const std::string text = request.get_header_value("Turmericwing-Deadline-Ms");
        int64_t value = -1;
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        return error == std::errc() && end == text.data() + text.size() ? value : -1;
    }

} // namespace detail

void UpstreamStats::add(const UpstreamStats& other)
{
    requests_ += other.requests_;
    executed_ += other.executed_;
    overSlots_ += other.overSlots_;
    maxConcurrent_ = std::max(maxConcurrent_, other.maxConcurrent_);
    refusedDraining_ += other.refusedDraining_;
    deadlineExceeded_ += other.deadlineExceeded_;
    cancelled_ += other.cancelled_;
    errors_ += other.errors_;
    crashes_ += other.crashes_;
    authorizationSeen_ += other.authorizationSeen_;
    connectionsRefused_ += other.connectionsRefused_;
    for (const auto& [key, count] : other.byKey_)
        byKey_[key] += count;
    for (const auto& [id, count] : other.byRequestId_)
        byRequestId_[id] += count;
}

class Upstream {
public:
    Upstream(UpstreamGroup& group, UpstreamOptions options)
        : group_(group)
        , options_(std::move(options))
        , random_(options_.seed_)
    {
        server_.limitConnections(options_.connections_);
        addControlRoutes();
        const auto handler
            = [this](const Request& request, Response& response) { handleRequest(request, response); };
        const std::string any = R"([\s\S]*)";
        server_.Get(any, handler)
            .Post(any, handler)
            .Put(any, handler)
            .Patch(any, handler)
            .Delete(any, handler);
    }

    int start(const std::string& ip, int port) { return server_.start(ip, port); }
    void stop() { server_.shutDown(); }

    void setFaults(const UpstreamFaults& faults)
    {
        std::lock_guard lock(mutex_);
        faults_ = faults;
    }

    void applyFaults(const Json& body)
    {
        std::lock_guard lock(mutex_);
        UpstreamFaults faults = faults_;
        detail::updateFaults(faults, body);
        faults_ = faults;
        if (body.value("silent", false))
            silentSince_ = monotonicNow();
    }

    void setDraining(bool draining) { draining_ = draining; }
    void silenceConnections() { silentSince_ = monotonicNow(); }

    UpstreamStats stats() const
    {
        std::lock_guard lock(mutex_);
        UpstreamStats stats = stats_;
        stats.connectionsRefused_ = server_.connectionsRefused();
        return stats;
    }

private:
    enum class Admission { Run, Draining, Overload };

    UpstreamFaults faults() const
    {
        std::lock_guard lock(mutex_);
        return faults_;
    }

    UpstreamFaults countRequest(const Request& request)
    {
        std::lock_guard lock(mutex_);
        ++stats_.requests_;
        if (request.has_header("Authorization"))
            ++stats_.authorizationSeen_;
        return faults_;
    }

    double randomShare()
    {
        std::lock_guard lock(mutex_);
        return uniform(random_);
    }

    // Takes a slot and counts the execution, or counts the rejection.
    Admission admit(const Request& request, Duration& serviceTime)
    {
        std::lock_guard lock(mutex_);
        if (draining_) {
            ++stats_.refusedDraining_;
            return Admission::Draining;
        }
        stats_.maxConcurrent_ = std::max<uint64_t>(stats_.maxConcurrent_, running_ + 1);
        if (running_ >= options_.slots_) {
            ++stats_.overSlots_;
            return Admission::Overload;
        }
        ++running_;
        ++stats_.executed_;
        if (request.has_header("Idempotency-Key"))
            ++stats_.byKey_[request.get_header_value("Turmericwing-Workspace") + "/"
                + request.get_header_value("Idempotency-Key")];
        if (request.has_header("Turmericwing-Request-Id"))
            ++stats_.byRequestId_[request.get_header_value("Turmericwing-Request-Id")];
        double factor = stats_.executed_ <= options_.coldRequests_ ? options_.coldFactor_ : 1;
        if (request.path.starts_with(faults_.path_))
            factor *= faults_.slowFactor_;
        serviceTime = std::chrono::duration_cast<Duration>(options_.serviceTime_ * factor);
        return Admission::Run;
    }

    void increment(uint64_t UpstreamStats::*counter)
    {
        std::lock_guard lock(mutex_);
        ++(stats_.*counter);
    }

    static void reject(Response& response, const char* header, const char* message)
    {
        response.set_header(header, "1");
        detail::replyJson(response, 503, { { "error", message } });
    }

    void handleRequest(const Request& request, Response& response)
    {
        const TimePoint arrival = monotonicNow();
        Connection& connection = Server::currentConnection();
        const UpstreamFaults faults = countRequest(request);
        if (faults.silentAll_ || connection.openedAt_ < silentSince_.load()) {
            Server::waitUntil(arrival + std::chrono::minutes(5));
            connection.dropped_ = true;
            return;
        }
        const std::string id = request.get_header_value("Turmericwing-Request-Id");
        response.set_header("Turmericwing-Request-Id", id);
        response.set_header("Turmericwing-Upstream", options_.name_);
        response.set_header("Turmericwing-Version", options_.version_);
        const auto deadline = detail::deadlineMs(request);
        if (deadline && *deadline <= 0) {
            increment(&UpstreamStats::deadlineExceeded_);
            return detail::replyJson(response, 504, { { "error", "deadline exceeded before execution" } });
        }
        Duration serviceTime {};
        switch (admit(request, serviceTime)) {
        case Admission::Draining:
            return reject(response, "Turmericwing-Draining", "draining");
        case Admission::Overload:
            return reject(response, "Turmericwing-Overload", "all slots are busy");
        case Admission::Run:
            break;
        }
        execute(request, response, faults, arrival, serviceTime, deadline);
        std::lock_guard lock(mutex_);
        --running_;
    }

    void execute(const Request& request, Response& response, const UpstreamFaults& faults, TimePoint arrival,
        Duration serviceTime, std::optional<int64_t> deadline)
    {
        Connection& connection = Server::currentConnection();
        if (detail::containsMarker(request, faults.crashMarker_)) {
            increment(&UpstreamStats::crashes_);
            connection.dropped_ = true;
            if (faults.crashAll_)
                server_.breakConnections();
            return;
        }
        TimePoint end = arrival + serviceTime;
        const bool exceedsDeadline = deadline && end > arrival + std::chrono::milliseconds(*deadline);
        if (exceedsDeadline)
            end = arrival + std::chrono::milliseconds(*deadline);
        if (!Server::waitUntil(end + faults.late_)) {
            increment(&UpstreamStats::cancelled_);
            connection.dropped_ = true;
            return;
        }
        if (exceedsDeadline) {
            increment(&UpstreamStats::deadlineExceeded_);
            return detail::replyJson(response, 504, { { "error", "deadline exceeded" } });
        }
        const double failShare = request.path.starts_with(faults.path_) ? faults.failShare_ : 0;
        if (randomShare() < std::max(failShare, options_.errorShare_)) {
            increment(&UpstreamStats::errors_);
            return detail::replyJson(response, 500, { { "error", "injected" } });
        }
        const std::string id = request.get_header_value("Turmericwing-Request-Id");
        sendResponse(request, response, faults,
            faults.wrongId_ > 0 && randomShare() < faults.wrongId_ ? "other-" + id : id);
    }

    // The body depends on the request, so that the checker detects a response swapped between requests.
    void sendResponse(
        const Request& request, Response& response, const UpstreamFaults& faults, const std::string& id)
    {
        response.headers.erase("Turmericwing-Request-Id");
        response.set_header("Turmericwing-Request-Id", id);
        Json body { { "requestId", id }, { "path", request.path }, { "bodyBytes", request.body.size() },
            { "bodySha256", sha256Hex(request.body) }, { "upstream", options_.name_ },
            { "version", options_.version_ } };
        if (options_.bodyBytes_ > 0)
            body["padding"] = std::string(options_.bodyBytes_, 'x');
        if (faults.shortBody_ <= 0 || randomShare() >= faults.shortBody_)
            return detail::replyJson(response, 200, body);
        response.status = 200;
        response.set_content_provider(
            1 << 16, "application/json", [](size_t offset, size_t, httplib::DataSink& sink) {
                static const std::string part(1 << 10, 'x');
                return offset < (1 << 15) && sink.write(part.data(), part.size());
            });
    }

    template <typename F> httplib::Server::Handler controlHandler(F handler)
    {
        return [this, handler](const Request& request, Response& response) {
            try {
                const Json body = Json::parse(request.body);
                const bool all = request.get_param_value("scope") == "all";
                for (auto& upstream : group_.upstreams_)
                    if (all || upstream.get() == this)
                        handler(*upstream, body);
                detail::replyJson(response, 200, Json::object());
            } catch (const Json::exception& e) {
                detail::replyJson(response, 400, { { "error", e.what() } });
            }
        };
    }

    void addControlRoutes()
    {
        server_.Post("/faults",
            controlHandler([](Upstream& upstream, const Json& body) { upstream.applyFaults(body); }));
        server_.Post("/drain", controlHandler([](Upstream& upstream, const Json& body) {
            upstream.setDraining(body.at("draining"));
        }));
        server_.Get("/stats", [this](const Request& request, Response& response) {
            const bool all = request.get_param_value("scope") == "all";
            detail::replyJson(
                response, 200, detail::statsJson(all ? group_.stats() : stats(), request.has_param("full")));
        });
        server_.Get("/load", [this](const Request&, Response& response) {
            std::lock_guard lock(mutex_);
            const auto running
                = faults_.reportedLoad_ >= 0 ? static_cast<uint64_t>(faults_.reportedLoad_) : running_;
            detail::replyJson(response, 200,
                { { "slots", options_.slots_ }, { "running", running },
                    { "connections", server_.connections() }, { "draining", draining_.load() },
                    { "version", options_.version_ } });
        });
        server_.Get("/health", [this](const Request&, Response& response) {
            const int fixed = faults().reportedHealth_;
            const bool draining = draining_;
            const int status = fixed > 0 ? fixed : draining ? 503 : 200;
            if (draining)
                response.set_header("Turmericwing-Draining", "1");
            detail::replyJson(response, status,
                { { "status", draining ? "draining" : "ok" }, { "version", options_.version_ } });
        });
    }

    UpstreamGroup& group_;
    const UpstreamOptions options_;
    mutable std::mutex mutex_;
    Random random_;
    UpstreamFaults faults_;
    UpstreamStats stats_;
    uint64_t running_ = 0;
    std::atomic<bool> draining_ = false;
    std::atomic<TimePoint> silentSince_ { TimePoint::min() };
    Server server_;
};

UpstreamGroup::UpstreamGroup() = default;

UpstreamGroup::~UpstreamGroup()
{
    // A control request can access all upstreams, so every server stops before the first is destroyed.
    for (auto& upstream : upstreams_)
        upstream->stop();
}

int UpstreamGroup::add(const UpstreamOptions& options, const std::string& ip, int port)
{
    upstreams_.push_back(std::make_unique<Upstream>(*this, options));
    return upstreams_.back()->start(ip, port);
}

void UpstreamGroup::setFaults(size_t index, const UpstreamFaults& faults)
{
    upstreams_.at(index)->setFaults(faults);
}

void UpstreamGroup::silenceConnections(size_t index) { upstreams_.at(index)->silenceConnections(); }

void UpstreamGroup::setDraining(size_t index, bool draining) { upstreams_.at(index)->setDraining(draining); }

UpstreamStats UpstreamGroup::stats() const
{
    UpstreamStats sum;
    for (const auto& upstream : upstreams_)
        sum.add(upstream->stats());
    return sum;
}

UpstreamStats UpstreamGroup::stats(size_t index) const { return upstreams_.at(index)->stats(); }

} // namespace turmericwing::standin
