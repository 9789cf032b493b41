#include "tarragontrail/membership/view_synchronizer.hpp"

#include "tarragontrail/core/hash.hpp"
#include "tarragontrail/core/invariant.hpp"

#include <algorithm>
#include <utility>

namespace tarragontrail::membership {

namespace {

constexpr const char* view_table = "membership";
constexpr const char* view_key = "view";

} // namespace

view_synchronizer::view_synchronizer(const view_synchronizer_settings& settings,
                                     core::instance_id self, std::uint64_t seed)
    : m_settings(settings), m_self(self), m_random(seed), m_view(std::make_shared<const view>())
{}

void view_synchronizer::start(core::time_point now)
{
    m_next_poll = now + random_duration(m_settings.m_poll_interval / 4);
}

void view_synchronizer::on_timer(core::time_point now)
{
    if (m_pending_call && m_pending_call->m_sent_at + m_settings.m_call_timeout <= now)
    {
        on_table_failed(m_pending_call->m_operation, now);
    }
    if (m_pending_call)
    {
        return;
    }
    if (m_write_at && *m_write_at <= now)
    {
        // A version read costs less than a write conflict, so a write follows only a recent
        // reading.
        const bool is_fresh = now - *m_confirmed_at <= m_settings.m_max_read_age;
        is_fresh ? write(now) : read(true, now);
        return;
    }
    if (m_next_poll <= now)
    {
        read(m_revision > 0, now);
    }
}

void view_synchronizer::on_table_read(const config::read_reply& reply, core::time_point now)
{
    if (!m_pending_call || m_pending_call->m_write ||
        m_pending_call->m_operation != reply.m_operation)
    {
        return;
    }
    const pending_call call = *std::exchange(m_pending_call, std::nullopt);
    const std::uint64_t revision = reply.m_found ? reply.m_version : 0;
    if (revision < m_revision)
    {
        return;
    }
    if (revision > m_revision && reply.m_value.empty())
    {
        read(false, now);
        return;
    }
    if (revision > m_revision)
    {
        install_view(reply.m_value, revision);
    }
    m_confirmed_at = call.m_sent_at;
    schedule_write(now);
}

void view_synchronizer::on_table_written(const config::write_reply& reply, core::time_point now)
{
    if (!m_pending_call || !m_pending_call->m_write ||
        m_pending_call->m_operation != reply.m_operation)
    {
        return;
    }
    const pending_call call = *std::exchange(m_pending_call, std::nullopt);
    if (reply.m_version > m_revision)
    {
        install_view(reply.m_ok ? call.m_row : reply.m_value, reply.m_version);
    }
    m_confirmed_at = call.m_sent_at;
    schedule_write(now);
}

void view_synchronizer::on_table_failed(config::operation_id operation, core::time_point now)
{
    if (!m_pending_call || m_pending_call->m_operation != operation)
    {
        return;
    }
    // A write without a reply may have taken effect; the next poll shows it.
    m_pending_call.reset();
    m_write_at.reset();
    m_next_poll = now + random_duration(m_settings.m_poll_interval);
}

void view_synchronizer::set_needed_changes(std::vector<view_change> changes, core::time_point now)
{
    m_needed_changes = std::move(changes);
    schedule_write(now);
}

void view_synchronizer::on_peer_view(core::instance_id peer, core::view_number number,
                                     core::time_point now)
{
    if (number <= m_view->number() || now < m_next_request)
    {
        return;
    }
    m_next_request = now + m_settings.m_poll_interval / 4;
    m_actions.emplace_back(send_view_request{peer, {m_self}});
}

void view_synchronizer::on_view_request(const view_request& request)
{
    m_actions.emplace_back(send_view_answer{request.m_sender, {m_self, m_revision, m_row}});
}

void view_synchronizer::on_view_answer(const view_answer& answer, core::time_point now)
{
    if (answer.m_revision > m_revision)
    {
        install_view(answer.m_row, answer.m_revision);
        schedule_write(now);
    }
}

bool view_synchronizer::accept_view_number(core::view_number number) noexcept
{
    if (number < m_highest_seen)
    {
        return false;
    }
    m_highest_seen = number;
    return true;
}

std::optional<core::duration> view_synchronizer::age(core::time_point now) const
{
    return m_confirmed_at ? std::optional(now - *m_confirmed_at) : std::nullopt;
}

std::vector<view_synchronizer::action> view_synchronizer::take_actions()
{
    return std::exchange(m_actions, {});
}

std::optional<core::time_point> view_synchronizer::next_deadline() const
{
    if (m_pending_call)
    {
        return m_pending_call->m_sent_at + m_settings.m_call_timeout;
    }
    return m_write_at ? std::min(m_next_poll, *m_write_at) : m_next_poll;
}

void view_synchronizer::read(bool version_only, core::time_point now)
{
    // Polls come at 75 % to 125 % of the interval, so that those of different instances spread out.
    m_next_poll =
        now + m_settings.m_poll_interval * 3 / 4 + random_duration(m_settings.m_poll_interval / 2);
    m_pending_call = pending_call{config::operation_id{++m_last_operation}, now, false, {}};
    m_actions.emplace_back(
        config::table_read{m_pending_call->m_operation, view_table, view_key, version_only});
}

void view_synchronizer::write(core::time_point now)
{
    m_write_at.reset();
    const view next = apply_changes(*m_view, m_needed_changes);
    if (next.number() == m_view->number())
    {
        return;
    }
    m_pending_call =
        pending_call{config::operation_id{++m_last_operation}, now, true, serialise(next)};
    m_actions.emplace_back(config::table_write{m_pending_call->m_operation, view_table, view_key,
                                               m_revision, m_pending_call->m_row});
}

void view_synchronizer::install_view(const std::string& row, std::uint64_t revision)
{
    auto next = std::make_shared<const view>(parse_view(row));
    TARRAGONTRAIL_INVARIANT(next->number() > m_view->number(), "view number only grows");
    m_view = std::move(next);
    m_row = row;
    m_revision = revision;
    m_highest_seen = std::max(m_highest_seen, m_view->number());
    m_write_at.reset();
    m_actions.emplace_back(view_changed{m_view});
}

void view_synchronizer::schedule_write(core::time_point now)
{
    const bool is_change_needed =
        apply_changes(*m_view, m_needed_changes).number() != m_view->number();
    if (!is_change_needed || !m_confirmed_at || m_pending_call)
    {
        m_write_at.reset();
        return;
    }
    m_write_at = m_write_at.value_or(now + write_delay());
}

core::duration view_synchronizer::write_delay()
{
    // One live member, chosen by the view's number, is the preferred writer. The others write only
    // if the view has not changed after their longer delay.
    const member* first_writer = m_view->owner_of(core::value_of(m_view->number()));
    const core::duration first_delay = m_settings.m_max_first_writer_delay;
    if (first_writer != nullptr && first_writer->m_id == m_self)
    {
        return random_duration(first_delay);
    }
    // When many instances start at once, each needs a change of its own, which any other can write
    // for it once gossip has reported its incarnation: the more changes are needed, the longer
    // the delay.
    const auto unreported =
        std::count_if(m_view->members().begin(), m_view->members().end(),
                      [](const member& each) { return each.m_incarnation == core::incarnation{}; });
    const auto change_count =
        std::max(static_cast<std::size_t>(unreported), m_needed_changes.size());
    const core::duration longest =
        m_settings.m_max_other_writer_delay + m_settings.m_delay_per_change * change_count;
    return first_delay + random_duration(longest);
}

core::duration view_synchronizer::random_duration(core::duration longest)
{
    return core::duration(static_cast<core::duration::rep>(
        m_random.below(static_cast<std::uint64_t>(longest.count()) + 1)));
}

} // namespace tarragontrail::membership
