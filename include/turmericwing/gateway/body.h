// The body of a request or response. It grows without being copied, so that it never takes its size twice.
#pragma once

#include "turmericwing/gateway/blockpool.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace turmericwing::gateway {

/// Bytes in a text, followed by those in blocks. What is small stands in the text alone.
///
///     Body body("small");
///     body.append(received);
///     for (std::string_view part : body.parts())
///         send(part);
class Body {
public:
    /// Most bytes that append() puts into the text.
    static constexpr size_t maxTextBytes = 4096;

    Body() = default;
    Body(std::string text) // NOLINT(google-explicit-constructor): responses are written as text.
        : size_(text.size())
        , text_(std::move(text))
    {
    }
    Body(const char* text) // NOLINT(google-explicit-constructor)
        : Body(std::string(text))
    {
    }
    Body(const Body&);
    Body& operator=(const Body&);
    Body(Body&&) noexcept;
    Body& operator=(Body&&) noexcept;
    ~Body() = default;

    size_t size() const { return size_; }
    bool empty() const { return size_ == 0; }
    void append(std::string_view);
    /// Drops all bytes behind the first `size`.
    void truncate(size_t size);
    void clear();

    /// The bytes in their order; valid until the body changes.
    std::vector<std::string_view> parts() const;
    /// Returns a copy of the first `size` bytes.
    std::string prefix(size_t size) const;
    /// Returns a copy of all bytes.
    std::string text() const { return prefix(size_); }

    /// Returns the memory that a body of `size` appended bytes takes at most.
    static uint64_t memoryBytes(size_t size);
    /// Returns the memory that this body takes.
    uint64_t memoryBytes() const { return text_.capacity() + blocks_.size() * blockBytes; }

    friend bool operator==(const Body&, const Body&);

private:
    void swap(Body&) noexcept;

    size_t size_ = 0;
    std::string text_;
    std::vector<Block> blocks_; ///< All but the last are full.
};

} // namespace turmericwing::gateway
