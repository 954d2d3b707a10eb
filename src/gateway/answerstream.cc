// Decision about answers that are sent while they arrive.
#include "turmericwing/gateway/answerstream.h"

namespace turmericwing::gateway {

bool mayStream(const StreamOptions& options, const AnswerHead& head)
{
    const bool isSuccess = head.status_ / 100 == 2;
    const bool isOwn = head.hasOwnId_ && head.isSigned_ && !head.statesNotRun_;
    return isSuccess && isOwn && head.isIdempotent_ && head.bodyBytes_ > options.maxWholeBytes_;
}

} // namespace turmericwing::gateway
