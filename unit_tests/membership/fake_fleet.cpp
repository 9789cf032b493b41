#include "unit_tests/membership/fake_fleet.hpp"

#include <algorithm>
#include <cstring>
#include <fmt/core.h>

namespace tarragontrail::test {

using namespace std::chrono_literals;

namespace {

constexpr core::duration tick_length = 50ms;
constexpr core::duration message_delay = 30ms;
constexpr std::uint64_t withdrawal_kind = 1;

config::withdrawal read_item(const membership::gossip_item& item)
{
    config::withdrawal read;
    std::memcpy(&read, item.m_payload.data(), sizeof(read));
    return read;
}

} // namespace

fake_fleet::fake_fleet(std::uint64_t seed, std::size_t count)
    : m_events(seed), m_platform(m_events), m_instances(count)
{
    for (std::size_t i = 0; i < count; ++i)
    {
        membership::member named;
        named.m_name = fmt::format("entry-{}", i);
        named.m_region = fmt::format("region-{}", i % 2);
        named.m_failure_domain = fmt::format("domain-{}", i % 4);
        named.m_address = fmt::format("10.0.0.{}", i);
        named.m_ports = {8080, 8081, 8082};
        m_instances[i].m_member = membership::make_member(named);
    }
}

void fake_fleet::start(std::size_t index)
{
    instance& each = m_instances[index];
    each.m_up = true;
    each.m_paused = false;
    each.m_backlog.clear();
    const std::uint64_t generation = ++each.m_generation;
    each.m_member.m_incarnation = core::incarnation{generation};
    const core::instance_id self = each.m_member.m_id;
    const std::uint64_t seed = m_events.m_random();
    each.m_agent.reset();
    each.m_keys = std::make_unique<config::key_table>(config::key_freshness_settings{});
    each.m_agent = std::make_unique<config::bundle_agent>(
        config::bundle_agent_settings{}, self, each.m_member.m_failure_domain, *each.m_keys, seed);
    each.m_detector = std::make_unique<membership::failure_detector>(
        membership::failure_detector_settings{}, membership::gossip_buffer_settings{}, self,
        each.m_member.m_incarnation, seed + 1);
    each.m_planner = std::make_unique<membership::view_change_planner>(each.m_member);
    each.m_view_synchronizer = std::make_unique<membership::view_synchronizer>(
        membership::view_synchronizer_settings{}, self, seed + 2);
    each.m_agent->start(now());
    each.m_detector->start(now());
    each.m_view_synchronizer->start(now());
    std::erase_if(m_list, [&](const auto& entry) { return entry.m_member.m_id == self; });
    m_list.push_back({each.m_member, membership::listed_state::live});
    m_events.after(m_events.random_duration(tick_length), [=, this] { tick(index, generation); });
}

void fake_fleet::crash(std::size_t index)
{
    instance& each = m_instances[index];
    each.m_up = false;
    const std::uint64_t generation = each.m_generation++;
    m_events.after(m_list_lag, [=, this, id = each.m_member.m_id] {
        if (m_instances[index].m_generation == generation + 1)
        {
            std::erase_if(m_list, [id](const auto& entry) { return entry.m_member.m_id == id; });
        }
    });
}

void fake_fleet::resume(std::size_t index)
{
    instance& each = m_instances[index];
    each.m_paused = false;
    for (const std::function<void()>& event : std::exchange(each.m_backlog, {}))
    {
        event();
    }
}

void fake_fleet::mark_leaving(std::size_t index)
{
    for (membership::listed_instance& entry : m_list)
    {
        if (entry.m_member.m_id == m_instances[index].m_member.m_id)
        {
            entry.m_state = membership::listed_state::leaving;
        }
    }
}

void fake_fleet::tick(std::size_t index, std::uint64_t generation)
{
    deliver(index, generation, [=, this] {
        instance& each = m_instances[index];
        if (m_events.chance(0.025)) // About every two seconds.
        {
            read_list(each);
        }
        each.m_agent->on_timer(now());
        each.m_detector->on_timer(now());
        if (m_events.chance(0.1)) // About every half second.
        {
            each.m_view_synchronizer->set_needed_changes(
                each.m_planner->needed_changes(*each.m_view_synchronizer->current(),
                                               *each.m_detector),
                now());
        }
        each.m_view_synchronizer->on_timer(now());
    });
    if (m_instances[index].m_generation == generation)
    {
        m_events.after(tick_length, [=, this] { tick(index, generation); });
    }
}

void fake_fleet::read_list(instance& each)
{
    each.m_planner->on_list(m_list);
    std::vector<core::failure_domain_id> domains;
    for (const membership::listed_instance& entry : m_list)
    {
        if (entry.m_member.m_id != each.m_member.m_id)
        {
            domains.push_back(entry.m_member.m_domain_id);
        }
    }
    each.m_keys->freshness().set_domains(domains, each.m_member.m_domain_id);
    update_detector(each);
}

void fake_fleet::update_detector(instance& each)
{
    std::vector<core::instance_id> members;
    for (const membership::member& known : each.m_view_synchronizer->current()->members())
    {
        members.push_back(known.m_id);
    }
    for (const membership::listed_instance& entry : m_list)
    {
        members.push_back(entry.m_member.m_id);
    }
    each.m_detector->set_members(members);
    each.m_detector->set_view(each.m_view_synchronizer->current()->number());
}

void fake_fleet::deliver(std::size_t index, std::uint64_t generation,
                         const std::function<void()>& event)
{
    instance& each = m_instances[index];
    if (!each.m_up || each.m_generation != generation)
    {
        return;
    }
    if (each.m_paused)
    {
        each.m_backlog.push_back([=, this] { deliver(index, generation, event); });
        return;
    }
    event();
    drain(index);
}

void fake_fleet::drain(std::size_t index)
{
    instance& each = m_instances[index];
    const auto carry = [&](auto actions) {
        for (auto& action : actions)
        {
            std::visit([&](auto& one) { carry_out(index, one); }, action);
        }
        return !actions.empty();
    };
    while (carry(each.m_detector->take_actions()) || carry(each.m_agent->take_actions()) ||
           carry(each.m_view_synchronizer->take_actions()))
    {}
}

void fake_fleet::send(std::size_t from, core::instance_id to,
                      const std::function<void(instance&)>& event)
{
    ++m_messages;
    const auto target =
        std::find_if(m_instances.begin(), m_instances.end(),
                     [to](const instance& each) { return each.m_member.m_id == to; });
    const auto index = static_cast<std::size_t>(target - m_instances.begin());
    const bool crosses = m_instances[from].m_member.m_region_id != target->m_member.m_region_id;
    const bool isolated = m_isolated.contains(from) || m_isolated.contains(index);
    if (m_events.chance(m_loss) || (crosses && m_regions_partitioned) || isolated)
    {
        return;
    }
    const int copies = m_events.chance(m_duplicated) ? 2 : 1;
    for (int i = 0; i < copies; ++i)
    {
        m_events.after(m_events.random_duration(message_delay), [=, this] {
            deliver(index, m_instances[index].m_generation,
                    [=, this] { event(m_instances[index]); });
        });
    }
}

bool fake_fleet::reaches_platform(std::size_t index) const
{
    return !m_regions_partitioned || m_instances[index].m_member.m_region == "region-0";
}

void fake_fleet::carry_out(std::size_t from, config::table_read& call)
{
    instance& each = m_instances[from];
    const std::uint64_t generation = each.m_generation;
    const bool for_view = call.m_table == "membership";
    if (!reaches_platform(from))
    {
        return;
    }
    m_platform.read(
        call,
        [=, this](const config::read_reply& reply) {
            deliver(from, generation, [=, this, &each = m_instances[from]] {
                for_view ? each.m_view_synchronizer->on_table_read(reply, now())
                         : each.m_agent->on_table_read(reply, now());
            });
        },
        [] {});
}

void fake_fleet::carry_out(std::size_t from, config::table_write& call)
{
    const std::uint64_t generation = m_instances[from].m_generation;
    const bool for_view = call.m_table == "membership";
    if (!reaches_platform(from))
    {
        return;
    }
    m_platform.write(
        call,
        [=, this](const config::write_reply& reply) {
            deliver(from, generation, [=, this, &each = m_instances[from]] {
                for_view ? each.m_view_synchronizer->on_table_written(reply, now())
                         : each.m_agent->on_table_written(reply, now());
            });
        },
        [] {});
}

void fake_fleet::carry_out(std::size_t from, config::object_get& call)
{
    const std::uint64_t generation = m_instances[from].m_generation;
    const config::operation_id operation = call.m_operation;
    if (!reaches_platform(from))
    {
        return;
    }
    m_platform.get(
        call.m_name,
        [=, this](const std::string& bytes) {
            deliver(from, generation,
                    [=, this] { m_instances[from].m_agent->on_object(operation, bytes, now()); });
        },
        [=, this] {
            deliver(from, generation,
                    [=, this] { m_instances[from].m_agent->on_object_failed(operation, now()); });
        });
}

void fake_fleet::carry_out(std::size_t from, config::send_state_request& action)
{
    send(from, action.m_to, [this, message = action.m_message](instance& to) {
        to.m_agent->on_state_request(message, now());
    });
}

void fake_fleet::carry_out(std::size_t from, config::send_state_answer& action)
{
    send(from, action.m_to, [this, message = action.m_message](instance& to) {
        to.m_agent->on_state_answer(message, now());
    });
}

void fake_fleet::carry_out(std::size_t from, config::send_bundle_request& action)
{
    send(from, action.m_to, [this, message = action.m_message](instance& to) {
        to.m_agent->on_bundle_request(message, now());
    });
}

void fake_fleet::carry_out(std::size_t from, config::send_bundle_answer& action)
{
    send(from, action.m_to, [this, message = action.m_message](instance& to) {
        to.m_agent->on_bundle_answer(message, now());
    });
}

void fake_fleet::carry_out(std::size_t /*from*/, config::bundle_applied& /*action*/) {}

void fake_fleet::carry_out(std::size_t from, config::gossip_withdrawal& action)
{
    const config::withdrawal& made = action.m_withdrawal;
    membership::gossip_item item{withdrawal_kind, made.m_prefix_high, made.m_bundle_version, {}};
    item.m_payload.assign(reinterpret_cast<const char*>(&made), sizeof(made));
    m_instances[from].m_detector->spread(item);
}

void fake_fleet::carry_out(std::size_t from, membership::send_ping& action)
{
    action.m_message.m_freshness = m_instances[from].m_agent->make_freshness_word(now());
    send(from, action.m_to, [this, message = action.m_message](instance& to) {
        to.m_detector->on_ping(message, now());
    });
}

void fake_fleet::carry_out(std::size_t from, membership::send_ping_ack& action)
{
    action.m_message.m_freshness = m_instances[from].m_agent->make_freshness_word(now());
    send(from, action.m_to, [this, message = action.m_message](instance& to) {
        to.m_detector->on_ping_ack(message, now());
    });
}

void fake_fleet::carry_out(std::size_t from, membership::send_ping_request& action)
{
    send(from, action.m_to, [this, message = action.m_message](instance& to) {
        to.m_detector->on_ping_request(message, now());
    });
}

void fake_fleet::carry_out(std::size_t from, membership::member_changed& action)
{
    const bool failed = action.m_liveness == membership::liveness::failed;
    m_instances[from].m_failures_seen += failed ? 1 : 0;
}

void fake_fleet::carry_out(std::size_t from, membership::item_received& action)
{
    m_instances[from].m_agent->on_withdrawal(read_item(action.m_item), now());
}

void fake_fleet::carry_out(std::size_t from, membership::freshness_received& action)
{
    m_instances[from].m_agent->on_peer_freshness(action.m_word, action.m_ping_sent_at, now());
}

void fake_fleet::carry_out(std::size_t from, membership::view_number_received& action)
{
    m_instances[from].m_view_synchronizer->on_peer_view(action.m_sender, action.m_number, now());
}

void fake_fleet::carry_out(std::size_t from, membership::view_changed& /*action*/)
{
    m_instances[from].m_planner->on_view(*m_instances[from].m_view_synchronizer->current());
    update_detector(m_instances[from]);
}

void fake_fleet::carry_out(std::size_t from, membership::send_view_request& action)
{
    send(from, action.m_to, [message = action.m_message](instance& to) {
        to.m_view_synchronizer->on_view_request(message);
    });
}

void fake_fleet::carry_out(std::size_t from, membership::send_view_answer& action)
{
    send(from, action.m_to, [this, message = action.m_message](instance& to) {
        to.m_view_synchronizer->on_view_answer(message, now());
    });
}

} // namespace tarragontrail::test
