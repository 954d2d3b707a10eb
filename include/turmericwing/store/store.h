// Interface to the platform's services: a transactional table, an object store and a host list. Each service
// is a struct of function objects, so that tests and stand-ins can supply their own implementation.
#pragma once

#include "turmericwing/base/result.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace turmericwing::store {

/// A table row. The version of a key starts at 1 and increases by 1 with each write.
struct Row {
    std::string key_;
    std::string value_;
    uint64_t version_ = 0;
    friend auto operator<=>(const Row&, const Row&) = default;
};

/// A write that takes effect only if the row's version is expectedVersion_; 0 requires that the row is
/// absent.
struct ConditionalWrite {
    std::string key_;
    std::string value_;
    uint64_t expectedVersion_ = 0;
    friend auto operator<=>(const ConditionalWrite&, const ConditionalWrite&) = default;
};

/// Result of one conditional write. If it was not applied, current_ is the row in the table; empty if the row
/// is absent.
struct WriteOutcome {
    bool applied_ = false;
    std::optional<Row> current_;
    friend bool operator==(const WriteOutcome&, const WriteOutcome&) = default;
};

/// Versioned key-value table. Errors: Unavailable if the call had no effect, Unknown if a write may have
/// taken effect.
struct Table {
    /// The row, or empty if the key is absent.
    std::function<Result<std::optional<Row>>(const std::string& key)> get_;
    /// The first `limit` rows whose keys start with `prefix`, in key order.
    std::function<Result<std::vector<Row>>(const std::string& prefix, size_t limit)> scan_;
    /// Sends several independent writes in one request. Returns one outcome per write, in the same order.
    std::function<Result<std::vector<WriteOutcome>>(const std::vector<ConditionalWrite>&)> writeBatch_;
    /// Applies all writes or none. applied_ has the same value in all outcomes.
    std::function<Result<std::vector<WriteOutcome>>(const std::vector<ConditionalWrite>&)> transact_;
    /// Like get_, but value_ may be empty if the row's version is `knownVersion`. Optional; call it through
    /// getIfChanged().
    std::function<Result<std::optional<Row>>(const std::string& key, uint64_t knownVersion)> getIfChanged_ {};
};

/// Immutable blobs, named by their SHA-256 digest in hexadecimal. put_ returns the digest and is idempotent.
/// get_ fails with NotFound if the object is absent.
struct ObjectStore {
    std::function<Result<std::string>(const std::string& bytes)> put_;
    std::function<Result<std::string>(const std::string& digest)> get_;
};

/// State of a host in the host list.
enum class HostState { Live, Leaving };

/// A host or upstream machine in the host list.
struct HostEntry {
    std::string name_;
    std::string address_; ///< "ip:port"
    HostState state_ = HostState::Live;
    friend auto operator<=>(const HostEntry&, const HostEntry&) = default;
};

/// The platform's list of hosts and upstream machines. The list may be out of date.
struct HostList {
    std::function<Result<std::vector<HostEntry>>()> list_;
};

/// The services of one platform.
struct Platform {
    Table table_;
    ObjectStore objects_;
    HostList hosts_;
};

/// Conditional write that resolves an unknown outcome: if the response is lost, it reads the row back and
/// compares values to distinguish its own write from another writer's. value_ must therefore contain a nonce.
/// Returns the written row. Errors: Conflict if another writer changed the row, Unavailable if nothing was
/// written, Unknown if the write may have taken effect.
Result<Row> writeOnce(const Table&, const ConditionalWrite&);

/// Reads a row of which the caller already has `knownVersion`: value_ may be empty if the row still has that
/// version. This avoids sending a head of 810 members 2.5 times per second to each reader.
Result<std::optional<Row>> getIfChanged(const Table&, const std::string& key, uint64_t knownVersion);

} // namespace turmericwing::store
