// Reading the store through another host of the region.
//
// In a large fleet a few hosts of each region, the relays, follow the store; the others follow a relay, over
// the same versions, so that they can change to another relay or to the store at any call. A relay answers
// only while its own last answer of the store is fresh, so that what its followers know is as current as what
// it knows itself.
#pragma once

#include "turmericwing/gateway/fleet.h"
#include "turmericwing/gateway/listener.h"
#include "turmericwing/gateway/tablestore.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace turmericwing::gateway {

struct RelayOptions {
    size_t leastHosts_ = 24; ///< Registered hosts from which relays are used.
    size_t relaysPerRegion_ = 2;
    /// Age of a relay's last answer of the store up to which it serves others.
    Duration freshness_ = std::chrono::milliseconds(1600);
    Duration relayWait_ = std::chrono::seconds(1); ///< Longest follow call of a relay to the store.
    Duration followerWait_ = std::chrono::seconds(2); ///< Longest follow call of a follower to its relay.
    Duration avoided_ = std::chrono::seconds(2); ///< A relay that failed is not asked for this long.
};

/// Hosts of this host's region that follow the store for the others, by name; empty in a small fleet.
std::vector<std::string> regionRelays(
    const RelayOptions&, const Fleet&, TimePoint now, const std::string& ownRegion, bool ownUsable);

/// Rows of one followed table with their versions, also of rows that are gone.
struct TableCopy {
    std::map<std::string, StoredRow> rows_; ///< By key.
    uint64_t version_ = 0;
    uint64_t historyFrom_ = 0; ///< Changes before this version are not known one by one.
    int64_t storeMs_ = 0;
};

void replaceCopy(TableCopy&, const TableRead&);
void changeCopy(TableCopy&, const TableRead&);

/// Rows that changed after `version`. Errors: NotFound when the copy does not reach back so far.
Result<TableRead> changesAfter(const TableCopy&, uint64_t version);

/// All rows that are not gone.
TableRead wholeTable(const TableCopy&);

/// CBOR form of what a relay answers.
std::string encodeTableRead(const TableRead&);

/// Errors: Invalid.
Result<TableRead> decodeTableRead(const std::string& bytes);

/// Answers followers from this host's copies.
class RelayServer {
public:
    /// `isFresh` tells whether the copies may be served now.
    RelayServer(RelayOptions, std::function<bool()> isFresh);

    void replaced(const std::string& table, const TableRead&);
    void changed(const std::string& table, const TableRead&);

    void handle(const Request&, const std::shared_ptr<Exchange>&);

    /// Answers calls whose wait is over, and refuses all when the copies are no longer fresh.
    void expire(TimePoint now);

private:
    struct Waiting {
        std::string table_;
        uint64_t version_ = 0;
        TimePoint until_ {};
        std::shared_ptr<Exchange> exchange_;
    };

    void answerWaiting(const std::string& table);

    const RelayOptions options_;
    std::function<bool()> isFresh_;
    std::map<std::string, TableCopy> copies_;
    std::vector<Waiting> waiting_;
};

/// Where a host reads the store.
struct RelayChoice {
    std::optional<Address> relay_; ///< Empty: at the store itself.
    bool isRelay_ = false; ///< Others read it from this host.
    friend bool operator==(const RelayChoice&, const RelayChoice&) = default;
};

/// A follower takes one of its region's relays; different followers take different ones.
RelayChoice chooseRelay(
    const RelayOptions&, const Fleet&, TimePoint now, const std::string& ownRegion, bool ownUsable);

/// A store whose reads go where `choice` says, and to `direct` when a relay fails. Its reset_ breaks off
/// calls to a relay, which then go to `direct`.
TableStore makeRelayedStore(
    boost::asio::io_context&, const TableStore& direct, RelayOptions, std::function<RelayChoice()> choice);

} // namespace turmericwing::gateway
