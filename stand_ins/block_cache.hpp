#pragma once

#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

namespace tarragontrail::stand_ins {

/// Blocks that entered and left a cache in one step.
struct cache_change
{
    std::vector<std::uint64_t> m_stored;  ///< Hashes that were not cached before.
    std::vector<std::uint64_t> m_evicted; ///< Hashes that are no longer cached.
};

/// A block's hash and the hash that it is chained to.
struct block_link
{
    std::uint64_t m_hash;   ///< Block.
    std::uint64_t m_parent; ///< Block before it, or the salt of the first block.
};

/// Prefix cache of an engine: the least recently used block leaves first, and of one prompt's
/// blocks the last one.
class block_cache
{
public:
    explicit block_cache(std::size_t capacity) : m_capacity(capacity) {}

    /// Number of leading blocks that are cached; marks them as used.
    std::size_t use_prefix(std::span<const std::uint64_t> blocks);

    /// Number of leading blocks that are cached.
    std::size_t count_prefix(std::span<const std::uint64_t> blocks) const;

    /// Stores a prompt's blocks, at most as many as the cache holds.
    cache_change store(std::uint64_t salt, std::span<const std::uint64_t> blocks);

    /// Stores blocks that hang on each other, on cached blocks or on the salt; returns false and
    /// stores nothing when one of them does not.
    bool store_links(std::uint64_t salt, std::span<const block_link> links, cache_change& change);

    /// Those of the blocks that are cached under the salt, in the order given.
    std::vector<block_link> find_links(std::uint64_t salt,
                                       std::span<const std::uint64_t> blocks) const;

    /// Evicts everything.
    cache_change clear();

    /// All cached hashes.
    std::vector<std::uint64_t> blocks() const;

    /// Number of cached blocks.
    std::size_t size() const noexcept { return m_entries.size(); }

private:
    /// One cached block.
    struct entry
    {
        std::uint64_t m_parent;                     ///< Block before it, or the salt.
        std::uint64_t m_salt;                       ///< Beginning of its chain.
        std::list<std::uint64_t>::iterator m_order; ///< Its place in the order of use.
    };

    void put(std::uint64_t salt, const block_link& link, cache_change& change);
    void evict_excess(cache_change& change);

    std::size_t m_capacity;                             ///< Most blocks.
    std::list<std::uint64_t> m_order;                   ///< Most recently used first.
    std::unordered_map<std::uint64_t, entry> m_entries; ///< Cached blocks by hash.
};

} // namespace tarragontrail::stand_ins
