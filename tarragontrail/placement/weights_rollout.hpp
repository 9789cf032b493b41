#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/core/ids.hpp"
#include "tarragontrail/placement/order_types.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace tarragontrail::placement {

/// Concurrency limits and timing of weights_rollout.
struct weights_rollout_settings
{
    std::uint64_t m_max_concurrent = 16; ///< Upper bound on engines updated at once.
    /// Engines are ordered by staleness in steps of this size.
    std::chrono::milliseconds m_staleness_step{1'500};
    /// Fraction of the engines that may be updated at once, rounded up.
    double m_max_concurrent_fraction = 0.28;
    /// Delay from an accepted order to the first read of its effect.
    std::chrono::milliseconds m_first_poll_delay{300};
    std::chrono::milliseconds m_poll_interval{80}; ///< Interval of the reads that follow.
    /// Delay from an unanswered order to the next read.
    std::chrono::milliseconds m_unanswered_poll_delay{250};
    std::chrono::milliseconds m_retry_delay{400}; ///< Delay after a refused order or a failed read.
    /// An update that takes longer is abandoned.
    std::chrono::milliseconds m_update_timeout{4'000};
};

/// Engine whose weights are out of date.
struct outdated_engine
{
    core::upstream_id m_engine{};
    core::incarnation m_started{}; ///< Incarnation of the engine's process.
    std::string m_model;
    weights_version m_version{};   ///< Target version.
    std::uint64_t m_in_flight = 0; ///< Number of requests that it runs.
    core::duration m_staleness{};  ///< Time since operators named a version newer than its own.
};

/// State that an engine reports.
struct engine_report
{
    bool m_busy = false;         ///< Whether it is carrying out an order.
    std::uint64_t m_orders = 0;  ///< Number of orders that it has accepted.
    weights_version m_version{}; ///< Loaded version of the model that was asked about.
    std::optional<core::incarnation> m_started = std::nullopt; ///< Its start, if the report tells.
};

/// Answer of an engine to an order.
enum class order_answer
{
    accepted,      ///< The order is being carried out.
    done,          ///< The engine already had the weights.
    conflict,      ///< Another order is in progress, or the order count differs.
    fence_refused, ///< A newer lease holder has given orders.
    refused,       ///< The order cannot be carried out.
    lost,          ///< No answer arrived; the order may be carried out now or later.
};

/// Action: announce that an engine takes no new requests, or that it takes them again.
struct announce_engine
{
    core::upstream_id m_engine{};
    bool m_loading = false; ///< Whether it is about to load weights.
    std::string m_model;
    weights_version m_version{}; ///< Version that it has; valid only when m_loading is false.
};

/// Action: read an engine's report.
struct read_report
{
    core::upstream_id m_engine{};
    std::string m_model; ///< Model whose version is reported.
};

/// Action: order an engine to load weights.
struct order_weights
{
    core::upstream_id m_engine{};
    std::string m_model;
    weights_version m_version{};
    /// The engine refuses the order unless it has accepted this number of orders.
    std::uint64_t m_expected_orders = 0;
};

/// Actions of a roll-out that the I/O layer carries out.
using rollout_action = std::variant<announce_engine, read_report, order_weights>;

/// Updates engines to the weights that operators named, a few at a time.
///
/// Holds no state that a successor needs: each update begins with a read of the engine's report. An
/// order carries the order count read there, so a repeated order is carried out only once.
class weights_rollout
{
public:
    explicit weights_rollout(weights_rollout_settings settings = {}) : m_settings(settings) {}

    /// Returns the actions that are due. `fleet` is the number of engines that could serve,
    /// `loading_elsewhere` that of engines that may still carry out another instance's orders.
    std::vector<rollout_action> advance(const std::vector<outdated_engine>& outdated,
                                        std::size_t fleet, core::time_point now,
                                        std::size_t loading_elsewhere = 0);

    /// An engine's report arrived.
    std::vector<rollout_action> on_report(core::upstream_id engine, const engine_report& report,
                                          core::time_point now);

    /// An engine's report could not be read.
    std::vector<rollout_action> on_report_failed(core::upstream_id engine, core::time_point now);

    /// An engine answered an order or, with order_answer::lost, did not answer.
    std::vector<rollout_action> on_order(core::upstream_id engine, order_answer answer,
                                         core::time_point now);

    /// Forgets all updates in progress; another instance continues.
    void stop() { m_updates.clear(); }

    /// Number of updates in progress.
    std::size_t active() const noexcept { return m_updates.size(); }

private:
    /// Progress of an engine's update.
    enum class step
    {
        reading,  ///< Waiting for a report.
        ordering, ///< Waiting for the answer to an order.
        waiting,  ///< The next read is due at m_due.
    };

    /// Update of one engine.
    struct engine_update
    {
        outdated_engine m_target; ///< Engine and target weights.
        step m_step = step::reading;
        core::time_point m_due{};        ///< Time of the next read.
        core::time_point m_started_at{}; ///< Start of the update.
        bool m_order_possible = false;   ///< Whether an order was accepted or may have been.
    };

    void abandon_timed_out(std::vector<rollout_action>& actions, core::time_point now);
    std::vector<rollout_action> abandon_update(core::upstream_id engine, core::time_point now);
    std::size_t capacity(std::size_t fleet) const;

    weights_rollout_settings m_settings;
    std::map<core::upstream_id, engine_update> m_updates;
    /// Earliest time of the next update of an engine.
    std::map<core::upstream_id, core::time_point> m_cooldowns;
};

} // namespace tarragontrail::placement
