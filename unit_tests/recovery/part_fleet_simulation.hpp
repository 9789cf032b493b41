#pragma once

#include "tarragontrail/core/random.hpp"
#include "tarragontrail/recovery/part_attribution.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <set>
#include <vector>

namespace tarragontrail::recovery {

/// Faults and load of one simulated fleet.
struct part_fleet_options
{
    std::uint64_t m_instances = 5;
    std::uint64_t m_engines = 10;
    std::uint64_t m_requests_per_second = 200;
    double m_deadly_share = 0.05;     ///< Share of requests with a deadly part.
    std::uint64_t m_deadly_parts = 1; ///< Deadly parts; the second takes half of the share.
    bool m_is_deadly_first = false;   ///< The deadly part takes the place of the shared part.
    bool m_is_sound_before = false;   ///< Engines serve the deadly parts until they turn deadly.
    bool m_loses_messages = false;    ///< A tenth of messages is lost, a tenth is repeated.
    std::uint64_t m_lost_domains = 0; ///< Times that a part of the engines crashes at once.
    std::uint64_t m_restarts = 0;     ///< Instances that restart midway.
};

/// What a simulated fleet has seen.
struct part_fleet_result
{
    std::map<std::uint64_t, std::vector<core::time_point>> m_crashes; ///< By deadly part.
    /// Times at which requests with a deadly part reached engines, by part.
    std::map<std::uint64_t, std::vector<core::time_point>> m_reached;
    /// Crashes by requests that were sent after the first crash was known, by deadly part.
    std::map<std::uint64_t, std::uint64_t> m_later_crashes;
    std::uint64_t m_sound_refused = 0;    ///< Refused requests without a deadly part.
    std::uint64_t m_sound_unfinished = 0; ///< Requests without a deadly part that had no answer.
    core::duration m_longest_hold{};      ///< Longest hold of a request without a deadly part.
    /// Longest hold of a request whose parts are all shared and have begun.
    core::duration m_longest_shared_hold{};
    std::uint64_t m_innocent_quarantines = 0; ///< Quarantines without a deadly part.
    std::uint64_t m_served = 0;               ///< Requests with an answer.
    std::uint64_t m_messages = 0;             ///< Messages sent to one peer each.
};

/// Instances that route requests to engines and exchange messages; requests with a deadly part
/// crash the engine that begins to answer them.
class part_fleet_simulation
{
public:
    part_fleet_simulation(std::uint64_t seed, const part_fleet_options& options);

    part_fleet_result run();

private:
    static constexpr std::chrono::seconds offered_time{9}; ///< Time in which requests arrive.
    static constexpr std::chrono::seconds fault_time{2};   ///< Parts are deadly from then on.

    /// Request of a caller.
    struct request
    {
        std::vector<std::uint64_t> m_parts;
        std::uint64_t m_instance = 0;
        std::uint64_t m_deadly = 0; ///< Its deadly part, or zero.
        bool m_is_shared_only = false;
        std::optional<core::time_point> m_held_since;
    };

    /// Attempt that runs on an engine.
    struct running
    {
        std::uint64_t m_request = 0;
        bool m_has_begun = false;
        bool m_is_later = false; ///< Sent after the first crash of its deadly part was known.
    };

    struct engine
    {
        std::uint64_t m_started = 1;
        bool m_is_up = true;
        std::map<std::uint64_t, running> m_running; ///< By attempt.
    };

    struct instance
    {
        part_attribution m_core;
        std::uint64_t m_generation = 0; ///< Number of restarts.
        std::set<std::uint64_t> m_down; ///< Engines that are known to be down.
        std::optional<core::time_point> m_timer;
    };

    /// Something that happens at a time; equal times keep their order.
    struct event
    {
        core::time_point m_at;
        std::uint64_t m_order;
        std::function<void()> m_run;
        bool operator<(const event& other) const
        {
            return m_at != other.m_at ? m_at > other.m_at : m_order > other.m_order;
        }
    };

    void at(core::duration delay, std::function<void()> run);
    std::chrono::milliseconds between(std::uint64_t low, std::uint64_t high);
    void arrive();
    std::vector<std::uint64_t> draw_parts(request& drawn);
    void place(std::uint64_t number);
    void send(std::uint64_t number, std::uint64_t target);
    void begin(std::uint64_t attempt, std::uint64_t target, std::uint64_t started);
    void end(std::uint64_t attempt, std::uint64_t target, std::uint64_t started);
    void crash(std::uint64_t target);
    void learn_of_crash(std::uint64_t target, std::uint64_t started, std::uint64_t at_instance);
    void lose_domain();
    void restart(std::uint64_t which);
    /// Sends the messages of an instance and sets its timer.
    void flush(std::uint64_t which);
    void deliver(std::uint64_t to, const part_attribution_action& message);
    bool is_deadly_now(const request& what) const;
    void note_hold_end(request& held);

    core::seeded_random m_random;
    part_fleet_options m_options;
    core::time_point m_now{};
    std::priority_queue<event> m_events;
    std::uint64_t m_next_order = 0;
    std::vector<instance> m_instances;
    std::vector<engine> m_engines;
    std::map<std::uint64_t, request> m_requests; ///< Those without an end, by number.
    std::uint64_t m_next_request = 1;
    std::uint64_t m_next_attempt = 1;
    std::uint64_t m_next_rare_part = 1'000'000;
    std::map<std::uint64_t, core::time_point> m_begun_shared; ///< First begins of shared parts.
    std::vector<std::pair<part_quarantine_notice, core::time_point>> m_rows; ///< Persisted.
    part_fleet_result m_result;
};

} // namespace tarragontrail::recovery
