#include "tarragontrail/routing/request_table.hpp"

#include "tarragontrail/core/invariant.hpp"

namespace tarragontrail::routing {

request_record& request_table::add(core::request_id request_id)
{
    if (m_by_request.contains(core::value_of(request_id)))
    {
        throw duplicate_request();
    }
    if (m_free.empty())
    {
        m_free.push_back(static_cast<std::uint32_t>(m_records.size()));
        m_records.emplace_back();
    }
    const std::uint32_t position = m_free.back();
    m_free.pop_back();
    m_by_request.insert(core::value_of(request_id), position);

    // The vectors keep their memory from the previous request, which avoids allocations.
    request_record& request = m_records[position];
    TARRAGONTRAIL_INVARIANT(request.m_stage == request_stage::free, "record_is_free");
    request.m_request_id = request_id;
    request.m_stage = request_stage::looking_up;
    request.m_first_lookup_id = 0;
    request.m_timed_out = false;
    request.m_engine = {};
    request.m_incarnation = {};
    request.m_hashes.clear();
    request.m_excluded.clear();
    request.m_candidates.clear();
    return request;
}

void request_table::remove(request_record& request)
{
    end_lookups(request);
    const std::uint64_t key = core::value_of(request.m_request_id);
    m_free.push_back(*m_by_request.find(key));
    m_by_request.erase(key);
    request.m_stage = request_stage::free;
}

request_record* request_table::find(core::request_id request_id) noexcept
{
    const std::uint32_t* const position = m_by_request.find(core::value_of(request_id));
    return position == nullptr ? nullptr : &m_records[*position];
}

request_record* request_table::find_by_lookup(std::uint64_t first_lookup_id) noexcept
{
    const std::uint32_t* const position = m_by_lookup.find(first_lookup_id);
    return position == nullptr ? nullptr : &m_records[*position];
}

void request_table::start_lookups(request_record& request, core::time_point deadline)
{
    const std::uint32_t position = *m_by_request.find(core::value_of(request.m_request_id));
    m_latest_lookup_id += lookup_ids_per_request;
    request.m_first_lookup_id = m_latest_lookup_id;
    m_by_lookup.insert(request.m_first_lookup_id, position);
    m_timeouts.push_back({deadline, request.m_first_lookup_id});
}

void request_table::end_lookups(request_record& request)
{
    if (request.m_first_lookup_id == 0)
    {
        return;
    }
    m_by_lookup.erase(request.m_first_lookup_id);
    request.m_first_lookup_id = 0;
    drop_ended_timeouts();
}

request_record* request_table::next_timed_out(core::time_point now)
{
    drop_ended_timeouts();
    if (m_timeouts.empty() || m_timeouts.front().m_deadline > now)
    {
        return nullptr;
    }
    return find_by_lookup(m_timeouts.front().m_first_lookup_id);
}

std::optional<core::time_point> request_table::next_deadline() const noexcept
{
    if (m_timeouts.empty())
    {
        return std::nullopt;
    }
    return m_timeouts.front().m_deadline;
}

void request_table::drop_ended_timeouts()
{
    while (!m_timeouts.empty() && !m_by_lookup.contains(m_timeouts.front().m_first_lookup_id))
    {
        m_timeouts.pop_front();
    }
}

} // namespace tarragontrail::routing
