// Follows one table of the store.
#include "turmericwing/gateway/watch.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>

namespace turmericwing::gateway {

Duration watchRetryDelay(const WatchOptions& options, uint32_t failures, Random& random)
{
    const Duration exponential = options.initialRetryDelay_ * (1 << std::min<uint32_t>(failures, 10));
    const Duration bounded = std::min(exponential, options.maxRetryDelay_);
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
    bool hasSnapshot_ = false; ///< A full read has succeeded; position_ is the last one known.
    bool lost_ = false;
    StorePosition position_;
    uint32_t failures_ = 0;
    uint32_t rereads_ = 0; ///< Full reads because of a missing history, since the last follow call succeeded.

    void sendNext();
    void sendNextAfter(Duration delay);
    void onAnswer(const Result<TableRead>&);
    void onFailure(const Error&);
    void readAgain();
    void onSuccess(const TableRead&);
};

void TableWatch::State::sendNext()
{
    if (stopped_)
        return;
    const auto handler = [self = shared_from_this()](const Result<TableRead>& answer) {
        if (!self->stopped_)
            self->onAnswer(answer);
    };
    if (hasSnapshot_)
        // While the store is lost, calls do not wait for changes: a call that was lost with the store would
        // delay the host by its whole wait after the store is back.
        store_.follow_(options_.table_, position_, lost_ ? Duration::zero() : options_.followWait_, handler);
    else
        store_.read_(options_.table_, handler);
}

void TableWatch::State::onAnswer(const Result<TableRead>& answer)
{
    const bool otherEra = answer && hasSnapshot_ && answer.value().era_ != position_.era_;
    const bool historyMissing = !answer && hasSnapshot_ && answer.error().code_ == ErrorCode::NotFound;
    if (otherEra || historyMissing)
        return readAgain();
    if (answer)
        return onSuccess(answer.value());
    onFailure(answer.error());
}

/// Reads the table in full, at once the first time, and with a delay if the position that a full read
/// returned is again refused.
void TableWatch::State::readAgain()
{
    hasSnapshot_ = false;
    const Duration delay
        = rereads_ == 0 ? Duration::zero() : watchRetryDelay(options_, rereads_ - 1, random_);
    ++rereads_;
    sendNextAfter(delay);
}

void TableWatch::State::onSuccess(const TableRead& read)
{
    failures_ = 0;
    if (lost_) {
        lost_ = false;
        handlers_.onRegained_();
    }
    const bool isFullRead = !hasSnapshot_;
    hasSnapshot_ = true;
    if (isFullRead) {
        // Not the higher one of both versions: after a restore of the store, versions are lower.
        position_ = read.position();
    } else {
        position_.version_ = std::max(position_.version_, read.version_);
        rereads_ = 0;
    }
    (isFullRead ? handlers_.onReplaced_ : handlers_.onChanged_)(read);
    sendNextAfter(read.rows_.empty() ? Duration::zero() : options_.batchDelay_);
}

void TableWatch::State::onFailure(const Error& error)
{
    if (!lost_) {
        lost_ = true;
        handlers_.onLost_(error);
    }
    sendNextAfter(watchRetryDelay(options_, failures_, random_));
    ++failures_;
}

void TableWatch::State::sendNextAfter(Duration delay)
{
    if (delay <= Duration::zero())
        return sendNext();
    timer_.expires_after(delay);
    timer_.async_wait([self = shared_from_this()](boost::system::error_code cancelled) {
        if (!cancelled)
            self->sendNext();
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

void TableWatch::start() { state_->sendNext(); }

} // namespace turmericwing::gateway
