// Follows one table of the store: a full read first, then every change, and a full read again when the store
// has lost its history. Failures are repeated with growing pauses.
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
    /// A follow call that finds no change ends after this time. It bounds how long a silent connection stays
    /// unnoticed.
    Duration wait_ = std::chrono::seconds(3);
    /// Between an answer and the next call, so that changes that come together are read together.
    Duration gap_ = std::chrono::milliseconds(250);
    Duration firstPause_ = std::chrono::milliseconds(100); ///< After a failure; doubles.
    Duration longestPause_ = std::chrono::seconds(1);
};

struct WatchHandlers {
    std::function<void(const TableRead&)> replaced_; ///< The whole table.
    std::function<void(const TableRead&)> changed_; ///< Rows that changed.
    std::function<void(const Error&)> lost_; ///< First failure after a success.
    std::function<void()> regained_; ///< First success after a failure, before the rows are delivered.
};

/// Pause before attempt `failures` + 1, with jitter so that hosts do not repeat at the same moment.
Duration watchPause(const WatchOptions&, uint32_t failures, Random&);

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
