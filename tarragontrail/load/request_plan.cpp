#include "tarragontrail/load/request_plan.hpp"

#include "tarragontrail/core/hash.hpp"
#include "tarragontrail/core/random.hpp"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace tarragontrail::load {
namespace {

constexpr double bundle_skew = 1.1;
constexpr double workspace_skew = 0.7;
constexpr std::size_t parts_per_bundle = 4;
constexpr std::size_t part_share = 4; // a part is this many times shorter than its bundle
constexpr double repeat_fraction = 1.0 / 3;
constexpr std::chrono::milliseconds repeat_delay{50};

/// Cumulative shares of ranks under a Zipf law.
std::vector<double> zipf_shares(std::size_t count, double skew)
{
    std::vector<double> shares;
    double sum = 0;
    for (std::size_t rank = 1; rank <= count; ++rank)
    {
        sum += std::pow(static_cast<double>(rank), -skew);
        shares.push_back(sum);
    }
    for (double& share : shares)
    {
        share /= sum;
    }
    return shares;
}

std::size_t draw_rank(const std::vector<double>& shares, core::seeded_random& random)
{
    const auto found = std::upper_bound(shares.begin(), shares.end(), random.unit());
    return std::min<std::size_t>(static_cast<std::size_t>(found - shares.begin()),
                                 shares.size() - 1);
}

} // namespace

plan_settings deployment_preset(const std::string& deployment)
{
    plan_settings settings;
    if (deployment == "tyres")
    {
        settings.m_callers = 90;
        settings.m_bundle_pieces = 8;
        settings.m_question_bytes = 240;
        settings.m_max_tokens = 60;
        settings.m_short_fraction = 0.6;
    }
    return settings;
}

request_plan::request_plan(const plan_settings& settings)
    : m_settings(settings), m_popularity(zipf_shares(settings.m_bundles, bundle_skew)),
      m_part_popularity(zipf_shares(parts_per_bundle, bundle_skew))
{
    double earlier = 0;
    const std::vector<double> shares = zipf_shares(settings.m_workspaces, workspace_skew);
    for (std::size_t workspace = 0; workspace < shares.size(); ++workspace)
    {
        const bool excess = settings.m_excess_workspace == workspace;
        const double share = shares[workspace] - earlier;
        earlier = shares[workspace];
        plan_workspace(workspace,
                       settings.m_rate_per_s * share * (excess ? settings.m_excess_factor : 1));
    }
    std::stable_sort(m_requests.begin(), m_requests.end(),
                     [](const auto& one, const auto& other) { return one.m_at < other.m_at; });
}

void request_plan::plan_workspace(std::size_t workspace, double rate_per_s)
{
    // Each workspace has its own source, so that one's excess leaves the others' requests alone.
    core::seeded_random random(core::hash_pair(m_settings.m_seed, workspace));
    const std::size_t bundles = m_settings.m_bundles;
    const std::size_t stride = bundles / 3 + 1;
    double at_s = 0;
    for (std::uint64_t number = 0;; ++number)
    {
        at_s -= std::log(1 - random.unit()) / rate_per_s;
        const auto at =
            std::chrono::duration_cast<core::duration>(std::chrono::duration<double>(at_s));
        if (at >= m_settings.m_duration)
        {
            return;
        }
        planned_request request;
        request.m_at = at;
        request.m_workspace = workspace;
        request.m_number = number;
        request.m_caller = random.below(m_settings.m_callers);
        const auto shift = static_cast<std::size_t>(at / m_settings.m_shift_interval);
        request.m_bundle = (draw_rank(m_popularity, random) + shift * stride) % bundles;
        request.m_part = draw_rank(m_part_popularity, random);
        request.m_short = random.unit() < m_settings.m_short_fraction;
        request.m_service = random.unit() < m_settings.m_service_fraction;
        m_requests.push_back(request);
        if (request.m_service && random.unit() < repeat_fraction)
        {
            request.m_at += repeat_delay;
            request.m_repeat = true;
            m_requests.push_back(request);
        }
    }
}

std::vector<chat_message> request_plan::messages_of(const planned_request& request) const
{
    const std::uint64_t workspace = core::hash_pair(m_settings.m_seed, request.m_workspace);
    const std::uint64_t bundle = core::hash_pair(workspace, request.m_bundle);
    const std::uint64_t part = core::hash_pair(bundle, request.m_part);
    const std::uint64_t question = core::hash_pair(~workspace, request.m_number);
    const std::size_t bundle_bytes = m_settings.m_bundle_pieces * block_bytes;
    const char* length = request.m_short ? "short answer: " : "full answer: ";
    return {{"system", filler(workspace, block_bytes)},
            {"system", filler(bundle, bundle_bytes)},
            {"user", filler(part, std::max(block_bytes, bundle_bytes / part_share))},
            {"user", length + filler(question, m_settings.m_question_bytes)}};
}

std::string request_plan::filler(std::uint64_t identity, std::size_t bytes) const
{
    core::seeded_random random(identity);
    std::string text;
    text.reserve(bytes + 20);
    while (text.size() < bytes)
    {
        fmt::format_to(std::back_inserter(text), "{:x} ", random());
    }
    text.resize(bytes);
    return text;
}

} // namespace tarragontrail::load
