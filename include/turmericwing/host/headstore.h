// Reads the control head from the platform's table and changes it by conditional writes, each with an audit
// row.
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
    uint64_t version_ = 0; ///< Version of the head that the change produced.
    uint64_t fromRevision_ = 0; ///< Revision of the configuration before the change.
    uint64_t revision_ = 0; ///< Revision after the change.
    WallTime at_; ///< Time of the write by the writer's clock.
    std::string who_; ///< Operator or host that made the change.
    std::string what_; ///< Description of the change.
    std::string nonce_; ///< Identifies the write among those for the same version.
    std::string outcome_; ///< Always "accepted"; a refused change appears only in the host's log.
    friend bool operator==(const AuditEntry&, const AuditEntry&) = default;
};

/// Reads the head. A missing row yields a head with version 0. If `known` is given and the row still has its
/// version, returns a copy of `known` without transferring the row. Errors: Unavailable, Invalid if the row
/// cannot be decoded or its version differs from the head's.
Result<control::Head> readHead(const store::Table&, const control::Head* known = nullptr);

/// Completes an edited head with the version after that of `base`, a nonce, the time, and who changed what.
control::Head nextHead(const control::Head& base, control::Head edited, const std::string& who,
    const std::string& what, Random&);

/// Writes `next`, made by nextHead from `base`, together with its audit row. After a lost response, the nonce
/// in the audit row of that version shows whether this write or another one took effect. Errors: Conflict
/// (the message names the other writer and its change), Unavailable, Unknown if the write may still take
/// effect.
Result<void> writeHead(const store::Table&, const control::Head& base, const control::Head& next);

/// Incarnation of a process that starts now: the wall clock in ms, or one more than the incarnation in the
/// host's entry of the head if that is higher, so that a clock that was set back does not make the new
/// process look older than its predecessor. If the head cannot be read, the clock alone decides.
uint64_t newIncarnation(const store::Table&, const std::string& host, WallTime now);

/// At most `limit` audit entries up to `newestVersion`, newest first; versions without a valid row are
/// skipped. Errors: Unavailable.
Result<std::vector<AuditEntry>> readAudit(const store::Table&, uint64_t newestVersion, size_t limit);

} // namespace turmericwing::host
