// Tests of the decision about answers that are sent while they arrive. They guard against large answers whose
// callers wait for two transfers, and against answers that break off although a retry or a status was due.
#include "turmericwing/gateway/answerstream.h"

#include <doctest/doctest.h>

using namespace turmericwing::gateway;

TEST_CASE("only large, own and final answers to repeatable requests are sent while they arrive")
{
    const StreamOptions options { .maxWholeBytes_ = 1000 };
    const AnswerHead large {
        .status_ = 200, .bodyBytes_ = 1001, .isIdempotent_ = true, .hasOwnId_ = true, .isSigned_ = true
    };
    CHECK(mayStream(options, large));
    AnswerHead head = large;
    SUBCASE("small") { head.bodyBytes_ = 1000; }
    SUBCASE("failure") { head.status_ = 500; }
    SUBCASE("redirection") { head.status_ = 302; }
    SUBCASE("interim") { head.status_ = 100; }
    SUBCASE("must not run twice") { head.isIdempotent_ = false; }
    SUBCASE("of another request") { head.hasOwnId_ = false; }
    SUBCASE("without signature") { head.isSigned_ = false; }
    SUBCASE("has not run") { head.statesNotRun_ = true; }
    CHECK_FALSE(mayStream(options, head));
}
