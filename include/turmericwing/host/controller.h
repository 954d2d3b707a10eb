// The control loop of a host: reads the head, keeps the read lease, prepares and activates configurations,
// and changes the head on behalf of operators and of the host itself.
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

/// What operators see of a host.
struct ControlStatus {
    control::Head known_; ///< Newest head that this host has learned.
    uint64_t activeRevision_ = 0;
    std::string activeDigest_;
    bool leaseValid_ = false;
    int64_t leaseRemainingMs_ = 0;
    bool storeContact_ = false;
    bool member_ = false;
};

struct PublishOutcome {
    uint64_t revision_ = 0;
    std::vector<model::Fault> faults_; ///< Not empty: nothing was published.
};

/// Changes a copy of the head. Errors end the change.
using HeadEdit = std::function<Result<void>(control::Head&)>;

struct ControllerOptions {
    control::Member self_;
    store::Platform platform_;
    std::function<void(const Snapshot&)> onSnapshot_; ///< Called after the shared snapshot was replaced.
    std::function<void()> onLeave_; ///< This process was replaced by another one, or told to leave.
    std::function<void(const control::Head&)> onHead_; ///< A newer head was learned; called under a lock.
    /// Sends a request to another host; `done` is called exactly once, on another thread.
    std::function<void(const std::string& host, peer::Message, Duration timeout,
        std::function<void(Result<peer::Message>)> done)>
        request_;
};

class Controller {
public:
    Controller(ControllerOptions, SharedState&, Executor&);
    ~Controller();

    void start();
    void stop();

    /// Checks and publishes a set. Errors: Conflict with who won and what changed, Unavailable, Unknown.
    Result<PublishOutcome> publish(const std::string& who, uint64_t expectedRevision, const std::string& text,
        const std::string& message);

    /// Edits the configuration in force and publishes the result.
    Result<PublishOutcome> editConfiguration(const std::string& who, const std::string& what,
        const std::function<Result<void>(model::ObjectSet&)>& edit);

    /// Changes the head; a lost race against another change is retried with the newer head.
    Result<control::Head> changeHead(const std::string& who, const std::string& what, const HeadEdit&);

    ControlStatus status() const;

    /// CPU time of the control threads since the start.
    double cpuSeconds() const;

    /// Text of the newest prepared configuration with its revision.
    std::pair<uint64_t, std::string> configuration() const;

    /// Answers a request of another host about the head or a configuration; empty for other requests.
    std::optional<peer::Message> answer(const peer::Message&);

    /// Proposes the removal of failed hosts from the view, unless another live member is to do so.
    void removeFailed(const std::vector<std::string>& failed, const std::set<std::string>& heard);

    /// An operator states that a region is lost: fenced, so that its hosts need not be heard. Errors:
    /// NotFound.
    Result<void> declareLost(const std::string& region);

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace turmericwing::host
