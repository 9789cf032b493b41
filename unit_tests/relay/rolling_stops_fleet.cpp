#include "unit_tests/relay/rolling_stops_fleet.hpp"

#include "tarragontrail/wire/generated_messages.hpp"

#include <algorithm>

namespace tarragontrail::test {
namespace {

constexpr const char* model = "m";
constexpr std::chrono::milliseconds step_length{10};
constexpr std::chrono::milliseconds message_delay{5};
constexpr std::chrono::milliseconds feed_delay{600};
constexpr std::chrono::milliseconds heartbeat_interval{200};
constexpr std::chrono::milliseconds check_interval{40};
constexpr std::chrono::milliseconds load_time{760};
constexpr std::chrono::milliseconds grace{5'700};
constexpr std::chrono::milliseconds restart_delay{500};

} // namespace

class rolling_stops_fleet::platform_view : public table_store,
                                           public engine_control,
                                           public weights_announcer
{
public:
    platform_view(rolling_stops_fleet& fleet, std::size_t index, std::shared_ptr<bool> alive)
        : m_fleet(fleet), m_index(index), m_alive(std::move(alive))
    {}

    /// Answers that come after the end of the instance are dropped, and wait while it stands still.
    template <class Handler>
    auto while_alive(Handler handler) const
    {
        return [&fleet = m_fleet, index = m_index, alive = m_alive,
                handler = std::move(handler)](auto result) {
            if (*alive && fleet.is_frozen(index))
            {
                fleet.m_events.emplace(fleet.m_frozen_until.at(index), [alive, handler, result] {
                    if (*alive)
                    {
                        handler(result);
                    }
                });
                return;
            }
            if (*alive)
            {
                handler(std::move(result));
            }
        };
    }

    void on_era(std::function<void(std::uint64_t)> /*handler*/) override {}
    void read(followed_table /*table*/, std::function<void(table_result)> /*handler*/) override {}
    void follow(followed_table /*table*/, const core::store_version& /*after*/,
                std::chrono::milliseconds /*wait*/,
                std::function<void(table_result)> /*handler*/) override
    {}
    void on_notice(
        std::function<void(const upstream_identity&, const upstream_notice&)> /*handler*/) override
    {}
    void check_presence(const upstream_record& /*asked*/,
                        std::function<void(process_presence)> /*handler*/) override
    {}
    void follow_cache(const net::tcp::endpoint& /*cache*/, std::uint64_t /*since*/,
                      std::chrono::milliseconds /*wait*/,
                      std::function<void(std::optional<cache_events>)> /*handler*/) override
    {}

    void write(const std::string& /*key*/, const std::string& value,
               const std::optional<core::store_version>& expected,
               std::function<void(row_write_result)> handler) override
    {
        m_fleet.write_row(m_index, value, expected.value_or(core::store_version{}),
                          while_alive(std::move(handler)));
    }

    void read_report(const upstream_record& engine, const std::string& /*model*/,
                     std::function<void(std::optional<placement::engine_report>)> handler) override
    {
        const std::size_t index = core::value_of(engine.m_id);
        m_fleet.m_events.emplace(
            core::runtime_clock::now() + message_delay,
            [this, index, answer = while_alive(std::move(handler))] {
                const auto& one = m_fleet.m_engines[index];
                answer(placement::engine_report{one.m_busy, one.m_orders, one.m_version});
            });
    }

    void order(const upstream_record& engine, const placement::order_weights& order,
               std::uint64_t fence, std::function<void(placement::order_answer)> handler) override
    {
        const std::size_t index = core::value_of(engine.m_id);
        m_fleet.m_events.emplace(core::runtime_clock::now() + message_delay,
                                 [&fleet = m_fleet, sender = m_index, index, order, fence,
                                  answer = while_alive(std::move(handler))] {
                                     answer(fleet.take_order(sender, index, order, fence));
                                 });
    }

    void announce_weights_update(const placement::announce_engine& update) override
    {
        if (update.m_loading || update.m_version == placement::weights_version{})
        {
            return;
        }
        const std::size_t engine = core::value_of(update.m_engine);
        m_fleet.tell_version(m_index, engine);
        m_fleet.m_events.emplace(core::runtime_clock::now() + message_delay,
                                 [&fleet = m_fleet, engine] {
                                     for (std::size_t i = 0; i < fleet.m_instances.size(); ++i)
                                     {
                                         fleet.tell_version(i, engine);
                                     }
                                 });
    }

    void announce_yield(const placement::duty_release& release) override;

    void ask_presence(core::instance_id instance) override
    {
        m_fleet.ask_presence(m_index, core::value_of(instance) - 1);
    }

private:
    rolling_stops_fleet& m_fleet;
    std::size_t m_index;
    std::shared_ptr<bool> m_alive;
};

/// One start of an instance.
struct rolling_stops_fleet::instance
{
    instance(rolling_stops_fleet& fleet, std::size_t index, const fleet_member& member,
             const placement::duty_lease_settings& lease)
        : m_member(member), m_view(fleet, index, m_alive),
          m_state(fleet.m_context, fleet.m_codec, {}, locality{"zone-a", "r"}, member.m_instance,
                  index + 1),
          m_registry(member),
          m_coordinator(fleet.m_context, {}, lease, m_state, m_registry, m_view, m_view, m_view,
                        member, [&fleet](const table_row& row) {
                            fleet.m_events.emplace(
                                core::runtime_clock::now() + message_delay, [&fleet, row] {
                                    for (std::size_t i = 0; i < fleet.m_instances.size(); ++i)
                                    {
                                        fleet.deliver_row(i, row);
                                    }
                                });
                        })
    {}

