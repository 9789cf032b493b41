#pragma once

#include "platform/caller_codec.hpp"
#include "tarragontrail/core/store_version.hpp"
#include "tarragontrail/relay/weights_rollout_coordinator.hpp"

#include <array>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace tarragontrail::test {

using namespace tarragontrail::relay;

/// An order as an engine received it.
struct received_order
{
    core::time_point m_at{};
    std::size_t m_instance = 0;
    std::uint64_t m_fence = 0;
    bool m_refused = false; ///< The engine had seen a higher fencing number.
};

/// Instances that roll out weights, with a table store and engines that answer on the paused clock.
class rolling_stops_fleet
{
public:
    rolling_stops_fleet(std::size_t instances, std::size_t engines, bool check_fences,
                        std::chrono::milliseconds store_delay);
    ~rolling_stops_fleet();
    rolling_stops_fleet(const rolling_stops_fleet&) = delete;
    rolling_stops_fleet& operator=(const rolling_stops_fleet&) = delete;

    /// Runs an action at a time since the start.
    void at(std::chrono::milliseconds time, std::function<void()> action);

    /// Operators name weights.
    void name_weights(std::uint64_t version);

    /// A planned stop: the instance leaves, ends after the grace period and starts again.
    void stop(std::size_t instance);

    /// The instance ends at once and starts again after a while.
    void kill(std::size_t instance);

    /// Kills whichever instance has sent the last order.
    void kill_holder();

    /// From now on the table store turns away the instance that has sent the last order.
    void refuse_holder();

    /// Until a time, instances below `boundary` and the others hear nothing of each other by way
    /// of the fleet; asked directly they answer if `answers`.
    void split_news(std::size_t boundary, std::chrono::milliseconds until, bool answers);

    /// The instance stands still until a time.
    void freeze(std::size_t instance, std::chrono::milliseconds until);

    /// Instance that has sent the last order; nothing before the first one.
    std::optional<std::size_t> last_sender() const;

    void run_until(std::chrono::milliseconds time);

    /// Time from the naming of a version until all engines had it or a newer one; max before that.
    std::chrono::milliseconds time_to_all(std::uint64_t version) const;

    /// Orders to each engine, oldest first.
    const std::vector<std::vector<received_order>>& orders() const { return m_orders; }

    /// Changes of the instance that sends orders.
    std::size_t holder_changes() const;

private:
    /// Table store and engines as one instance reaches them, and what it announces.
    class platform_view;
    struct instance;
    struct engine
    {
        placement::weights_version m_version{1};
        placement::weights_version m_loading{};
        bool m_busy = false;
        std::uint64_t m_orders = 0;
        std::uint64_t m_fence = 0; ///< Highest one seen.
    };
    /// Two groups of instances between which no news pass.
    struct news_split
    {
        std::size_t m_boundary = 0; ///< First instance of the second group.
        core::time_point m_until{};
        bool m_answers = true; ///< Requests between the groups are answered.
    };

    bool is_split(std::size_t a, std::size_t b) const;
    bool is_frozen(std::size_t index) const;
    void ask_presence(std::size_t asker, std::size_t asked);
    void tell_status(std::size_t from, std::size_t to);
    void start_instance(std::size_t index);
    void end_instance(std::size_t index);
    void exchange_heartbeats();
    void deliver_row(std::size_t index, const table_row& row);
    void tell_version(std::size_t index, std::size_t engine);
    upstream_record record_of(std::size_t engine) const;
    void write_row(std::size_t index, const std::string& value, const core::store_version& expected,
                   const std::function<void(row_write_result)>& handler);
    placement::order_answer take_order(std::size_t index, std::size_t engine,
                                       const placement::order_weights& order, std::uint64_t fence);
    void note_current_engines();
    void step();

    boost::asio::io_context m_context;
    platform::caller_codec m_codec;
    bool m_check_fences;
    std::chrono::milliseconds m_store_delay;
    core::time_point m_begin;
    std::multimap<core::time_point, std::function<void()>> m_events;
    std::vector<std::unique_ptr<instance>> m_instances;
    std::vector<std::uint64_t> m_starts; ///< Of each instance.
    std::vector<engine> m_engines;
    std::vector<std::vector<received_order>> m_orders;
    std::vector<std::size_t> m_senders; ///< Instance of each order, oldest first.
    std::optional<table_row> m_row;
    std::optional<std::size_t> m_refused; ///< Instance that the store turns away.
    news_split m_split;
    std::map<std::size_t, core::time_point> m_frozen_until; ///< By instance.
    std::uint64_t m_store_version = 10;
    std::map<std::uint64_t, core::time_point> m_named;
    std::map<std::uint64_t, core::time_point> m_reached;
};

} // namespace tarragontrail::test
