// Upstream calls with cpp-httplib clients. Each pooled client has one connection and runs one call at a time.
#include "turmericwing/host/upstream.h"

#include <httplib.h>

#include <algorithm>
#include <charconv>
#include <map>

namespace turmericwing::host {

namespace detail {

    /// Capacity of the request and response body buffers of a call.
    constexpr size_t bufferBytes = size_t { 256 } * 1024;

    /// Time for which an idle connection is reused. A network device between the hosts may drop a connection
    /// that is idle for longer without notifying either end.
    constexpr auto maximumIdleTime = std::chrono::seconds(2);
    constexpr auto connectTimeout = std::chrono::seconds(1);
    constexpr size_t maximumIdlePerUpstream = 64;
    constexpr const char* requestIdHeader = "Turmericwing-Request-Id";

    /// An idle client.
    struct PooledClient {
        std::unique_ptr<httplib::Client> client_;
        TimePoint reusableUntil_;
    };

    template <typename Setter> void setTimeout(Duration remaining, Setter setter)
    {
        const auto us = std::max<int64_t>(remaining.count(), 1000);
        setter(us / 1000000, us % 1000000);
    }

    /// Whether the end of the response is explicit. Without a length or chunked encoding, a truncated
    /// response cannot be distinguished from a complete one.
    bool isSelfDelimited(const std::string& method, const httplib::Response& response)
    {
        return method == "HEAD" || response.status == 204 || response.status == 304
            || response.has_header("Content-Length")
            || response.get_header_value("Transfer-Encoding") == "chunked";
    }

    ResponseHead makeHead(const httplib::Response& response)
    {
        ResponseHead head { response.status, {}, {} };
        for (const auto& [name, value] : response.headers)
            head.headers_.emplace_back(name, value);
        const std::string length = response.get_header_value("Content-Length");
        uint64_t parsed = 0;
        if (std::from_chars(length.data(), length.data() + length.size(), parsed).ec == std::errc()
            && !length.empty())
            head.length_ = parsed;
        return head;
    }

    /// Whether the status exists (RFC 9110, section 15).
    bool isStatus(int status) { return status >= 100 && status <= 599; }

    /// State of a call that failed with an error of the library.
    CallState failureState(httplib::Error error, bool headReceived)
    {
        if (error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout)
            return CallState::NotSent;
        return headReceived ? CallState::Incomplete : CallState::Broken;
    }

} // namespace detail

UpstreamCall::UpstreamCall(UpstreamRequest request)
    : request_(std::move(request))
    , upload_(detail::bufferBytes)
    , download_(detail::bufferBytes)
{
}

CallState UpstreamCall::state() const
{
    std::lock_guard lock(mutex_);
    return state_;
}

ResponseHead UpstreamCall::head() const
{
    std::lock_guard lock(mutex_);
    return head_;
}

void UpstreamCall::setState(CallState state)
{
    {
        std::lock_guard lock(mutex_);
        if (state_ == CallState::Waiting || state_ == CallState::Responding)
            state_ = state;
        changed_.notify_all();
    }
    if (state == CallState::Waiting || state == CallState::Responding)
        return;
    download_.close(state == CallState::Complete ? PipeState::Finished : PipeState::Failed);
    upload_.close(PipeState::Failed);
}

CallState UpstreamCall::waitUntilBuffered()
{
    {
        std::unique_lock lock(mutex_);
        changed_.wait_until(lock, request_.deadline_, [this] { return state_ != CallState::Waiting; });
        if (state_ == CallState::Waiting) {
            lock.unlock();
            cancel();
            return state();
        }
    }
    download_.waitUntilFull(request_.deadline_);
    return state();
}

std::string UpstreamCall::readBody() { return download_.read(request_.deadline_); }

void UpstreamCall::cancel()
{
    std::function<void()> abort;
    bool headReceived = false;
    {
        std::lock_guard lock(mutex_);
        canceled_ = true;
        abort = abort_;
        headReceived = state_ == CallState::Responding;
        if (abort)
            abort();
    }
    setState(headReceived ? CallState::Incomplete : CallState::Broken);
}

struct UpstreamPool::Connections {
    std::mutex mutex_;
    std::map<std::string, std::vector<detail::PooledClient>>
        idle_; ///< By address. None of them has a call in progress.

    /// Removes and returns the client that was used last; nullptr when all have been idle for too long.
    std::unique_ptr<httplib::Client> takeIdle(const std::string& address)
    {
        std::vector<detail::PooledClient> expired;
        std::lock_guard lock(mutex_);
        auto& clients = idle_[address];
        const TimePoint now = monotonicNow();
        while (!clients.empty()) {
            detail::PooledClient last = std::move(clients.back());
            clients.pop_back();
            if (now < last.reusableUntil_)
                return std::move(last.client_);
            expired.push_back(std::move(last));
        }
        return nullptr;
    }