    ~instance() { *m_alive = false; }

    instance_status status() const { return {m_member.m_started, !m_leaving, m_leaving, true}; }

    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    fleet_member m_member;
    bool m_leaving = false;
    platform_view m_view;
    relay_state m_state;
    instance_registry m_registry;
    weights_rollout_coordinator m_coordinator;
};

void rolling_stops_fleet::platform_view::announce_yield(const placement::duty_release& release)
{
    m_fleet.m_events.emplace(core::runtime_clock::now() + message_delay,
                             [&fleet = m_fleet, release] {
                                 for (const auto& each : fleet.m_instances)
                                 {
                                     if (each)
                                     {
                                         each->m_coordinator.on_yield(release);
                                     }
                                 }
                             });
}

rolling_stops_fleet::rolling_stops_fleet(std::size_t instances, std::size_t engines,
                                         bool check_fences, std::chrono::milliseconds store_delay)
    : m_check_fences(check_fences), m_store_delay(store_delay), m_instances(instances),
      m_starts(instances, 0), m_engines(engines), m_orders(engines)
{
    core::runtime_clock::pause();
    m_begin = core::runtime_clock::now();
    for (std::size_t i = 0; i < instances; ++i)
    {
        start_instance(i);
    }
    exchange_heartbeats();
}

rolling_stops_fleet::~rolling_stops_fleet()
{
    m_events.clear();
    m_context.stop();
    m_instances.clear();
    core::runtime_clock::resume();
}

void rolling_stops_fleet::at(std::chrono::milliseconds time, std::function<void()> action)
{
    m_events.emplace(m_begin + time, std::move(action));
}

void rolling_stops_fleet::start_instance(std::size_t index)
{
    placement::duty_lease_settings lease;
    lease.m_upstreams_check_fences = m_check_fences;
    fleet_member member;
    member.m_instance = core::instance_id{index + 1};
    member.m_started = core::incarnation{++m_starts[index]};
    member.m_region = "r";
    m_instances[index] = std::make_unique<instance>(*this, index, member, lease);
    instance& started = *m_instances[index];
    for (std::size_t engine = 0; engine < m_engines.size(); ++engine)
    {
        started.m_state.m_upstreams.apply(record_of(engine), core::runtime_clock::now());
    }
    for (const auto& [version, named] : m_named)
    {
        started.m_state.m_target_weights[model].add_version(placement::weights_version{version},
                                                            core::runtime_clock::now());
    }
    if (m_row)
    {
        deliver_row(index, *m_row);
    }
}

void rolling_stops_fleet::end_instance(std::size_t index)
{
    m_instances[index].reset();
    m_events.emplace(core::runtime_clock::now() + restart_delay,
                     [this, index] { start_instance(index); });
}

upstream_record rolling_stops_fleet::record_of(std::size_t engine) const
{
    upstream_record record;
    record.m_id = core::upstream_id{engine};
    record.m_service = "s";
    record.m_models = {{model, m_engines[engine].m_version}};
    return record;
}

void rolling_stops_fleet::name_weights(std::uint64_t version)
{
    m_named[version] = core::runtime_clock::now();
    for (const auto& each : m_instances)
    {
        if (each)
        {
            each->m_state.m_target_weights[model].add_version(placement::weights_version{version},
                                                              core::runtime_clock::now());
        }
    }
}

void rolling_stops_fleet::stop(std::size_t index)
{
    if (!m_instances[index] || m_instances[index]->m_leaving)
    {
        return;
    }
    m_instances[index]->m_leaving = true;
    m_instances[index]->m_coordinator.begin_leaving();
    exchange_heartbeats();
    m_events.emplace(core::runtime_clock::now() + grace, [this, index, start = m_starts[index]] {
        if (m_instances[index] && m_starts[index] == start)
        {
            end_instance(index);
        }
    });
}

void rolling_stops_fleet::kill(std::size_t index)
{
    if (m_instances[index])
    {
        end_instance(index);
    }
}

void rolling_stops_fleet::kill_holder()
{
    if (!m_senders.empty())
    {
        kill(m_senders.back());
    }
}

void rolling_stops_fleet::refuse_holder()
{
    if (!m_senders.empty())
    {
        m_refused = m_senders.back();
    }
}

void rolling_stops_fleet::exchange_heartbeats()
{
    const core::time_point now = core::runtime_clock::now();
    for (std::size_t to = 0; to < m_instances.size(); ++to)
    {
        const auto& receiver = m_instances[to];
        if (!receiver || is_frozen(to))
        {
            continue;
        }
        receiver->m_registry.set_own_status(receiver->status(), now);
        for (std::size_t from = 0; from < m_instances.size(); ++from)
        {
            const auto& sender = m_instances[from];
            if (!sender || from == to || is_frozen(from))
            {
                continue;
            }
            receiver->m_registry.apply(sender->m_member);
            if (!is_split(from, to))
            {
                tell_status(from, to);
            }
        }
    }
}

void rolling_stops_fleet::deliver_row(std::size_t index, const table_row& row)
{
    if (!m_instances[index])
    {
        return;
    }
    if (is_frozen(index))
    {
        m_events.emplace(m_frozen_until.at(index), [this, index, row] { deliver_row(index, row); });
        return;
    }
    const wire::message message = wire::decode(row.m_value);
    if (const auto* holding = std::get_if<placement::duty_holding>(&message))
    {
        m_instances[index]->m_coordinator.on_holding(*holding, row.m_version);
        return;
    }
    m_instances[index]->m_coordinator.on_release(std::get<placement::duty_release>(message),
                                                 row.m_version);
}

void rolling_stops_fleet::tell_version(std::size_t index, std::size_t engine)
{
    if (m_instances[index])
    {
        m_instances[index]
            ->m_state.m_upstreams.find(core::upstream_id{engine})
            ->set_version(model, m_engines[engine].m_version);
    }
}

void rolling_stops_fleet::write_row(std::size_t index, const std::string& value,
                                    const core::store_version& expected,
                                    const std::function<void(row_write_result)>& handler)
{
    if (m_refused == index)
    {
        m_events.emplace(core::runtime_clock::now() + message_delay, [handler] {
            handler({row_write_result::outcome::refused, {}});
        });
        return;
    }
    m_events.emplace(
        core::runtime_clock::now() + m_store_delay / 2, [this, value, expected, handler] {
            row_write_result result;
            const core::store_version present = m_row ? m_row->m_version : core::store_version{};
            result.m_outcome = row_write_result::outcome::conflict;
            if (expected == present)
            {
                m_row = table_row{
                    weights_rollout_coordinator::row_key, value, {0, ++m_store_version}, false};
                result = {row_write_result::outcome::applied, m_row->m_version};
                for (std::size_t i = 0; i < m_instances.size(); ++i)
                {
                    m_events.emplace(core::runtime_clock::now() + feed_delay,
                                     [this, i, row = *m_row] { deliver_row(i, row); });
                }
            }
            m_events.emplace(core::runtime_clock::now() + m_store_delay / 2,
                             [handler, result] { handler(result); });
        });
}

placement::order_answer rolling_stops_fleet::take_order(std::size_t index, std::size_t engine,
                                                        const placement::order_weights& order,
                                                        std::uint64_t fence)
{
    auto& target = m_engines[engine];
    const bool is_refused = m_check_fences && fence < target.m_fence;
    m_orders[engine].push_back({core::runtime_clock::now(), index, fence, is_refused});
    m_senders.push_back(index);
    if (is_refused)
    {
        return placement::order_answer::fence_refused;
    }
    target.m_fence = fence;
    if (target.m_busy || order.m_expected_orders != target.m_orders)
    {
        return placement::order_answer::conflict;
    }
    ++target.m_orders;
    target.m_busy = true;
    target.m_loading = order.m_version;
    m_events.emplace(core::runtime_clock::now() + load_time, [this, engine] {
        m_engines[engine].m_busy = false;
        m_engines[engine].m_version = m_engines[engine].m_loading;
        note_current_engines();
        m_events.emplace(core::runtime_clock::now() + feed_delay, [this, engine] {
            for (std::size_t i = 0; i < m_instances.size(); ++i)
            {
                tell_version(i, engine);
            }
        });
    });
    return placement::order_answer::accepted;
}

void rolling_stops_fleet::note_current_engines()
{
    for (const auto& [version, named] : m_named)
    {
        const bool all =
            std::all_of(m_engines.begin(), m_engines.end(), [wanted = version](const engine& each) {
                return each.m_version >= placement::weights_version{wanted};
            });
        if (all)
        {
            m_reached.try_emplace(version, core::runtime_clock::now());
        }
    }
}

void rolling_stops_fleet::split_news(std::size_t boundary, std::chrono::milliseconds until,
                                     bool answers)
{
    m_split = {boundary, m_begin + until, answers};
}

void rolling_stops_fleet::freeze(std::size_t instance, std::chrono::milliseconds until)
{
    m_frozen_until[instance] = m_begin + until;
}

std::optional<std::size_t> rolling_stops_fleet::last_sender() const
{
    return m_senders.empty() ? std::nullopt : std::make_optional(m_senders.back());
}

bool rolling_stops_fleet::is_split(std::size_t a, std::size_t b) const
{
    return core::runtime_clock::now() < m_split.m_until &&
           (a < m_split.m_boundary) != (b < m_split.m_boundary);
}

bool rolling_stops_fleet::is_frozen(std::size_t index) const
{
    const auto frozen = m_frozen_until.find(index);
    return frozen != m_frozen_until.end() && core::runtime_clock::now() < frozen->second;
}

void rolling_stops_fleet::ask_presence(std::size_t asker, std::size_t asked)
{
    m_events.emplace(core::runtime_clock::now() + 2 * message_delay, [this, asker, asked] {
        const bool is_answered = m_instances[asker] && m_instances[asked] && !is_frozen(asked) &&
                                 (m_split.m_answers || !is_split(asker, asked));
        if (!is_answered)
        {
            return;
        }
        tell_status(asked, asker);
    });
}

void rolling_stops_fleet::tell_status(std::size_t from, std::size_t to)
{
    const core::time_point now = core::runtime_clock::now();
    instance& sender = *m_instances[from];
    m_instances[to]->m_registry.on_status(sender.m_member.m_instance, sender.status(), now);
    if (const auto age = sender.m_coordinator.since_own_order())
    {
        m_instances[to]->m_coordinator.on_progress(now - *age);
    }
}

void rolling_stops_fleet::run_until(std::chrono::milliseconds time)
{
    while (core::runtime_clock::now() < m_begin + time)
    {
        step();
    }
}

void rolling_stops_fleet::step()
{
    core::runtime_clock::advance(step_length);
    const core::time_point now = core::runtime_clock::now();
    if ((now - m_begin) % heartbeat_interval < step_length)
    {
        exchange_heartbeats();
    }
    while (!m_events.empty() && m_events.begin()->first <= now)
    {
        const auto due = m_events.extract(m_events.begin());
        due.mapped()();
    }
    for (const auto& each : m_instances)
    {
        const auto index = static_cast<std::size_t>(&each - m_instances.data());
        if (each && !is_frozen(index) && (now - m_begin) % check_interval < step_length)
        {
            each->m_coordinator.check_work();
        }
    }
}

std::chrono::milliseconds rolling_stops_fleet::time_to_all(std::uint64_t version) const
{
    const auto reached = m_reached.find(version);
    return reached == m_reached.end() ? std::chrono::milliseconds::max()
                                      : std::chrono::duration_cast<std::chrono::milliseconds>(
                                            reached->second - m_named.at(version));
}

std::size_t rolling_stops_fleet::holder_changes() const
{
    std::size_t changes = 0;
    for (std::size_t i = 1; i < m_senders.size(); ++i)
    {
        changes += m_senders[i] != m_senders[i - 1] ? 1 : 0;
    }
    return changes;
}

} // namespace tarragontrail::test
