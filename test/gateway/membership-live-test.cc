// End-to-end test of a gateway that hears none of the registered hosts. Guards against a host that is cut off
// and takes all others for gone.
#include "live.h"

#include <doctest/doctest.h>

using namespace turmericwing;
using namespace turmericwing::gateway;
using namespace turmericwing::gateway::test;

namespace {

/// Another host's address, which receives reports and never answers.
class SilentHost {
public:
    explicit SilentHost(uint16_t port)
        : fd_(socket(AF_INET, SOCK_DGRAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(port);
        REQUIRE(bind(fd_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
    }
    ~SilentHost() { close(fd_); }
    SilentHost(const SilentHost&) = delete;
    SilentHost& operator=(const SilentHost&) = delete;

    /// Discards what has arrived. Returns whether there was any.
    bool receiveAll() const
    {
        char buffer[64];
        bool any = false;
        while (recv(fd_, buffer, sizeof(buffer), MSG_DONTWAIT) >= 0)
            any = true;
        return any;
    }

private:
    const int fd_;
};

} // namespace

TEST_CASE("a host that hears no other one leaves their rows in the store, and tries to reach them again")
{
    // After 12 s it removed the rows of all others. Hosts that forgot each other during a longer cut never
    // reported to each other again, and hosts that started later did not find them.
    Fixture fixture;
    const uint16_t port = freePort();
    const SilentHost peer(port);
    fixture.store_.put("hosts", "h0", "127.0.0.1:" + std::to_string(port) + " a a1");
    fixture.start();
    REQUIRE(eventually([&] { return fixture.isReady() && peer.receiveAll(); }));
    const auto isForgotten = [&] {
        peer.receiveAll();
        std::this_thread::sleep_for(std::chrono::seconds(1));
        return !peer.receiveAll();
    };
    REQUIRE(eventually(isForgotten));
    CHECK(fixture.store_.get("hosts", "h0").has_value());
    CHECK(eventually([&] { return peer.receiveAll(); }));
    CHECK(fixture.store_.get("hosts", "h0").has_value());
}
