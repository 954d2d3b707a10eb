// HTTP server based on cpp-httplib. The library itself would decompress, compress, split multipart bodies and
// apply ranges, so the headers that trigger this are removed from its request and forwarded from a copy.
#include "turmericwing/host/server.h"

#include <httplib.h>

#include <charconv>
#include <thread>

namespace turmericwing::host {

namespace detail {

    constexpr auto keepAliveTimeoutSeconds = 5;
    constexpr auto readTimeoutSeconds = 5;
    constexpr auto writeTimeoutSeconds = 5;
    constexpr size_t maximumRequestsPerConnection = 1'000'000;
    constexpr size_t maximumLocalBodyBytes = 32U << 20;
    constexpr size_t maximumCallerBodyBytes = 4ULL << 30;

    /// Runs each connection of a server in a thread of its own.
    class ServerThreads : public httplib::TaskQueue {
    public:
        explicit ServerThreads(size_t maximum)
            : executor_(maximum)
        {
        }
        void enqueue(std::function<void()> task) override { executor_.post(std::move(task)); }
        void shutdown() override { executor_.shutdown(); }

    private:
        Executor executor_;
    };

    HeaderList copyHeaders(const httplib::Request& request)
    {
        HeaderList headers;
        for (const auto& [name, value] : request.headers)
            headers.emplace_back(name, value);
        return headers;
    }

    /// Removes all headers from the library's request but those for body framing and keep-alive.
    void removeNonFramingHeaders(httplib::Request& request)
    {
        httplib::Headers kept;
        for (const char* name : { "Content-Length", "Transfer-Encoding", "Connection" }) {
            if (request.has_header(name))
                kept.emplace(name, request.get_header_value(name));
        }
        request.headers = std::move(kept);
        request.ranges.clear();
    }

    /// Whether all parties agree where the body ends: a single length of digits only, chunked encoding alone,
    /// or neither. Everything else allows request smuggling.
    bool hasUnambiguousFraming(const httplib::Request& request)
    {
        const size_t lengths = request.get_header_value_count("Content-Length");
        const size_t codings = request.get_header_value_count("Transfer-Encoding");
        if (codings > 0)
            return codings == 1 && lengths == 0 && request.get_header_value("Transfer-Encoding") == "chunked";
        const std::string length = request.get_header_value("Content-Length");
        return lengths == 0
            || (lengths == 1 && !length.empty()
                && length.find_first_not_of("0123456789") == std::string::npos);
    }

    void refuseAmbiguousFraming(httplib::Response& out)
    {
        out.status = statusOf(Reason::BadRequest);
        out.set_header(outcomeHeader, toString(Outcome::NotRun));
        out.set_header("Connection", "close");
        out.set_content(
            problemJson(Reason::BadRequest,
                "the length of the body is ambiguous: send one Content-Length or chunked encoding", ""),
            "application/problem+json");
    }

    CallerRequest makeCallerRequest(const httplib::Request& request, const httplib::ContentReader* reader)
    {
        CallerRequest callerRequest;
        callerRequest.method_ = request.method;
        callerRequest.target_ = request.target;
        callerRequest.headers_ = copyHeaders(request);
        callerRequest.remoteAddress_ = request.remote_addr;
        const std::string length = request.get_header_value("Content-Length");
        uint64_t parsed = 0;
        if (!length.empty()
            && std::from_chars(length.data(), length.data() + length.size(), parsed).ec == std::errc())
            callerRequest.bodyLength_ = parsed;
        const bool chunked = request.get_header_value("Transfer-Encoding") == "chunked";
        callerRequest.hasBody_ = reader && (chunked || callerRequest.bodyLength_.value_or(0) > 0);
        if (!callerRequest.hasBody_)
            return callerRequest;
        callerRequest.readBody_ = [reader, alreadyRead = std::make_shared<bool>(false)](const auto& sink) {
            if (*alreadyRead)
                return false;
            *alreadyRead = true;
            return (*reader)([&](const char* data, size_t size) { return sink(data, size); });
        };
        return callerRequest;
    }

    void streamBody(httplib::Response& out, CallerResponse response, const std::string& contentType)
    {
        auto sharedResponse = std::make_shared<CallerResponse>(std::move(response));
        if (sharedResponse->length_) {
            out.set_content_provider(*sharedResponse->length_, contentType,
                [sharedResponse](size_t, size_t, httplib::DataSink& sink) {
                    const std::string chunk = sharedResponse->stream_->readBody();
                    return !chunk.empty() && sink.write(chunk.data(), chunk.size());
                });
            return;
        }
        out.set_chunked_content_provider(contentType, [sharedResponse](size_t, httplib::DataSink& sink) {
            const std::string chunk = sharedResponse->stream_->readBody();
            if (!chunk.empty())
                return sink.write(chunk.data(), chunk.size());
            if (sharedResponse->stream_->state() != CallState::Complete)
                return false;
            sink.done();
            return true;
        });
    }

