// bench-message: prints the encoded size of one message of each type and the CPU time to encode and decode
// it.
#include "turmericwing/peer/message.h"

#include <cstdio>
#include <ctime>

using namespace turmericwing::peer;

int main()
{
    const std::string digest(64, 'a');
    const std::string workspace = "municipality-12";
    const turmericwing::control::SuspicionSummary withoutSuspicions { "amman-h01", "amman-1", 35, 35, {} };
    const turmericwing::control::SuspicionSummary allSuspected { "amman-h01", "amman-1", 35, 0,
        std::vector<turmericwing::control::Suspicion>(35, { "amman-h01", 1u << 30 }) };
    const turmericwing::control::Candidate candidate { 123456, digest.substr(0, 32), digest };
    const turmericwing::rollout::RouteStats route { { 10, 0, 1000, 3 }, { 10, 0, 1000, 30 }, 5.0 };
    const turmericwing::routing::LoanId loan { "amman-h01", 1u << 30, 900 };
    const turmericwing::Duration second = std::chrono::seconds(1);
    const std::vector<Message> messages { Heartbeat { 1u << 30, "10.0.0.1:7101", true, false, 123456, {} },
        Heartbeat { 1u << 30, "10.0.0.1:7101", true, false, 123456, withoutSuspicions },
        Heartbeat { 1u << 30, "10.0.0.1:7101", true, false, 123456, allSuspected }, Probe {},
        turmericwing::control::Evidence { "amman-h01", 1u << 30, 123456, false, { candidate } },
        turmericwing::control::Summary { "amman-h01", "amman-1", 123456, { { "", 35 } }, 34, 1, second, {} },
        CandidateReport { candidate, std::string(2000, 'x') }, Ack { 1u << 30 }, HeadRequest { 123456 },
        HeadRow { 123456, 200000, true, "" }, BlobRequest { digest, 1 << 19 },
        Blob { digest, 1 << 19, 1 << 22, std::vector<uint8_t>(1 << 19) },
        TokenPull {
            workspace, "amman-h01", 1u << 30, 70, turmericwing::limits::ShareKind::Main, 900, 899, 1, 100 },
        TokenGrant { workspace, 1u << 30, 70, turmericwing::limits::ShareKind::Main, 900,
            turmericwing::limits::GrantStatus::Granted, 101, {} },
        TokenReturn {
            "amman-h02", workspace, "amman-h01", 1u << 30, turmericwing::limits::ShareKind::Main, 900, 12 },
        SlotBorrow { loan, "orders-12", second }, SlotLoan { loan, { "orders-12", 2 }, second },
        SlotReturn { loan, { "orders-12", 2 } }, SlotRelease { { "orders-12", 2 }, 70 },
        MoveStats { "orders-v2",
            { "amman-h01", 1u << 30, { { "a", route }, { "b", route }, { "c", route }, { "d", route } },
                false } },
        MoveShare { "orders-v2", 2, 0.01, false, { "a", "b" }, { 5000, 9000, 5000, 9000 } },
        MoveTrip { "orders-v2", "errors" },
        Crash { { "amman-h01", 1u << 30, 3 }, "orders-12", { 1796377825488 },
            { { { 1, 2 }, { 1796377825400 } } } },
        Quarantine { { 1, 2 }, { 1796377825488 } }, Refusal { 3, "old epoch" } };
    constexpr int rounds = 2000;
    std::printf("%-12s %8s %10s %10s\n", "type", "bytes", "encode us", "decode us");
    for (const auto& message : messages) {
        const Envelope envelope { .id_ = 100000, .replyTo_ = 0, .message_ = message };
        const std::string bytes = encode(envelope).value();
        size_t sum = 0;
        const std::clock_t start = std::clock();
        for (int i = 0; i < rounds; ++i)
            sum += encode(envelope).value().size();
        const std::clock_t middle = std::clock();
        for (int i = 0; i < rounds; ++i)
            sum += decode(bytes).has_value() ? 1 : 0;
        const std::clock_t end = std::clock();
        if (sum != rounds * (bytes.size() + 1))
            return 1;
        const double usPerCall = 1e6 / CLOCKS_PER_SEC / rounds;
        std::printf("%-12s %8zu %10.2f %10.2f\n", typeName(message), bytes.size(),
            static_cast<double>(middle - start) * usPerCall, static_cast<double>(end - middle) * usPerCall);
    }
    return 0;
}
