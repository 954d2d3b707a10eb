// Rate limiting on a host: applies the token decisions of limits/grants.h to all workspaces, in shards with a
// lock each, and blocks request threads while tokens are requested from other hosts.
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

/// Rate limit tokens of all workspaces on this host. Thread-safe.
class Tokens {
public:
    /// Callbacks that send a message to a host. Called without locks held. Messages to unreachable hosts are
    /// dropped.
    struct Outbox {
        std::function<void(const std::string& host, const limits::PullRequest&)> pull_;
        std::function<void(const std::string& host, const limits::TokenReturn&)> returnTokens_;
    };

    Tokens(std::string host, uint64_t incarnation, const SharedState&, Outbox);

    /// Applies a new membership view or configuration: acquires, keeps or drops shares.
    void apply(const Snapshot&);

    /// Source of an admitted request's token: pulled from another host, or spent from a share of this host.
    enum class TokenSource { Pulled, MainShare, FloorShare };

    /// Result of take().
    struct TakeResult {
        std::optional<TokenSource> source_; ///< Empty when the request is refused.
        Duration retryAfter_ { 0 }; ///< With a refusal: time until a token may be available.
    };

    /// Takes a token. Waits for one up to 250 ms, but not beyond `deadline`.
    TakeResult take(const std::string& workspace, TimePoint deadline);

    /// Returns the token of a request that was refused without running to its share. A pulled token is
    /// discarded instead, because its holder may already count it as expired.
    void putBack(const std::string& workspace, TokenSource);

    /// Reply to another host's pull. Refuses when this host does not hold the share.
    limits::Grant answer(const limits::PullRequest&);
    /// Adds the tokens of a holder's reply to a pull.
    void acceptGrant(const limits::Grant&);
    /// Another host returns tokens or reports a batch as used up.
    void acceptReturn(const limits::TokenReturn&);

    /// Drops expired tokens and shares and tells holders about used up batches. Called by the control loop.
    void tick();

    /// Returns all pulled tokens to their holders before a graceful stop.
    void returnAll();

private:
    struct Workspace {
        limits::HostTokens pulled_;
        std::map<limits::ShareKind, limits::ShareHolder> heldShares_; ///< Shares that this host holds.
        std::vector<limits::PullTarget>
            pullTargets_; ///< Shares of other holders, the owner's main share first.
        uint64_t epoch_ = 0; ///< Epoch of the view in force.
        uint64_t waitingRequests_ = 0; ///< Number of requests that wait for a token.
    };
    struct Shard {
        std::mutex mutex_;
        std::condition_variable changed_;
        std::map<std::string, Workspace> workspaces_;
    };
    /// A pull that is ready to be sent.
    struct OutgoingPull {
        std::string host_;
        limits::PullRequest request_;
    };

    Shard& shardOf(const std::string& workspace);
    /// Spends a token that this host already has, from its shares first; empty if there is none.
    std::optional<TokenSource> spendLocally(Workspace&, TimePoint now);
    std::vector<OutgoingPull> planPulls(Workspace&, TimePoint now);
    void send(const std::vector<OutgoingPull>&);
    /// Drops expired tokens, and all shares once the read lease has expired.
    void refresh(Workspace&, TimePoint now);
    void clearRemovedWorkspaces(const Snapshot&);

    const std::string host_;
    const uint64_t incarnation_;
    const SharedState& state_;
    const Outbox outbox_;
    const limits::GrantOptions options_;
    std::array<Shard, 16> shards_;
};

} // namespace turmericwing::host
