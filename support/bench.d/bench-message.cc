// bench-message: encoded bytes and CPU microseconds to encode and decode one message of each type.
#include "turmericwing/peer/message.h"

#include <cstdio>
#include <ctime>

using namespace turmericwing::peer;

int main()
{
    const std::string digest(64, 'a');
    const DomainSummary domain { "amman-1", 35, 0, 1, 123456, 900, 400, {} };
    const RouteStats route { "status", { 1000, 3, 5000000, 12.5 }, { 10, 0, 50000, 0.25 } };
    const std::vector<Message> messages { Heartbeat { 1u << 30, true, 123456, 12, {} },
        Heartbeat { 1u << 30, true, 123456, 12, std::vector<DomainSummary>(23, domain) },
        Probe { 1u << 30, true, 123456 }, Evidence { 1u << 30, true, true, 123456, "" }, HeadGet { 123456 },
        HeadRow { 123456, 200000, true, "" }, BlobGet { digest, 1 << 19 },
        Blob { digest, 1 << 19, 1 << 22, std::vector<uint8_t>(1 << 19) },
        TokenPull { "municipality-12", 70, 100 }, TokenGrant { "municipality-12", 70, 100, 500 },
        SlotBorrow { "orders-12", 70, 1 }, SlotLoan { "orders-12", 70, 800, { 2 }, 1000 },
        SlotReturn { "orders-12", 70, 800, { 2 } },
        MoveStats { "orders-v2", 1u << 30, 2, std::vector<RouteStats>(4, route) },
        MoveShare { "orders-v2", 70, 2, 0.01, 1000 }, MoveTrip { "orders-v2", 2, "errors" },
        Crash { "orders-12", { digest } }, Quarantine { digest, "orders-12", 600000 },
        Refusal { 3, "old epoch" } };
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
        const double unit = 1e6 / CLOCKS_PER_SEC / rounds;
        std::printf("%-12s %8zu %10.2f %10.2f\n", typeName(message), bytes.size(),
            static_cast<double>(middle - start) * unit, static_cast<double>(end - middle) * unit);
    }
    return 0;
}
