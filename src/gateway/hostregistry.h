// Registration of this host in the store's list of hosts, from which hosts that start learn where to send
// reports.
#pragma once

#include "turmericwing/gateway/state.h"
#include "turmericwing/gateway/tablestore.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <optional>

namespace turmericwing::gateway::detail {

/// Writes, reads and cleans up the store's list of hosts.
class HostRegistry {
public:
    /// `onRead` is called after each successful read of the list.
    HostRegistry(boost::asio::io_context&, State&, TableStore&, std::function<void()> onRead);

    /// Writes this host's row, then reads the list; repeats both until they succeed or the host drains. The
    /// write comes first so that, of two hosts that start at the same time, at least one finds the other.
    void registerHost();

    /// Writes this host's row again after the store was restored from an older copy, at a random time, so
    /// that the hosts do not write all at once. The designated writer then reads the list, which may have
    /// rows of hosts that have left, and removes these with removeExpiredPeers().
    void restoreRow();

    /// Removes this host's row. A failure is logged and not retried.
    void deregisterHost();

    /// Removes peers that have not been alive for long; until then they count when limits are divided
    /// among the hosts, and are sent reports. Only the designated writer removes their rows from the store,
    /// and only while it hears most hosts. A host that hears fewer may be cut off: it registers again from
    /// time to time, which also tries the hosts that it has forgotten. A host that was just suspended removes
    /// none.
    void removeExpiredPeers(TimePoint now);

private:
    void writeRow(const std::function<void()>& onWritten);
    void read();
    void retry(const Error&);
    bool hearsMostPeers(TimePoint now) const;

    State& state_;
    TableStore& store_;
    bool listRead_ = false; ///< Whether the list was read at least once.
    std::function<void()> onRead_;
    boost::asio::steady_timer retryTimer_;
    /// When a host that may be cut off registers again; empty while it hears most of the others.
    std::optional<TimePoint> rejoinAt_;
};

} // namespace turmericwing::gateway::detail
