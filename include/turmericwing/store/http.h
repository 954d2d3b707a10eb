// Client for the platform's HTTP protocol, which is specified in docs/interface.md.
#pragma once

#include "turmericwing/base/time.h"
#include "turmericwing/store/store.h"

#include <memory>

namespace turmericwing::store {

/// Address, timeouts and limits of an HttpPlatform.
struct HttpOptions {
    std::string address_; ///< "ip:port" of the platform.
    Duration connectTimeout_ = std::chrono::milliseconds(300);
    /// Timeout of one request, excluding connection setup. A read that fails on a reused connection is
    /// retried once on a new connection, so an unresponsive connection costs a reader one timeout. Two
    /// timeouts fit in the read lease of 1.9 s.
    Duration requestTimeout_ = std::chrono::milliseconds(600);
    /// Connections that have been idle for longer are not reused, because they may have become unresponsive.
    Duration maxIdleTime_ = std::chrono::seconds(2);
    size_t maxConnections_ = 4; ///< Further concurrent calls wait for a free connection.
    size_t maxResponseBytes_ = size_t { 128 } << 20;
};

/// Number of requests sent to the platform since the start. A batch counts as one request.
struct HttpCounters {
    uint64_t reads_ = 0;
    uint64_t writes_ = 0;
    uint64_t failures_ = 0; ///< Requests without a complete response or with a 5xx status.
    uint64_t connections_ = 0; ///< Connections opened or attempted.
};

/// HTTP client of the platform. Thread-safe. Copies share connections and counters.
class HttpPlatform {
public:
    explicit HttpPlatform(HttpOptions);

    /// Returns the platform's services. The function objects keep the client's state alive.
    Platform platform() const;

    /// Adds or updates an entry in the host list. Errors: Unavailable if it was not changed, Unknown if it
    /// may have been, Denied, Invalid or Internal if the platform rejected it.
    Result<void> putHost(const HostEntry&) const;

    HttpCounters counters() const;

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace turmericwing::store
