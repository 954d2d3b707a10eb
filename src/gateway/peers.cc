// UDP socket for reports between hosts, on Boost.Asio.
#include "peers.h"

#include <boost/asio/io_context.hpp>

namespace turmericwing::gateway::detail {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

namespace {

    constexpr size_t maxDatagramBytes = 65536;
    constexpr int maxDatagramsPerRead = 64; ///< Lets other handlers of the event loop run in between.

    std::array<char, maxDatagramBytes> datagramBuffer;

} // namespace

PeerSocket::PeerSocket(asio::io_context& loop, Handler handler)
    : socket_(loop)
    , handler_(std::move(handler))
{
}

Result<void> PeerSocket::open(const Address& address)
{
    error_code error;
    const udp::endpoint endpoint(asio::ip::make_address(address.ip_, error), address.port_);
    if (!error)
        socket_.open(udp::v4(), error);
    if (!error)
        socket_.bind(endpoint, error);
    if (!error)
        socket_.non_blocking(true, error);
    if (error)
        return makeError(ErrorCode::Unavailable, addressText(address) + ": " + error.message());
    waitReadable();
    return boost::outcome_v2::success();
}

void PeerSocket::send(const Address& address, const std::string& bytes)
{
    error_code error;
    const udp::endpoint endpoint(asio::ip::make_address(address.ip_, error), address.port_);
    if (!error)
        socket_.send_to(asio::buffer(bytes), endpoint, 0, error);
}

void PeerSocket::waitReadable()
{
    socket_.async_wait(udp::socket::wait_read, [this](error_code error) {
        if (error == asio::error::operation_aborted)
            return;
        readDatagrams();
        waitReadable();
    });
}

void PeerSocket::readDatagrams()
{
    for (int i = 0; i < maxDatagramsPerRead; ++i) {
        udp::endpoint sender;
        error_code error;
        const size_t size = socket_.receive_from(asio::buffer(datagramBuffer), sender, 0, error);
        if (error)
            return;
        handler_(std::string(datagramBuffer.data(), size));
    }
}

} // namespace turmericwing::gateway::detail
