// Storage of bodies.
#include "turmericwing/gateway/body.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace turmericwing::gateway {

Body::Body(const Body& other)
{
    for (const std::string_view part : other.parts())
        append(part);
}

Body& Body::operator=(const Body& other)
{
    if (this != &other)
        *this = Body(other);
    return *this;
}

Body::Body(Body&& other) noexcept { swap(other); }

Body& Body::operator=(Body&& other) noexcept
{
    // The assignment of a text would keep the memory of the former one.
    Body moved(std::move(other));
    swap(moved);
    return *this;
}

void Body::swap(Body& other) noexcept
{
    std::swap(size_, other.size_);
    text_.swap(other.text_);
    blocks_.swap(other.blocks_);
}

void Body::append(std::string_view bytes)
{
    if (blocks_.empty() && text_.size() < maxTextBytes) {
        const std::string_view inText = bytes.substr(0, maxTextBytes - text_.size());
        text_.append(inText);
        size_ += inText.size();
        bytes.remove_prefix(inText.size());
    }
    while (!bytes.empty()) {
        const size_t used = (size_ - text_.size()) % blockBytes;
        if (used == 0)
            blocks_.push_back(allocateBlock());
        const size_t count = std::min(bytes.size(), blockBytes - used);
        std::memcpy(blocks_.back().get() + used, bytes.data(), count);
        size_ += count;
        bytes.remove_prefix(count);
    }
}

void Body::truncate(size_t size)
{
    if (size >= size_)
        return;
    size_ = size;
    text_.resize(std::min(text_.size(), size));
    blocks_.resize((size_ - text_.size() + blockBytes - 1) / blockBytes);
}

void Body::clear() { *this = {}; }

std::vector<std::string_view> Body::parts() const
{
    std::vector<std::string_view> parts;
    parts.reserve(blocks_.size() + 1);
    if (!text_.empty())
        parts.emplace_back(text_);
    size_t left = size_ - text_.size();
    for (const Block& block : blocks_) {
        parts.emplace_back(block.get(), std::min(left, blockBytes));
        left -= parts.back().size();
    }
    return parts;
}

std::string Body::prefix(size_t size) const
{
    std::string bytes;
    bytes.reserve(std::min(size, size_));
    for (const std::string_view part : parts()) {
        if (bytes.size() == size)
            break;
        bytes += part.substr(0, size - bytes.size());
    }
    return bytes;
}

uint64_t Body::memoryBytes(size_t size)
{
    if (size <= maxTextBytes)
        return 2 * size; // The text may have grown to twice its size.
    const size_t blocks = (size - maxTextBytes + blockBytes - 1) / blockBytes;
    // The list of blocks grows, too, and is copied as it does.
    return 2 * maxTextBytes + blocks * (blockBytes + 4 * sizeof(Block));
}

bool operator==(const Body& a, const Body& b) { return a.size_ == b.size_ && a.text() == b.text(); }

} // namespace turmericwing::gateway
