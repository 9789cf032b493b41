#pragma once

#include "tarragontrail/entry/call_request.hpp"
#include "tarragontrail/entry/config_service.hpp"
#include "tarragontrail/entry/limits_service.hpp"
#include "tarragontrail/entry/problem.hpp"
#include "tarragontrail/entry/recovery_service.hpp"
#include "tarragontrail/idempotency/call_guard.hpp"

#include <memory>
#include <unordered_map>
#include <vector>

namespace tarragontrail::entry {

/// Order to send a call to a plain service.
struct call_order
{
    core::request_id m_request{};  ///< Request.
    std::uint64_t m_attempt = 1;   ///< Counts from one.
    std::string m_service_name;    ///< Service's name, for logs.
    net::tcp::endpoint m_endpoint; ///< Its address.
    core::time_point m_deadline{}; ///< Caller's deadline.
};

/// Receives the decisions on one call, on the callers' thread.
class call_listener
{
public:
    virtual ~call_listener() = default;

    /// Send the call to this service now.
    virtual void on_dispatch(const call_order& order) = 0;

    /// The caller's answer.
    virtual void on_answer(const idempotency::service_answer& answer, bool replayed) = 0;

    /// The call is refused.
    virtual void on_refused(const problem& told) = 0;
};

/// Takes calls to plain services from key check to answer, on the control thread.
class call_flow : public control_service
{
public:
    call_flow(control_context& context, net::duty& callers, std::uint64_t seed);

    /// Sets the services that decide; must be called before any event.
    void connect(config_service& config, limits_service& limits, recovery_service& recovery);

    /// Takes the plain services of a bundle.
    void on_bundle(const std::shared_ptr<const config::bundle>& applied);

    // Events of sessions.
    void begin(const std::shared_ptr<const call_request>& request,
               const std::shared_ptr<call_listener>& listener, core::time_point arrived);
    void on_answered(core::request_id id, std::uint64_t attempt,
                     const idempotency::service_answer& answer, core::time_point now);
    void on_failed(core::request_id id, std::uint64_t attempt, const net::call_failure& failure,
                   core::time_point now);
    void on_abandoned(core::request_id id, core::time_point now);

    // Decisions of the limits; those on requests of others are ignored.
    void on_admitted(const limits::admitted& decision);
    void on_limit_refused(const limits::refused& decision);

    /// Calls taken on and not ended, those included whose outcome is still being stored.
    std::size_t active() const noexcept { return m_calls.size() + (m_guard.idle() ? 0 : 1); }

    bool run_actions(core::time_point now) override;
    std::optional<core::time_point> next_deadline() const override;
    void on_timer(core::time_point now) override;

private:
    /// One call from begin to end.
    struct running
    {
        std::shared_ptr<const call_request> m_request;  ///< Request.
        std::shared_ptr<call_listener> m_listener;      ///< Its session.
        const config::service_route* m_route = nullptr; ///< Route, in the bundle below.
        std::shared_ptr<const config::bundle> m_bundle; ///< Bundle that it was begun under.
        core::workspace_id m_workspace{};               ///< Owner of the key; zero on open routes.
        bool m_keyed = false;                           ///< Runs for a workspace.
        bool m_idempotent = false;                      ///< May be repeated.
        bool m_charged = false;                         ///< Admitted by the limits.
        std::uint64_t m_attempt = 1;                    ///< Attempt under way.
        core::upstream_id m_service{};                  ///< Service chosen.
        std::vector<core::upstream_id> m_excluded;      ///< Services not to use again.
        core::time_point m_deadline{};                  ///< Caller's deadline.
        std::optional<core::time_point> m_wake;         ///< End of the pause before a retry.
    };

    running* find(core::request_id id);
    running admit(const std::shared_ptr<const call_request>& request,
                  std::shared_ptr<call_listener> listener, core::time_point arrived) const;
    void start(core::request_id id, running& each, core::time_point now);
    void dispatch(core::request_id id, running& each, std::uint64_t attempt, core::time_point now);
    const config::upstream* choose(const running& each, core::request_id id) const;
    void retry_or_refuse(core::request_id id, running& each, const net::call_failure& failure,
                         core::time_point now);
    void carry_out(const idempotency::call_action& action, core::time_point now);
    void answer(core::request_id id, const idempotency::service_answer& result, bool replayed,
                core::time_point now);
    void refuse(core::request_id id, const problem& told, core::time_point now);
    void finish(core::request_id id, bool ran, core::time_point now);

    control_context& m_context;                            ///< Shared means.
    net::duty& m_callers;                                  ///< Thread of the sessions.
    config_service* m_config = nullptr;                    ///< Keys and bundle.
    limits_service* m_limits = nullptr;                    ///< Admission.
    recovery_service* m_recovery = nullptr;                ///< Retries and circuits.
    idempotency::call_guard m_guard;                       ///< Non-idempotent calls.
    std::unordered_map<core::request_id, running> m_calls; ///< All calls.
};

} // namespace tarragontrail::entry
