#pragma once

#include "tarragontrail/entry/control_service.hpp"
#include "tarragontrail/membership/failure_detector.hpp"
#include "tarragontrail/membership/locator.hpp"
#include "tarragontrail/membership/view_change.hpp"
#include "tarragontrail/membership/view_synchronizer.hpp"

#include <vector>

namespace tarragontrail::entry {

/// Subjects that gossip spreads to all instances.
enum class gossip_kind : std::uint64_t
{
    withdrawal = 1,    ///< A withdrawn key.
    anchor = 2,        ///< Hashing depth of a group of chains.
    share_row = 3,     ///< Holders of a workspace's shares.
    engine_status = 4, ///< State, weights and incarnation of an engine.
};

/// Told of what membership learns, on the control thread.
class membership_listener
{
public:
    virtual ~membership_listener() = default;

    /// A newer view is in force here.
    virtual void on_view(const membership::view& current) = 0;

    /// The platform's list was read by a query sent at `asked_at`.
    virtual void on_instance_list(const std::vector<membership::listed_instance>& listed,
                                  core::time_point asked_at) = 0;

    /// Gossip that was not known before.
    virtual void on_gossip(const membership::gossip_item& item) = 0;

    /// A peer's freshness arrived; `asked_at` is set when it answers an own ping.
    virtual void on_freshness(const config::freshness_word& word,
                              std::optional<core::time_point> asked_at) = 0;

    /// The own freshness, for a message that is about to be sent.
    virtual config::freshness_word own_freshness() = 0;
};

/// Settings of membership_service.
struct membership_settings
{
    std::chrono::milliseconds m_list_interval{2000}; ///< Time between readings of the list.
    std::size_t m_list_members = 32; ///< Members for which the interval grows by itself once.
    std::chrono::milliseconds m_plan_interval{500}; ///< Time between looks at the needed view.
    membership::view_synchronizer_settings m_view_synchronizer; ///< Agreed view.
    membership::failure_detector_settings m_detector;           ///< Heartbeats.
    membership::gossip_buffer_settings m_gossip;                ///< Gossip.
    membership::locator_settings m_locator;                     ///< Answers to callers.
};

/// Keeps the agreed view, heartbeats and gossip of this instance.
class membership_service : public control_service
{
public:
    membership_service(control_context& context, const membership_settings& settings,
                       membership_listener& listener, std::uint64_t seed);

    void start(core::time_point now);

    /// Tells the fleet that this instance is shutting down.
    void leave();

    /// Spreads an item to all instances.
    void spread(gossip_kind kind, std::uint64_t key, std::uint64_t order, std::string payload);

    /// Sends a message to every other live member.
    void broadcast(const wire::message& message);

    /// Takes a message of this service's kinds; returns false for others.
    bool on_message(core::instance_id from, const wire::message& message, core::time_point now);

    /// Agreed view; number zero before the first.
    const membership::view& current() const { return *m_view_synchronizer.current(); }

    /// Owner of a shard in a region, if any is live; zero otherwise.
    core::instance_id owner_of(std::uint64_t shard, core::region_id region) const;

    /// Answer to a locate request.
    membership::locate_answer locate(core::workspace_id workspace, std::size_t homes,
                                     const membership::caller_locality& place) const;

    /// What is held of a member.
    membership::liveness state_of(core::instance_id member) const;

    bool run_actions(core::time_point now) override;
    std::optional<core::time_point> next_deadline() const override;
    void on_timer(core::time_point now) override;

private:
    void poll_list(core::time_point now);
    void watch_members();
    template <class Action>
    void carry_out(const Action& action, core::time_point now);

    control_context& m_context;                        ///< Shared means.
    membership_settings m_settings;                    ///< Settings.
    membership_listener& m_listener;                   ///< Told of what is learned.
    membership::failure_detector m_detector;           ///< Heartbeats and gossip.
    membership::view_synchronizer m_view_synchronizer; ///< Agreed view.
    membership::view_change_planner m_planner;         ///< Changes that the view needs.
    membership::locator m_locator;                     ///< Answers to callers.
    std::vector<membership::listed_instance> m_listed; ///< Platform's list as last read.
    core::time_point m_next_list{};                    ///< Next reading of the list.
    core::time_point m_next_plan{};                    ///< Next look at what the view needs.
    bool m_leaving = false;                            ///< This instance is shutting down.
};

} // namespace tarragontrail::entry
