#pragma once

#include "tarragontrail/config/approval_workflow.hpp"
#include "tarragontrail/config/bundle_agent.hpp"
#include "tarragontrail/entry/control_service.hpp"

#include <functional>
#include <map>
#include <memory>

namespace tarragontrail::entry {

/// Told of changes of configuration, on the control thread.
class config_listener
{
public:
    virtual ~config_listener() = default;

    /// A bundle came into force here.
    virtual void on_bundle(const std::shared_ptr<const config::bundle>& applied) = 0;

    /// Some key may have been withdrawn; running requests are checked again.
    virtual void on_keys_changed() = 0;

    /// A withdrawal is to be spread to all instances.
    virtual void on_spread_withdrawal(const config::withdrawal& made) = 0;
};

/// Outcome of an operator's command.
struct command_outcome
{
    std::optional<config::approval_refusal> m_refusal; ///< Why it was refused; none on success.
    std::optional<config::draft_row> m_draft;          ///< Draft after it.
    std::optional<config::head_row> m_head;            ///< Head after it.
};

/// Keeps the bundle and the keys of this instance and carries out operators' commands.
class config_service : public control_service
{
public:
    using command_handler = std::function<void(const command_outcome&)>;

    config_service(control_context& context, const config::key_freshness_settings& freshness,
                   const config::bundle_agent_settings& settings, config_listener& listener,
                   std::uint64_t seed);

    void start(core::time_point now);

    /// Takes a message of this service's kinds; returns false for others.
    bool on_message(const wire::message& message, core::time_point now);

    /// A withdrawal arrived by gossip.
    void on_withdrawal(const config::withdrawal& learned, core::time_point now);

    /// A peer's freshness arrived.
    void on_freshness(const config::freshness_word& word, std::optional<core::time_point> asked_at,
                      core::time_point now);

    /// Members of the view and failure domains of the platform's list.
    void set_members(const std::vector<core::instance_id>& members);
    void set_domains(const std::vector<core::failure_domain_id>& domains);

    /// Own freshness for an outgoing message.
    config::freshness_word word(core::time_point now) const
    {
        return m_agent.make_freshness_word(now);
    }

    /// Verdict on a key.
    config::key_check_result check(const config::sha256_digest& digest, core::time_point now) const;

    /// Whether keyed routes may be served.
    config::agent_state state() const noexcept { return m_agent.state(); }

    /// Whether a call of on_keys_changed would find other ages than before.
    config::freshness_state freshness_now(core::time_point now) const
    {
        return m_keys.freshness().state(now);
    }

    /// Bundle in force; null before the first.
    const std::shared_ptr<const config::bundle>& applied() const { return m_keys.applied(); }

    /// Head row as last learned.
    const std::optional<config::head_row>& head() const noexcept { return m_agent.head(); }

    /// Operators' approval of bundles; the handler is told the outcome of the command returned.
    config::approval_workflow& approvals() noexcept { return m_approval; }
    void await(config::command_id command, command_handler handler);

    /// How far the withdrawals made here have come.
    config::withdrawal_propagation reach() const { return m_agent.propagation(); }

    /// An operator withdraws a key at once.
    void withdraw(config::key_prefix key, core::time_point now);

    bool run_actions(core::time_point now) override;
    std::optional<core::time_point> next_deadline() const override;
    void on_timer(core::time_point now) override;

private:
    template <class Action>
    void carry_out(const Action& action);
    template <class Action>
    void carry_out_approval(const Action& action);
    void finish(config::command_id command, const command_outcome& outcome);

    control_context& m_context;                               ///< Shared means.
    config_listener& m_listener;                              ///< Told of changes.
    config::key_table m_keys;                                 ///< Keys and bundle in force.
    config::bundle_agent m_agent;                             ///< Keeps them up to date.
    config::approval_workflow m_approval;                     ///< Operators' commands.
    std::map<config::command_id, command_handler> m_commands; ///< Commands under way.
};

} // namespace tarragontrail::entry
