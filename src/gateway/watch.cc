// Follows one table of the store.
#include "turmericwing/gateway/watch.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>

namespace turmericwing::gateway {

Duration watchPause(const WatchOptions& options, uint32_t failures, Random& random)
{
    const Duration full = options.firstPause_ * (1 << std::min<uint32_t>(failures, 10));
    const Duration bounded = std::min(full, options.longestPause_);
    return std::chrono::duration_cast<Duration>(bounded * (0.5 + uniform(random) / 2));
}

struct TableWatch::State : std::enable_shared_from_this<State> {
    State(boost::asio::io_context& loop, TableStore store, WatchOptions options, WatchHandlers handlers)
        : store_(std::move(store))
        , options_(std::move(options))
        , handlers_(std::move(handlers))
        , timer_(loop)
        , random_(makeRandom())
    {
    }

    TableStore store_;
    const WatchOptions options_;
    WatchHandlers handlers_;
    boost::asio::steady_timer timer_;
    Random random_;
    bool stopped_ = false;
    bool known_ = false; ///< The table was read; version_ says up to where.
    bool lost_ = false;
    uint64_t version_ = 0;
    uint32_t failures_ = 0;

    void next();
    void nextAfter(Duration pause);
    void onAnswer(const Result<TableRead>&);
    void onFailure(const Error&);
    void onSuccess(const TableRead&);
};

void TableWatch::State::next()
{
    if (stopped_)
        return;
    const auto handler = [self = shared_from_this()](const Result<TableRead>& answer) {
        if (!self->stopped_)
            self->onAnswer(answer);
    };
    if (known_)
        // A call that is lost with the store would otherwise hold the host back for its whole wait after the
        // return.
        store_.follow_(options_.table_, version_, lost_ ? Duration::zero() : options_.wait_, handler);
    else
        store_.read_(options_.table_, handler);
}

void TableWatch::State::onAnswer(const Result<TableRead>& answer)
{
    if (answer)
        return onSuccess(answer.value());
    if (answer.error().code_ == ErrorCode::NotFound && known_) {
        known_ = false;
        return next();
    }
    onFailure(answer.error());
}

void TableWatch::State::onSuccess(const TableRead& read)
{
    failures_ = 0;
    if (lost_) {
        lost_ = false;
        handlers_.regained_();
    }
    const bool whole = !known_;
    known_ = true;
    version_ = std::max(version_, read.version_);
    (whole ? handlers_.replaced_ : handlers_.changed_)(read);
    nextAfter(read.rows_.empty() ? Duration::zero() : options_.gap_);
}

void TableWatch::State::onFailure(const Error& error)
{
    if (!lost_) {
        lost_ = true;
        handlers_.lost_(error);
    }
    nextAfter(watchPause(options_, failures_, random_));
    ++failures_;
}

void TableWatch::State::nextAfter(Duration pause)
{
    if (pause <= Duration::zero())
        return next();
    timer_.expires_after(pause);
    timer_.async_wait([self = shared_from_this()](boost::system::error_code cancelled) {
        if (!cancelled)
            self->next();
    });
}

TableWatch::TableWatch(
    boost::asio::io_context& loop, TableStore store, WatchOptions options, WatchHandlers handlers)
    : state_(std::make_shared<State>(loop, std::move(store), std::move(options), std::move(handlers)))
{
}

TableWatch::~TableWatch()
{
    state_->stopped_ = true;
    state_->timer_.cancel();
}

void TableWatch::start() { state_->next(); }

} // namespace turmericwing::gateway
