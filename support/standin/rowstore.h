// Stand-in of the users' store, written from the platform's protocol page: rows in tables, atomic
// transactions, a feed of changes, and faults.
#pragma once

#include "server.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <optional>

namespace turmericwing::standin {

struct RowFaults {
    bool refuse_ = false; ///< 503; nothing is done.
    bool drop_ = false; ///< The connection ends without an answer; nothing is done.
    bool loseAnswers_ = false; ///< Writes are done, and their connection ends without an answer.
    Duration delay_ {}; ///< Before each call.
};

class RowStore {
public:
    RowStore();
    ~RowStore();

    /// Returns the port, 0 on failure.
    int start(const std::string& ip = "127.0.0.1", int port = 0);
    void shutDown();

    /// As the operator or an upstream, past all faults.
    void put(const std::string& table, const std::string& key, const std::string& value);
    void remove(const std::string& table, const std::string& key);
    std::optional<std::string> get(const std::string& table, const std::string& key) const;

    void setFaults(RowFaults);
    /// Feeds can no longer resume from before this moment.
    void dropHistory();
    uint64_t calls() const { return calls_; }

private:
    struct Row {
        std::string value_;
        uint64_t version_ = 0;
        bool removed_ = false;
    };
    using Key = std::pair<std::string, std::string>; ///< Table and key.

    void write(const Key&, const std::string& value, bool removed);
    void onTransaction(const httplib::Request&, httplib::Response&);
    void onRead(const httplib::Request&, httplib::Response&);
    void onFeed(const httplib::Request&, httplib::Response&);
    bool isFaulty(httplib::Response&);
    std::string encode(const std::vector<std::pair<Key, Row>>&) const;

    Server server_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::map<Key, Row> rows_;
    uint64_t version_ = 0;
    uint64_t historyFrom_ = 0;
    bool stopping_ = false;
    RowFaults faults_;
    std::atomic<uint64_t> calls_ = 0;
    TimePoint startedAt_ = monotonicNow();
};

} // namespace turmericwing::standin
