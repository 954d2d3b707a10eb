// Upstream calls through cpp-httplib clients. Each pooled client holds one connection and runs one call at a
// time.
#include "turmericwing/host/upstream.h"

#include <httplib.h>

#include <algorithm>
#include <charconv>
#include <map>

namespace turmericwing::host {

namespace detail {

    constexpr size_t bufferBytes = size_t { 256 } * 1024;

    /// A connection that was idle for longer may have been dropped by something on the way without notice.
    constexpr auto maximumIdle = std::chrono::seconds(2);
    constexpr auto connectTimeout = std::chrono::seconds(1);
    constexpr size_t maximumIdlePerUpstream = 64;
    constexpr const char* requestIdHeader = "Turmericwing-Request-Id";

    struct Client {
        std::unique_ptr<httplib::Client> client_;
        TimePoint usableUntil_;
    };

    template <typename Setter> void setTimeout(Duration left, Setter setter)
    {
        const auto us = std::max<int64_t>(left.count(), 1000);
        setter(us / 1000000, us % 1000000);
    }

    /// Without a length or chunks, a cut response cannot be told from a whole one.
    bool hasDefinedEnd(const std::string& method, const httplib::Response& response)
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

    CallState failureState(httplib::Error error, bool headSeen)
    {
        if (error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout)
            return CallState::NotSent;
        return headSeen ? CallState::Incomplete : CallState::Broken;
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

CallState UpstreamCall::waitBuffered()
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
    download_.waitFilled(request_.deadline_);
    return state();
}

std::string UpstreamCall::readBody() { return download_.read(request_.deadline_); }

void UpstreamCall::cancel()
{
    std::function<void()> abort;
    bool headSeen = false;
    {
        std::lock_guard lock(mutex_);
        canceled_ = true;
        abort = abort_;
        headSeen = state_ == CallState::Responding;
        if (abort)
            abort();
    }
    setState(headSeen ? CallState::Incomplete : CallState::Broken);
}

struct UpstreamPool::Connections {
    std::mutex mutex_;
    std::map<std::string, std::vector<detail::Client>>
        idle_; ///< By address. No call is outstanding on any of them.

    std::unique_ptr<httplib::Client> take(const std::string& address)
    {
        std::vector<detail::Client> expired;
        std::lock_guard lock(mutex_);
        auto& clients = idle_[address];
        const TimePoint now = monotonicNow();
        while (!clients.empty()) {
            detail::Client last = std::move(clients.back());
            clients.pop_back();
            if (now < last.usableUntil_)
                return std::move(last.client_);
            expired.push_back(std::move(last));
        }
        return nullptr;
    }

    void give(const std::string& address, std::unique_ptr<httplib::Client> client)
    {
        std::lock_guard lock(mutex_);
        auto& clients = idle_[address];
        if (clients.size() < detail::maximumIdlePerUpstream)
            clients.push_back({ std::move(client), monotonicNow() + detail::maximumIdle });
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
    const Duration left = std::chrono::duration_cast<Duration>(request.deadline_ - monotonicNow());
    if (left <= Duration::zero()) {
        call.setState(CallState::NotSent);
        return;
    }
    auto client = connections_->take(request.address_);
    if (!client) {
        client = std::make_unique<httplib::Client>("http://" + request.address_);
        client->set_keep_alive(true);
        client->set_tcp_nodelay(true);
        client->set_decompress(false);
        client->set_url_encode(false);
    }
    detail::setTimeout(std::min<Duration>(left, detail::connectTimeout),
        [&](time_t s, time_t us) { client->set_connection_timeout(s, us); });
    detail::setTimeout(left, [&](time_t s, time_t us) {
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

    httplib::Request wire;
    wire.method = request.method_;
    wire.path = request.target_;
    for (const auto& [name, value] : request.headers_)
        wire.headers.emplace(name, value);
    wire.headers.emplace(detail::requestIdHeader, request.requestId_);
    bool uploaded = !request.streaming_;
    if (request.streaming_) {
        wire.is_chunked_content_provider_ = !request.bodyLength_;
        // The library adds this header in its own upload functions only.
        if (!request.bodyLength_)
            wire.headers.emplace("Transfer-Encoding", "chunked");
        wire.content_length_ = request.bodyLength_.value_or(0);
        wire.content_provider_ = [&](size_t, size_t length, httplib::DataSink& sink) {
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
        wire.body = request.body_;

    bool headSeen = false;
    bool matched = true;
    bool defined = true;
    wire.response_handler = [&](const httplib::Response& response) {
        headSeen = true;
        matched = response.get_header_value(detail::requestIdHeader) == request.requestId_;
        defined = detail::hasDefinedEnd(request.method_, response);
        if (!matched || !defined)
            return false;
        {
            std::lock_guard lock(call.mutex_);
            call.head_ = detail::makeHead(response);
        }
        call.setState(CallState::Responding);
        return true;
    };
    wire.content_receiver = [&](const char* data, size_t size, uint64_t, uint64_t) {
        return call.download_.write(data, size, request.deadline_);
    };
    const httplib::Result result = client->send(wire);
    {
        std::lock_guard lock(call.mutex_);
        call.abort_ = nullptr;
    }
    if (!result) {
        call.setState(matched ? detail::failureState(result.error(), headSeen) : CallState::Mismatched);
        return;
    }
    // A request whose upload was cut short leaves the connection in an undefined state.
    const bool reusable = uploaded && result->get_header_value("Connection") != "close";
    call.setState(CallState::Complete);
    if (reusable)
        connections_->give(request.address_, std::move(client));
}

} // namespace turmericwing::host
