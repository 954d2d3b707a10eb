// At-most-once execution of requests with an Idempotency-Key: a host claims each request in the platform's
// table. One thread groups the writes of all requests into batches.
#pragma once

#include "turmericwing/base/time.h"
#include "turmericwing/host/problem.h"
#include "turmericwing/store/store.h"

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace turmericwing::host {

/// The stored response of a request, which is sent again when the caller repeats the request.
struct StoredResponse {
    int status_ = 0;
    std::string contentType_;
    std::string body_;
    bool tooLarge_ = false; ///< The body was too large to store.
};

/// Identifies a claimed request.
struct ClaimKey {
    std::string workspace_;
    std::string idempotencyKey_;
    std::string fingerprint_; ///< Of the request; a key with another fingerprint is a conflict.
};

enum class ClaimAction {
    Run, ///< This host holds the claim and must end it with complete(), release() or markUnknown().
    Replay, ///< Answer with the stored response.
    Refuse, ///< See reason_.
};

/// Result of ClaimStore::begin().
struct ClaimDecision {
    ClaimAction action_ = ClaimAction::Refuse;
    Reason reason_ = Reason::StoreUnavailable; ///< With Refuse.
    StoredResponse response_; ///< With Replay.
    std::string token_; ///< With Run; identifies the claim when it ends.
};

struct ClaimState;

/// Claims of this host. Thread-safe.
class ClaimStore {
public:
    ClaimStore(std::string host, uint64_t incarnation, store::Table, const class SharedState&);
    ~ClaimStore();

    /// Claims a request; call before its first byte is sent to an upstream. Blocks until the claim is
    /// decided; a write that has not succeeded by `deadline` is abandoned.
    ClaimDecision begin(const ClaimKey&, TimePoint deadline);

    /// Stores the response for repeated requests. Does not wait for the write. If the write is lost, the
    /// outcome counts as unknown.
    void complete(const ClaimKey&, const std::string& token, const StoredResponse&);

    /// Releases the claim of a request that has provably not run. Does not wait for the write.
    void release(const ClaimKey&, const std::string& token);

    /// Records that the request may have run, which repeated requests are told. Does not wait for the write.
    void markUnknown(const ClaimKey&, const std::string& token);

    /// Waits up to 10 s for queued background writes, then stops.
    void stop();

private:
    std::unique_ptr<ClaimState> state_;
};

} // namespace turmericwing::host
