// UDP socket for reports between hosts.
#pragma once

#include "turmericwing/base/address.h"
#include "turmericwing/base/result.h"

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <string>

namespace turmericwing::gateway::detail {

class PeerSocket {
public:
    using Handler = std::function<void(const std::string& bytes)>;

    PeerSocket(boost::asio::io_context&, Handler);

    /// Binds the address and starts to receive; the handler is called for each datagram. Errors: Unavailable
    /// if the address cannot be bound.
    Result<void> open(const Address&);

    /// Sends a datagram, unreliably: errors are ignored.
    void send(const Address&, const std::string& bytes);

private:
    void waitReadable();
    void readDatagrams();

    boost::asio::ip::udp::socket socket_;
    Handler handler_;
};

} // namespace turmericwing::gateway::detail
