// Walks over the items of a CBOR message without building them.
#include "turmericwing/base/cbor.h"

#include <cstdint>
#include <vector>

namespace turmericwing {

namespace detail {

    enum class CborType { Bytes = 2, Text = 3, Array = 4, Map = 5, Tag = 6 };

    /// Head of an item: its type, and its value, length or number of elements.
    struct CborHead {
        CborType type_ {};
        uint64_t argument_ = 0;
    };

    /// Takes the head of the next item from the front of `bytes`.
    std::optional<CborHead> takeHead(std::string_view& bytes)
    {
        if (bytes.empty())
            return std::nullopt;
        const auto initial = static_cast<uint8_t>(bytes.front());
        bytes.remove_prefix(1);
        const int info = initial & 31;
        CborHead head { static_cast<CborType>(initial >> 5), static_cast<uint64_t>(info) };
        // 28 to 30 are reserved, 31 marks an indefinite length.
        if (info >= 28 || head.type_ == CborType::Tag)
            return std::nullopt;
        if (info < 24)
            return head;
        const size_t size = size_t { 1 } << (info - 24);
        if (bytes.size() < size)
            return std::nullopt;
        head.argument_ = 0;
        for (const char byte : bytes.substr(0, size))
            head.argument_ = head.argument_ << 8 | static_cast<uint8_t>(byte);
        bytes.remove_prefix(size);
        return head;
    }

} // namespace detail

std::optional<CborFault> checkCborStructure(std::string_view bytes, size_t maxDepth)
{
    using detail::CborType;
    std::vector<uint64_t> itemsLeft; // Items left in each unfinished array or map.
    do {
        const auto head = detail::takeHead(bytes);
        if (!head)
            return CborFault::Malformed;
        if (!itemsLeft.empty())
            --itemsLeft.back();
        if (head->type_ == CborType::Bytes || head->type_ == CborType::Text) {
            if (head->argument_ > bytes.size())
                return CborFault::Malformed;
            bytes.remove_prefix(head->argument_);
        } else if (head->type_ == CborType::Array || head->type_ == CborType::Map) {
            if (itemsLeft.size() == maxDepth)
                return CborFault::TooDeep;
            // Each item takes at least one byte, so a larger count cannot be satisfied.
            if (head->argument_ > bytes.size())
                return CborFault::Malformed;
            itemsLeft.push_back(head->type_ == CborType::Map ? head->argument_ * 2 : head->argument_);
        }
        while (!itemsLeft.empty() && itemsLeft.back() == 0)
            itemsLeft.pop_back();
    } while (!itemsLeft.empty());
    return bytes.empty() ? std::nullopt : std::optional(CborFault::Malformed);
}

const char* toString(CborFault fault)
{
    return fault == CborFault::TooDeep ? "nested too deeply" : "malformed CBOR";
}

} // namespace turmericwing
