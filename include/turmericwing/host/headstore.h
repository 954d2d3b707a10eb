// Reads and conditional changes of the control head in the platform's table, with an audit row for each
// change.
#pragma once

#include "turmericwing/base/random.h"
#include "turmericwing/control/head.h"
#include "turmericwing/store/store.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace turmericwing::host {

/// One entry of the audit trail.
struct AuditEntry {
    uint64_t version_ = 0; ///< Of the head that the change produced.
    uint64_t fromRevision_ = 0;
    uint64_t revision_ = 0;
    WallTime at_;
    std::string who_;
    std::string what_;
    std::string nonce_;
    std::string outcome_; ///< "accepted"; a refused change leaves an entry only in the host's log.
    friend bool operator==(const AuditEntry&, const AuditEntry&) = default;
};

/// Reads the head; an absent row is a head with version 0. A caller that passes the head that it knows gets a
/// copy of it when the row has that version, and the row is not transferred. Errors: Unavailable, Invalid.
Result<control::Head> readHead(const store::Table&, const control::Head* known = nullptr);

/// Completes an edited head: version, nonce, time, who and what.
control::Head nextHead(const control::Head& base, control::Head edited, const std::string& who,
    const std::string& what, Random&);

/// Writes `next`, which nextHead made from the version before it, together with its audit row. A lost
/// response is told apart from a lost race by the audit row of that version, which holds the nonce of its
/// writer. Errors: Conflict (who won and what it changed), Unavailable, Unknown (in doubt).
Result<void> writeHead(const store::Table&, const control::Head& base, const control::Head& next);

/// Incarnation of a process that starts now: the wall clock in ms, but above that of the host's entry in the
/// head, so that a clock that was set back does not make the new process look older than the one before it.
uint64_t newIncarnation(const store::Table&, const std::string& host, WallTime now);

/// The newest entries, newest first. Errors: Unavailable.
Result<std::vector<AuditEntry>> readAudit(const store::Table&, uint64_t newestVersion, size_t limit);

} // namespace turmericwing::host
