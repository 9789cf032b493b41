#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/core/ids.hpp"
#include "tarragontrail/placement/order_types.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace tarragontrail::placement {

/// Settings of weights_rollout.
struct weights_rollout_settings
{
    std::uint64_t m_max_concurrent = 16;               ///< Engines that change at once, at most.
    std::chrono::milliseconds m_staleness_step{1'500}; ///< Engines staler by so much go first.
    double m_max_concurrent_fraction = 0.28;           ///< Of a model's engines, rounded up.
    std::chrono::milliseconds m_first_poll_delay{300}; ///< Pause before an order's effect is read.
    std::chrono::milliseconds m_poll_interval{80};     ///< Pause between further reads.
    std::chrono::milliseconds m_unanswered_poll_delay{
        250};                                     ///< Pause after an order without an answer.
    std::chrono::milliseconds m_retry_delay{400}; ///< Pause after a refusal or a failed read.
    std::chrono::milliseconds m_update_timeout{
        4'000}; ///< An engine that takes longer gives up its turn.
};

/// Engine that should have other weights.
struct outdated_engine
{
    core::upstream_id m_engine{};  ///< Engine.
    core::incarnation m_started{}; ///< Its incarnation.
    std::string m_model;           ///< Model.
    weights_version m_version{};   ///< Version that it should have.
    std::uint64_t m_in_flight = 0; ///< Requests that it runs.
    core::duration m_staleness{};  ///< Time since a version newer than its own was named.
};

/// What an engine reports of itself.
struct engine_report
{
    bool m_busy = false;         ///< It carries out an order.
    std::uint64_t m_orders = 0;  ///< Orders that it has accepted.
    weights_version m_version{}; ///< Version of the model in question.
};

/// How an engine answered an order.
enum class order_answer
{
    accepted,      ///< It is being carried out.
    done,          ///< Its effect was there already.
    conflict,      ///< Another order is under way, or the count of orders differs.
    fence_refused, ///< A newer holder has given orders.
    refused,       ///< It cannot be carried out.
    lost,          ///< No answer came: it may be carried out, also later.
};

/// Keeps new work from an engine, or lets it return.
struct announce_engine
{
    core::upstream_id m_engine{}; ///< Engine.
    bool m_loading = false;       ///< It is about to take new weights.
    std::string m_model;          ///< Model.
    weights_version m_version{};  ///< Version that it has; valid when it is not loading.
};

/// Reads an engine's report.
struct read_report
{
    core::upstream_id m_engine{}; ///< Engine.
    std::string m_model;          ///< Model in question.
};

/// Orders an engine to take weights.
struct order_weights
{
    core::upstream_id m_engine{};        ///< Engine.
    std::string m_model;                 ///< Model.
    weights_version m_version{};         ///< Version.
    std::uint64_t m_expected_orders = 0; ///< Refused unless it has accepted so many orders.
};

/// Step that a roll-out asks for.
using rollout_action = std::variant<announce_engine, read_report, order_weights>;

/// Brings engines to the weights that operators named, a few at a time.
///
/// Holds no state that a successor needs: each turn begins with a read of the engine's report, and
/// an order names the count of orders read there, so a repeated order is carried out once.
class weights_rollout
{
public:
    explicit weights_rollout(weights_rollout_settings settings = {}) : m_settings(settings) {}

    /// Steps that are due; `fleet` is the number of engines that could serve.
    std::vector<rollout_action> advance(const std::vector<outdated_engine>& outdated,
                                        std::size_t fleet, core::time_point now);

    /// An engine's report has arrived.
    std::vector<rollout_action> on_report(core::upstream_id engine, const engine_report& report,
                                          core::time_point now);

    /// An engine did not report.
    std::vector<rollout_action> on_report_failed(core::upstream_id engine, core::time_point now);

    /// An engine answered an order, or did not.
    std::vector<rollout_action> on_order(core::upstream_id engine, order_answer answer,
                                         core::time_point now);

    /// Gives up everything; another instance goes on.
    void stop() { m_updates.clear(); }

    /// Engines whose turn it is.
    std::size_t active() const noexcept { return m_updates.size(); }

private:
    /// Where an engine's turn stands.
    enum class step
    {
        reading,  ///< A report is awaited.
        ordering, ///< An order's answer is awaited.
        waiting,  ///< The next read is due at m_due.
    };

    /// Turn of one engine.
    struct engine_update
    {
        outdated_engine m_target;        ///< Engine and weights.
        step m_step = step::reading;     ///< Step.
        core::time_point m_due{};        ///< Next read.
        core::time_point m_started_at{}; ///< Start of the turn.
        bool m_order_possible = false;   ///< An order was accepted or may have been.
    };

    void abandon_timed_out(std::vector<rollout_action>& actions, core::time_point now);
    std::vector<rollout_action> abandon_update(core::upstream_id engine, core::time_point now);
    std::size_t capacity(std::size_t fleet) const;

    weights_rollout_settings m_settings;                       ///< Settings.
    std::map<core::upstream_id, engine_update> m_updates;      ///< By engine.
    std::map<core::upstream_id, core::time_point> m_cooldowns; ///< No new turn before this.
};

} // namespace tarragontrail::placement
