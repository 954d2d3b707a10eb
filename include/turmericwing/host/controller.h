// Control loop of a host: reads the control head, maintains the read lease, prepares and activates
// configurations, and writes head changes on behalf of operators and of the host itself.
#pragma once

#include "turmericwing/control/config.h"
#include "turmericwing/control/evidence.h"
#include "turmericwing/control/lease.h"
#include "turmericwing/host/executor.h"
#include "turmericwing/host/headstore.h"
#include "turmericwing/host/snapshot.h"
#include "turmericwing/model/parse.h"
#include "turmericwing/peer/message.h"
#include "turmericwing/store/store.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace turmericwing::host {

/// Control state of a host as the operator port reports it.
struct ControlStatus {
    control::Head newestHead_; ///< Newest head that this host has learned.
    uint64_t activeRevision_ = 0; ///< Revision of the configuration in force; 0 before the first one.
    std::string activeDigest_; ///< SHA-256 of that configuration.
    bool leaseValid_ = false;
    int64_t leaseRemainingMs_ = 0; ///< 0 when the read lease has expired.
    bool storeContact_ = false; ///< A read of the head succeeded within the last second.
    bool member_ = false; ///< The newest head lists this incarnation of the host.
};

/// Result of a publication that reached the check of the object set.
struct PublishOutcome {
    uint64_t revision_ = 0; ///< New revision; 0 if the set has faults.
    std::vector<model::Fault> faults_; ///< If not empty, nothing was published.
};

/// Edits a copy of the head; may run again on a newer head. An error aborts the change.
using HeadEdit = std::function<Result<void>(control::Head&)>;

/// Identity, platform and callbacks of a controller.
struct ControllerOptions {
    control::Member self_;
    store::Platform platform_;
    std::function<void(const Snapshot&)> onSnapshot_; ///< Called after the shared snapshot was replaced.
    /// Called when another process has joined under this host's name, or when the head marks this host as
    /// leaving.
    std::function<void()> onLeave_;
    /// Called with each newer head, while the controller's lock is held.
    std::function<void(const control::Head&)> onHead_;
    /// Sends a request to another host; calls `done` exactly once, on another thread.
    std::function<void(const std::string& host, peer::Message, Duration timeout,
        std::function<void(Result<peer::Message>)> done)>
        request_;
};

/// Runs the control loop on its own threads. The shared state and the executor must outlive it.
class Controller {
public:
    Controller(ControllerOptions, SharedState&, Executor&);
    ~Controller();

    void start();
    void stop();

    /// Checks and publishes an object set. Faults of the set are part of the result. Errors: Conflict if the
    /// head does not have `expectedRevision` (the message names the author and the text of the last change)
    /// or another writer wins every retry, Unavailable, Unknown if the outcome of the write is not known.
    Result<PublishOutcome> publish(const std::string& who, uint64_t expectedRevision, const std::string& text,
        const std::string& message);

    /// Applies `edit` to the newest published configuration and publishes the result. Runs `edit` again if
    /// another change was published meanwhile. Errors: NotFound before the first publication, those of `edit`
    /// and of publish.
    Result<PublishOutcome> editConfiguration(const std::string& who, const std::string& what,
        const std::function<Result<void>(model::ObjectSet&)>& edit);

    /// Changes the head and returns the new one. A conflict with another writer is retried on the newer head.
    /// Errors: those of the edit, Conflict after the last retry, Unavailable, Unknown if the outcome of the
    /// write is not known or too few hosts have confirmed it.
    Result<control::Head> changeHead(const std::string& who, const std::string& what, const HeadEdit&);

    ControlStatus status() const;

    /// CPU time of the control threads since the start, in seconds.
    double cpuSeconds() const;

    /// Revision and canonical text of the newest known configuration; the text is empty until it is prepared.
    std::pair<uint64_t, std::string> configuration() const;

    /// Answers a request of another host about the head, a candidate or a configuration; nullopt for other
    /// requests.
    std::optional<peer::Message> answer(const peer::Message&);

    /// Removes failed hosts from the view, if this host is the first listed member that is neither failed nor
    /// silent. `heard` are the hosts with a recent heartbeat.
    void removeFailed(const std::vector<std::string>& failed, const std::set<std::string>& heard);

    /// Records an operator's statement that a region is lost and fenced, so that lease extensions and head
    /// changes do not wait for its hosts. Errors: NotFound if the view lists no host of the region.
    Result<void> declareLost(const std::string& region);

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace turmericwing::host
