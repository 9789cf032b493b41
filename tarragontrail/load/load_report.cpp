#include "tarragontrail/load/load_report.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <fmt/format.h>

namespace tarragontrail::load {

using nlohmann::json;

namespace {

double ratio(double part, double whole)
{
    return whole > 0 ? part / whole : 0;
}

std::uint64_t difference(std::uint64_t larger, std::uint64_t smaller)
{
    return larger > smaller ? larger - smaller : 0;
}

json percentiles(const std::vector<core::duration>& values)
{
    return {{"p50_ms", percentile(values, 50).count()},
            {"p95_ms", percentile(values, 95).count()},
            {"p99_ms", percentile(values, 99).count()}};
}

} // namespace

std::chrono::milliseconds percentile(std::vector<core::duration> values, double percent)
{
    if (values.empty())
    {
        return std::chrono::milliseconds(0);
    }
    const double position = std::ceil(static_cast<double>(values.size()) * percent / 100);
    const auto rank = static_cast<std::size_t>(std::max(1.0, position)) - 1;
    const auto nth = values.begin() + static_cast<std::ptrdiff_t>(rank);
    std::nth_element(values.begin(), nth, values.end());
    return std::chrono::round<std::chrono::milliseconds>(*nth);
}

double workspace_tally::goodput() const
{
    const double need =
        m_entitled_tokens > 0 ? std::min(m_demand_tokens, m_entitled_tokens) : m_demand_tokens;
    return need > 0 ? m_served_tokens / need : 1;
}

load_report::load_report(const std::vector<std::string>& workspaces)
{
    for (const std::string& name : workspaces)
    {
        m_workspaces.emplace_back().m_name = name;
    }
}

void load_report::add(const request_outcome& outcome)
{
    if (!outcome.m_failure.empty())
    {
        ++m_failed[(outcome.m_service ? "service " : "") + outcome.m_failure];
    }
    m_refusals += outcome.m_refusals;
    m_refused_within_rate += outcome.m_refused_within_rate ? 1 : 0;
    workspace_tally& workspace = m_workspaces.at(outcome.m_workspace);
    workspace.m_refused_within_rate += outcome.m_refused_within_rate ? 1 : 0;
    if (outcome.m_service)
    {
        ++m_service_calls;
        m_service_ok += outcome.m_ok ? 1 : 0;
        return;
    }

    ++m_requests;
    ++workspace.m_requests;
    m_distinct_tokens += outcome.m_distinct_tokens;
    m_resumes += outcome.m_resumes;
    m_refused += outcome.m_refused ? 1 : 0;
    workspace.m_refused += outcome.m_refused ? 1 : 0;
    workspace.m_demand_tokens += static_cast<double>(outcome.m_demand_tokens);
    if (outcome.m_first_token && outcome.m_conforms)
    {
        m_first_token.push_back(*outcome.m_first_token);
        workspace.m_first_token.push_back(*outcome.m_first_token);
    }
    if (!outcome.m_ok)
    {
        return;
    }
    ++m_ok;
    ++workspace.m_ok;
    workspace.m_served_tokens += static_cast<double>(outcome.m_demand_tokens);
    m_prompt_tokens += outcome.m_usage.m_prompt_tokens;
    m_cached_tokens += outcome.m_usage.m_cached_tokens;
}

void load_report::set_entitlement(std::size_t workspace, double tokens)
{
    m_workspaces.at(workspace).m_entitled_tokens = tokens;
}

void load_report::set_engines(const engine_totals& before, const engine_totals& after)
{
    // An engine that restarted meanwhile counts from zero again.
    m_engines = {difference(after.m_prompt_tokens, before.m_prompt_tokens),
                 difference(after.m_computed_tokens, before.m_computed_tokens),
                 difference(after.m_recomputed_tokens, before.m_recomputed_tokens),
                 difference(after.m_keys_seen, before.m_keys_seen)};
}

void load_report::set_unanswered(std::uint64_t count)
{
    if (count > 0)
    {
        m_failed["unanswered"] = count;
    }
}

bool load_report::is_sound() const
{
    constexpr std::array unsound{answer_fault::cut, answer_fault::out_of_order,
                                 answer_fault::crossed};
    const bool answers_sound = std::none_of(unsound.begin(), unsound.end(), [this](auto fault) {
        return m_failed.contains(to_string(fault));
    });
    return answers_sound && m_executions_per_key.value_or(0) <= 1;
}

const workspace_tally& load_report::worst_workspace() const
{
    const auto is_worse = [](const workspace_tally& one, const workspace_tally& other) {
        return std::pair(one.goodput(), -percentile(one.m_first_token, 99)) <
               std::pair(other.goodput(), -percentile(other.m_first_token, 99));
    };
    return *std::min_element(m_workspaces.begin(), m_workspaces.end(), is_worse);
}

json load_report::to_json() const
{
    json report{{"requests", m_requests},
                {"ok", m_ok},
                {"failed", m_failed},
                {"refused", m_refused},
                {"refusals", m_refusals},
                {"resumes", m_resumes},
                {"refused_within_rate", m_refused_within_rate},
                {"service_calls", m_service_calls},
                {"service_ok", m_service_ok},
                {"prompt_tokens", m_prompt_tokens},
                {"cached_tokens", m_cached_tokens},
                {"distinct_tokens", m_distinct_tokens},
                {"hit_rate",
                 ratio(static_cast<double>(m_cached_tokens), static_cast<double>(m_prompt_tokens))},
                {"first_token", percentiles(m_first_token)},
                {"sound", is_sound()}};
    if (m_engines)
    {
        report["engines"] = {
            {"prompt_tokens", m_engines->m_prompt_tokens},
            {"computed_tokens", m_engines->m_computed_tokens},
            {"recomputed_tokens", m_engines->m_recomputed_tokens},
            {"keys_seen", m_engines->m_keys_seen},
            {"wasted_tokens", difference(m_engines->m_computed_tokens, m_distinct_tokens)}};
    }
    if (m_executions_per_key)
    {
        report["executions_per_key"] = *m_executions_per_key;
    }
    report["worst_workspace"] = worst_workspace().m_name;
    for (const workspace_tally& workspace : m_workspaces)
    {
        json fields = percentiles(workspace.m_first_token);
        fields["requests"] = workspace.m_requests;
        fields["ok"] = workspace.m_ok;
        fields["refused"] = workspace.m_refused;
        fields["refused_within_rate"] = workspace.m_refused_within_rate;
        fields["goodput"] = workspace.goodput();
        report["workspaces"][workspace.m_name] = std::move(fields);
    }
    return report;
}

std::string load_report::to_table() const
{
    std::string table;
    const auto row = [&table](std::string_view name, const std::string& value) {
        table += fmt::format("{:<36} {}\n", name, value);
    };
    const workspace_tally& worst = worst_workspace();
    row("requests / ok / refused", fmt::format("{} / {} / {}", m_requests, m_ok, m_refused));
    for (const auto& [kind, count] : m_failed)
    {
        row("failed: " + kind, std::to_string(count));
    }
    row("refusals / streams resumed", fmt::format("{} / {}", m_refusals, m_resumes));
    row("refused although within rate", std::to_string(m_refused_within_rate));
    row("service calls / ok", fmt::format("{} / {}", m_service_calls, m_service_ok));
    row("prefix hit rate",
        fmt::format("{:.1f}%", 100 * ratio(static_cast<double>(m_cached_tokens),
                                           static_cast<double>(m_prompt_tokens))));
    if (m_engines)
    {
        const std::uint64_t wasted = difference(m_engines->m_computed_tokens, m_distinct_tokens);
        row("engines: prompt / computed tokens",
            fmt::format("{} / {}", m_engines->m_prompt_tokens, m_engines->m_computed_tokens));
        row("wasted recomputation, tokens", std::to_string(wasted));
        row("callers' keys seen by engines", std::to_string(m_engines->m_keys_seen));
    }
    if (m_executions_per_key)
    {
        row("most executions of one call", std::to_string(*m_executions_per_key));
    }
    row("first token p50 / p95 / p99, ms",
        fmt::format("{} / {} / {}", percentile(m_first_token, 50).count(),
                    percentile(m_first_token, 95).count(), percentile(m_first_token, 99).count()));
    row("worst workspace: p99 ms, goodput",
        fmt::format("{}: {}, {:.3f}", worst.m_name, percentile(worst.m_first_token, 99).count(),
                    worst.goodput()));
    return table;
}

} // namespace tarragontrail::load
