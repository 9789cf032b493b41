#pragma once

#include "tarragontrail/routing/flat_hash_map.hpp"
#include "tarragontrail/routing/route_request.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace tarragontrail::routing {

/// Lookup ids of one request, one for each round.
constexpr std::uint64_t lookup_ids_per_request = 8;

/// Unfinished requests in reusable records, with their lookup timeouts in order.
class request_table
{
public:
    /// Lookup ids start at a random value, so that replies to an earlier process match no request.
    explicit request_table(std::uint64_t random_start)
        : m_latest_lookup_id(random_start / lookup_ids_per_request * lookup_ids_per_request)
    {}

    /// Returns the record for a new request; throws duplicate_request if the id is in use.
    request_record& add(core::request_id request_id);

    /// Ends the request's lookups and frees its record.
    void remove(request_record& request);

    /// Returns null if the request is unknown.
    request_record* find(core::request_id request_id) noexcept;

    /// Returns null if no running lookups have this first id.
    request_record* find_by_lookup(std::uint64_t first_lookup_id) noexcept;

    /// Assigns lookup ids to a request. Its lookups time out at `deadline`, which must not be
    /// earlier than that of any previous call.
    void start_lookups(request_record& request, core::time_point deadline);

    /// Releases the lookup ids of a request; later replies to them are ignored.
    void end_lookups(request_record& request);

    /// Returns the next request whose lookups have timed out, or null.
    request_record* next_timed_out(core::time_point now);

    /// Earliest timeout; the lookups that it belongs to may have ended.
    std::optional<core::time_point> next_deadline() const noexcept;

    std::size_t size() const noexcept { return m_by_request.size(); }

private:
    struct timeout
    {
        core::time_point m_deadline{};
        std::uint64_t m_first_lookup_id = 0; ///< Identifies the lookups.
    };

    void drop_ended_timeouts();

    std::deque<request_record> m_records;      ///< Records; a deque keeps references valid.
    std::vector<std::uint32_t> m_free;         ///< Positions of unused records.
    flat_hash_map<std::uint32_t> m_by_request; ///< Positions of records by request id.
    flat_hash_map<std::uint32_t> m_by_lookup;  ///< Positions of records by first lookup id.
    std::deque<timeout> m_timeouts;            ///< Timeouts in order of deadline.
    /// First lookup id assigned most recently.
    std::uint64_t m_latest_lookup_id;
};

} // namespace tarragontrail::routing
