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

/// State of a member's process as one instance knows it.
enum class liveness : std::uint8_t
{
    alive,     ///< Answers probes, or no probe of it has failed yet.
    suspected, ///< Did not answer a probe; may still refute the suspicion.
    left,      ///< Announced that it stops; answers until its requests are finished.
    failed,    ///< Neither answered nor refuted within the suspicion timeout.
};

/// Name of a state, for logs and operators.
const char* to_string(liveness state) noexcept;

/// Timing and message size limits of failure_detector.
struct failure_detector_settings
{
    std::chrono::milliseconds m_period{1000}; ///< Probe interval; one member is pinged in each.
    /// Time to wait for a direct answer before indirect probes.
    std::chrono::milliseconds m_ack_timeout{200};
    /// Time that a suspected member has to refute.
    std::chrono::milliseconds m_suspicion_timeout{4000};
    std::size_t m_indirect_probes = 3;  ///< Members asked to ping one that does not answer.
    std::size_t m_max_extra_probes = 2; ///< Unanswering members probed in addition, per period.
    std::size_t m_max_updates = 8;      ///< Membership updates in one message.
    std::size_t m_max_item_bytes = 512; ///< Bytes of gossip items in one message.
};

/// Action: send a ping.
struct send_ping
{
    core::instance_id m_to{};
    ping m_message;
};

/// Action: send a ping_ack.
struct send_ping_ack
{
    core::instance_id m_to{};
    ping_ack m_message;
};

/// Action: send a ping_request.
struct send_ping_request
{
    core::instance_id m_to{};
    ping_request m_message;
};

/// Action: the known state of a member changed.
struct member_changed
{
    core::instance_id m_member{};
    core::incarnation m_incarnation{}; ///< Start of the member's process.
    liveness m_liveness = liveness::alive;
};

/// Action: a new gossip item arrived.
struct item_received
{
    gossip_item m_item;
};

/// Action: a peer reported how fresh its configuration is.
struct freshness_received
{
    config::freshness_word m_word;                  ///< The peer's report.
    std::optional<core::time_point> m_ping_sent_at; ///< Time of the ping that it answers, if any.
};

/// Action: a message of a peer carried this view number.
struct view_number_received
{
    core::instance_id m_sender{};
    core::view_number m_number{}; ///< Number of the peer's view.
};

/// SWIM failure detector: detects failed members at a cost per period that does not grow with the
/// fleet.
///
/// One member is pinged each period, in shuffled rounds. A member that does not answer is pinged
/// through other members (indirect probes) and then suspected. Only an instance whose own probes
/// all failed for the whole suspicion timeout declares a failure. A process that receives an update
/// saying that it is suspected or failed refutes it.
///
/// Performs no I/O: the I/O layer passes messages and timers in and carries out take_actions().
class failure_detector
{
public:
    using action = std::variant<send_ping, send_ping_ack, send_ping_request, member_changed,
                                item_received, freshness_received, view_number_received>;

    failure_detector(const failure_detector_settings& settings,
                     const gossip_buffer_settings& gossip, core::instance_id self,
                     core::incarnation started, std::uint64_t seed);

    /// Replaces the set of monitored members; the instance's own id is ignored.
    void set_members(const std::vector<core::instance_id>& members);

    /// Sets the view number that every message carries.
    void set_view(core::view_number number) noexcept { m_view = number; }

    /// Schedules the first period at a random time within one period.
    void start(core::time_point now);

    /// Ends or escalates probes that are due and begins the next period.
    void on_timer(core::time_point now);

    void on_ping(const ping& message, core::time_point now);
    void on_ping_ack(const ping_ack& message, core::time_point now);
    void on_ping_request(const ping_request& message, core::time_point now);

    /// Disseminates an item to all instances; returns whether it is new.
    bool spread(gossip_item item) { return m_gossip.add(std::move(item)); }

    /// Announces to all instances that this one stops.
    void leave();

    /// State of a member or of this instance; none when it is not monitored.
    std::optional<liveness> state_of(core::instance_id member) const noexcept;

    /// Latest known process start of a member; zero when none is known.
    core::incarnation incarnation_of(core::instance_id member) const noexcept;

    /// Whether a message of the member itself arrived since it became a member.
    bool has_received_from(core::instance_id member) const noexcept;

    /// Returns and clears the actions that the I/O layer must carry out.
    std::vector<action> take_actions();

