// standin-platform: serves the in-memory platform over HTTP. With --ports above 1, every port serves the same
// table. Faults posted to a port apply to that port only, so that single hosts can be partitioned.
#include "platform-server.h"

#include <gflags/gflags.h>

#include <csignal>
#include <iostream>

DEFINE_string(ip, "127.0.0.1", "Address to listen on");
DEFINE_int32(port, 7000, "First port");
DEFINE_int32(ports, 1, "Number of ports");
DEFINE_uint64(seed, 1, "Seed of the injected faults");

int main(int argc, char** argv)
{
    using namespace turmericwing;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    store::MemoryPlatform memory({ .seed_ = FLAGS_seed });
    std::vector<std::unique_ptr<standin::PlatformServer>> servers;
    for (int i = 0; i < FLAGS_ports; ++i) {
        const int port = FLAGS_port + i;
        servers.push_back(std::make_unique<standin::PlatformServer>(memory, "port-" + std::to_string(port)));
        if (servers.back()->start(FLAGS_ip, port) == 0) {
            std::cerr << "standin-platform: cannot listen on " << FLAGS_ip << ':' << port << '\n';
            return 1;
        }
    }
    std::cout << "standin-platform: ready on " << FLAGS_ip << ':' << FLAGS_port << std::endl;
    int signal = 0;
    sigwait(&signals, &signal);
    return 0;
}
