#include "tarragontrail/routing/predicted_blocks.hpp"

#include "tarragontrail/core/hash.hpp"

#include <algorithm>

namespace tarragontrail::routing {

namespace {

std::uint64_t key_of(std::uint64_t engine_key, std::uint64_t hash) noexcept
{
    return core::hash_pair(engine_key, hash);
}

std::uint64_t engine_key_of(core::upstream_id engine, core::incarnation incarnation) noexcept
{
    return core::hash_pair(core::value_of(engine), core::value_of(incarnation));
}

} // namespace

predicted_blocks::predicted_blocks(std::size_t capacity)
    : m_entries(capacity), m_insertions(std::max<std::size_t>(capacity, 1))
{}

void predicted_blocks::insert(core::upstream_id engine, core::incarnation incarnation,
                              std::span<const std::uint64_t> hashes, core::time_point now)
{
    // Inserts the deepest first, so that the end of a chain is evicted before its start.
    const std::uint64_t engine_key = engine_key_of(engine, incarnation);
    std::for_each(hashes.rbegin(), hashes.rend(),
                  [&](std::uint64_t hash) { insert_key(key_of(engine_key, hash), now); });
}

std::size_t predicted_blocks::depth(core::upstream_id engine, core::incarnation incarnation,
                                    std::span<const std::uint64_t> hashes, core::duration max_age,
                                    core::time_point now) const noexcept
{
    // Chains are inserted whole and evicted from the end, so the predicted part is a prefix.
    const std::uint64_t engine_key = engine_key_of(engine, incarnation);
    const auto end = std::partition_point(hashes.begin(), hashes.end(), [&](std::uint64_t hash) {
        const core::time_point* const inserted_at = m_entries.find(key_of(engine_key, hash));
        return inserted_at != nullptr && now - *inserted_at <= max_age;
    });
    return static_cast<std::size_t>(end - hashes.begin());
}

std::size_t predicted_blocks::bytes() const noexcept
{
    return m_entries.bytes() + m_insertions.capacity() * sizeof(insertion);
}

void predicted_blocks::insert_key(std::uint64_t key, core::time_point now)
{
    if (m_count == m_insertions.size())
    {
        evict_oldest();
    }
    m_entries.insert(key, now);
    m_insertions[(m_first + m_count) % m_insertions.size()] = {key, now};
    ++m_count;
}

void predicted_blocks::evict_oldest() noexcept
{
    // A key that was inserted again stays until its later insertion is evicted.
    const insertion& oldest = m_insertions[m_first];
    const core::time_point* const inserted_at = m_entries.find(oldest.m_key);
    if (inserted_at != nullptr && *inserted_at == oldest.m_inserted_at)
    {
        m_entries.erase(oldest.m_key);
    }
    m_first = (m_first + 1) % m_insertions.size();
    --m_count;
}

} // namespace tarragontrail::routing
