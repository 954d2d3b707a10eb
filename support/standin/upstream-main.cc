// standin-upstream: serves --count upstreams on consecutive ports. The versions in --versions are assigned
// round-robin, so that one process can serve several versions.
#include "upstream.h"

#include <gflags/gflags.h>

#include <csignal>
#include <iostream>
#include <sstream>

DEFINE_string(ip, "127.0.0.1", "Address to listen on");
DEFINE_int32(port, 8000, "First port");
DEFINE_int32(count, 1, "Number of upstreams");
DEFINE_string(name, "upstream", "Names are <name>-<port>");
DEFINE_string(versions, "v1", "Versions, separated by commas; upstream i has number i modulo their count");
DEFINE_uint32(slots, 3, "Concurrent requests that an upstream executes");
DEFINE_uint32(connections, 0, "Connections that an upstream accepts; 0 means no limit");
DEFINE_double(serviceMs, 5, "Service time in milliseconds");
DEFINE_double(errorShare, 0, "Share of requests that get a 500 response");
DEFINE_uint64(bodyBytes, 0, "Padding of response bodies in bytes");
DEFINE_uint32(coldRequests, 0, "Number of first requests that are slow");
DEFINE_double(coldFactor, 1, "Factor on the service time of the first requests");
DEFINE_uint64(seed, 1, "Seed; upstream i uses seed + i");

int main(int argc, char** argv)
{
    using namespace turmericwing;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    std::vector<std::string> versions;
    std::istringstream list(FLAGS_versions);
    for (std::string version; std::getline(list, version, ',');)
        versions.push_back(version);
    if (versions.empty())
        versions.emplace_back();
    standin::UpstreamGroup group;
    for (int i = 0; i < FLAGS_count; ++i) {
        const int port = FLAGS_port + i;
        const standin::UpstreamOptions options { .name_ = FLAGS_name + "-" + std::to_string(port),
            .version_ = versions[static_cast<size_t>(i) % versions.size()],
            .slots_ = FLAGS_slots,
            .connections_ = FLAGS_connections,
            .serviceTime_ = std::chrono::microseconds(static_cast<int64_t>(FLAGS_serviceMs * 1000)),
            .errorShare_ = FLAGS_errorShare,
            .bodyBytes_ = FLAGS_bodyBytes,
            .coldRequests_ = FLAGS_coldRequests,
            .coldFactor_ = FLAGS_coldFactor,
            .seed_ = FLAGS_seed + static_cast<uint64_t>(i) };
        if (group.add(options, FLAGS_ip, port) == 0) {
            std::cerr << "standin-upstream: cannot listen on " << FLAGS_ip << ':' << port << '\n';
            return 1;
        }
    }
    std::cout << "standin-upstream: ready, " << FLAGS_count << " upstreams from " << FLAGS_ip << ':'
              << FLAGS_port << std::endl;
    int signal = 0;
    sigwait(&signals, &signal);
    return 0;
}