    /// Time at which on_timer() must be called next.
    std::optional<core::time_point> next_deadline() const;

private:
    /// Known state of one member.
    struct peer
    {
        core::incarnation m_incarnation{}; ///< Start of the member's process.
        std::uint64_t m_refutation = 0;    ///< The member's refutation count.
        liveness m_liveness = liveness::alive;
        bool m_received = false; ///< Whether a message from it has arrived.
        /// Start of the first probe without an answer; none while probes succeed.
        std::optional<core::time_point> m_probes_failing_since;
    };

    /// Membership update that is still being disseminated.
    struct pending_update
    {
        std::size_t m_transmissions = 0; ///< Times sent so far.
        core::instance_id m_member{};    ///< Member that the update is about.

        bool operator<(const pending_update& other) const noexcept
        {
            return m_transmissions != other.m_transmissions
                       ? m_transmissions < other.m_transmissions
                       : m_member < other.m_member;
        }
    };

    /// Probe in progress.
    struct probe
    {
        core::instance_id m_target{};
        std::uint64_t m_sequence = 0; ///< Sequence number of the probe's messages.
        core::time_point m_sent_at{}; ///< Start of the probe.
        bool m_indirect_sent = false; ///< Whether the indirect probes were sent.
    };

    /// Ping sent on behalf of another instance.
    struct forwarded_ping
    {
        std::uint64_t m_sequence = 0;           ///< Sequence number of the forwarded ping.
        core::instance_id m_requester{};        ///< Instance that requested the ping.
        std::uint64_t m_requester_sequence = 0; ///< Sequence number of its ping_request.
        core::time_point m_expires_at{}; ///< Time after which an answer is no longer passed on.
    };

    // Probes.
    void begin_period(core::time_point now);
    void start_probe(core::instance_id target, core::time_point now);
    void probe_indirectly(probe& current);
    void end_probe(const probe& ended, core::time_point now);
    std::optional<core::instance_id> next_in_round();
    bool is_probed(core::instance_id member) const noexcept;
    std::vector<core::instance_id> pick_intermediaries(core::instance_id target);
    void mark_answered(core::instance_id member);

    // Dissemination.
    member_word own_update() const noexcept;
    member_word update_about(core::instance_id member) const;
    std::vector<member_word> take_updates(core::instance_id receiver);
    void apply_updates(const std::vector<member_word>& updates);
    void apply_update(const member_word& update);
    void refute(const member_word& update);
    void change_state(core::instance_id member, const member_word& update);
    void accept_items(const std::vector<gossip_item>& items);
    void record_message(core::instance_id sender, core::view_number view);
    void answer_requester(const ping_ack& message, core::time_point now);
    std::vector<gossip_item> take_items();

    /// Message with its sender, view, updates and gossip items filled in.
    template <class Message>
    Message make_message(core::instance_id receiver)
    {
        Message message;
        message.m_sender = m_self;
        message.m_view = m_view;
        message.m_members = take_updates(receiver);
        if constexpr (requires { message.m_items; })
        {
            message.m_items = take_items();
        }
        return message;
    }

    /// Transmissions of an update per bit of the member count.
    static constexpr std::size_t transmit_factor = 3;

    failure_detector_settings m_settings;
    gossip_buffer m_gossip; ///< Gossip items of other components.
    core::instance_id m_self;
    core::incarnation m_started;                         ///< Incarnation of this process.
    std::uint64_t m_refutation = 0;                      ///< This instance's refutation count.
    bool m_leaving = false;                              ///< Whether this instance is stopping.
    core::seeded_random m_random;                        ///< Source of the probe order.
    core::view_number m_view{};                          ///< View number carried in messages.
    std::unordered_map<core::instance_id, peer> m_peers; ///< Monitored members.
    std::vector<core::instance_id> m_order; ///< Members in the probe order of the current round.
    std::size_t m_position = 0;             ///< Index in m_order of the next member to probe.
    std::vector<pending_update> m_pending_updates; ///< At most one for each member.
    std::vector<probe> m_probes;                   ///< Probes in progress.
    std::vector<forwarded_ping> m_forwarded_pings; ///< Pings sent on behalf of others.
    core::time_point m_next_period{};              ///< Start of the next period.
    std::uint64_t m_last_sequence = 0;             ///< Last sequence number used.
    std::vector<action> m_actions;                 ///< Actions not yet returned by take_actions().
};

} // namespace tarragontrail::membership
