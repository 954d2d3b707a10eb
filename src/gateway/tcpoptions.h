// Socket options that find connections that have gone silent.
#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace turmericwing::gateway::detail {

/// Sent bytes that are not acknowledged for this long break the connection.
constexpr int unacknowledgedLimitMs = 1200;

/// Keep-alive probes start after a second of silence and break the connection after two without an answer.
constexpr int keepAliveIdleSeconds = 1;
constexpr int keepAliveProbes = 2;

void setTcpOptions(boost::asio::ip::tcp::socket&);

} // namespace turmericwing::gateway::detail
