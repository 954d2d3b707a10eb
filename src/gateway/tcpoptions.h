// TCP options that detect broken connections, and a look at what a connection has received.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>

namespace turmericwing::gateway::detail {

/// A connection fails when sent bytes are not acknowledged for this long (TCP_USER_TIMEOUT).
constexpr int unacknowledgedTimeoutMs = 1200;

/// Keep-alive probes start after one second without traffic; two unanswered ones close the connection.
constexpr int keepAliveIdleSeconds = 1;
constexpr int keepAliveProbes = 2;

/// Sets TCP_NODELAY and the options above. Options that the system lacks are skipped.
void setTcpOptions(boost::asio::ip::tcp::socket&);

/// Makes the next close() reset the connection and discard what was not sent yet.
void resetOnClose(boost::asio::ip::tcp::socket&);

/// Limits the bytes that the system receives on a connection before this process reads them. Connections that
/// are accepted from a listening socket inherit its limit.
void setReceiveWindow(int socket, size_t bytes);

/// Limits the bytes that the system keeps for a connection and has not sent. Accepted connections inherit it.
void setUnsentLimit(int socket, size_t bytes);

/// Whether the other side has closed or reset the connection, also while there are bytes to read before that.
bool hasPeerClosed(int socket);

enum class PeekResult {
    Nothing, ///< The connection is open and has no bytes to read.
    Bytes, ///< There are bytes to read; the connection may have ended after them.
    Ended, ///< The other side has closed or reset the connection.
};

/// Tells what has been received, without reading it and without waiting.
PeekResult peekSocket(boost::asio::ip::tcp::socket&);

} // namespace turmericwing::gateway::detail
