// At-most-once execution on a live host: claims in the platform's table, written in batches by one thread.
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

/// The response that a resend receives again.
struct StoredResponse {
    int status_ = 0;
    std::string contentType_;
    std::string body_;
    bool tooLarge_ = false; ///< The body was too large to store.
};

/// Names one claimed request.
struct ClaimKey {
    std::string workspace_;
    std::string idempotencyKey_;
    std::string fingerprint_;
};

enum class ClaimBegin {
    Run, ///< This host holds the claim and must finish it.
    Replay, ///< The stored response answers the request.
    Refuse, ///< See reason_.
};

struct ClaimDecision {
    ClaimBegin begin_ = ClaimBegin::Refuse;
    Reason reason_ = Reason::StoreUnavailable;
    StoredResponse response_;
    std::string token_; ///< Passed back to finish.
};

struct ClaimState;

class ClaimStore {
public:
    ClaimStore(std::string host, uint64_t incarnation, store::Table, const class SharedState&);
    ~ClaimStore();

    /// Claims a request before its first byte goes to an upstream.
    ClaimDecision begin(const ClaimKey&, TimePoint deadline);

    /// Stores the response for resends. Does not wait.
    void complete(const ClaimKey&, const std::string& token, const StoredResponse&);

    /// Gives the claim up: the request has provably not run. Does not wait.
    void release(const ClaimKey&, const std::string& token);

    /// The request may have run; resends are told so.
    void markUnknown(const ClaimKey&, const std::string& token);

    /// Writes what is queued, then stops.
    void stop();

private:
    std::unique_ptr<ClaimState> state_;
};

} // namespace turmericwing::host
