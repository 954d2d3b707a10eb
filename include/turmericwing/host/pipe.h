// A bounded byte queue between two threads: bodies stream through it with bounded memory.
#pragma once

#include "turmericwing/base/time.h"

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <string>

namespace turmericwing::host {

enum class PipeState { Open, Finished, Failed };

class Pipe {
public:
    explicit Pipe(size_t capacityBytes);

    /// Waits for room until the deadline. False when the pipe failed or the deadline passed.
    bool write(const char* data, size_t size, TimePoint deadline);

    /// The writer is done: Finished when all bytes were written, Failed otherwise.
    void close(PipeState);

    /// Waits for a chunk until the deadline. An empty chunk means that none came: see state().
    std::string read(TimePoint deadline);

    /// Waits until the writer has closed the pipe, the queue is full, or the deadline has passed.
    void waitFilled(TimePoint deadline);

    PipeState state() const;

private:
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<std::string> chunks_;
    size_t bytes_ = 0; ///< Sum of the chunks' sizes; exceeds capacity_ by one chunk at most.
    const size_t capacity_;
    PipeState state_ = PipeState::Open;
};

} // namespace turmericwing::host
