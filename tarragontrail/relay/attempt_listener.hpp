#pragma once

#include "tarragontrail/relay/relay_session.hpp"

#include <memory>
#include <utility>

namespace tarragontrail::relay {

/// Forwards the events of one call to its session, with the number of the attempt.
class relay_session::attempt_listener : public net::call_listener
{
public:
    attempt_listener(std::shared_ptr<relay_session> session, std::uint64_t attempt)
        : m_session(std::move(session)), m_attempt(attempt)
    {}

    void on_head(const net::http_response& head, net::body_framing framing) override
    {
        m_session->run_guarded("head", [&] { m_session->on_head(m_attempt, head, framing); });
    }

    void on_body(std::string_view chunk) override
    {
        m_session->run_guarded("body", [&] { m_session->on_body(m_attempt, chunk); });
    }

    void on_complete() override
    {
        m_session->run_guarded("complete", [this] { m_session->on_complete(m_attempt); });
    }

    void on_failed(const net::call_failure& failure) override
    {
        m_session->run_guarded("failed", [&] { m_session->on_failed(m_attempt, failure); });
    }

private:
    std::shared_ptr<relay_session> m_session;
    std::uint64_t m_attempt;
};

} // namespace tarragontrail::relay
