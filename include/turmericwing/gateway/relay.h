// Reads the store through another host of the region.
//
// In a large fleet, a few hosts of each region (the relays) follow the store and the others follow a relay.
// Relays use the store's eras and versions, so a follower can switch to another relay or to the store at any
// call. A relay answers no more followers at a time than its link carries at once; the others read the store.
// It answers only while the last answer it received from the store is recent, which bounds how stale its
// followers become. A follower does not go back to an earlier era: it reads the store directly while its
// relay has not noticed yet that the store was restored.
#pragma once

#include "turmericwing/gateway/fleet.h"
#include "turmericwing/gateway/listener.h"
#include "turmericwing/gateway/tablestore.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace turmericwing::gateway {

struct RelayOptions {
    size_t minHosts_ = 24; ///< Number of registered hosts, including this one, from which relays are used.
    size_t relaysPerRegion_ = 2;
    /// Longest time since the store last answered a relay during which the relay serves followers.
    Duration maxStoreAge_ = std::chrono::milliseconds(1600);
    Duration relayWait_ = std::chrono::seconds(1); ///< Longest wait of a relay's follow call to the store.
    Duration followerWait_ = std::chrono::seconds(2); ///< Longest wait of a follow call to a relay.
    Duration avoidDuration_ = std::chrono::seconds(2); ///< Time without calls to relays after one failed.
    /// Bytes of answers that a relay may have passed to its connections and that are not yet sent. A small
    /// host that relays a large table to all followers would be unreachable for seconds.
    uint64_t maxOutgoingBytes_ = uint64_t { 4 } << 20;
};

/// Names of the relays of this host's region, the same on all hosts with the same view of the fleet. Empty in
/// a fleet of fewer than `minHosts_`. `ownHostEligible`: this host reaches the store and is not
/// draining.
std::vector<std::string> regionRelays(
    const RelayOptions&, const Fleet&, TimePoint now, const std::string& ownRegion, bool ownHostEligible);

/// Copy of one followed table; removed rows stay in it, marked as removed.
struct TableCopy {
    std::map<std::string, StoredRow> rows_; ///< By key.
    uint64_t version_ = 0;
    uint64_t historyFrom_ = 0; ///< Oldest version from which changes can be listed.
    int64_t storeMs_ = 0; ///< The store's monotonic clock at its last answer, in milliseconds.
    uint64_t era_ = 0; ///< Of all versions in the copy.
};

/// Replaces the copy by a full read; the history of earlier changes is lost.
void replaceCopy(TableCopy&, const TableRead&);

/// Adds changed and removed rows to the copy.
void applyChanges(TableCopy&, const TableRead&);

/// Returns the rows that changed after the position, in the order of their versions. Errors: NotFound when
/// the position is older than the copy's history or of an earlier era, or the copy is empty. Unavailable when
/// the position is of a later era than the copy.
Result<TableRead> changesSince(const TableCopy&, const StorePosition&);

/// Returns all rows that are not removed.
TableRead tableSnapshot(const TableCopy&);

/// Encodes the body of a relay's answer as CBOR.
std::string encodeTableRead(const TableRead&);

/// Bytes that the rows take in the encoded answer, at most.
uint64_t encodedSize(const TableRead&);

/// Decodes the body of a relay's answer. Errors: Invalid.
Result<TableRead> decodeTableRead(const std::string& bytes);

/// Serves this host's copies of tables to followers.
class RelayServer {
public:
    /// `isFresh` returns whether the copies are recent enough to be served now.
    RelayServer(RelayOptions, std::function<bool()> isFresh);

    /// Called after a full read of a table.
    void onReplaced(const std::string& table, const TableRead&);
    /// Called after a follow call has returned changes.
    void onChanged(const std::string& table, const TableRead&);

    /// Answers a read or follow call. A follow call without new changes stays pending until there are some,
    /// at most `followerWait_`. Responds with 404 to other targets, 410 when the position is too old, 503
    /// when the copy is stale, missing or of an earlier era than the position, and 429 when the answer would
    /// exceed `maxOutgoingBytes_`.
    void handle(const Request&, const std::shared_ptr<Exchange>&);

    /// Answers pending calls whose wait has ended, and all of them with 503 when the copies are stale.
    void expirePending(TimePoint now);

private:
    struct PendingCall {
        std::string table_;
        StorePosition position_;
        TimePoint deadline_ {};
        std::shared_ptr<Exchange> exchange_;
    };

    void answerPending(const std::string& table);
    void respond(Exchange&, const Result<TableRead>&);

    const RelayOptions options_;
    std::function<bool()> isFresh_;
    std::map<std::string, TableCopy> copies_;
    std::vector<PendingCall> pendingCalls_;
    /// Bytes of answers that are not yet sent. Shared with the answers, which may outlive the server.
    std::shared_ptr<uint64_t> outgoingBytes_ = std::make_shared<uint64_t>(0);
};

/// Where a host reads followed tables.
struct RelayChoice {
    std::optional<Address> relay_; ///< Empty: read the store directly.
    bool isRelay_ = false; ///< This host serves its copies to followers.
    friend bool operator==(const RelayChoice&, const RelayChoice&) = default;
};

/// Returns the relay to follow. Followers are spread over their region's relays by a hash of their names.
RelayChoice chooseRelay(
    const RelayOptions&, const Fleet&, TimePoint now, const std::string& ownRegion, bool ownHostEligible);

/// Returns a store that reads and follows through the relay that `choice` returns, or through `direct` when
/// there is none, it fails or has too much to send. Its reset_ aborts calls to a relay, which are then
/// repeated on `direct`. Follow calls through a relay wait up to `followerWait_`, whatever their `wait` is.
TableStore makeRelayedStore(
    boost::asio::io_context&, const TableStore& direct, RelayOptions, std::function<RelayChoice()> choice);

} // namespace turmericwing::gateway
