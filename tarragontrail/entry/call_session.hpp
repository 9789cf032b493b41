#pragma once

#include "tarragontrail/entry/completion_session.hpp"

namespace tarragontrail::entry {

/// One caller's call to a plain service, on the callers' thread.
///
/// A guarded call goes on when its caller leaves, as its answer is stored for a repeat.
class call_session : public call_listener, public std::enable_shared_from_this<call_session>
{
public:
    call_session(std::shared_ptr<net::http_exchange> exchange,
                 std::shared_ptr<const call_request> request, control_port& control,
                 net::http_client& client, const session_settings& settings);

    /// Hands the call to the control thread; `on_closed` is called at the end.
    void start(std::function<void()> on_closed);

    void on_dispatch(const call_order& order) override;
    void on_answer(const idempotency::service_answer& answer, bool replayed) override;
    void on_refused(const problem& told) override;

private:
    void on_result(std::uint64_t attempt, const net::http_client::fetch_result& result);
    void close();

    std::shared_ptr<net::http_exchange> m_exchange; ///< Caller's connection.
    std::shared_ptr<const call_request> m_request;  ///< Call.
    control_port& m_control;                        ///< Decisions.
    net::http_client& m_client;                     ///< Connections to services.
    session_settings m_settings;                    ///< Timeouts.
    std::function<void()> m_on_closed;              ///< Told at the end.
};

} // namespace tarragontrail::entry