    /// Keeps the client for reuse, or closes it when the address has enough idle clients.
    void returnIdle(const std::string& address, std::unique_ptr<httplib::Client> client)
    {
        std::lock_guard lock(mutex_);
        auto& clients = idle_[address];
        if (clients.size() < detail::maximumIdlePerUpstream)
            clients.push_back({ std::move(client), monotonicNow() + detail::maximumIdleTime });
    }
};

UpstreamPool::UpstreamPool(Executor& executor)
    : executor_(executor)
    , connections_(std::make_unique<Connections>())
{
}

UpstreamPool::~UpstreamPool() = default;

std::shared_ptr<UpstreamCall> UpstreamPool::start(UpstreamRequest request)
{
    auto call = std::make_shared<UpstreamCall>(std::move(request));
    executor_.post([this, call] { run(*call); });
    return call;
}

void UpstreamPool::run(UpstreamCall& call)
{
    const UpstreamRequest& request = call.request();
    const Duration remaining = std::chrono::duration_cast<Duration>(request.deadline_ - monotonicNow());
    if (remaining <= Duration::zero()) {
        call.setState(CallState::NotSent);
        return;
    }
    auto client = connections_->takeIdle(request.address_);
    if (!client) {
        client = std::make_unique<httplib::Client>("http://" + request.address_);
        client->set_keep_alive(true);
        client->set_tcp_nodelay(true);
        client->set_decompress(false);
        client->set_url_encode(false);
    }
    detail::setTimeout(std::min<Duration>(remaining, detail::connectTimeout),
        [&](time_t s, time_t us) { client->set_connection_timeout(s, us); });
    detail::setTimeout(remaining, [&](time_t s, time_t us) {
        client->set_read_timeout(s, us);
        client->set_write_timeout(s, us);
    });
    {
        std::lock_guard lock(call.mutex_);
        if (call.canceled_) {
            call.state_ = CallState::NotSent;
            return;
        }
        call.abort_ = [raw = client.get()] { raw->stop(); };
    }

    httplib::Request httpRequest;
    httpRequest.method = request.method_;
    httpRequest.path = request.target_;
    for (const auto& [name, value] : request.headers_)
        httpRequest.headers.emplace(name, value);
    httpRequest.headers.emplace(detail::requestIdHeader, request.requestId_);
    bool uploaded = !request.streaming_;
    if (request.streaming_) {
        httpRequest.is_chunked_content_provider_ = !request.bodyLength_;
        // The library adds this header only in its own upload functions.
        if (!request.bodyLength_)
            httpRequest.headers.emplace("Transfer-Encoding", "chunked");
        httpRequest.content_length_ = request.bodyLength_.value_or(0);
        httpRequest.content_provider_ = [&](size_t, size_t length, httplib::DataSink& sink) {
            const std::string chunk = call.upload_.read(request.deadline_);
            if (chunk.empty() && request.bodyLength_)
                return false;
            if (chunk.empty()) {
                uploaded = call.upload_.state() == PipeState::Finished;
                if (uploaded)
                    sink.done();
                return uploaded;
            }
            if (!sink.write(chunk.data(), chunk.size()))
                return false;
            uploaded = request.bodyLength_ && chunk.size() == length;
            return true;
        };
    } else
        httpRequest.body = request.body_;

    bool headReceived = false;
    bool idMatches = true;
    bool selfDelimited = true;
    httpRequest.response_handler = [&](const httplib::Response& response) {
        headReceived = true;
        idMatches = response.get_header_value(detail::requestIdHeader) == request.requestId_;
        selfDelimited = detail::isSelfDelimited(request.method_, response);
        if (!idMatches || !selfDelimited || !detail::isStatus(response.status))
            return false;
        {
            std::lock_guard lock(call.mutex_);
            call.head_ = detail::makeHead(response);
        }
        call.setState(CallState::Responding);
        return true;
    };
    httpRequest.content_receiver = [&](const char* data, size_t size, uint64_t, uint64_t) {
        return call.download_.write(data, size, request.deadline_);
    };
    const httplib::Result result = client->send(httpRequest);
    {
        std::lock_guard lock(call.mutex_);
        call.abort_ = nullptr;
    }
    if (!result) {
        call.setState(idMatches ? detail::failureState(result.error(), headReceived) : CallState::Mismatched);
        return;
    }
    // A request whose body was not sent completely leaves its connection in an undefined state.
    const bool reusable = uploaded && result->get_header_value("Connection") != "close";
    call.setState(CallState::Complete);
    if (reusable)
        connections_->returnIdle(request.address_, std::move(client));
}

} // namespace turmericwing::host
