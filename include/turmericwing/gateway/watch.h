// Follows one table of the store: a full read, then all changes, and another full read when the store no
// longer has the history. Failed calls are retried with exponential backoff.
#pragma once

#include "turmericwing/base/random.h"
#include "turmericwing/base/time.h"
#include "turmericwing/gateway/tablestore.h"

#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace turmericwing::gateway {

struct WatchOptions {
    std::string table_;
    /// Longest wait of a follow call for a change. Bounds the time until a connection that silently broke is
    /// noticed.
    Duration followWait_ = std::chrono::seconds(3);
    /// Delay between an answer with changes and the next call, which batches changes in quick succession.
    Duration batchDelay_ = std::chrono::milliseconds(250);
    /// After the first failure; doubles with each further one.
    Duration initialRetryDelay_ = std::chrono::milliseconds(100);
    Duration maxRetryDelay_ = std::chrono::seconds(1);
};

struct WatchHandlers {
    std::function<void(const TableRead&)> onReplaced_; ///< After a full read; has all rows of the table.
    /// After a follow call; has the rows that changed, possibly none.
    std::function<void(const TableRead&)> onChanged_;
    std::function<void(const Error&)> onLost_; ///< First failure after a success.
    std::function<void()> onRegained_; ///< First success after a failure, before the rows are delivered.
};

/// Returns the delay before the next attempt, after `failures` earlier failures in a row: exponential up to
/// `maxRetryDelay_`, with jitter that shortens it to between half and all of that, so that hosts do not retry
/// at the same time.
Duration watchRetryDelay(const WatchOptions&, uint32_t failures, Random&);

/// Calls the handlers on the event loop, until it is destroyed.
class TableWatch {
public:
    TableWatch(boost::asio::io_context&, TableStore, WatchOptions, WatchHandlers);
    ~TableWatch();
    TableWatch(const TableWatch&) = delete;
    TableWatch& operator=(const TableWatch&) = delete;

    void start();

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace turmericwing::gateway
