#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/core/ids.hpp"
#include "tarragontrail/core/random.hpp"
#include "tarragontrail/idempotency/call_guard_settings.hpp"
#include "tarragontrail/idempotency/call_row.hpp"
#include "tarragontrail/idempotency/call_types.hpp"
#include "tarragontrail/idempotency/guarded_entry.hpp"
#include "tarragontrail/idempotency/write_batcher.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace tarragontrail::idempotency {

/// Runs each non-idempotent call at most once over all instances and restarts.
///
/// A call with an Idempotency-Key is dispatched only after its intent row was seen to hold this
/// guard's own nonce; no other guard dispatches for that row. Every refusal states what is known of
/// the execution of the call. Performs no I/O: the I/O layer carries out take_actions() and reports
/// the results.
class call_guard
{
public:
    call_guard(call_guard_settings settings, core::instance_id self, core::incarnation started,
               std::uint64_t seed);

    /// Accepts a call. Exactly one answer or refuse action follows for its request.
    void begin(const guarded_call& call, core::time_point now);

    /// The complete response of the service to an attempt arrived.
    void on_dispatch_finished(core::request_id request, std::uint64_t attempt,
                              service_answer result, core::time_point now);

    /// The connection of an attempt was lost after bytes of the request had been sent.
    void on_dispatch_lost(core::request_id request, std::uint64_t attempt, core::time_point now);

    /// No byte of an attempt was sent, for example because the connection was refused.
    void on_dispatch_not_run(core::request_id request, std::uint64_t attempt, core::time_point now);

    /// A row was read.
    void on_table_read(std::uint64_t operation, const read_result& result, core::time_point now);

    /// A transaction was answered.
    void on_table_written(std::uint64_t operation, const write_result& result,
                          core::time_point now);

    /// A table operation was not answered; a write may have taken effect or still may.
    void on_table_failed(std::uint64_t operation, core::time_point now);

    /// An object write or read finished; `found` is false when it failed.
    void on_object_done(std::uint64_t operation, bool found, std::string content,
                        core::time_point now);

    /// Runs all steps that are due.
    void on_timer(core::time_point now);

    /// Time at which on_timer() must be called next.
    std::optional<core::time_point> next_deadline() const;

    /// Returns and clears the actions that the I/O layer must carry out.
    std::vector<call_action> take_actions();

    /// Whether no entry is held; a graceful shutdown waits for this.
    bool idle() const noexcept;

private:
    using entry_map = std::unordered_map<std::uint64_t, guarded_entry>;

    /// Reason and execution state that a refusal reports.
    struct refusal_details
    {
        refusal m_reason;
        core::execution m_execution; ///< What is known of the execution of this request.
        /// What is known of the execution of earlier requests with the same key.
        core::execution m_earlier;
    };

    // Waiting callers.
    guarded_entry& open_entry(const guarded_call& call);
    void add_waiter(guarded_entry& entry, const guarded_call& call, core::time_point now);
    void join(guarded_entry& entry, const guarded_call& call, core::time_point now);
    void answer_all(guarded_entry& entry, const service_answer& result, bool replayed);
    void refuse_all(guarded_entry& entry, const refusal_details& state);
    void expire_waiters(guarded_entry& entry, core::time_point now);
    void refuse_call(core::request_id request, const refusal_details& state);

    // Phase changes of an entry.
    void start_claim(guarded_entry& entry, row_version expected_version, core::time_point now);
    void start_dispatch(guarded_entry& entry, core::time_point now);
    void start_release(guarded_entry& entry, core::time_point now);
    void start_store(guarded_entry& entry, call_state state, core::time_point now);
    void start_polling(guarded_entry& entry, core::time_point now);
    void close_if_abandoned(guarded_entry& entry, core::time_point now);
    void run_next_step(guarded_entry& entry, core::time_point now);

    // Rows and objects.
    void set_target(guarded_entry& entry, call_state state);
    void write_target(guarded_entry& entry, core::duration batch_delay, core::time_point now);
    void write_object(guarded_entry& entry);
    void read_object(guarded_entry& entry);
    void read_row(guarded_entry& entry);
    void back_off(guarded_entry& entry, core::duration limit, core::time_point now);
    void on_write_outcome(const write_outcome& outcome, core::time_point now);
    void on_row(guarded_entry& entry, const read_result& found, core::time_point now);
    void on_write_confirmed(guarded_entry& entry, row_version version, core::time_point now);
    void on_other_owner(guarded_entry& entry, const call_row& row, row_version version,
                        core::time_point now);
    void on_unreadable(guarded_entry& entry);

    // Bookkeeping.
    guarded_entry* find_dispatched(core::request_id request, std::uint64_t attempt);
    guarded_entry* touch(std::uint64_t number);
    guarded_entry* touch_operation(std::uint64_t operation);
    std::uint64_t start_operation(const guarded_entry& entry);
    void finish_event(core::time_point now);
    void update_timer(guarded_entry& entry);
    static core::time_point wait_limit_of(const guarded_entry& entry, const call_waiter& waiter);
    void erase(guarded_entry& entry);

    call_guard_settings m_settings;
    core::instance_id m_self;
    core::incarnation m_started;  ///< Incarnation of this instance.
    core::seeded_random m_random; ///< Source of nonces and jitter.
    write_batcher m_batcher;      ///< Groups writes into transactions.
    entry_map m_entries;          ///< Entries by their number.
    std::unordered_map<std::string, std::uint64_t> m_entry_by_key; ///< Entry number by row key.
    /// Entry number by dispatched request.
    std::unordered_map<core::request_id, std::uint64_t> m_entry_by_dispatch;
    /// Entry number by table read or object operation.
    std::unordered_map<std::uint64_t, std::uint64_t> m_entry_by_operation;
    /// Entry numbers by their next wake-up time.
    std::set<std::pair<core::time_point, std::uint64_t>> m_timers;
    std::vector<std::uint64_t> m_touched; ///< Entries to update at the end of the event.
    std::vector<call_action> m_actions;   ///< Actions not yet returned by take_actions().
    std::uint64_t m_next_entry = 1;       ///< Number of the next entry.
    std::uint64_t m_next_operation = 1;   ///< Number of the next operation.
    std::size_t m_waiter_count = 0;       ///< Number of waiting callers.
    std::size_t m_answer_bytes = 0;       ///< Bytes of answers not yet stored.
};

} // namespace tarragontrail::idempotency
