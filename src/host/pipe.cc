// Bounded byte queue with blocking reads and writes.
#include "turmericwing/host/pipe.h"

namespace turmericwing::host {

Pipe::Pipe(size_t capacityBytes)
    : capacity_(capacityBytes)
{
}

bool Pipe::write(const char* data, size_t size, TimePoint deadline)
{
    std::unique_lock lock(mutex_);
    changed_.wait_until(lock, deadline, [this] { return bytes_ < capacity_ || state_ != PipeState::Open; });
    if (bytes_ >= capacity_ || state_ != PipeState::Open)
        return false;
    chunks_.emplace_back(data, size);
    bytes_ += size;
    changed_.notify_all();
    return true;
}

void Pipe::close(PipeState state)
{
    std::lock_guard lock(mutex_);
    if (state_ == PipeState::Open)
        state_ = state;
    changed_.notify_all();
}

std::string Pipe::read(TimePoint deadline)
{
    std::unique_lock lock(mutex_);
    changed_.wait_until(lock, deadline, [this] { return !chunks_.empty() || state_ != PipeState::Open; });
    if (chunks_.empty())
        return {};
    std::string chunk = std::move(chunks_.front());
    chunks_.pop_front();
    bytes_ -= chunk.size();
    changed_.notify_all();
    return chunk;
}

void Pipe::waitUntilFull(TimePoint deadline)
{
    std::unique_lock lock(mutex_);
    changed_.wait_until(lock, deadline, [this] { return bytes_ >= capacity_ || state_ != PipeState::Open; });
}

PipeState Pipe::state() const
{
    std::lock_guard lock(mutex_);
    return state_;
}

} // namespace turmericwing::host
