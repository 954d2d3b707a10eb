// Decides which answers of upstreams are sent to the caller while they arrive, in place of being read whole
// first. A caller of a large answer then waits for one transfer, not for two.
#pragma once

#include <cstdint>

namespace turmericwing::gateway {

struct StreamOptions {
    /// Bytes of a body up to which an answer is read whole, so that one that breaks off can be retried.
    uint64_t maxWholeBytes_ = uint64_t { 32 } << 10;
};

/// What is known of the answer to a request when its head has arrived.
struct AnswerHead {
    unsigned status_ = 0;
    uint64_t bodyBytes_ = 0; ///< As announced; answers without a length are not asked about.
    bool isIdempotent_ = false; ///< The request may run twice.
    bool hasOwnId_ = false; ///< The answer repeats the request's id, which is not empty.
    bool isSigned_ = false; ///< The upstream itself produced the answer.
    bool statesNotRun_ = false; ///< The answer says that the request has not run.
};

/// Whether the answer may be sent while it arrives. Once it has begun, it cannot be retried, and if it breaks
/// off the caller sees a reset. So it must be the final, successful answer to this request, and the caller
/// must be able to repeat the request: callers of others get a status that says what is known.
bool mayStream(const StreamOptions&, const AnswerHead&);

} // namespace turmericwing::gateway
