#include "unit_tests/recovery/part_fleet_simulation.hpp"

#include <algorithm>
#include <utility>

namespace tarragontrail::recovery {

using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t shared_parts = 6; ///< Parts from 1 to this value are shared.
constexpr std::uint64_t first_deadly_part = 100;
constexpr std::uint64_t pooled_parts = 300; ///< Parts that come again at times.
constexpr std::uint64_t first_pooled_part = 1000;
/// Time after a crash until all instances know of it: a connection is refused, then a message.
constexpr std::chrono::milliseconds notice_time{27};

attempt_id id_of_attempt(std::uint64_t attempt)
{
    return attempt_id{attempt};
}

} // namespace

part_fleet_simulation::part_fleet_simulation(std::uint64_t seed, const part_fleet_options& options)
    : m_random(seed), m_options(options), m_engines(options.m_engines)
{
    for (std::uint64_t i = 0; i < options.m_instances; ++i)
    {
        m_instances.push_back(
            {part_attribution({}, core::instance_id{m_random()}), 0, {}, std::nullopt});
    }
}

part_fleet_result part_fleet_simulation::run()
{
    at(0ms, [this] { arrive(); });
    for (std::uint64_t i = 0; i < m_options.m_lost_domains; ++i)
    {
        at(between(2000, 6000), [this] { lose_domain(); });
    }
    const std::chrono::milliseconds restarted = between(2500, 5000);
    for (std::uint64_t i = 0; i < m_options.m_restarts; ++i)
    {
        at(restarted, [this, i] { restart(i); });
    }
    while (!m_events.empty() && m_events.top().m_at < core::time_point{} + offered_time + 12s)
    {
        const event next = m_events.top();
        m_events.pop();
        m_now = next.m_at;
        next.m_run();
    }
    for (const auto& [number, open] : m_requests)
    {
        m_result.m_sound_unfinished += open.m_deadly == 0 ? 1 : 0;
    }
    for (const instance& each : m_instances)
    {
        for (const part_quarantine_notice& entry : each.m_core.list(m_now))
        {
            const bool has_deadly =
                std::any_of(entry.m_parts.begin(), entry.m_parts.end(), [&](std::uint64_t part) {
                    return part >= first_deadly_part &&
                           part < first_deadly_part + m_options.m_deadly_parts;
                });
            m_result.m_innocent_quarantines += has_deadly ? 0 : 1;
        }
    }
    return std::move(m_result);
}

void part_fleet_simulation::at(core::duration delay, std::function<void()> run)
{
    m_events.push({m_now + delay, m_next_order++, std::move(run)});
}

std::chrono::milliseconds part_fleet_simulation::between(std::uint64_t low, std::uint64_t high)
{
    return std::chrono::milliseconds(low + m_random.below(high - low + 1));
}

void part_fleet_simulation::arrive()
{
    if (m_now >= core::time_point{} + offered_time)
    {
        return;
    }
    request arrived;
    arrived.m_instance = m_random.below(m_options.m_instances);
    arrived.m_parts = draw_parts(arrived);
    const std::uint64_t number = m_next_request++;
    m_requests.emplace(number, std::move(arrived));
    place(number);
    const double mean = 1e6 / static_cast<double>(m_options.m_requests_per_second);
    at(std::chrono::microseconds(static_cast<std::int64_t>(2 * mean * m_random.unit())),
       [this] { arrive(); });
}

std::vector<std::uint64_t> part_fleet_simulation::draw_parts(request& drawn)
{
    // One kind of request has a shared and a rare part, the other two shared ones, or a rare one
    // between them.
    const std::uint64_t shared = 1 + m_random.below(shared_parts);
    const std::uint64_t rare = m_random.below(2) == 0
                                   ? m_next_rare_part++
                                   : first_pooled_part + m_random.below(pooled_parts);
    const bool may_be_deadly =
        m_options.m_is_sound_before || m_now >= core::time_point{} + fault_time;
    if (may_be_deadly && m_random.unit() < m_options.m_deadly_share)
    {
        drawn.m_deadly = first_deadly_part + m_random.below(m_options.m_deadly_parts);
        return m_options.m_is_deadly_first ? std::vector{drawn.m_deadly, rare}
                                           : std::vector{shared, drawn.m_deadly};
    }
    switch (m_random.below(4))
    {
    case 0:
        drawn.m_is_shared_only = true;
        return {shared};
    case 1:
        return {shared, rare, 1 + m_random.below(shared_parts)};
    default:
        return {shared, rare};
    }
}

