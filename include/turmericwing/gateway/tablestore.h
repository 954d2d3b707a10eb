// Interface to the deployment's store: tables of rows that are read in full, followed from a version on, and
// written in conditional transactions. Calls are asynchronous; their handlers are called once, on the event
// loop.
//
// A store that is restored from an older copy gives out versions again that it had used before, so a version
// identifies a state of the store only together with the era: a number that rises with each restore.
#pragma once

#include "turmericwing/base/result.h"
#include "turmericwing/base/time.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace turmericwing::gateway {

struct StoredRow {
    std::string table_;
    std::string key_;
    std::string value_;
    uint64_t version_ = 0; ///< Version of the store at which the row was last written or removed.
    bool removed_ = false; ///< The row was removed; `value_` is empty.
    friend bool operator==(const StoredRow&, const StoredRow&) = default;
};

/// State of the store: all changes up to a version of an era.
struct StorePosition {
    uint64_t era_ = 0; ///< 0: unknown.
    uint64_t version_ = 0;
    friend auto operator<=>(const StorePosition&, const StorePosition&) = default;
};

struct TableRead {
    std::vector<StoredRow> rows_;
    uint64_t version_ = 0; ///< Newest version in the store; version to follow from.
    int64_t storeMs_ = 0; ///< The store's monotonic clock at the time of the answer, in milliseconds.
    uint64_t era_ = 0; ///< Era of version_ and of the rows' versions; 0: unknown.

    StorePosition position() const { return { era_, version_ }; }
};

struct ExpectedRow {
    std::string table_;
    std::string key_;
    uint64_t version_ = 0; ///< 0: the row must be absent.
};

struct Transaction {
    std::vector<ExpectedRow> expected_;
    std::vector<StoredRow> writes_;
    std::vector<ExpectedRow> removals_; ///< Their versions are ignored.
};

/// Errors of all calls: Unavailable when the call had no effect, Unknown when there was no answer, Invalid
/// when the answer is malformed.
struct TableStore {
    template <typename T> using Handler = std::function<void(Result<T>)>;

    /// Returns all rows of a table.
    std::function<void(const std::string& table, Handler<TableRead>)> read_;
    /// Returns the rows that changed after the position as soon as there are any, or none after `wait`.
    /// Errors: NotFound when the store does not have the history since the position, also because it is in
    /// another era.
    std::function<void(const std::string& table, const StorePosition&, Duration wait, Handler<TableRead>)>
        follow_;
    /// Applies all writes and removals atomically. The `version_` of the result is that of the written rows.
    /// Errors: Conflict when a row does not have the expected version.
    std::function<void(const Transaction&, Handler<TableRead>)> transact_;
    /// Closes the connections; running calls fail and the next calls open new connections.
    std::function<void()> reset_;
};

} // namespace turmericwing::gateway
