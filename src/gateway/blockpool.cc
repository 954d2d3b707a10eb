// Pool of blocks that are mapped one by one, so that each can go back to the system.
#include "turmericwing/gateway/blockpool.h"

#include <mutex>
#include <new>
#include <sys/mman.h>
#include <vector>

namespace turmericwing::gateway {

namespace detail {

    /// Free blocks that are kept, 4 MiB: mapping and unmapping cost a system call each.
    constexpr size_t maxFreeBlocks = 256;

    struct BlockPool {
        std::mutex mutex_;
        std::vector<char*> free_; ///< Last in, first out.
        uint64_t usedBytes_ = 0;
    };

    BlockPool& blockPool()
    {
        // Not destroyed, as static objects may still give blocks back.
        static auto* pool = new BlockPool;
        return *pool;
    }

    char* mapBlock()
    {
        void* block = mmap(nullptr, blockBytes, PROT_READ | PROT_WRITE, MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);
        if (block == MAP_FAILED)
            throw std::bad_alloc();
        return static_cast<char*>(block);
    }

    /// Fails if that would split one mapping into more than the system allows.
    bool unmapBlock(char* block) { return munmap(block, blockBytes) == 0; }

} // namespace detail

Block allocateBlock()
{
    detail::BlockPool& pool = detail::blockPool();
    const std::lock_guard lock(pool.mutex_);
    char* block = nullptr;
    if (pool.free_.empty()) {
        block = detail::mapBlock();
    } else {
        block = pool.free_.back();
        pool.free_.pop_back();
    }
    pool.usedBytes_ += blockBytes;
    return Block(block);
}

void BlockDeleter::operator()(char* block) const
{
    detail::BlockPool& pool = detail::blockPool();
    const std::lock_guard lock(pool.mutex_);
    pool.usedBytes_ -= blockBytes;
    if (pool.free_.size() < detail::maxFreeBlocks || !detail::unmapBlock(block))
        pool.free_.push_back(block);
}

uint64_t usedBlockBytes()
{
    detail::BlockPool& pool = detail::blockPool();
    const std::lock_guard lock(pool.mutex_);
    return pool.usedBytes_;
}

void releaseFreeBlocks()
{
    detail::BlockPool& pool = detail::blockPool();
    const std::lock_guard lock(pool.mutex_);
    std::erase_if(pool.free_, detail::unmapBlock);
}

} // namespace turmericwing::gateway