void part_fleet_simulation::place(std::uint64_t number)
{
    const auto found = m_requests.find(number);
    if (found == m_requests.end())
    {
        return;
    }
    request& placed = found->second;
    instance& here = m_instances[placed.m_instance];
    const std::uint64_t target = m_random.below(m_options.m_engines);
    const auto again = [this, number] { place(number); };
    if (here.m_down.contains(target))
    {
        at(2ms, again);
        return;
    }
    switch (here.m_core.check(placed.m_parts, core::upstream_id{target + 1}, m_now))
    {
    case dispatch_verdict::quarantined:
        m_result.m_sound_refused += placed.m_deadly == 0 ? 1 : 0;
        m_requests.erase(found);
        return;
    case dispatch_verdict::hold:
        placed.m_held_since = placed.m_held_since.value_or(m_now);
        at(between(5, 20), again);
        return;
    case dispatch_verdict::allowed:
        note_hold_end(placed);
        send(number, target);
        return;
    }
}

void part_fleet_simulation::note_hold_end(request& held)
{
    if (!held.m_held_since || held.m_deadly != 0)
    {
        return;
    }
    const core::duration time = m_now - *std::exchange(held.m_held_since, std::nullopt);
    m_result.m_longest_hold = std::max(m_result.m_longest_hold, time);
    const auto begun = m_begun_shared.find(held.m_parts.front());
    if (held.m_is_shared_only && begun != m_begun_shared.end() && m_now - time > begun->second)
    {
        m_result.m_longest_shared_hold = std::max(m_result.m_longest_shared_hold, time);
    }
}

void part_fleet_simulation::send(std::uint64_t number, std::uint64_t target)
{
    const request& sent = m_requests.at(number);
    engine& where = m_engines[target];
    const std::uint64_t attempt = m_next_attempt++;
    instance& here = m_instances[sent.m_instance];
    here.m_core.on_dispatched(id_of_attempt(attempt), sent.m_parts, core::upstream_id{target + 1},
                              m_now);
    if (!where.m_is_up)
    {
        here.m_core.on_ended(id_of_attempt(attempt), m_now);
        here.m_down.insert(target);
        flush(sent.m_instance);
        at(2ms, [this, number] { place(number); });
        return;
    }
    running added{number, false, false};
    if (sent.m_deadly != 0)
    {
        m_result.m_reached[sent.m_deadly].push_back(m_now);
        const std::vector<core::time_point>& crashes = m_result.m_crashes[sent.m_deadly];
        added.m_is_later = !crashes.empty() && m_now >= crashes.front() + notice_time;
    }
    where.m_running.emplace(attempt, added);
    flush(sent.m_instance);
    const std::uint64_t started = where.m_started;
    at(between(80, 600), [this, attempt, target, started] { begin(attempt, target, started); });
}

bool part_fleet_simulation::is_deadly_now(const request& what) const
{
    return what.m_deadly != 0 && m_now >= core::time_point{} + fault_time;
}

void part_fleet_simulation::begin(std::uint64_t attempt, std::uint64_t target,
                                  std::uint64_t started)
{
    engine& where = m_engines[target];
    const auto found = where.m_running.find(attempt);
    if (where.m_started != started || found == where.m_running.end())
    {
        return;
    }
    const request& begun = m_requests.at(found->second.m_request);
    if (is_deadly_now(begun))
    {
        m_result.m_crashes[begun.m_deadly].push_back(m_now);
        m_result.m_later_crashes[begun.m_deadly] += found->second.m_is_later ? 1 : 0;
        crash(target);
        return;
    }
    found->second.m_has_begun = true;
    for (const std::uint64_t part : begun.m_parts)
    {
        if (part <= shared_parts)
        {
            m_begun_shared.emplace(part, m_now);
        }
    }
    m_instances[begun.m_instance].m_core.on_answer_begun(id_of_attempt(attempt), m_now);
    flush(begun.m_instance);
    at(between(100, 1000), [this, attempt, target, started] { end(attempt, target, started); });
}

void part_fleet_simulation::end(std::uint64_t attempt, std::uint64_t target, std::uint64_t started)
{
    engine& where = m_engines[target];
    const auto found = where.m_running.find(attempt);
    if (where.m_started != started || found == where.m_running.end())
    {
        return;
    }
    const std::uint64_t number = found->second.m_request;
    const std::uint64_t at_instance = m_requests.at(number).m_instance;
    m_instances[at_instance].m_core.on_ended(id_of_attempt(attempt), m_now);
    flush(at_instance);
    ++m_result.m_served;
    m_requests.erase(number);
    where.m_running.erase(found);
}

