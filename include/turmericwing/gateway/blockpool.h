// Blocks of memory of one size, for bodies. As all have one size, a freed block fits every later body, and
// what is not in use goes back to the system: the allocator keeps the room of freed bodies of one size when
// those of another size do not fit into it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>

namespace turmericwing::gateway {

constexpr size_t blockBytes = size_t { 16 } << 10;

/// Gives a block back to the pool.
struct BlockDeleter {
    void operator()(char*) const;
};

/// A block of blockBytes.
using Block = std::unique_ptr<char, BlockDeleter>;

/// Takes a block from the pool, or from the system. Throws std::bad_alloc if the system has none.
Block allocateBlock();

/// Returns the bytes of all blocks in use.
uint64_t usedBlockBytes();

/// Returns the free blocks that the pool keeps for later to the system.
void releaseFreeBlocks();

} // namespace turmericwing::gateway
