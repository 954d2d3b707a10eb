// Rate limiting on a live host: runs the token decisions of limits/grants.h for all workspaces, in shards
// with a lock each, and lets request threads wait for tokens that are on their way.
#pragma once

#include "turmericwing/host/snapshot.h"
#include "turmericwing/limits/grants.h"

#include <array>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace turmericwing::host {

class Tokens {
public:
    /// Sends a message to a host; called without locks held. Unreachable hosts are ignored.
    struct Outbox {
        std::function<void(const std::string& host, const limits::PullRequest&)> pull_;
        std::function<void(const std::string& host, const limits::TokenReturn&)> giveBack_;
    };

    Tokens(std::string host, uint64_t incarnation, const SharedState&, Outbox);

    /// Applies a new view or configuration: acquires, keeps or drops shares.
    void apply(const Snapshot&);

    /// Where the token of an admitted request came from.
    enum class TokenSource { Pulled, MainShare, FloorShare };

    struct Taken {
        std::optional<TokenSource> source_; ///< Empty when the request is refused.
        Duration retryAfter_ { 0 }; ///< With a refusal: time until a token may be there.
    };

    /// Takes a token, waiting for one until `deadline` at most.
    Taken take(const std::string& workspace, TimePoint deadline);

    /// Puts back the token of a request that was refused without running. A pulled token is lost instead,
    /// because its holder may count it as expired already.
    void putBack(const std::string& workspace, TokenSource);

    limits::Grant answer(const limits::PullRequest&);
    void acceptGrant(const limits::Grant&);
    void acceptReturn(const limits::TokenReturn&);

    /// Drops what has expired. Called by the control loop.
    void tick();

    /// Gives back all tokens before a graceful stop.
    void returnAll();

private:
    struct Workspace {
        limits::HostTokens pulled_;
        std::map<limits::ShareKind, limits::ShareHolder> held_; ///< Shares whose holder is this host.
        std::vector<limits::PullTarget> targets_; ///< Other holders, the owner's main share first.
        uint64_t epoch_ = 0;
        uint64_t waiting_ = 0; ///< Requests that wait for a token.
    };
    struct Shard {
        std::mutex mutex_;
        std::condition_variable changed_;
        std::map<std::string, Workspace> workspaces_;
    };
    struct Pull {
        std::string host_;
        limits::PullRequest request_;
    };

    Shard& shardOf(const std::string& workspace);
    std::optional<TokenSource> spend(Workspace&, TimePoint now);
    std::vector<Pull> planPulls(Workspace&, TimePoint now);
    void send(const std::vector<Pull>&);
    void refresh(Workspace&, TimePoint now);
    void dropRemoved(const Snapshot&);

    const std::string host_;
    const uint64_t incarnation_;
    const SharedState& state_;
    const Outbox outbox_;
    const limits::GrantOptions options_;
    std::array<Shard, 16> shards_;
};

} // namespace turmericwing::host
