#pragma once

#include "tarragontrail/entry/call_flow.hpp"
#include "tarragontrail/entry/completion_flow.hpp"

namespace tarragontrail::entry {

/// The callers' side of the control thread: hands events over its ring.
class control_port
{
public:
    control_port(net::duty& control, completion_flow& completions, call_flow& calls)
        : m_control(control), m_completions(completions), m_calls(calls)
    {}

    /// Takes on a completion; false when the control thread has too much to do.
    bool begin(const std::shared_ptr<const completion_request>& request,
               const std::shared_ptr<completion_listener>& listener);

    /// Takes on a call to a plain service; false when the control thread has too much to do.
    bool begin(const std::shared_ptr<const call_request>& request,
               const std::shared_ptr<call_listener>& listener);

    // Events of completions.
    void first_token(core::request_id id);
    void attempt_failed(core::request_id id, const attempt_failure& failure);
    void end(core::request_id id, const completion_end& end);

    // Events of calls to plain services.
    void call_answered(core::request_id id, std::uint64_t attempt,
                       idempotency::service_answer answer);
    void call_failed(core::request_id id, std::uint64_t attempt, const net::call_failure& failure);
    void call_abandoned(core::request_id id);

    /// Event loop of the control thread, for timers that its tasks set.
    boost::asio::io_context& context() noexcept { return m_control.context(); }

    /// Runs a task on the control thread; false when it has too much to do.
    bool ask(net::duty::task work) { return m_control.try_post(std::move(work)); }

private:
    net::duty& m_control;           ///< Control thread.
    completion_flow& m_completions; ///< Completions there.
    call_flow& m_calls;             ///< Calls to plain services there.
};

} // namespace tarragontrail::entry
