// A bounded byte queue between two threads, through which bodies are streamed with bounded memory.
#pragma once

#include "turmericwing/base/time.h"

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <string>

namespace turmericwing::host {

/// Open until the writer closes the pipe; then Finished if all bytes were written, Failed otherwise.
enum class PipeState { Open, Finished, Failed };

/// Byte queue with one writer and one reader. Either end may close it.
class Pipe {
public:
    explicit Pipe(size_t capacityBytes);

    /// Appends a chunk; waits until `deadline` while the queue is full. Returns false when the pipe is closed
    /// or the deadline has passed.
    bool write(const char* data, size_t size, TimePoint deadline);

    /// Closes the pipe. The first state stays; chunks that were written before can still be read.
    void close(PipeState);

    /// Waits for the next chunk until `deadline`. Returns an empty chunk when the pipe is closed and drained
    /// or, with state() still Open, when the deadline has passed.
    std::string read(TimePoint deadline);

    /// Waits until the pipe is closed, the queue is full, or the deadline has passed.
    void waitUntilFull(TimePoint deadline);

    PipeState state() const;

private:
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<std::string> chunks_;
    size_t bytes_ = 0; ///< Total size of the chunks; exceeds capacity_ by less than one chunk.
    const size_t capacity_;
    PipeState state_ = PipeState::Open;
};

} // namespace turmericwing::host
