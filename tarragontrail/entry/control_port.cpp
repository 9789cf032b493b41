#include "tarragontrail/entry/control_port.hpp"

namespace tarragontrail::entry {

using core::runtime_clock;

bool control_port::begin(const std::shared_ptr<const completion_request>& request,
                         const std::shared_ptr<completion_listener>& listener)
{
    return m_control.try_post([this, request, listener, arrived = runtime_clock::now()] {
        m_completions.begin(request, listener, arrived);
    });
}

bool control_port::begin(const std::shared_ptr<const call_request>& request,
                         const std::shared_ptr<call_listener>& listener)
{
    return m_control.try_post([this, request, listener, arrived = runtime_clock::now()] {
        m_calls.begin(request, listener, arrived);
    });
}

void control_port::first_token(core::request_id id)
{
    m_control.post([this, id] { m_completions.on_first_token(id, runtime_clock::now()); });
}

void control_port::attempt_failed(core::request_id id, const attempt_failure& failure)
{
    m_control.post([this, id, failure] {
        m_completions.on_attempt_failed(id, failure, runtime_clock::now());
    });
}

void control_port::end(core::request_id id, const completion_end& end)
{
    m_control.post([this, id, end] { m_completions.on_end(id, end, runtime_clock::now()); });
}

void control_port::call_answered(core::request_id id, std::uint64_t attempt,
                                 idempotency::service_answer answer)
{
    m_control.post([this, id, attempt, answer = std::move(answer)] {
        m_calls.on_answered(id, attempt, answer, runtime_clock::now());
    });
}

void control_port::call_failed(core::request_id id, std::uint64_t attempt,
                               const net::call_failure& failure)
{
    m_control.post([this, id, attempt, failure] {
        m_calls.on_failed(id, attempt, failure, runtime_clock::now());
    });
}

void control_port::call_abandoned(core::request_id id)
{
    m_control.post([this, id] { m_calls.on_abandoned(id, runtime_clock::now()); });
}

} // namespace tarragontrail::entry
