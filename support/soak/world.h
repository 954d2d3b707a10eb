// The environment of one soak run: gateway processes, the users' store, upstreams and callers.
#pragma once

#include "ledger.h"
#include "proxy.h"
#include "rowstore.h"
#include "server.h"
#include "turmericwing/base/random.h"

#include <atomic>
#include <memory>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace turmericwing::soak {

/// Faults that an upstream applies to the requests that it executes.
struct UpstreamFaults {
    std::atomic<bool> dropResponses_ = false; ///< Closes the connection without a response.
    std::atomic<bool> truncateResponses_ = false; ///< Sends half of a response, then closes the connection.
    std::atomic<bool> slow_ = false; ///< Takes longer to respond.
};

/// A simulated upstream that hosts reach through its own proxy.
struct Upstream {
    std::string id_;
    std::string failureDomain_;
    standin::Server server_;
    std::unique_ptr<Proxy> proxy_;
    UpstreamFaults faults_;
    std::atomic<bool> leaving_ = false; ///< All its answers announce that it leaves.
    std::atomic<TimePoint> pausedUntil_ { TimePoint() }; ///< Until then it refuses and asks for a pause.
    std::atomic<uint32_t> running_ = 0; ///< Requests being executed.
};

/// A gateway process. `pid_` is 0 while the process is not running.
struct HostProcess {
    std::string name_;
    std::string ip_;
    std::string settingsPath_;
    std::string logPath_;
    std::unique_ptr<Proxy> storeProxy_;
    pid_t pid_ = 0;
    TimePoint startedAt_ {};
    bool paused_ = false;
    bool killed_ = false; ///< Killed by the soak and not yet reaped.
    TimePoint stopBy_ {}; ///< Deadline of the graceful stop; zero if none is in progress.
    bool faultInjected_ = false; ///< Another fault was injected since the start or the graceful stop.
};

struct WorldOptions {
    std::string program_; ///< Path of turmericwingd.
    std::string directory_; ///< Directory for settings and logs.
    size_t hosts_ = 5;
    size_t upstreams_ = 6;
    size_t callers_ = 10;
    uint64_t seed_ = 1;
};

/// All servers, processes and records of one soak run.
struct World {
    explicit World(WorldOptions options)
        : options_(std::move(options))
        , random_(options_.seed_)
    {
    }

    const WorldOptions options_;
    Random random_;
    Ledger ledger_;
    standin::RowStore store_;
    int storePort_ = 0;
    std::vector<std::unique_ptr<HostProcess>> hosts_;
    std::vector<std::unique_ptr<Upstream>> upstreams_;
    std::vector<std::thread> callers_;
    std::atomic<bool> stopCallers_ = false;
    uint64_t configVersion_ = 0;
    uint64_t nextUpstream_ = 1;
    std::vector<Violation> violations_; ///< Violations found while the run is in progress.
};

/// Starts the store, upstreams, hosts and callers. Throws std::runtime_error if one cannot be started.
void startWorld(World&, boost::asio::io_context& proxies);

/// Joins the callers and kills all host processes.
void stopWorld(World&);

/// Starts the process of a host. Throws std::runtime_error if the program cannot be started.
void startHost(World&, HostProcess&);
void killHost(World&, HostProcess&);
void pauseHost(World&, HostProcess&, bool paused);
/// Sends SIGHUP as soon as the program has blocked or handles it: before, while it is being loaded, the
/// signal ends any process.
void reloadHost(const HostProcess&);

/// Sends SIGTERM; does nothing if the host was killed or is already stopping.
void stopHostGracefully(World&, HostProcess&);

/// Reaps processes that have ended and restarts them. Records a violation if a host ended without being told
/// to, or if a graceful stop took too long or ended with a status other than 0.
void reapHosts(World&);

/// Starts an upstream under a new id and registers it. Throws std::runtime_error if it cannot listen.
Upstream& addUpstream(World&, boost::asio::io_context& proxies);
/// Writes the record of an upstream with this state to the store.
void registerUpstream(World&, const Upstream&, const char* state);

/// Writes the next version of the configuration. Its rotating key replaces the previous one.
void publishConfiguration(World&);
/// The API key of workspace w1 that is valid only in this configuration version.
std::string rotatingKey(uint64_t version);

/// Sends one request with the key to this host. Returns its HTTP status, or 0 without a response.
int probeHost(World&, const HostProcess&, const std::string& key);
/// Whether the readiness endpoint of the host responds with 200.
bool isReady(const HostProcess&);

} // namespace turmericwing::soak
