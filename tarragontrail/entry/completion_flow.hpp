#pragma once

#include "tarragontrail/entry/completion_request.hpp"
#include "tarragontrail/entry/config_service.hpp"
#include "tarragontrail/entry/limits_service.hpp"
#include "tarragontrail/entry/problem.hpp"
#include "tarragontrail/entry/recovery_service.hpp"
#include "tarragontrail/entry/refusal_problems.hpp"
#include "tarragontrail/entry/routing_service.hpp"
#include "tarragontrail/limits/fair_queue.hpp"

#include <map>
#include <memory>
#include <unordered_map>

namespace tarragontrail::entry {

/// Order to send a completion to an engine.
struct dispatch_order
{
    core::request_id m_request{};                ///< Request.
    std::uint64_t m_attempt = 1;                 ///< Counts from one.
    core::upstream_id m_engine{};                ///< Engine.
    std::string m_engine_name;                   ///< Its name, for logs.
    net::tcp::endpoint m_endpoint;               ///< Its address.
    std::string m_cache_salt;                    ///< Root of the prompt's identity.
    std::uint64_t m_priority = 0;                ///< Priority at the engine.
    core::time_point m_deadline{};               ///< Caller's deadline.
    std::chrono::milliseconds m_expected_wait{}; ///< Estimated time to the first token.
};

/// Receives the decisions on one completion, on the callers' thread.
class completion_listener
{
public:
    virtual ~completion_listener() = default;

    /// Send the request to this engine now.
    virtual void on_dispatch(const dispatch_order& order) = 0;

    /// No further attempt follows.
    virtual void on_refused(const problem& told) = 0;

    /// The request must end now, whatever it is doing.
    virtual void on_cancelled(const problem& told) = 0;
};

/// How an attempt at an engine failed.
struct attempt_failure
{
    std::uint64_t m_attempt = 1;   ///< Attempt.
    net::call_failure m_failure;   ///< What the connection did.
    std::uint64_t m_delivered = 0; ///< Tokens that the caller has.
};

/// How a completion ended at its engine.
struct completion_end
{
    bool m_complete = false;           ///< The end marker came.
    std::uint64_t m_output_tokens = 0; ///< Tokens generated for this request.
    std::uint64_t m_prompt_tokens = 0; ///< Prompt tokens as the engine counted them.
    std::uint64_t m_cached_tokens = 0; ///< Of these, found in its cache.
};

/// Takes completions from key check to dispatch and over their retries, on the control thread.
class completion_flow : public control_service, public routing_listener
{
public:
    completion_flow(control_context& context, net::duty& callers,
                    const limits::fair_queue_settings& queue_settings);

    /// Sets the services that decide; must be called before any event.
    void connect(config_service& config, limits_service& limits, routing_service& routing,
                 recovery_service& recovery);

    // Events of sessions.
    void begin(const std::shared_ptr<const completion_request>& request,
               const std::shared_ptr<completion_listener>& listener, core::time_point arrived);
    void on_first_token(core::request_id id, core::time_point now);
    void on_attempt_failed(core::request_id id, const attempt_failure& failure,
                           core::time_point now);
    void on_end(core::request_id id, const completion_end& end, core::time_point now);

    /// Checks the keys of all running requests again.
    void recheck_keys(core::time_point now);

    /// Requests taken on and not ended.
    std::size_t active() const noexcept { return m_requests.size(); }

    // Decisions of the limits; those on requests of others are ignored.
    void on_admitted(const limits::admitted& decision);
    void on_limit_refused(const limits::refused& decision);

    // Decisions of the router.
    void on_routed(const routing::routed& decision) override;
    void on_unroutable(const routing::unroutable& decision) override;
    void on_engine_restarted(core::upstream_id engine, core::incarnation before) override;

    bool run_actions(core::time_point now) override;
    std::optional<core::time_point> next_deadline() const override;
    void on_timer(core::time_point now) override;

private:
    /// Progress of a request.
    enum class stage
    {
        admitting,  ///< Tokens are being gathered.
        routing,    ///< An engine is being chosen.
        queued,     ///< Waits for its turn at the engine.
        dispatched, ///< Sent.
        probing,    ///< Lost; whether the engine crashed is being found out.
        waiting,    ///< Pause before the next attempt.
    };

    /// One request from begin to end.
    struct running
    {
        std::shared_ptr<const completion_request> m_request; ///< Request.
        std::shared_ptr<completion_listener> m_listener;     ///< Its session.
        core::workspace_id m_workspace{};                    ///< Owner of the key.
        std::uint64_t m_priority = 0;                        ///< Priority at engines.
        std::uint64_t m_fingerprint = 0;                     ///< Request within its workspace.
        routing::prefix_identity m_identity;                 ///< Identity of its prompt.
        routing::prefix_chain m_chain;                       ///< Chain of its prompt.
        stage m_stage = stage::admitting;                    ///< Progress.
        std::uint64_t m_attempt = 1;                         ///< Attempt under way.
        std::vector<core::upstream_id> m_excluded;           ///< Engines not to use again.
        core::upstream_id m_engine{};                        ///< Engine chosen.
        core::incarnation m_incarnation{};                   ///< Its incarnation when chosen.
        std::uint64_t m_expected_hit = 0;                    ///< Pieces expected in its cache.
        core::duration m_expected_wait{};                    ///< Estimated time to its first token.
        core::execution m_execution = core::execution::not_run; ///< Over all attempts.
        core::time_point m_arrived{};                           ///< Arrival.
        core::time_point m_deadline{};                          ///< Caller's deadline.
        attempt_failure m_failure;                              ///< Failure that is probed.
        bool m_first_token = false;                             ///< A token has arrived.
    };

    running* find(core::request_id id);
    running& admit(const std::shared_ptr<const completion_request>& request,
                   std::shared_ptr<completion_listener> listener, core::time_point arrived);
    void start_routing(core::request_id id, running& each, core::time_point now);
    void pause(core::request_id id, running& each, core::time_point until);
    void queue(core::request_id id, running& each, core::time_point now);
    void send(core::request_id id, core::time_point now);
    void probe_engine(core::request_id id, running& each);
    void on_probed(core::request_id id, core::incarnation found, core::time_point now);
    void decide_retry(core::request_id id, running& each, core::time_point now);
    void leave_engine(core::request_id id, running& each, std::uint64_t tokens,
                      core::time_point now);
    void refuse(core::request_id id, const problem& told);
    void finish(core::request_id id, std::uint64_t used_tokens, core::time_point now);
    void cancel(core::request_id id, const problem& told, core::time_point now);
    void log_decision(const running& each, const routing::routed& decision) const;

    control_context& m_context;                                ///< Shared means.
    net::duty& m_callers;                                      ///< Thread of the sessions.
    limits::fair_queue_settings m_queue_settings;              ///< For each engine's queue.
    config_service* m_config = nullptr;                        ///< Keys and bundle.
    limits_service* m_limits = nullptr;                        ///< Admission.
    routing_service* m_routing = nullptr;                      ///< Engines.
    recovery_service* m_recovery = nullptr;                    ///< Blame and retries.
    net::http_client m_client;                                 ///< Connections for probes.
    std::unordered_map<core::request_id, running> m_requests;  ///< All requests.
    std::map<core::upstream_id, limits::fair_queue> m_queues;  ///< By engine.
    std::multimap<core::time_point, core::request_id> m_wakes; ///< Ends of pauses.
    core::time_point m_next_recheck{};                         ///< Next check of all keys.
};

} // namespace tarragontrail::entry
