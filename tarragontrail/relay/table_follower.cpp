#include "tarragontrail/relay/table_follower.hpp"

#include "tarragontrail/observe/log.hpp"

#include <algorithm>

namespace tarragontrail::relay {

const char* to_string(followed_table table) noexcept
{
    switch (table)
    {
    case followed_table::operators:
        return "operators";
    case followed_table::upstreams:
        return "upstreams";
    case followed_table::fleet:
        return "fleet";
    }
    return "unknown";
}

const char* to_string(row_source source) noexcept
{
    switch (source)
    {
    case row_source::store:
        return "store";
    case row_source::news:
        return "news";
    case row_source::copy:
        return "copy";
    }
    return "unknown";
}

table_follower::table_follower(boost::asio::io_context& context, table_store& store,
                               followed_table table, table_follower_settings settings,
                               change_handler on_change)
    : m_store(store), m_table(table), m_settings(settings), m_on_change(std::move(on_change)),
      m_timer(context), m_rewrite_timer(context)
{}

void table_follower::begin_era(std::uint64_t era)
{
    if (era <= m_era)
    {
        return;
    }
    m_era = era;
    if (m_call_pending)
    {
        m_timer.cancel();
        read();
    }
}

void table_follower::start()
{
    m_call_pending = true;
    read();
}

void table_follower::set_active(bool active)
{
    m_active = active;
    if (!m_active || m_call_pending)
    {
        return;
    }
    if (!m_mirror.is_complete() || m_mirror.era() < m_era)
    {
        start();
        return;
    }
    m_call_pending = true;
    m_is_resuming = true;
    m_last_version = m_mirror.position().m_complete;
    follow();
}

void table_follower::apply_changes(const std::vector<table_row>& rows, const change_span& span)
{
    const std::vector<table_row> changes = m_mirror.apply(rows, span);
    if (!changes.empty())
    {
        report_changes(changes, row_source::news);
    }
}

void table_follower::replace_copy(const std::vector<table_row>& rows,
                                  const core::store_version& version)
{
    apply_whole(rows, version, row_source::copy);
}

void table_follower::apply_whole(const std::vector<table_row>& rows,
                                 const core::store_version& version, row_source source)
{
    const bool is_first = !m_mirror.is_complete();
    const bool is_return = !is_first && version.m_era > m_mirror.era();
    std::vector<table_row> changes = m_mirror.replace(rows, version);
    log_dropped_rows(version);
    if (is_return)
    {
        std::erase_if(changes, [this](const table_row& row) {
            if (row.m_deleted)
            {
                m_lost_rows.insert(row.m_key);
            }
            return row.m_deleted;
        });
        observe::log("table_restored", {{"table", to_string(m_table)},
                                        {"era", version.m_era},
                                        {"version", version.m_number},
                                        {"changed", changes.size()},
                                        {"lost", m_lost_rows.size()}});
        m_rewrite_timer.run_after(m_settings.m_rewrite_grace, [this] { on_rewrite_grace_over(); });
    }
    if (!changes.empty())
    {
        if (source == row_source::store && !is_first)
        {
            // Rows that the table no longer has are not among them. What an instance reads at its
            // start is no news for others.
            pass_on(changes, {});
        }
        report_changes(changes, source);
    }
    if ((is_first || is_return) && m_on_new_era)
    {
        run_guarded("new_era", m_on_new_era);
    }
}

/// The table is read once more: writers may have renewed rows without a change that wakes calls.
void table_follower::on_rewrite_grace_over()
{
    if (m_call_pending && m_active)
    {
        m_is_rewrite_due = true;
        m_timer.cancel();
        read();
        return;
    }
    report_lost_rows();
}

void table_follower::report_lost_rows()
{
    m_is_rewrite_due = false;
    std::vector<table_row> deleted;
    for (const std::string& key : std::exchange(m_lost_rows, {}))
    {
        if (m_mirror.find(key) == nullptr)
        {
            deleted.push_back(table_row{key, {}, m_mirror.newest_version(), true});
        }
    }
    if (!deleted.empty())
    {
        report_changes(deleted, row_source::copy);
    }
}

/// Reports changes; whoever fails at them keeps no later ones from coming.
void table_follower::report_changes(const std::vector<table_row>& rows, row_source source)
{
    run_guarded("report", [this, &rows, source] { m_on_change(rows, source); });
}

/// Runs a step between two calls; returns false when it failed.
bool table_follower::run_guarded(const char* step_name, const std::function<void()>& step)
{
    try
    {
        step();
        return true;
    }
    catch (const std::exception& failure)
    {
        observe::log(
            "table_step_failed",
            {{"table", to_string(m_table)}, {"step", step_name}, {"reason", failure.what()}});
        return false;
    }
}

void table_follower::read()
{
    m_store.read(m_table, [this, call = ++m_call](const table_result& answer) {
        if (call != m_call)
        {
            return;
        }
        if (const auto* failure = std::get_if<store_failure>(&answer))
        {
            on_failure(*failure);
            schedule(std::min<std::chrono::milliseconds>(m_settings.m_initial_backoff *
                                                             m_consecutive_failures,
                                                         m_settings.m_max_backoff),
                     &table_follower::read);
            return;
        }
        on_success();
        const bool is_first = !m_mirror.is_complete();
        const auto& whole = std::get<table_rows>(answer);
        note_store_time(whole);
        const bool is_taken = run_guarded("whole_table", [this, &whole] {
            apply_whole(whole.m_rows, whole.m_version, row_source::store);
            confirm(whole);
            if (m_is_rewrite_due)
            {
                report_lost_rows();
            }
        });
        if (!is_taken)
        {
            schedule(m_settings.m_max_backoff, &table_follower::read);
            return;
        }
        m_last_version = whole.m_version;
        if (is_first && m_settings.m_first_follow_delay.count() > 0)
        {
            schedule(m_settings.m_first_follow_delay, &table_follower::follow);
            return;
        }
        follow();
    });
}

void table_follower::pass_on(const std::vector<table_row>& rows, const change_span& span)
{
    if (m_on_store_rows)
    {
        run_guarded("pass_on", [this, &rows, &span] { m_on_store_rows(rows, span); });
    }
}

/// The answer was applied: the copy has every change up to its time.
void table_follower::confirm(const table_rows& answer)
{
    if (answer.m_store_time && m_on_confirmed)
    {
        m_on_confirmed(*answer.m_store_time);
    }
}

void table_follower::note_store_time(const table_rows& answer) const
{
    if (answer.m_store_time && m_on_store_time)
    {
        m_on_store_time(*answer.m_store_time);
    }
}

void table_follower::follow()
{
    if (!m_active && m_mirror.is_complete())
    {
        m_call_pending = false;
        m_consecutive_failures = 0;
        return;
    }
    // After a failure or a pause a short call shows sooner what the store has.
    const bool is_short = m_consecutive_failures > 0 || std::exchange(m_is_resuming, false);
    const std::chrono::milliseconds wait =
        is_short ? m_settings.m_max_wait_after_failure : m_settings.m_max_wait;
    m_store.follow(m_table, m_last_version, wait,
                   [this, call = ++m_call](const table_result& answer) {
                       if (call != m_call)
                       {
                           return;
                       }
                       if (const auto* failure = std::get_if<store_failure>(&answer))
                       {
                           on_failure(*failure);
                           const auto delay = std::min<std::chrono::milliseconds>(
                               m_settings.m_initial_backoff * m_consecutive_failures,
                               m_settings.m_max_backoff);
                           schedule(delay, failure->m_history_lost ? &table_follower::read
                                                                   : &table_follower::follow);
                           return;
                       }
                       on_success();
                       const auto& changed = std::get<table_rows>(answer);
                       note_store_time(changed);
                       if (changed.m_version.m_era != m_last_version.m_era)
                       {
                           // Numbers of two eras do not join: changes in between would be missing.
                           read();
                           return;
                       }
                       if (!take_changes(changed))
                       {
                           schedule(m_settings.m_max_backoff, &table_follower::read);
                           return;
                       }
                       m_last_version = std::max(m_last_version, changed.m_version);
                       schedule(changed.m_rows.empty() ? std::chrono::milliseconds(0)
                                                       : m_settings.m_delay_after_changes,
                                &table_follower::follow);
                   });
}

/// Applies an answer that has the changes after those of the copy.
bool table_follower::take_changes(const table_rows& changed)
{
    return run_guarded("changes", [this, &changed] {
        const table_position before = m_mirror.position();
        const change_span span{std::min(before.m_newest, before.m_complete), changed.m_version};
        const std::vector<table_row> changes = m_mirror.apply(changed.m_rows, span);
        log_dropped_rows(changed.m_version);
        if (!changes.empty())
        {
            pass_on(changed.m_rows, span);
            report_changes(changes, row_source::store);
        }
        confirm(changed);
    });
}

void table_follower::read_changes(std::function<void(bool is_read)> handler)
{
    if (!m_mirror.is_complete())
    {
        handler(false);
        return;
    }
    const core::store_version after = m_mirror.position().m_complete;
    m_store.follow(m_table, after, std::chrono::milliseconds(0),
                   [this, after, handler = std::move(handler)](const table_result& answer) {
                       const auto* failure = std::get_if<store_failure>(&answer);
                       if (failure != nullptr && !failure->m_history_lost)
                       {
                           handler(false);
                           return;
                       }
                       const auto* changed = std::get_if<table_rows>(&answer);
                       if (changed == nullptr || changed->m_version.m_era != after.m_era)
                       {
                           read_whole(handler);
                           return;
                       }
                       note_store_time(*changed);
                       // The copy may have gone on to a newer era meanwhile.
                       handler(after.m_era == m_mirror.era() && take_changes(*changed));
                   });
}

void table_follower::read_whole(const std::function<void(bool is_read)>& handler)
{
    m_store.read(m_table, [this, handler](const table_result& answer) {
        const auto* whole = std::get_if<table_rows>(&answer);
        if (whole == nullptr)
        {
            handler(false);
            return;
        }
        note_store_time(*whole);
        handler(whole->m_version.m_era >= m_mirror.era() &&
                run_guarded("whole_table", [this, whole] {
                    apply_whole(whole->m_rows, whole->m_version, row_source::store);
                    confirm(*whole);
                }));
    });
}

void table_follower::on_failure(const store_failure& failure)
{
    if (m_consecutive_failures++ == 0 || failure.m_history_lost)
    {
        observe::log("table_lost", {{"table", to_string(m_table)},
                                    {"cause", failure.m_cause},
                                    {"history_lost", failure.m_history_lost},
                                    {"version", m_mirror.newest_version().m_number}});
    }
}

void table_follower::on_success()
{
    if (m_consecutive_failures > 0)
    {
        observe::log("table_regained", {{"table", to_string(m_table)},
                                        {"failures", m_consecutive_failures},
                                        {"version", m_mirror.newest_version().m_number}});
    }
    m_consecutive_failures = 0;
    m_answered_at = core::runtime_clock::now();
}

/// Logs rows of the store that were dropped as older than those of the copy.
void table_follower::log_dropped_rows(const core::store_version& version)
{
    const std::uint64_t dropped = m_mirror.dropped_rows() - m_logged_dropped_rows;
    if (dropped == 0)
    {
        return;
    }
    m_logged_dropped_rows = m_mirror.dropped_rows();
    observe::log("rows_dropped", {{"table", to_string(m_table)},
                                  {"rows", dropped},
                                  {"store_era", version.m_era},
                                  {"store_version", version.m_number},
                                  {"era", m_mirror.era()},
                                  {"version", m_mirror.newest_version().m_number}});
}

void table_follower::schedule(std::chrono::milliseconds delay, void (table_follower::*step)())
{
    m_timer.run_after(delay, [this, step] { (this->*step)(); });
}

} // namespace tarragontrail::relay
