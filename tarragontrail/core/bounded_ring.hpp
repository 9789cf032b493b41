#pragma once

#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace tarragontrail::core {

/// Thread-safe FIFO queue of fixed capacity; a push to a full queue fails instead of allocating.
template <class Item>
class bounded_ring
{
public:
    /// Allocates room for `capacity` items, at least one.
    explicit bounded_ring(std::size_t capacity) : m_slots(capacity == 0 ? 1 : capacity) {}

    /// Appends an item; returns false and leaves the item untouched when the ring is full.
    bool try_push(Item&& item)
    {
        const std::lock_guard lock(m_mutex);
        if (m_size == m_slots.size())
        {
            return false;
        }
        m_slots[(m_first + m_size) % m_slots.size()] = std::move(item);
        ++m_size;
        return true;
    }

    /// Removes and returns the oldest item, or nothing if the ring is empty.
    std::optional<Item> try_pop()
    {
        const std::lock_guard lock(m_mutex);
        if (m_size == 0)
        {
            return std::nullopt;
        }
        std::optional<Item> item(std::move(*m_slots[m_first]));
        m_slots[m_first].reset();
        m_first = (m_first + 1) % m_slots.size();
        --m_size;
        return item;
    }

    std::size_t size() const
    {
        const std::lock_guard lock(m_mutex);
        return m_size;
    }

private:
    mutable std::mutex m_mutex;               ///< Guards all members below.
    std::vector<std::optional<Item>> m_slots; ///< Ring buffer; its size is the capacity.
    std::size_t m_first = 0;                  ///< Position of the oldest item.
    std::size_t m_size = 0;                   ///< Number of items.
};

} // namespace tarragontrail::core
