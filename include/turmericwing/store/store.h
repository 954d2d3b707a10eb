// The platform's services as the hosts see them: a transactional table, an object store and a host list.
// Each is a struct of function objects, so that tests and stand-ins can supply their own.
#pragma once

#include "turmericwing/base/result.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace turmericwing::store {

/// A table row. Versions of one key rise by 1 with each write and start at 1.
struct Row {
    std::string key_;
    std::string value_;
    uint64_t version_ = 0;
    friend auto operator<=>(const Row&, const Row&) = default;
};

/// A write that takes effect only if the row has `expectedVersion_`; 0 means that the row must be absent.
struct ConditionalWrite {
    std::string key_;
    std::string value_;
    uint64_t expectedVersion_ = 0;
    friend auto operator<=>(const ConditionalWrite&, const ConditionalWrite&) = default;
};

/// Result of one write of a batch. On a lost race, `current_` is the row that stands in the table.
struct WriteOutcome {
    bool applied_ = false;
    std::optional<Row> current_;
    friend bool operator==(const WriteOutcome&, const WriteOutcome&) = default;
};

/// Errors: Unavailable when nothing was sent, Unknown when the write may have taken effect.
struct Table {
    std::function<Result<std::optional<Row>>(const std::string& key)> get_;
    /// Rows whose key starts with the prefix, in key order, at most `limit`.
    std::function<Result<std::vector<Row>>(const std::string& prefix, size_t limit)> scan_;
    /// Each write stands for itself; one request, one outcome for each write.
    std::function<Result<std::vector<WriteOutcome>>(const std::vector<ConditionalWrite>&)> writeBatch_;
    /// All writes or none. applied_ has the same value in every outcome.
    std::function<Result<std::vector<WriteOutcome>>(const std::vector<ConditionalWrite>&)> transact_;
    /// As get_, but the value may be left empty if the row has `knownVersion`. May be absent; see getUnless.
    std::function<Result<std::optional<Row>>(const std::string& key, uint64_t knownVersion)> getUnless_ {};
};

/// Immutable blobs, named by their SHA-256 digest in hexadecimal. A put may be repeated.
struct ObjectStore {
    std::function<Result<std::string>(const std::string& bytes)> put_;
    std::function<Result<std::string>(const std::string& digest)> get_;
};

enum class HostState { Live, Leaving };

struct HostEntry {
    std::string name_;
    std::string address_;
    HostState state_ = HostState::Live;
    friend auto operator<=>(const HostEntry&, const HostEntry&) = default;
};

/// The platform's list of hosts and upstream machines. It lags.
struct HostList {
    std::function<Result<std::vector<HostEntry>>()> list_;
};

struct Platform {
    Table table_;
    ObjectStore objects_;
    HostList hosts_;
};

/// A conditional write that tells a lost answer from a lost race: after Unknown it reads the row back and
/// compares values, so `value` must contain a nonce. Errors: Conflict, Unavailable, Unknown.
Result<Row> writeOnce(const Table&, const ConditionalWrite&);

/// A read by a caller that knows the row at `knownVersion`: if that is still its version, value_ may be
/// empty. A head of 810 members is then not sent 2.5 times a second to each reader.
Result<std::optional<Row>> getUnless(const Table&, const std::string& key, uint64_t knownVersion);

} // namespace turmericwing::store
