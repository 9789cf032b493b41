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

table_follower::table_follower(boost::asio::io_context& context, table_store& store,
                               followed_table table, table_follower_settings settings,
                               news_handler on_news)
    : m_store(store), m_table(table), m_settings(settings), m_on_news(std::move(on_news)),
      m_timer(context)
{}

void table_follower::start()
{
    m_asking = true;
    read();
}

void table_follower::set_active(bool active)
{
    m_active = active;
    if (m_active && !m_asking)
    {
        // Others' copies may lack the last changes, so the table is read anew.
        start();
    }
}

void table_follower::take_news(const std::vector<table_row>& rows)
{
    const std::vector<table_row> news = m_mirror.apply(rows);
    if (!news.empty())
    {
        m_on_news(news, false);
    }
}

void table_follower::take_copy(const std::vector<table_row>& rows, std::uint64_t version)
{
    const std::vector<table_row> news = m_mirror.replace(rows, version);
    if (!news.empty())
    {
        m_on_news(news, false);
    }
}

void table_follower::read()
{
    m_store.read(m_table, [this](const table_result& answer) {
        if (const auto* failure = std::get_if<store_failure>(&answer))
        {
            on_failure(*failure);
            later(std::min<std::chrono::milliseconds>(m_settings.m_retry * m_failures,
                                                      m_settings.m_longest_retry),
                  &table_follower::read);
            return;
        }
        on_answer();
        const auto& whole = std::get<table_rows>(answer);
        m_after = whole.m_version;
        const std::vector<table_row> news = m_mirror.replace(whole.m_rows, whole.m_version);
        if (!news.empty())
        {
            m_on_news(news, true);
        }
        follow();
    });
}

void table_follower::follow()
{
    if (!m_active && m_mirror.is_complete())
    {
        m_asking = false;
        m_failures = 0;
        return;
    }
    // After a failure a short call shows sooner whether the store and the connection are back.
    const std::chrono::milliseconds wait =
        m_failures > 0 ? m_settings.m_first_wait : m_settings.m_wait;
    m_store.follow(m_table, m_after, wait, [this](const table_result& answer) {
        if (const auto* failure = std::get_if<store_failure>(&answer))
        {
            on_failure(*failure);
            const auto pause = std::min<std::chrono::milliseconds>(m_settings.m_retry * m_failures,
                                                                   m_settings.m_longest_retry);
            later(pause, failure->m_history_lost ? &table_follower::read : &table_follower::follow);
            return;
        }
        on_answer();
        const auto& changed = std::get<table_rows>(answer);
        m_after = std::max(m_after, changed.m_version);
        const std::vector<table_row> news = m_mirror.apply(changed.m_rows);
        if (!news.empty())
        {
            m_on_news(news, true);
        }
        later(changed.m_rows.empty() ? std::chrono::milliseconds(0) : m_settings.m_pause,
              &table_follower::follow);
    });
}

void table_follower::on_failure(const store_failure& failure)
{
    if (m_failures++ == 0 || failure.m_history_lost)
    {
        observe::log("table_lost", {{"table", to_string(m_table)},
                                    {"cause", failure.m_cause},
                                    {"history_lost", failure.m_history_lost},
                                    {"version", m_mirror.newest()}});
    }
}

void table_follower::on_answer()
{
    if (m_failures > 0)
    {
        observe::log("table_regained", {{"table", to_string(m_table)},
                                        {"failures", m_failures},
                                        {"version", m_mirror.newest()}});
    }
    m_failures = 0;
}

void table_follower::later(std::chrono::milliseconds pause, void (table_follower::*step)())
{
    net::run_after(m_timer, pause, [this, step] { (this->*step)(); });
}

} // namespace tarragontrail::relay