void part_fleet_simulation::crash(std::uint64_t target)
{
    engine& where = m_engines[target];
    const std::uint64_t started = where.m_started++;
    where.m_is_up = false;
    std::set<std::uint64_t> informed;
    for (const auto& [attempt, lost] : std::exchange(where.m_running, {}))
    {
        const std::uint64_t number = lost.m_request;
        const std::uint64_t at_instance = m_requests.at(number).m_instance;
        const std::uint64_t generation = m_instances[at_instance].m_generation;
        const bool has_begun = lost.m_has_begun;
        if (informed.insert(at_instance).second)
        {
            at(7ms, [=, this] { learn_of_crash(target, started, at_instance); });
        }
        at(std::chrono::microseconds(m_random.below(2000)), [=, this, attempt = attempt] {
            instance& here = m_instances[at_instance];
            here.m_down.insert(target);
            if (here.m_generation != generation)
            {
                return;
            }
            here.m_core.on_attempt_lost(id_of_attempt(attempt), m_now);
            flush(at_instance);
            if (has_begun)
            {
                m_requests.erase(number);
                return;
            }
            at(1ms, [this, number] { place(number); });
        });
    }
    for (std::uint64_t i = 0; i < m_options.m_instances; ++i)
    {
        if (!informed.contains(i))
        {
            at(3000ms, [=, this] { learn_of_crash(target, started, i); });
        }
    }
    at(3300ms, [this, target] {
        m_engines[target].m_is_up = true;
        for (instance& each : m_instances)
        {
            each.m_down.erase(target);
        }
    });
}

void part_fleet_simulation::learn_of_crash(std::uint64_t target, std::uint64_t started,
                                           std::uint64_t at_instance)
{
    m_instances[at_instance].m_core.on_engine_crashed(core::upstream_id{target + 1},
                                                      core::incarnation{started}, m_now);
    flush(at_instance);
}

/// Half of the engines stay up.
void part_fleet_simulation::lose_domain()
{
    const std::uint64_t first = m_random.below(m_options.m_engines);
    const std::uint64_t count = 2 + m_random.below(m_options.m_engines / 2 - 1);
    for (std::uint64_t i = 0; i < count; ++i)
    {
        const std::uint64_t target = (first + i) % m_options.m_engines;
        const auto up = std::count_if(m_engines.begin(), m_engines.end(),
                                      [](const engine& each) { return each.m_is_up; });
        if (m_engines[target].m_is_up && static_cast<std::uint64_t>(up) > m_options.m_engines / 2)
        {
            crash(target);
        }
    }
}

void part_fleet_simulation::restart(std::uint64_t which)
{
    instance& restarted = m_instances[which];
    restarted = {part_attribution({}, core::instance_id{m_random()}),
                 restarted.m_generation + 1,
                 {},
                 std::nullopt};
    for (const auto& [notice, until] : m_rows)
    {
        part_quarantine_notice row = notice;
        row.m_duration = std::chrono::ceil<std::chrono::milliseconds>(until - m_now);
        restarted.m_core.on_quarantine_notice(row, m_now);
    }
    // The requests of the instance end with it.
    for (engine& each : m_engines)
    {
        std::erase_if(each.m_running, [&](const auto& attempt) {
            return m_requests.at(attempt.second.m_request).m_instance == which;
        });
    }
    std::erase_if(m_requests, [&](const auto& each) { return each.second.m_instance == which; });
    flush(which);
}

void part_fleet_simulation::flush(std::uint64_t which)
{
    instance& here = m_instances[which];
    for (const part_attribution_action& action : here.m_core.take_actions())
    {
        if (const auto* notice = std::get_if<part_quarantine_notice>(&action))
        {
            m_rows.emplace_back(*notice, m_now + notice->m_duration);
        }
        for (std::uint64_t to = 0; to < m_options.m_instances; ++to)
        {
            if (to == which)
            {
                continue;
            }
            ++m_result.m_messages;
            std::uint64_t copies = 1;
            if (m_options.m_loses_messages)
            {
                const std::uint64_t draw = m_random.below(10);
                copies = draw == 0 ? 0 : draw == 1 ? 2 : 1;
            }
            for (std::uint64_t i = 0; i < copies; ++i)
            {
                at(between(1, 20), [this, to, action] { deliver(to, action); });
            }
        }
    }
    const auto deadline = here.m_core.next_deadline();
    if (!deadline || (here.m_timer && *here.m_timer <= *deadline))
    {
        return;
    }
    here.m_timer = std::max(*deadline, m_now);
    at(*here.m_timer - m_now, [this, which, generation = here.m_generation, due = *here.m_timer] {
        instance& timed = m_instances[which];
        if (timed.m_generation == generation && timed.m_timer == due)
        {
            timed.m_timer.reset();
            timed.m_core.on_timer(m_now);
            flush(which);
        }
    });
}

void part_fleet_simulation::deliver(std::uint64_t to, const part_attribution_action& message)
{
    part_attribution& receiver = m_instances[to].m_core;
    if (const auto* report = std::get_if<part_crash_report>(&message))
    {
        receiver.on_crash_report(*report, m_now);
    }
    else if (const auto* sound = std::get_if<part_exoneration_notice>(&message))
    {
        receiver.on_exoneration_notice(*sound, m_now);
    }
    else if (const auto* trial = std::get_if<part_trial_notice>(&message))
    {
        receiver.on_trial_notice(*trial, m_now);
    }
    else if (const auto* quarantine = std::get_if<part_quarantine_notice>(&message))
    {
        receiver.on_quarantine_notice(*quarantine, m_now);
    }
    flush(to);
}

} // namespace tarragontrail::recovery
