#include "tarragontrail/routing/engine_set.hpp"

#include <utility>

namespace tarragontrail::routing {

void engine_set::assign(const std::vector<engine_entry>& entries)
{
    std::vector<engine_record> records;
    records.reserve(entries.size());
    for (const engine_entry& entry : entries)
    {
        engine_record& record = records.emplace_back();
        engine_record* const existing = find(entry.m_upstream_id);
        if (existing != nullptr)
        {
            record = std::move(*existing);
        }

        // An incarnation learned from the engine itself may be newer than the one in the new set.
        const core::incarnation newest = record.m_entry.m_incarnation;
        record.m_entry = entry;
        record.m_entry.m_incarnation = newest;
        if (entry.m_incarnation > newest)
        {
            reset_for_incarnation(record, entry.m_incarnation);
        }
    }
    m_records = std::move(records);

    m_position = flat_hash_map<std::uint32_t>(m_records.size());
    for (std::uint32_t position = 0; position < m_records.size(); ++position)
    {
        m_position.insert(core::value_of(m_records[position].m_entry.m_upstream_id), position);
    }
}

void engine_set::on_incarnation(core::upstream_id engine, core::incarnation incarnation)
{
    engine_record* const record = find(engine);
    if (record == nullptr || incarnation <= record->m_entry.m_incarnation)
    {
        return;
    }
    reset_for_incarnation(*record, incarnation);
}

engine_record* engine_set::find(core::upstream_id engine) noexcept
{
    const std::uint32_t* const position = m_position.find(core::value_of(engine));
    return position == nullptr ? nullptr : &m_records[*position];
}

const engine_record* engine_set::find(core::upstream_id engine) const noexcept
{
    const std::uint32_t* const position = m_position.find(core::value_of(engine));
    return position == nullptr ? nullptr : &m_records[*position];
}

void engine_set::reset_for_incarnation(engine_record& record, core::incarnation incarnation)
{
    record.m_entry.m_incarnation = incarnation;
    record.m_load.clear();
}

} // namespace tarragontrail::routing
