// Answers without end, by the part of the answer that does not end.
#pragma once

#include "server.h"
#include "turmericwing/base/time.h"

#include <string>
#include <sys/socket.h>
#include <vector>

namespace turmericwing::gateway::test {

/// An answer: its beginning, and what follows it again and again until the connection closes.
struct EndlessAnswer {
    std::string begin_;
    std::string repeated_;
};

inline const std::string chunkedHead
    = "HTTP/1.1 200 OK\r\nX-Attempt-Id: id\r\nX-Response-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Endless answers by the part that does not end. Bodies with a length end, but are as large as it says.
inline EndlessAnswer endlessAnswer(const std::string& part)
{
    const std::string plainHead = "HTTP/1.1 200 OK\r\nX-Attempt-Id: id\r\nX-Response-Seal: s\r\n";
    if (part == "garbage")
        return { "", std::string(4096, 'x') };
    if (part == "zeros")
        return { "", std::string(4096, '\0') };
    if (part == "status line")
        return { "HTTP/1.1 200 ", std::string(4096, 'x') };
    if (part == "head")
        return { plainHead, "X-Field: " + std::string(1000, 'x') + "\r\n" };
    if (part == "body with a length")
        return { plainHead + "Content-Length: 60000000\r\n\r\n", std::string(65536, 'x') };
    if (part == "body with a huge length")
        return { plainHead + "Content-Length: 18446744073709551615\r\n\r\n", std::string(65536, 'x') };
    if (part == "body without a length")
        return { plainHead + "\r\n", std::string(65536, 'x') };
    if (part == "chunks")
        return { chunkedHead, "1000\r\n" + std::string(4096, 'x') + "\r\n" };
    if (part == "one chunk")
        return { chunkedHead + "7fffffffffffffff\r\n", std::string(65536, 'x') };
    if (part == "chunk size")
        return { chunkedHead, std::string(4096, '0') };
    if (part == "chunk extension")
        return { chunkedHead + "1;a=", std::string(4096, 'x') };
    if (part == "chunk extensions")
        return { chunkedHead, "1;a=" + std::string(30000, 'x') + "\r\nx\r\n" };
    if (part == "trailer")
        return { chunkedHead + "0\r\n", "X-Field: " + std::string(1000, 'x') + "\r\n" };
    if (part == "interim answers")
        return { "", "HTTP/1.1 100 Continue\r\n\r\n" };
    if (part == "small fields")
        return { plainHead, "a:\r\n" };
    return { "", "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nContent-Length: 1\r\n\r\nx" };
}

/// All parts of an answer that endlessAnswer() knows.
inline const std::vector<std::string> parts { "garbage", "zeros", "status line", "head", "body with a length",
    "body with a huge length", "body without a length", "chunks", "one chunk", "chunk size",
    "chunk extension", "chunk extensions", "trailer", "interim answers", "small fields",
    "answers to other requests" };

/// Writes an endless answer on the connection of the running request, until the peer closes it or 20 s have
/// passed. Returns whether the peer closed it.
inline bool writeWithoutEnd(const EndlessAnswer& answer)
{
    auto& connection = standin::Server::currentConnection();
    connection.dropped_ = true;
    std::string block;
    while (block.size() < 65536)
        block += answer.repeated_;
    const timeval limit { 20, 0 };
    setsockopt(connection.fd_, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    const TimePoint end = monotonicNow() + std::chrono::seconds(20);
    bool open = send(connection.fd_, answer.begin_.data(), answer.begin_.size(), MSG_NOSIGNAL) >= 0;
    while (open && monotonicNow() < end)
        open = send(connection.fd_, block.data(), block.size(), MSG_NOSIGNAL) > 0;
    return !open;
}

} // namespace turmericwing::gateway::test
