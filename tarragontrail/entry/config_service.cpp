#include "tarragontrail/entry/config_service.hpp"

#include "tarragontrail/entry/table_bridge.hpp"
#include "tarragontrail/observe/log.hpp"

#include <type_traits>

namespace tarragontrail::entry {

config_service::config_service(control_context& context,
                               const config::key_freshness_settings& freshness,
                               const config::bundle_agent_settings& settings,
                               config_listener& listener, std::uint64_t seed)
    : m_context(context), m_listener(listener), m_keys(freshness),
      m_agent(settings, context.m_self.m_id, context.m_self.m_failure_domain, m_keys, seed),
      m_approval(config::approval_workflow_settings{}, seed + 1)
{}

void config_service::start(core::time_point now)
{
    m_agent.start(now);
}

bool config_service::on_message(const wire::message& message, core::time_point now)
{
    if (const auto* asked = std::get_if<wire::state_request>(&message))
    {
        m_agent.on_state_request(*asked, now);
        return true;
    }
    if (const auto* state = std::get_if<wire::state_answer>(&message))
    {
        m_agent.on_state_answer(*state, now);
        m_listener.on_keys_changed();
        return true;
    }
    if (const auto* wanted = std::get_if<wire::bundle_request>(&message))
    {
        m_agent.on_bundle_request(*wanted, now);
        return true;
    }
    if (const auto* document = std::get_if<wire::bundle_answer>(&message))
    {
        m_agent.on_bundle_answer(*document, now);
        return true;
    }
    return false;
}

void config_service::on_withdrawal(const config::withdrawal& learned, core::time_point now)
{
    m_agent.on_withdrawal(learned, now);
    m_listener.on_keys_changed();
}

void config_service::on_freshness(const config::freshness_word& word,
                                  std::optional<core::time_point> asked_at, core::time_point now)
{
    m_agent.on_peer_freshness(word, asked_at, now);
}

void config_service::set_members(const std::vector<core::instance_id>& members)
{
    m_agent.set_members(members);
}

void config_service::set_domains(const std::vector<core::failure_domain_id>& domains)
{
    m_keys.freshness().set_domains(domains, m_context.m_self.m_domain_id);
}

config::key_check_result config_service::check(const config::sha256_digest& digest,
                                               core::time_point now) const
{
    return m_agent.check_key(digest, now);
}

void config_service::await(config::command_id command, command_handler handler)
{
    m_commands[command] = std::move(handler);
}

void config_service::withdraw(config::key_prefix key, core::time_point now)
{
    m_agent.withdraw(key, now);
    m_listener.on_keys_changed();
}

template <class Action>
void config_service::carry_out(const Action& action)
{
    if constexpr (std::is_same_v<Action, config::table_read>)
    {
        bridge_read(m_context, m_agent, action);
    }
    else if constexpr (std::is_same_v<Action, config::table_write>)
    {
        bridge_write(m_context, m_agent, action);
    }
    else if constexpr (std::is_same_v<Action, config::object_get>)
    {
        const auto operation = action.m_operation;
        m_context.m_platform.get_object(action.m_name,
                                        [this, operation](const std::optional<std::string>& bytes) {
                                            const core::time_point now = core::runtime_clock::now();
                                            if (bytes)
                                            {
                                                m_agent.on_object(operation, *bytes, now);
                                            }
                                            else
                                            {
                                                m_agent.on_object_failed(operation, now);
                                            }
                                            m_context.m_pump();
                                        });
    }
    else if constexpr (std::is_same_v<Action, config::bundle_applied>)
    {
        observe::log("bundle_applied", {{"version", action.m_version}});
        m_listener.on_bundle(m_keys.applied());
        m_listener.on_keys_changed();
    }
    else if constexpr (std::is_same_v<Action, config::gossip_withdrawal>)
    {
        m_listener.on_spread_withdrawal(action.m_withdrawal);
        m_listener.on_keys_changed();
    }
    else
    {
        m_context.m_peers.send(action.m_to, action.m_message);
    }
}

template <class Action>
void config_service::carry_out_approval(const Action& action)
{
    if constexpr (std::is_same_v<Action, config::table_read>)
    {
        bridge_read(m_context, m_approval, action);
    }
    else if constexpr (std::is_same_v<Action, config::table_write>)
    {
        bridge_write(m_context, m_approval, action);
    }
    else if constexpr (std::is_same_v<Action, config::object_put>)
    {
        const auto operation = action.m_operation;
        m_context.m_platform.put_object(action.m_name, action.m_bytes,
                                        [this, operation](std::optional<bool> stored) {
                                            const core::time_point now = core::runtime_clock::now();
                                            if (stored)
                                            {
                                                m_approval.on_object_stored(operation, now);
                                            }
                                            else
                                            {
                                                m_approval.on_object_failed(operation, now);
                                            }
                                            m_context.m_pump();
                                        });
    }
    else if constexpr (std::is_same_v<Action, config::command_done>)
    {
        finish(action.m_command, {std::nullopt, action.m_draft, action.m_head});
    }
    else
    {
        finish(action.m_command, {action.m_error.refusal(), std::nullopt, std::nullopt});
    }
}

void config_service::finish(config::command_id command, const command_outcome& outcome)
{
    const auto found = m_commands.find(command);
    if (found == m_commands.end())
    {
        return;
    }
    const command_handler handler = std::move(found->second);
    m_commands.erase(found);
    handler(outcome);
}

bool config_service::run_actions(core::time_point /*now*/)
{
    const auto actions = m_agent.take_actions();
    for (const auto& action : actions)
    {
        std::visit([this](const auto& each) { carry_out(each); }, action);
    }
    const auto steps = m_approval.take_actions();
    for (const auto& action : steps)
    {
        std::visit([this](const auto& each) { carry_out_approval(each); }, action);
    }
    return !actions.empty() || !steps.empty();
}

std::optional<core::time_point> config_service::next_deadline() const
{
    return earlier(m_agent.next_deadline(), m_approval.next_deadline());
}

void config_service::on_timer(core::time_point now)
{
    m_agent.on_timer(now);
    m_approval.on_timer(now);
}

} // namespace tarragontrail::entry
