#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/core/random.hpp"
#include "tarragontrail/membership/gossip_buffer.hpp"
#include "tarragontrail/membership/messages.hpp"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

namespace tarragontrail::membership {

/// What an instance holds of a member's process.
enum class liveness : std::uint8_t
{
    alive,     ///< Answers, or was never found silent.
    suspected, ///< Did not answer; may refute.
    failed,    ///< Did not refute in time.
    left,      ///< Said that it stops.
};

/// Settings of failure_detector.
struct failure_detector_settings
{
    std::chrono::milliseconds m_period{1000};     ///< One member is pinged each period.
    std::chrono::milliseconds m_ack_timeout{200}; ///< Wait for a direct answer.
    std::chrono::milliseconds m_suspicion{4000};  ///< Time to refute a suspicion.
    std::size_t m_indirect_members = 3;           ///< Members asked to ping a silent one.
    std::size_t m_max_words = 8;                  ///< Member words in one message.
    std::size_t m_max_item_bytes = 512;           ///< Bytes of gossip items in one message.
};

/// Action: send a ping.
struct send_ping
{
    core::instance_id m_to{}; ///< Receiver.
    ping m_message;           ///< Message.
};

/// Action: send a ping_ack.
struct send_ping_ack
{
    core::instance_id m_to{}; ///< Receiver.
    ping_ack m_message;       ///< Message.
};

/// Action: send a ping_request.
struct send_ping_request
{
    core::instance_id m_to{}; ///< Receiver.
    ping_request m_message;   ///< Message.
};

/// Action: what is held of a member changed.
struct member_changed
{
    core::instance_id m_member{};          ///< Member.
    core::incarnation m_incarnation{};     ///< Start of its process.
    liveness m_liveness = liveness::alive; ///< New state.
};

/// Action: a gossip item that was not known before arrived.
struct item_received
{
    gossip_item m_item; ///< Item.
};

/// Detects failed members at a cost per period that does not grow with the fleet.
///
/// One member is pinged each period, in shuffled rounds; a silent one is pinged through others,
/// then suspected. Only an instance whose own probes all failed for the whole suspicion time
/// declares a failure; a suspected or failed process that hears of it refutes it.
class failure_detector
{
public:
    using action =
        std::variant<send_ping, send_ping_ack, send_ping_request, member_changed, item_received>;

    failure_detector(const failure_detector_settings& settings,
                     const gossip_buffer_settings& gossip, core::instance_id self,
                     core::incarnation started, std::uint64_t seed);

    /// Replaces the set of members to watch; the own id is ignored.
    void set_members(const std::vector<core::instance_id>& members, core::time_point now);

    /// Carried in every message.
    void set_view(core::view_number number) noexcept { m_view = number; }

    void start(core::time_point now);
    void on_timer(core::time_point now);
    void on_ping(const ping& message, core::time_point now);
    void on_ping_ack(const ping_ack& message, core::time_point now);
    void on_ping_request(const ping_request& message, core::time_point now);

    /// Spreads an item to all instances; returns whether it is news.
    bool spread(gossip_item item) { return m_gossip.add(std::move(item)); }

    /// Tells all instances that this one stops.
    void leave(core::time_point now);

    /// What is held of a member; failed when it is none.
    liveness state_of(core::instance_id member) const noexcept;

    /// Process start last heard of a member; zero when none was.
    core::incarnation incarnation_of(core::instance_id member) const noexcept;

    /// Whether this instance itself heard from the member since it became a member.
    bool was_heard(core::instance_id member) const noexcept;

    std::vector<action> take_actions();
    std::optional<core::time_point> next_deadline() const;

private:
    /// What is held of one member.
    struct peer
    {
        core::incarnation m_incarnation{};                 ///< Start of its process.
        std::uint64_t m_refutation = 0;                    ///< Its refutation count.
        liveness m_liveness = liveness::alive;             ///< State.
        bool m_heard = false;                              ///< Whether a message of it arrived.
        std::optional<core::time_point> m_suspected_since; ///< Set while the own probes fail.
        std::size_t m_sent = 0;                            ///< Transmissions of the word on it.
    };

    /// A probe under way.
    struct probe
    {
        core::instance_id m_target{}; ///< Member being probed.
        std::uint64_t m_sequence = 0; ///< Sequence of its messages.
        core::time_point m_sent_at{}; ///< Start.
        bool m_indirect = false;      ///< Whether others were asked already.
    };

    /// A ping made for another instance.
    struct relay
    {
        std::uint64_t m_sequence = 0;           ///< Sequence of the own ping.
        core::instance_id m_requester{};        ///< Instance that asked.
        std::uint64_t m_requester_sequence = 0; ///< Its sequence.
        core::time_point m_expires_at{};        ///< Moment at which it is dropped.
    };

    failure_detector_settings m_settings;                ///< Periods and bounds.
    gossip_buffer m_gossip;                              ///< Items of other duties.
    core::instance_id m_self;                            ///< This instance.
    core::incarnation m_started;                         ///< Start of this process.
    std::uint64_t m_refutation = 0;                      ///< Own refutation count.
    core::seeded_random m_random;                        ///< Order of probes.
    core::view_number m_view{};                          ///< Carried in messages.
    std::unordered_map<core::instance_id, peer> m_peers; ///< Members watched.
    std::vector<core::instance_id> m_round;              ///< Members not yet probed this round.
    std::vector<probe> m_probes;                         ///< Probes under way.
    std::vector<relay> m_relays;                         ///< Pings made for others.
    core::time_point m_next_period{};                    ///< Start of the next period.
    std::uint64_t m_last_sequence = 0;                   ///< Last sequence given.
    std::vector<action> m_actions;                       ///< Actions not yet taken.
};

} // namespace tarragontrail::membership
