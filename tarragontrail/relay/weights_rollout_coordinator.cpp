#include "tarragontrail/relay/weights_rollout_coordinator.hpp"

#include "tarragontrail/observe/log.hpp"
#include "tarragontrail/relay/log_times.hpp"
#include "tarragontrail/wire/generated_messages.hpp"

#include <algorithm>

namespace tarragontrail::relay {

weights_rollout_coordinator::weights_rollout_coordinator(
    boost::asio::io_context& context, weights_rollout_coordinator_settings settings,
    const placement::duty_lease_settings& lease, relay_state& state, instance_registry& registry,
    table_store& store, engine_control& engines, weights_announcer& announcer,
    const fleet_member& self, row_publisher publish)
    : m_settings(settings), m_state(state), m_registry(registry), m_store(store),
      m_engines(engines), m_announcer(announcer), m_self(self.m_instance),
      m_lease(lease, self.m_instance, self.m_started), m_timer(context),
      m_publish(std::move(publish))
{}

void weights_rollout_coordinator::start()
{
    m_timer.run_after(m_settings.m_check_interval, [this] {
        check_work();
        start();
    });
}

void weights_rollout_coordinator::begin_leaving()
{
    m_leaving = true;
    m_lease.begin_leaving(core::suspension_counting_now());
    check_work();
}

void weights_rollout_coordinator::begin_era(std::uint64_t era)
{
    m_lease.begin_era(era, core::suspension_counting_now());
}

void weights_rollout_coordinator::on_row(const std::optional<placement::duty_row>& row,
                                         const core::store_version& version)
{
    m_lease.on_row(row, version, core::suspension_counting_now());
    observe::log("duty_row", {{"holder", row ? core::value_of(row->m_holder) : 0},
                              {"era", version.m_era},
                              {"version", version.m_number},
                              {"own", m_lease.fence() != 0}});
}

void weights_rollout_coordinator::on_holding(const placement::duty_holding& holding,
                                             const core::store_version& version)
{
    const core::time_point now = core::suspension_counting_now();
    const auto store_now = m_state.m_freshness.store_time_at(now);
    const bool is_dated = store_now && holding.m_written > store_time::zero();
    const core::duration age =
        is_dated ? std::max<core::duration>(*store_now - holding.m_written, core::duration::zero())
                 : core::duration::zero();
    m_lease.on_holding(holding, version, age, now);
    observe::log("duty_row", {{"holder", core::value_of(holding.m_row.m_holder)},
                              {"era", version.m_era},
                              {"version", version.m_number},
                              {"own", m_lease.fence() != 0},
                              {"age_ms", rounded_milliseconds(age)},
                              {"orders", holding.m_orders.size()}});
}

void weights_rollout_coordinator::on_release(const placement::duty_release& release,
                                             const core::store_version& version)
{
    m_lease.on_release(release, version, core::suspension_counting_now());
    observe::log("duty_row", {{"holder", core::value_of(release.m_row.m_holder)},
                              {"era", version.m_era},
                              {"version", version.m_number},
                              {"released", true},
                              {"orders", release.m_orders.size()}});
}

void weights_rollout_coordinator::on_progress(core::time_point when)
{
    m_last_progress = std::max(m_last_progress, when);
}

std::optional<core::duration> weights_rollout_coordinator::since_own_order() const
{
    if (!m_last_own_order)
    {
        return std::nullopt;
    }
    return core::runtime_clock::now() - *m_last_own_order;
}

void weights_rollout_coordinator::check_work()
{
    const core::time_point now = core::runtime_clock::now();
    std::vector<placement::outdated_engine> work = outdated_engines();
    const bool has_orders = !work.empty() || m_rollout.active() > 0;
    if (m_leaving)
    {
        give_lease_back(has_orders, m_registry.first_ready(now).has_value());
    }
    yield_lease();
    if (!has_orders)
    {
        m_work_since = core::time_point::max();
        return;
    }
    m_work_since = std::min(m_work_since, now);
    acquire_lease(now);
    advance_rollout(std::move(work), now);
}

/// Engines that another holder has ordered a moment ago get no order yet; they may still load.
void weights_rollout_coordinator::advance_rollout(std::vector<placement::outdated_engine> work,
                                                  core::time_point now)
{
    const core::time_point counted_now = core::suspension_counting_now();
    if (!m_lease.is_held(counted_now))
    {
        m_rollout.stop();
        return;
    }
    const std::size_t ordered_elsewhere =
        std::erase_if(work, [this, counted_now](const placement::outdated_engine& engine) {
            return !m_lease.may_order(engine.m_engine, counted_now);
        });
    execute_actions(m_rollout.advance(work, engine_count(), now, ordered_elsewhere));
}

/// Running engines whose weights are older than the target version.
std::vector<placement::outdated_engine> weights_rollout_coordinator::outdated_engines() const
{
    std::vector<placement::outdated_engine> found;
    const core::time_point now = core::runtime_clock::now();
    for (const auto& [id, engine] : m_state.m_upstreams.all())
    {
        if (engine->m_leaving_since)
        {
            continue;
        }
        for (const model_weights& loaded : engine->m_record.m_models)
        {
            const auto order = m_state.m_target_weights.find(loaded.m_model);
            const auto stale = order == m_state.m_target_weights.end()
                                   ? std::nullopt
                                   : order->second.stale_since(loaded.m_version);
            if (!stale)
            {
                continue;
            }
            found.push_back({id, engine->m_record.m_started, loaded.m_model,
                             order->second.newest_version(), engine->m_load.total(now).m_in_flight,
                             now - *stale});
        }
    }
    return found;
}

bool weights_rollout_coordinator::is_stalled(core::time_point now) const
{
    return now - std::max(m_last_progress, m_work_since) > m_settings.m_stall_timeout;
}

/// Whether the lease may soon be free: its holder has given it back, is not heard, or stands still.
bool weights_rollout_coordinator::is_holder_doubted(core::time_point now) const
{
    const auto& row = m_lease.row();
    if (m_lease.is_released())
    {
        return true;
    }
    if (!row || row->m_holder == m_self)
    {
        return false;
    }
    if (is_stalled(now))
    {
        return true;
    }
    return !m_registry.is_heard_lately(row->m_holder, row->m_started, now) &&
           !m_registry.has_restarted(row->m_holder, row->m_started, now);
}

/// Status of the holder, which is asked itself while it is in doubt.
placement::holder_status weights_rollout_coordinator::check_holder(core::time_point now)
{
    const auto& row = m_lease.row();
    if (!row || row->m_holder == m_self || m_lease.is_released())
    {
        m_inquiry.stop();
        return {};
    }
    const bool is_present = m_registry.is_present(row->m_holder, row->m_started, now);
    if (!is_holder_doubted(now))
    {
        m_inquiry.stop();
        return {is_present, false};
    }
    if (m_inquiry.is_request_due(*row, now))
    {
        m_announcer.ask_presence(row->m_holder);
    }
    const bool has_had_time = m_inquiry.has_expired(*row, now);
    return {is_present || !has_had_time, is_stalled(now) && has_had_time};
}

/// Acquires or renews the lease. A live holder that makes progress keeps it; otherwise the first
/// ready instance takes over, or any other one that still sees no progress.
void weights_rollout_coordinator::acquire_lease(core::time_point now)
{
    const auto& row = m_lease.row();
    const auto passed_over = is_holder_doubted(now) ? std::optional(row->m_holder) : std::nullopt;
    const bool is_first = m_registry.first_for_duties(now, passed_over) == m_self;
    if (m_lease.fence() == 0 && !is_first && !is_stalled(now))
    {
        m_inquiry.stop();
        return;
    }
    const placement::holder_status holder = check_holder(now);
    const auto request = m_lease.acquire_or_renew(holder, core::suspension_counting_now());
    if (!request)
    {
        return;
    }
    observe::log("duty_wanted", {{"holder", row ? core::value_of(row->m_holder) : 0},
                                 {"holder_alive", holder.m_alive},
                                 {"stalled", holder.m_stalled},
                                 {"released", m_lease.is_released()},
                                 {"version", request->m_expected_version.m_number}});
    write_lease(*request);
}

void weights_rollout_coordinator::write_lease(const placement::duty_write& request)
{
    const bool is_renewal = m_lease.fence() != 0;
    const store_time written =
        m_state.m_freshness.store_time_at(core::suspension_counting_now()).value_or(store_time{});
    const std::string value =
        wire::encode(placement::duty_holding{request.m_row, written, request.m_orders});
    m_store.write(row_key, value, request.m_expected_version,
                  [this, is_renewal, value](const row_write_result& written) {
                      const core::time_point now = core::suspension_counting_now();
                      switch (written.m_outcome)
                      {
                      case row_write_result::outcome::applied:
                          m_lease.on_written(written.m_version, now);
                          observe::log("duty_taken", {{"fence", m_lease.fence()}});
                          if (!is_renewal)
                          {
                              m_publish({row_key, value, written.m_version, false});
                          }
                          return;
                      case row_write_result::outcome::conflict:
                      case row_write_result::outcome::refused:
                          m_lease.on_write_refused(now);
                          return;
                      case row_write_result::outcome::unknown:
                          m_lease.on_write_lost(now);
                          return;
                      }
                  });
}

/// The table store takes no write of this holder: the others are told without it.
void weights_rollout_coordinator::yield_lease()
{
    const auto release = m_lease.yield(core::suspension_counting_now());
    if (!release)
    {
        return;
    }
    m_rollout.stop();
    observe::log("duty_yielded", {{"orders", release->m_orders.size()}});
    m_announcer.announce_yield(*release);
}

void weights_rollout_coordinator::on_yield(const placement::duty_release& release)
{
    m_lease.on_yield(release, core::suspension_counting_now());
    observe::log("duty_row", {{"holder", core::value_of(release.m_row.m_holder)},
                              {"yielded", true},
                              {"released", m_lease.is_released()},
                              {"orders", release.m_orders.size()}});
}

/// The next holder takes the lease at once instead of waiting until it has expired.
void weights_rollout_coordinator::give_lease_back(bool has_orders, bool has_successor)
{
    const auto request =
        m_lease.give_back(has_orders, has_successor, core::suspension_counting_now());
    if (!request)
    {
        return;
    }
    m_rollout.stop();
    const std::string value = wire::encode(request->m_release);
    m_store.write(row_key, value, request->m_expected_version,
                  [this, has_orders, orders = request->m_release.m_orders.size(),
                   value](const row_write_result& written) {
                      using outcome = row_write_result::outcome;
                      observe::log("duty_released",
                                   {{"applied", written.m_outcome == outcome::applied},
                                    {"unfinished", has_orders},
                                    {"orders", orders}});
                      switch (written.m_outcome)
                      {
                      case outcome::applied:
                          m_lease.on_given_back();
                          m_publish({row_key, value, written.m_version, false});
                          return;
                      case outcome::conflict:
                          // Another instance has it, or an earlier try of this write took effect.
                          m_lease.on_given_back();
                          return;
                      case outcome::refused:
                      case outcome::unknown:
                          m_lease.on_write_lost(core::suspension_counting_now());
                          return;
                      }
                  });
}

void weights_rollout_coordinator::execute_actions(
    const std::vector<placement::rollout_action>& actions)
{
    for (const placement::rollout_action& action : actions)
    {
        if (const auto* update = std::get_if<placement::announce_engine>(&action))
        {
            observe::log("weights_turn",
                         {{"engine", core::value_of(update->m_engine)},
                          {"loading", update->m_loading},
                          {"version", static_cast<std::uint64_t>(update->m_version)},
                          {"active", m_rollout.active()}});
            m_announcer.announce_weights_update(*update);
            if (!update->m_loading)
            {
                m_last_own_order = core::runtime_clock::now();
                on_progress(*m_last_own_order);
            }
            continue;
        }
        if (const auto* request = std::get_if<placement::read_report>(&action))
        {
            request_report(*request);
            continue;
        }
        send_order(std::get<placement::order_weights>(action));
    }
}

void weights_rollout_coordinator::request_report(const placement::read_report& request)
{
    const auto engine = m_state.m_upstreams.find(request.m_engine);
    if (!engine)
    {
        execute_actions(m_rollout.on_report_failed(request.m_engine, core::runtime_clock::now()));
        return;
    }
    m_engines.read_report(
        engine->m_record, request.m_model,
        [this, id = request.m_engine](const std::optional<placement::engine_report>& report) {
            const core::time_point now = core::runtime_clock::now();
            execute_actions(report ? m_rollout.on_report(id, *report, now)
                                   : m_rollout.on_report_failed(id, now));
        });
}

void weights_rollout_coordinator::send_order(const placement::order_weights& order)
{
    const auto engine = m_state.m_upstreams.find(order.m_engine);
    const core::time_point counted_now = core::suspension_counting_now();
    if (!engine || !m_lease.may_order(order.m_engine, counted_now))
    {
        on_order_answer(order, placement::order_answer::refused);
        return;
    }
    m_lease.on_order_sent(order.m_engine, counted_now);
    m_last_own_order = core::runtime_clock::now();
    on_progress(*m_last_own_order);
    m_engines.order(
        engine->m_record, order, m_lease.fence(),
        [this, order](placement::order_answer answer) { on_order_answer(order, answer); });
}

void weights_rollout_coordinator::on_order_answer(const placement::order_weights& order,
                                                  placement::order_answer answer)
{
    observe::log("weights_order", {{"engine", core::value_of(order.m_engine)},
                                   {"version", static_cast<std::uint64_t>(order.m_version)},
                                   {"orders_before", order.m_expected_orders},
                                   {"fence", m_lease.fence()},
                                   {"answer", static_cast<int>(answer)}});
    if (answer == placement::order_answer::fence_refused)
    {
        m_lease.on_fence_refused(core::suspension_counting_now());
    }
    execute_actions(m_rollout.on_order(order.m_engine, answer, core::runtime_clock::now()));
}

std::size_t weights_rollout_coordinator::engine_count() const
{
    return static_cast<std::size_t>(std::count_if(
        m_state.m_upstreams.all().begin(), m_state.m_upstreams.all().end(), [](const auto& entry) {
            return !entry.second->m_record.m_models.empty() && !entry.second->m_leaving_since;
        }));
}

} // namespace tarragontrail::relay
