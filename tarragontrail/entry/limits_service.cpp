#include "tarragontrail/entry/limits_service.hpp"

#include "tarragontrail/entry/share_rows.hpp"
#include "tarragontrail/observe/log.hpp"
#include "tarragontrail/wire/json_document.hpp"

#include <algorithm>
#include <type_traits>

namespace tarragontrail::entry {
namespace {

constexpr const char* share_table = "shares";
constexpr const char* genesis_table = "limits";
constexpr const char* genesis_key = "genesis";

void log_unreadable(const char* table, const std::string& key, const char* reason)
{
    observe::log("limits_row_refused", {{"table", table}, {"key", key}, {"reason", reason}});
}

/// Share row of a read or conflicting row; nothing when it is unreadable, which counts as no
/// answer.
std::optional<limits::share_row> row_of(core::workspace_id workspace,
                                        const idempotency::read_result& read)
{
    try
    {
        return parse_share_row(workspace, read.m_version, read.m_value);
    }
    catch (const wire::json_error& failure)
    {
        log_unreadable(share_table, share_row_key(workspace), failure.what());
        return std::nullopt;
    }
}

/// Rows of the whole table; nothing when one of them is unreadable: without it a share that was
/// given away would count as held. Keys of no workspace are passed over.
std::optional<std::vector<limits::share_row>> rows_of(const std::vector<platform_row>& listed)
{
    std::vector<limits::share_row> rows;
    for (const platform_row& each : listed)
    {
        const auto workspace = workspace_of_key(each.m_key);
        if (!workspace)
        {
            log_unreadable(share_table, each.m_key, "key names no workspace");
            continue;
        }
        auto row = row_of(*workspace, {true, each.m_value, each.m_version});
        if (!row)
        {
            return std::nullopt;
        }
        rows.push_back(std::move(*row));
    }
    return rows;
}

} // namespace

limits_service::limits_service(control_context& context, const limits_service_settings& settings,
                               limits_listener& listener, std::uint64_t seed)
    : m_context(context), m_settings(settings), m_listener(listener),
      m_admission(settings.m_limits, context.m_self.m_id, seed)
{}

void limits_service::start(core::time_point /*now*/)
{
    read_rows();
    read_genesis();
}

void limits_service::on_bundle(const config::bundle& applied, core::time_point now)
{
    std::vector<core::workspace_id> current;
    for (const config::workspace& each : applied.m_workspaces)
    {
        current.push_back(each.m_id);
        m_admission.set_limit(each.m_id, each.m_tokens_per_second, each.m_burst_tokens,
                              applied.m_version, now);
    }
    std::sort(current.begin(), current.end());
    for (const core::workspace_id each : m_workspaces)
    {
        if (std::binary_search(current.begin(), current.end(), each))
        {
            continue;
        }
        m_admission.remove_workspace(each, now);
    }
    m_workspaces = std::move(current);
}

void limits_service::on_view(const membership::view& current, core::time_point now)
{
    m_members.clear();
    m_members.reserve(current.members().size());
    for (const membership::member& each : current.members())
    {
        m_members.push_back({each.m_id, each.m_region_id});
    }
    m_admission.set_view(m_members, current.number(), now);
    write_genesis();
}

void limits_service::on_instance_list(const std::vector<membership::listed_instance>& listed,
                                      core::time_point asked_at, core::time_point now)
{
    std::vector<core::instance_id> ids;
    ids.reserve(listed.size());
    for (const membership::listed_instance& each : listed)
    {
        ids.push_back(each.m_member.m_id);
    }
    m_listed = ids.size();
    m_admission.set_listed_instances(ids, asked_at, now);
    write_genesis();
}

void limits_service::on_share_row(const limits::share_row& row, core::time_point now)
{
    m_admission.learn_share_row(row, now);
}

bool limits_service::on_message(core::instance_id from, const wire::message& message,
                                core::time_point now)
{
    if (const auto* asked = std::get_if<wire::loan_request>(&message))
    {
        m_admission.on_loan_request(from, *asked, now);
        return true;
    }
    if (const auto* reply = std::get_if<wire::loan_reply>(&message))
    {
        m_admission.on_loan_reply(from, *reply, now);
        return true;
    }
    if (const auto* settled = std::get_if<wire::loan_settle>(&message))
    {
        m_admission.on_loan_settle(from, *settled, now);
        return true;
    }
    if (const auto* hint = std::get_if<wire::share_hint>(&message))
    {
        m_admission.on_share_hint(from, *hint, now);
        return true;
    }
    return false;
}

template <class Action>
void limits_service::carry_out(const Action& action)
{
    if constexpr (std::is_same_v<Action, limits::admitted>)
    {
        m_listener.on_admitted(action);
    }
    else if constexpr (std::is_same_v<Action, limits::refused>)
    {
        m_listener.on_limit_refused(action);
    }
    else if constexpr (std::is_same_v<Action, limits::read_share_row>)
    {
        read_row(action.m_workspace);
    }
    else if constexpr (std::is_same_v<Action, limits::write_share_row>)
    {
        write_row(action);
    }
    else
    {
        m_context.m_peers.send(action.m_to, action.m_message);
    }
}

bool limits_service::run_actions(core::time_point /*now*/)
{
    const auto actions = m_admission.take_actions();
    for (const auto& action : actions)
    {
        std::visit([this](const auto& each) { carry_out(each); }, action);
    }
    return !actions.empty();
}

std::optional<core::time_point> limits_service::next_deadline() const
{
    return earlier(m_retry_at, m_admission.next_deadline());
}

void limits_service::on_timer(core::time_point now)
{
    if (m_retry_at && now >= *m_retry_at)
    {
        m_retry_at.reset();
        read_rows();
        read_genesis();
    }
    m_admission.on_timer(now);
}

void limits_service::read_rows()
{
    if (m_rows_known)
    {
        return;
    }
    m_context.m_platform.list_rows(share_table,
                                   [this](const std::optional<std::vector<platform_row>>& listed) {
                                       const core::time_point now = core::runtime_clock::now();
                                       const auto rows = listed ? rows_of(*listed) : std::nullopt;
                                       if (!rows)
                                       {
                                           retry_later(now);
                                           return;
                                       }
                                       for (const limits::share_row& each : *rows)
                                       {
                                           m_admission.learn_share_row(each, now);
                                       }
                                       m_rows_known = true;
                                       m_admission.on_rows_loaded(now);
                                       m_context.m_pump();
                                   });
}

void limits_service::read_genesis()
{
    if (m_genesis_known || m_genesis_pending)
    {
        return;
    }
    m_genesis_pending = true;
    m_context.m_platform.read(genesis_table, genesis_key, false,
                              [this](const std::optional<idempotency::read_result>& row) {
                                  m_genesis_pending = false;
                                  if (!row)
                                  {
                                      retry_later(core::runtime_clock::now());
                                  }
                                  else if (row->m_found)
                                  {
                                      adopt_genesis(row->m_value);
                                  }
                                  else
                                  {
                                      m_genesis_absent = true;
                                      write_genesis();
                                      retry_later(core::runtime_clock::now());
                                  }
                                  m_context.m_pump();
                              });
}

void limits_service::write_genesis()
{
    const bool whole = m_members.size() >= m_settings.m_genesis_members &&
                       m_members.size() >= m_listed && m_listed > 0;
    if (m_genesis_known || m_genesis_pending || !m_genesis_absent || !whole)
    {
        return;
    }
    m_genesis_pending = true;
    const std::string text = genesis_text(m_members);
    m_context.m_platform.write(
        {{genesis_table, genesis_key, 0, text}},
        [this, text](const std::optional<idempotency::write_result>& result) {
            m_genesis_pending = false;
            if (!result)
            {
                retry_later(core::runtime_clock::now());
                return;
            }
            adopt_genesis(result->m_ok ? text : result->m_current.m_value);
            m_context.m_pump();
        });
}

void limits_service::adopt_genesis(const std::string& text)
{
    if (m_genesis_known)
    {
        return;
    }
    std::vector<limits::member> members;
    try
    {
        members = parse_genesis(text);
    }
    catch (const wire::json_error& failure)
    {
        log_unreadable(genesis_table, genesis_key, failure.what());
        retry_later(core::runtime_clock::now());
        return;
    }
    m_genesis_known = true;
    observe::log("limits_divided", {{"members", members.size()}});
    m_admission.set_genesis(members, core::runtime_clock::now());
}

void limits_service::read_row(core::workspace_id workspace)
{
    m_context.m_platform.read(
        share_table, share_row_key(workspace), false,
        [this, workspace](const std::optional<idempotency::read_result>& row) {
            const core::time_point now = core::runtime_clock::now();
            if (!row)
            {
                return;
            }
            if (!row->m_found)
            {
                m_admission.on_share_row_missing(workspace, now);
            }
            else if (const auto read = row_of(workspace, *row))
            {
                m_admission.on_share_row(*read, now);
            }
            m_context.m_pump();
        });
}

void limits_service::write_row(const limits::write_share_row& action)
{
    limits::share_row row = action.m_row;
    m_context.m_platform.write({{share_table, share_row_key(row.m_workspace),
                                 action.m_expected_version, share_row_text(row)}},
                               [this, row](const std::optional<idempotency::write_result>& result) {
                                   if (!result)
                                   {
                                       return;
                                   }
                                   limits::share_row now_there = row;
                                   if (result->m_ok)
                                   {
                                       now_there.m_version = result->m_versions.front();
                                       m_listener.on_share_row_written(now_there);
                                   }
                                   else
                                   {
                                       const auto read = row_of(row.m_workspace, result->m_current);
                                       if (!read)
                                       {
                                           return;
                                       }
                                       now_there = *read;
                                   }
                                   m_admission.on_share_row(now_there, core::runtime_clock::now());
                                   m_context.m_pump();
                               });
}

void limits_service::retry_later(core::time_point now)
{
    m_retry_at = now + m_settings.m_retry;
    m_context.m_pump();
}

} // namespace tarragontrail::entry
