// TCP options of the gateway's outgoing connections, and a look at received bytes.
#include "tcpoptions.h"

#include <cerrno>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

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

void resetOnClose(boost::asio::ip::tcp::socket& socket)
{
    boost::system::error_code ignored; // A socket that is not open has nothing to discard.
    socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
}

void setReceiveWindow(int socket, size_t bytes)
{
    // With a buffer of this size, Linux does not raise the window by itself. The clamp is set when the
    // connection is set up, and has to be raised as well.
    setOption(socket, SOL_SOCKET, SO_RCVBUF, static_cast<int>(bytes));
    setOption(socket, IPPROTO_TCP, TCP_WINDOW_CLAMP, static_cast<int>(bytes));
}

void setUnsentLimit(int socket, size_t bytes)
{
    setOption(socket, IPPROTO_TCP, TCP_NOTSENT_LOWAT, static_cast<int>(bytes));
}

bool hasPeerClosed(int socket)
{
    pollfd state { socket, POLLRDHUP, 0 };
    return ::poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

PeekResult peekSocket(boost::asio::ip::tcp::socket& socket)
{
    char byte = 0;
    const ssize_t peeked = ::recv(socket.native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
    if (peeked > 0)
        return PeekResult::Bytes;
    const bool nothing = peeked < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
    return nothing ? PeekResult::Nothing : PeekResult::Ended;
}

} // namespace turmericwing::gateway::detail
