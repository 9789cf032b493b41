#pragma once

#include "tarragontrail/routing/flat_hash_map.hpp"
#include "tarragontrail/routing/route_request.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace tarragontrail::routing {

constexpr std::uint64_t lookup_ids_per_request =
    8; ///< Lookup ids of one request, one for each round.

/// Requests from begin to finish, in records that are reused, with their lookup timeouts in order.
class request_table
{
public:
    /// Lookup ids follow a random start, so that replies to an earlier process match none.
    explicit request_table(std::uint64_t random_start)
        : m_last_first_lookup_id(random_start / lookup_ids_per_request * lookup_ids_per_request)
    {}

    /// Record for a new request; throws duplicate_request when its id is in use.
    request_record& add(core::request_id request_id);

    /// Frees a request's record.
    void remove(request_record& request);

    /// Record of a request, or null.
    request_record* find(core::request_id request_id) noexcept;

    /// Record whose lookups have this base, or null.
    request_record* find_by_lookup(std::uint64_t first_lookup_id) noexcept;

    /// Starts the lookups of a request that time out at `deadline`, no earlier than those before.
    void start_lookups(request_record& request, core::time_point deadline);

    /// Ends the lookups of a request; later replies find nothing.
    void end_lookups(request_record& request);

    /// Next request whose lookups have timed out, or null.
    request_record* next_timed_out(core::time_point now);

    /// Earliest timeout of running lookups; may name lookups that have ended.
    std::optional<core::time_point> next_deadline() const noexcept;

    std::size_t size() const noexcept { return m_by_request.size(); }

private:
    /// Timeout of one request's lookups.
    struct timeout
    {
        core::time_point m_deadline{};       ///< When they time out.
        std::uint64_t m_first_lookup_id = 0; ///< Which lookups.
    };

    void drop_ended_timeouts();

    std::deque<request_record> m_records;      ///< Records; references stay valid.
    std::vector<std::uint32_t> m_free;         ///< Records without a request.
    flat_hash_map<std::uint32_t> m_by_request; ///< Records by request id.
    flat_hash_map<std::uint32_t> m_by_lookup;  ///< Records by lookup base.
    std::deque<timeout> m_timeouts;            ///< Timeouts, earliest first.
    std::uint64_t m_last_first_lookup_id;      ///< Base of the last lookups.
};

} // namespace tarragontrail::routing
