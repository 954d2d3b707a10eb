// Client of the platform's HTTP protocol, which docs/interface.md describes.
#pragma once

#include "turmericwing/base/time.h"
#include "turmericwing/store/store.h"

#include <memory>

namespace turmericwing::store {

struct HttpOptions {
    std::string address_; ///< "ip:port" of the platform.
    Duration connectTimeout_ = std::chrono::milliseconds(300);
    /// Bound of one request without its connection set-up. A read on a reused connection that fails is
    /// repeated once on a new connection, so a silent connection costs a reader one timeout. Two timeouts
    /// fit in the read lease of 1.9 s.
    Duration requestTimeout_ = std::chrono::milliseconds(600);
    /// Connections idle for longer are not reused, because they may have become silent.
    Duration idleLimit_ = std::chrono::seconds(2);
    size_t maxConnections_ = 4; ///< More concurrent calls wait for a free connection.
    size_t maxResponseBytes_ = size_t { 128 } << 20;
};

/// Requests sent to the platform since the start. One batch counts once.
struct HttpCounters {
    uint64_t reads_ = 0;
    uint64_t writes_ = 0;
    uint64_t failures_ = 0; ///< Requests without a complete response, and refusals.
    uint64_t connections_ = 0; ///< Connections opened or attempted.
};

/// Thread-safe. Copies share connections and counters.
class HttpPlatform {
public:
    explicit HttpPlatform(HttpOptions);

    /// Function objects that keep the client's state alive.
    Platform platform() const;

    /// Adds or changes the caller's entry in the host list. Errors: Unavailable, Unknown.
    Result<void> putHost(const HostEntry&) const;

    HttpCounters counters() const;

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace turmericwing::store
