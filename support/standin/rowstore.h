// Simulated users' store, written from the platform's protocol page: rows in tables, atomic transactions, a
// feed of changes, restoring an older copy, and fault injection.
#pragma once

#include "server.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <optional>

namespace turmericwing::standin {

/// Faults that the store injects into calls.
struct RowFaults {
    bool refuse_ = false; ///< Responds with 503 without executing the call.
    bool drop_ = false; ///< Closes the connection without executing the call.
    bool loseResponses_ = false; ///< Executes transactions, but closes the connection without a response.
    Duration delay_ {}; ///< Delay before each call.
};

/// HTTP server for a versioned table store. Thread-safe.
class RowStore {
public:
    RowStore();
    ~RowStore();

    /// Starts serving. Port 0 picks a free one. Returns the port, 0 on failure.
    int start(const std::string& ip = "127.0.0.1", int port = 0);
    /// Ends waiting feed calls, closes all connections and stops.
    void shutDown();

    /// Access of an operator or an upstream; unaffected by faults.
    void put(const std::string& table, const std::string& key, const std::string& value);
    void remove(const std::string& table, const std::string& key);
    std::optional<std::string> get(const std::string& table, const std::string& key) const;

    void setFaults(RowFaults);
    /// Discards the history of the feed: feeds that resume from an earlier version get 410.
    void dropHistory();
    /// Keeps a copy of all rows and of the version.
    void takeCopy();
    /// Goes back to the last copy, in a new era, and closes all connections. Versions after the copy's are
    /// given out again; feeds that resume from a version that does not exist yet get 410.
    void restoreCopy();
    /// Number of HTTP calls received.
    uint64_t calls() const { return calls_; }

private:
    struct Row {
        std::string value_;
        uint64_t version_ = 0;
        bool removed_ = false;
    };
    using Key = std::pair<std::string, std::string>; ///< Table and key.

    /// Rows as of a version.
    struct Copy {
        std::map<Key, Row> rows_;
        uint64_t version_ = 0;
    };

    void write(const Key&, const std::string& value, bool removed);
    void onTransaction(const httplib::Request&, httplib::Response&);
    void onTableRead(const httplib::Request&, httplib::Response&);
    void onFeedRead(const httplib::Request&, httplib::Response&);
    /// Counts the call and applies the delay and faults. Returns whether the call must not be executed.
    bool injectFault(httplib::Response&);
    std::string encode(const std::vector<std::pair<Key, Row>>&) const;

    Server server_;
    mutable std::mutex mutex_;
    std::condition_variable rowsChanged_;
    std::map<Key, Row> rows_;
    uint64_t version_ = 0;
    uint64_t oldestFeedVersion_ = 0;
    uint64_t era_ = 1; ///< Rises with each restore.
    Copy copy_;
    bool stopping_ = false;
    RowFaults faults_;
    std::atomic<uint64_t> calls_ = 0;
    TimePoint startedAt_ = monotonicNow();
};

} // namespace turmericwing::standin
