// TCP options of the gateway's outgoing connections.
#include "tcpoptions.h"

#include <netinet/tcp.h>

namespace turmericwing::gateway::detail {

void setOption(int socket, int level, int name, int value)
{
    // Without an option, broken connections are only detected later.
    static_cast<void>(::setsockopt(socket, level, name, &value, sizeof(value)));
}

void setTcpOptions(boost::asio::ip::tcp::socket& socket)
{
    const int handle = socket.native_handle();
    setOption(handle, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledgedTimeoutMs);
    setOption(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(handle, IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleSeconds);
    setOption(handle, IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIdleSeconds);
    setOption(handle, IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
}

} // namespace turmericwing::gateway::detail