    void writeCallerResponse(httplib::Response& out, CallerResponse response)
    {
        out.status = response.status_;
        std::string contentType;
        for (const auto& [name, value] : response.headers_) {
            if (strcasecmp(name.c_str(), "Content-Type") == 0)
                contentType = value;
            else
                out.headers.emplace(name, value);
        }
        if (response.stream_) {
            streamBody(out, std::move(response), contentType);
            return;
        }
        if (!contentType.empty())
            out.headers.emplace("Content-Type", contentType);
        out.body = std::move(response.body_);
    }

    LocalRequest makeLocalRequest(const httplib::Request& request)
    {
        return { request.method, request.path,
            [&request](const std::string& name) {
                return request.has_param(name) ? request.get_param_value(name) : std::string();
            },
            request.get_header_value("Authorization"), request.body, request.remote_addr };
    }

    void writeLocalResponse(httplib::Response& out, const LocalResponse& response)
    {
        out.status = response.status_;
        for (const auto& [name, value] : response.headers_)
            out.set_header(name, value);
        out.set_content(response.body_, response.contentType_);
    }

} // namespace detail

struct Server::State {
    explicit State(ServerOptions options)
        : options_(std::move(options))
    {
    }

    void handleCaller(
        const httplib::Request& request, httplib::Response& out, const httplib::ContentReader* reader)
    {
        if (!detail::hasUnambiguousFraming(request)) {
            detail::refuseAmbiguousFraming(out);
            return;
        }
        const CallerRequest callerRequest = detail::makeCallerRequest(request, reader);
        // The library passes its own request by const reference; nothing reads the removed headers
        // afterwards.
        detail::removeNonFramingHeaders(const_cast<httplib::Request&>(request));
        detail::writeCallerResponse(out, options_.callers_(callerRequest));
        closeIfStopping(out);
    }

    void handleLocal(const httplib::Request& request, httplib::Response& out)
    {
        detail::writeLocalResponse(out, options_.local_(detail::makeLocalRequest(request)));
        closeIfStopping(out);
    }

    void closeIfStopping(httplib::Response& out) const
    {
        if (options_.closing_ && options_.closing_())
            out.set_header("Connection", "close");
    }

    void addHandlers()
    {
        const auto withoutBody = [this](const httplib::Request& request, httplib::Response& out) {
            if (!options_.callers_ || options_.isLocal_(request.path))
                handleLocal(request, out);
            else
                handleCaller(request, out, nullptr);
        };
        const auto withBody = [this](const httplib::Request& request, httplib::Response& out,
                                  const httplib::ContentReader& reader) {
            if (options_.callers_ && !options_.isLocal_(request.path)) {
                handleCaller(request, out, &reader);
                return;
            }
            auto& local = const_cast<httplib::Request&>(request);
            if (request.has_header("Content-Length") && request.get_header_value("Content-Length") != "0")
                reader([&](const char* data, size_t size) {
                    local.body.append(data, size);
                    return local.body.size() <= detail::maximumLocalBodyBytes;
                });
            handleLocal(request, out);
        };
        server_->Get(".*", withoutBody);
        server_->Options(".*", withoutBody);
        server_->Post(".*", withBody);
        server_->Put(".*", withBody);
        server_->Patch(".*", withBody);
        server_->Delete(".*", withBody);
    }

    ServerOptions options_;
    std::unique_ptr<httplib::Server> server_;
    std::thread thread_;
};

Server::Server(ServerOptions options)
    : state_(std::make_unique<State>(std::move(options)))
{
}

Server::~Server() { stop(); }

Result<void> Server::start()
{
    State& state = *state_;
    const ServerOptions& options = state.options_;
    if (options.tlsCertificate_.empty())
        state.server_ = std::make_unique<httplib::Server>();
    else
        state.server_ = std::make_unique<httplib::SSLServer>(
            options.tlsCertificate_.c_str(), options.tlsPrivateKey_.c_str());
    httplib::Server& server = *state.server_;
    if (!server.is_valid())
        return makeError(
            ErrorCode::Unavailable, "the certificate '" + options.tlsCertificate_ + "' cannot be loaded");
    server.new_task_queue
        = [maximum = options.maxConnections_] { return new detail::ServerThreads(maximum); };
    server.set_keep_alive_timeout(detail::keepAliveTimeoutSeconds);
    server.set_keep_alive_max_count(detail::maximumRequestsPerConnection);
    server.set_read_timeout(detail::readTimeoutSeconds);
    server.set_write_timeout(detail::writeTimeoutSeconds);
    server.set_payload_max_length(detail::maximumCallerBodyBytes);
    server.set_tcp_nodelay(true);
    // The library's default sets SO_REUSEPORT, with which two processes could bind the same address without
    // an error.
    server.set_socket_options([](socket_t socket) {
        const int yes = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    });
    state.addHandlers();
    if (!server.bind_to_port(options.address_.ip_, options.address_.port_))
        return makeError(ErrorCode::Unavailable,
            "cannot listen on " + options.address_.ip_ + ":" + std::to_string(options.address_.port_));
    state.thread_ = std::thread([&server] { server.listen_after_bind(); });
    // The library ignores a stop request until it accepts connections; stop() would then never return.
    while (!server.is_running())
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    return boost::outcome_v2::success();
}

void Server::stop()
{
    if (!state_->thread_.joinable())
        return;
    state_->server_->stop();
    state_->thread_.join();
}

} // namespace turmericwing::host
