// The users' store as the gateway calls it: rows in tables, read as a whole, followed from a version on and
// written under conditions. Calls are asynchronous and run their handler on the event loop, once.
#pragma once

#include "turmericwing/base/result.h"
#include "turmericwing/base/time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace turmericwing::gateway {

struct StoredRow {
    std::string table_;
    std::string key_;
    std::string value_;
    uint64_t version_ = 0;
    bool removed_ = false;
    friend bool operator==(const StoredRow&, const StoredRow&) = default;
};

struct TableRead {
    std::vector<StoredRow> rows_;
    uint64_t version_ = 0; ///< Newest version in the store; where to follow from.
    int64_t storeMs_ = 0; ///< The store's steady clock at the answer.
};

struct ExpectedRow {
    std::string table_;
    std::string key_;
    uint64_t version_ = 0; ///< 0: the row must be absent.
};

struct Transaction {
    std::vector<ExpectedRow> expected_;
    std::vector<StoredRow> writes_;
    std::vector<ExpectedRow> removals_; ///< The versions do not count.
};

/// Errors of all calls: Unavailable when nothing was done, Unknown when no answer came, Invalid for an answer
/// that cannot be read.
struct TableStore {
    template <typename T> using Handler = std::function<void(Result<T>)>;

    /// All rows of a table.
    std::function<void(const std::string& table, Handler<TableRead>)> read_;
    /// Rows that changed after `version`, as soon as there is one, or none at the end of the wait. Errors:
    /// NotFound when the store no longer knows that version.
    std::function<void(const std::string& table, uint64_t version, Duration wait, Handler<TableRead>)>
        follow_;
    /// Atomic. Errors: Conflict when an expectation does not hold.
    std::function<void(const Transaction&, Handler<TableRead>)> transact_;
    /// Drops the connections, so that the next calls open new ones.
    std::function<void()> reset_;
};

} // namespace turmericwing::gateway
