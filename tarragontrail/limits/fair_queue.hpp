#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/core/ids.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace tarragontrail::limits {

/// Settings of the queue in front of one engine.
struct fair_queue_settings
{
    std::uint64_t m_quantum_tokens = 4000;     ///< Tokens that a workspace may dispatch per turn.
    std::uint64_t m_in_flight_tokens = 200000; ///< Tokens dispatched and not finished, at most.
    std::size_t m_queued_per_workspace = 256;  ///< Requests that wait per workspace, at most.
    std::size_t m_queued_requests = 2048;      ///< Requests that wait in all, at most.
};

/// Order among one workspace's own requests; it gives no right over other workspaces.
enum class request_priority : std::uint8_t
{
    interactive, ///< Somebody waits.
    standard,    ///< Default.
    background,  ///< Runs when nothing else of the workspace waits.
};

/// Number of priorities.
constexpr std::size_t priority_count = 3;

/// Request that waits for an engine.
struct queued_request
{
    core::request_id m_request{};                             ///< Request.
    core::workspace_id m_workspace{};                         ///< Workspace it runs for.
    std::uint64_t m_cost_tokens = 0;                          ///< Tokens it will take at most.
    request_priority m_priority = request_priority::standard; ///< Order within the workspace.
    core::time_point m_deadline;                              ///< Latest time of dispatch.
};

/// Why a queued request was refused; it was not run.
enum class queue_refusal : std::uint8_t
{
    queue_full,       ///< Too many requests wait.
    deadline_expired, ///< It waited past its deadline.
};

/// Text of a queue refusal as shown to callers and in logs.
constexpr const char* to_string(queue_refusal reason) noexcept
{
    return reason == queue_refusal::queue_full ? "queue full" : "deadline expired";
}

/// Send the request to the engine now.
struct dispatch
{
    core::request_id m_request{}; ///< Request.
};

/// Tell the caller that the request was not run.
struct queue_refused
{
    core::request_id m_request{}; ///< Request.
    queue_refusal m_reason{};     ///< Why.
};

/// Anything that a fair queue asks its shell to do.
using queue_action = std::variant<dispatch, queue_refused>;

/// Deficit round robin in tokens over workspaces, in front of one engine.
///
/// Each turn lets a workspace dispatch a quantum of tokens more; what it does not use is kept for
/// its next turn while it has requests waiting. Tokens in flight at the engine are bounded.
class fair_queue
{
public:
    explicit fair_queue(const fair_queue_settings& settings) : m_settings(settings) {}

    /// Queues a request, or refuses it when the queue is full.
    void push(const queued_request& request, core::time_point now);

    /// Removes a request that still waits; false when it was dispatched or is unknown.
    bool cancel(core::request_id request, core::time_point now);

    /// Ends a dispatched request, whatever its outcome; repeated calls have no effect.
    void on_finished(core::request_id request, core::time_point now);

    std::optional<core::time_point> next_deadline() const;
    void on_timer(core::time_point now);
    std::vector<queue_action> take_actions() { return std::exchange(m_actions, {}); }

    std::size_t waiting() const noexcept { return m_waiting; }
    std::uint64_t in_flight_tokens() const noexcept { return m_in_flight; }

private:
    static constexpr std::uint32_t no_slot = ~std::uint32_t{0};

    /// Waiting request, linked to its neighbours of the same workspace and priority.
    struct entry
    {
        queued_request m_request;
        std::uint64_t m_serial = 0; ///< Tells apart the users of a slot; zero when free.
        std::uint32_t m_previous = no_slot;
        std::uint32_t m_next = no_slot;
    };

    struct entry_list
    {
        std::uint32_t m_first = no_slot;
        std::uint32_t m_last = no_slot;
    };

    /// One workspace's waiting requests.
    struct workspace_queue
    {
        std::array<entry_list, priority_count> m_lists; ///< Requests by priority.
        std::size_t m_waiting = 0;                      ///< Requests in all lists.
        std::uint64_t m_deficit = 0;                    ///< Tokens it may dispatch.
    };

    struct expiry
    {
        core::time_point m_deadline;
        std::uint32_t m_slot = no_slot;
        std::uint64_t m_serial = 0;
    };

    static bool expires_later(const expiry& left, const expiry& right)
    {
        return left.m_deadline > right.m_deadline;
    }

    std::uint32_t allocate_slot(const queued_request& request);
    void remove(std::uint32_t slot);
    std::uint32_t first_waiting(const workspace_queue& waiting) const;
    void expire(core::time_point now);
    void drop_stale_expiries();
    void dispatch_ready();
    void check_idle_invariants() const;

    fair_queue_settings m_settings;                              ///< Settings.
    std::vector<entry> m_entries;                                ///< Pool of entries.
    std::vector<std::uint32_t> m_free_slots;                     ///< Free slots of the pool.
    std::unordered_map<core::request_id, std::uint32_t> m_slots; ///< Slot of each waiting request.
    std::unordered_map<core::request_id, std::uint64_t>
        m_running; ///< Cost of each dispatched request.
    std::unordered_map<core::workspace_id, workspace_queue>
        m_workspace_queues;                       ///< Workspaces in the ring.
    std::deque<core::workspace_id> m_round_robin; ///< Order of turns.
    std::vector<expiry> m_expiries;               ///< Heap, earliest deadline first.
    std::vector<queue_action> m_actions;          ///< Actions not yet taken.
    std::size_t m_waiting = 0;                    ///< Requests waiting.
    std::uint64_t m_in_flight = 0;                ///< Tokens dispatched and not finished.
    std::uint64_t m_last_serial = 0;              ///< Serial of the newest entry.
    bool m_quantum_granted = false;               ///< The first lane got its quantum.
};

} // namespace tarragontrail::limits
