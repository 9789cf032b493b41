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
    std::uint64_t m_quantum_tokens = 4000;     ///< Tokens added to a workspace's deficit per turn.
    std::uint64_t m_in_flight_tokens = 200000; ///< Maximum tokens dispatched and not finished.
    std::size_t m_queued_per_workspace = 256;  ///< Maximum waiting requests per workspace.
    std::size_t m_queued_requests = 2048;      ///< Maximum waiting requests in total.
};

/// Order among the requests of one workspace; it has no effect on other workspaces.
enum class request_priority : std::uint8_t
{
    interactive, ///< A user waits for the answer.
    standard,
    background, ///< Dispatched when no other request of the workspace waits.
};

/// Number of enumerators of request_priority.
constexpr std::size_t priority_count = 3;

/// Request that waits for dispatch to an engine.
struct queued_request
{
    core::request_id m_request{};
    core::workspace_id m_workspace{};
    std::uint64_t m_cost_tokens = 0; ///< Upper bound of the tokens that it will use.
    request_priority m_priority = request_priority::standard;
    core::time_point m_deadline; ///< Refused if not dispatched before this time.
};

/// Why a queued request was refused without having run.
enum class queue_refusal : std::uint8_t
{
    queue_full,       ///< A limit on waiting requests was reached.
    deadline_expired, ///< The deadline passed before dispatch.
};

/// Text of a queue refusal in answers to callers and in logs.
constexpr const char* to_string(queue_refusal reason) noexcept
{
    return reason == queue_refusal::queue_full ? "queue full" : "deadline expired";
}

/// Sends the request to the engine.
struct dispatch
{
    core::request_id m_request{};
};

/// Reports to the caller that the request was not run.
struct queue_refused
{
    core::request_id m_request{};
    queue_refusal m_reason{};
};

/// Action that a fair_queue requests from the I/O layer.
using queue_action = std::variant<dispatch, queue_refused>;

/// Deficit round robin over workspaces, weighted in tokens, in front of one engine.
///
/// Each turn adds a quantum of tokens to the workspace's deficit. Unused deficit carries over to
/// the next turn as long as the workspace has waiting requests. Tokens in flight at the engine are
/// bounded.
class fair_queue
{
public:
    explicit fair_queue(const fair_queue_settings& settings) : m_settings(settings) {}

    /// Queues a request; refuses it if a queue limit is reached or its deadline has passed.
    void push(const queued_request& request, core::time_point now);

    /// Removes a waiting request. Returns false if it was dispatched or is unknown.
    bool cancel(core::request_id request, core::time_point now);

    /// Ends a dispatched request, regardless of its outcome; repeated calls have no effect.
    void on_finished(core::request_id request, core::time_point now);

    std::optional<core::time_point> next_deadline() const;
    void on_timer(core::time_point now);
    std::vector<queue_action> take_actions() { return std::exchange(m_actions, {}); }

    std::size_t waiting() const noexcept { return m_waiting; }
    std::uint64_t in_flight_tokens() const noexcept { return m_in_flight; }

private:
    static constexpr std::uint32_t no_slot = ~std::uint32_t{0};

    /// Waiting request; a node in the list of its workspace and priority.
    struct entry
    {
        queued_request m_request;
        /// Distinguishes successive users of a slot; zero if the slot is free.
        std::uint64_t m_serial = 0;
        std::uint32_t m_previous = no_slot;
        std::uint32_t m_next = no_slot;
    };

    struct entry_list
    {
        std::uint32_t m_first = no_slot;
        std::uint32_t m_last = no_slot;
    };

    /// Waiting requests of one workspace.
    struct workspace_queue
    {
        std::array<entry_list, priority_count> m_lists; ///< By priority.
        std::size_t m_waiting = 0;                      ///< Number of requests in all lists.
        std::uint64_t m_deficit = 0; ///< Tokens that the workspace may still dispatch.
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

    fair_queue_settings m_settings;
    std::vector<entry> m_entries; ///< Slot pool.
    std::vector<std::uint32_t> m_free_slots;
    std::unordered_map<core::request_id, std::uint32_t> m_slots; ///< By waiting request.
    /// Cost in tokens of each dispatched request.
    std::unordered_map<core::request_id, std::uint64_t> m_running;
    /// Of the workspaces in m_round_robin.
    std::unordered_map<core::workspace_id, workspace_queue> m_workspace_queues;
    std::deque<core::workspace_id> m_round_robin; ///< Workspaces in order of their turns.
    /// Min-heap by deadline; may hold removed entries behind its front.
    std::vector<expiry> m_expiries;
    std::vector<queue_action> m_actions; ///< Returned by the next take_actions().
    std::size_t m_waiting = 0;           ///< Number of waiting requests.
    std::uint64_t m_in_flight = 0;       ///< Tokens dispatched and not yet finished.
    std::uint64_t m_last_serial = 0;
    /// The workspace at the front has received the quantum of its turn.
    bool m_quantum_granted = false;
};

} // namespace tarragontrail::limits
