#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace tarragontrail::routing {

/// Value type of a map that is used as a set.
struct no_value
{};

/// Open-addressing hash map with linear probing, keyed by 64-bit hashes or ids.
///
/// Erasing shifts later entries back, so there are no tombstones. The map grows by half when four
/// fifths of the slots are in use, up to a byte budget; beyond the budget new keys are refused.
template <class Value>
class flat_hash_map
{
public:
    /// `capacity` is the number of keys that fit without growth; `max_bytes` limits the memory of
    /// the slots.
    explicit flat_hash_map(std::size_t capacity = 0, std::size_t max_bytes = ~std::size_t{0})
        : m_max_slots(max_bytes / sizeof(slot))
    {
        m_slots.resize(std::min(slots_for(capacity), m_max_slots));
    }

    /// Returns null if the key is missing.
    Value* find(std::uint64_t key) noexcept
    {
        const std::size_t position = find_slot(stored_key(key));
        return position == missing ? nullptr : &m_slots[position].m_value;
    }

    /// Returns null if the key is missing.
    const Value* find(std::uint64_t key) const noexcept
    {
        const std::size_t position = find_slot(stored_key(key));
        return position == missing ? nullptr : &m_slots[position].m_value;
    }

    bool contains(std::uint64_t key) const noexcept
    {
        return find_slot(stored_key(key)) != missing;
    }

    /// Inserts or replaces a value; returns false if the byte budget has no room for a new key.
    bool insert(std::uint64_t key, Value value = {})
    {
        if (Value* const present = find(key))
        {
            *present = std::move(value);
            return true;
        }
        if (!ensure_free_slot())
        {
            return false;
        }
        insert_new(stored_key(key), std::move(value));
        ++m_size;
        return true;
    }

    /// Removes a key; returns false if it is missing.
    bool erase(std::uint64_t key) noexcept
    {
        const std::size_t position = find_slot(stored_key(key));
        if (position == missing)
        {
            return false;
        }
        shift_back(position);
        --m_size;
        return true;
    }

    /// Removes all keys and keeps the allocated memory.
    void clear() noexcept
    {
        std::fill(m_slots.begin(), m_slots.end(), slot{});
        m_size = 0;
    }

    std::size_t size() const noexcept { return m_size; }

    /// Allocated memory in bytes.
    std::size_t bytes() const noexcept { return m_slots.capacity() * sizeof(slot); }

private:
    struct slot
    {
        std::uint64_t m_key = 0; ///< Key as stored_key returns it; zero marks an empty slot.
        [[no_unique_address]] Value m_value{};
    };

    static constexpr std::size_t missing = ~std::size_t{0};
    static constexpr std::size_t min_slots = 16;
    static constexpr std::uint64_t multiplier = 0x9E3779B97F4A7C15; // 2^64 / golden ratio

    static constexpr std::uint64_t stored_key(std::uint64_t key) noexcept
    {
        return key == 0 ? multiplier : key;
    }

    static constexpr std::size_t slots_for(std::size_t keys) noexcept
    {
        return std::max(min_slots, keys + keys / 4 + 1);
    }

    std::size_t home_slot(std::uint64_t key) const noexcept
    {
        __extension__ using wide = unsigned __int128;
        const std::uint64_t mixed = key * multiplier;
        return static_cast<std::size_t>((wide{mixed} * m_slots.size()) >> 64);
    }

    std::size_t next_slot(std::size_t position) const noexcept
    {
        return position + 1 == m_slots.size() ? 0 : position + 1;
    }

    std::size_t find_slot(std::uint64_t key) const noexcept
    {
        if (m_size == 0)
        {
            return missing;
        }
        for (std::size_t position = home_slot(key);; position = next_slot(position))
        {
            if (m_slots[position].m_key == key)
            {
                return position;
            }
            if (m_slots[position].m_key == 0)
            {
                return missing;
            }
        }
    }

    bool ensure_free_slot()
    {
        if ((m_size + 1) * 5 <= m_slots.size() * 4)
        {
            return true;
        }
        const std::size_t wanted = std::max(min_slots, m_slots.size() + m_slots.size() / 2);
        const std::size_t slots = std::min(wanted, m_max_slots);
        if ((m_size + 1) * 5 > slots * 4)
        {
            return false;
        }
        rehash(slots);
        return true;
    }

    void rehash(std::size_t slots)
    {
        std::vector<slot> old(slots);
        old.swap(m_slots);
        for (slot& entry : old)
        {
            if (entry.m_key == 0)
            {
                continue;
            }
            insert_new(entry.m_key, std::move(entry.m_value));
        }
    }

    void insert_new(std::uint64_t key, Value&& value)
    {
        std::size_t position = home_slot(key);
        while (m_slots[position].m_key != 0)
        {
            position = next_slot(position);
        }
        m_slots[position].m_key = key;
        m_slots[position].m_value = std::move(value);
    }

    /// Number of slots from a key's home slot to a position, with wraparound.
    std::size_t probe_distance(std::uint64_t key, std::size_t position) const noexcept
    {
        const std::size_t start = home_slot(key);
        return position >= start ? position - start : position + m_slots.size() - start;
    }

    void shift_back(std::size_t gap) noexcept
    {
        std::size_t steps = 1;
        for (std::size_t position = next_slot(gap); m_slots[position].m_key != 0;
             position = next_slot(position), ++steps)
        {
            if (probe_distance(m_slots[position].m_key, position) < steps)
            {
                continue;
            }
            m_slots[gap] = std::move(m_slots[position]);
            gap = position;
            steps = 0;
        }
        m_slots[gap] = slot{};
    }

    std::vector<slot> m_slots;
    std::size_t m_size = 0;  ///< Number of keys.
    std::size_t m_max_slots; ///< Limit set by the byte budget.
};

} // namespace tarragontrail::routing
