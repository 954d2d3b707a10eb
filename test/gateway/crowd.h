// Callers that stop before the end of their requests and stay, and that do not read what they are answered.
#pragma once

#include "live.h"

#include <algorithm>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

namespace turmericwing::gateway::test {

inline std::string head(const std::string& framing, size_t caller)
{
    return "POST /write/" + std::to_string(caller) + " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: c"
        + std::to_string(caller) + "\r\nX-Deadline-Ms: 3000\r\nAuthorization: Token key-1\r\n" + framing
        + "\r\n\r\n";
}

inline std::string plainRequest(size_t caller, size_t announced, size_t sent)
{
    return head("Content-Length: " + std::to_string(announced), caller) + std::string(sent, 'x');
}

/// A request without its final chunk.
inline std::string chunkedRequest(size_t caller, size_t bodyBytes, size_t chunkBytes)
{
    char size[20];
    std::snprintf(size, sizeof(size), "%zx\r\n", chunkBytes);
    const std::string chunk = size + std::string(chunkBytes, 'x') + "\r\n";
    std::string request = head("Transfer-Encoding: chunked", caller);
    for (size_t done = 0; done < bodyBytes; done += chunkBytes)
        request += chunk;
    return request;
}

/// A caller that sends a part of its request whenever the connection takes some, and does not read.
class StallingCaller {
public:
    /// With `receiveBytes`, the system takes hardly more of an answer.
    StallingCaller(uint16_t port, std::string request, int receiveBytes = 0)
        : fd_(connectTo({ "127.0.0.1", port }))
        , request_(std::move(request))
    {
        if (receiveBytes > 0)
            setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &receiveBytes, sizeof(receiveBytes));
    }
    ~StallingCaller() { close(fd_); }
    StallingCaller(const StallingCaller&) = delete;
    StallingCaller& operator=(const StallingCaller&) = delete;

    /// Sends at most `most` bytes. Returns whether the connection took some.
    bool sendSome(size_t most)
    {
        const size_t size = std::min(most, request_.size() - sent_);
        if (size == 0 || ended_)
            return false;
        const ssize_t taken = send(fd_, request_.data() + sent_, size, MSG_NOSIGNAL | MSG_DONTWAIT);
        ended_ = taken < 0 && errno != EAGAIN;
        sent_ += static_cast<size_t>(std::max<ssize_t>(taken, 0));
        return taken > 0;
    }

    bool isSent() const { return sent_ == request_.size(); }

private:
    const int fd_;
    const std::string request_;
    size_t sent_ = 0;
    bool ended_ = false;
};

using Crowd = std::vector<std::unique_ptr<StallingCaller>>;

/// Lets the callers send side by side, `pieceBytes` at a time, until none gets on for a while.
inline void sendAll(const Crowd& callers, size_t pieceBytes)
{
    for (int quietRounds = 0; quietRounds < 100;) {
        bool moved = false;
        for (const auto& caller : callers)
            moved = caller->sendSome(pieceBytes) || moved;
        quietRounds = moved ? 0 : quietRounds + 1;
        if (!moved)
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
}

} // namespace turmericwing::gateway::test
