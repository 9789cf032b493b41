#include "performance_test/limits_comparison.hpp"

#include "performance_test/limits_baselines.hpp"
#include "unit_tests/limits/limit_network.hpp"

#include <cmath>
#include <fmt/core.h>
#include <string>

namespace tarragontrail::limits {
namespace {

constexpr std::size_t instance_count = 8;
constexpr std::size_t workspace_count = 5;
constexpr std::uint64_t rate_tokens = 20'000;
constexpr std::uint64_t burst_tokens = 60'000;
constexpr std::chrono::seconds run_length{1200};
constexpr std::chrono::seconds warm_up{20};
constexpr std::chrono::seconds first_restart{300};
constexpr std::chrono::seconds restart_gap{10};

/// What is varied between runs.
struct comparison_case
{
    std::string m_name;
    std::size_t m_homes = 4;
    double m_load = 0.8;    ///< Charges offered, as a part of the rate.
    double m_steered = 0.9; ///< Part of the requests that land at a home of their workspace.
    bool m_has_faults = false;
    std::uint64_t m_seed = 1;
    bool m_restarts_fleet = false; ///< Every instance restarts during the table's outage.
    bool m_ids_are_unique = false; ///< Restarted instances need no word of the table.
};

/// Counts of one way in one run.
struct comparison_result
{
    std::uint64_t m_offered = 0;
    std::uint64_t m_refused_within_rate = 0; ///< Refused although one central bucket would admit.
    double m_largest_excess = 0;             ///< Tokens.
};

core::workspace_id id_of_workspace(std::size_t index)
{
    return core::workspace_id{1000 + index};
}

bucket_limit whole_limit()
{
    return {rate_tokens * micro_tokens_per_token, burst_tokens * micro_tokens_per_token};
}

fault_plan plan_faults(const comparison_case& chosen)
{
    using std::chrono::seconds;
    if (!chosen.m_has_faults)
    {
        return {};
    }
    return {{seconds(200), seconds(500)},
            {seconds(600), seconds(700)},
            {seconds(850), seconds(950)},
            2};
}

std::vector<member> fleet()
{
    std::vector<member> members;
    for (std::size_t index = 0; index < instance_count; ++index)
    {
        members.push_back({core::instance_id{100 + index}, core::region_id{index % 2}});
    }
    return members;
}

/// Instance where a request lands: near its caller, at a home when it is steered, never one that is
/// down.
std::size_t choose_entry(const comparison_case& chosen, const fault_plan& faults,
                         const scripted_request& request, core::seeded_random& random)
{
    const std::size_t region = random.below(2);
    const bool is_steered = random.unit() < chosen.m_steered;
    std::vector<std::size_t> near;
    std::vector<std::size_t> homes;
    for (const core::instance_id home :
         homes_of(id_of_workspace(request.m_workspace), fleet(), chosen.m_homes))
    {
        homes.push_back(core::value_of(home) - 100);
    }
    for (std::size_t index = region; index < instance_count; index += 2)
    {
        const bool is_home = std::find(homes.begin(), homes.end(), index) != homes.end();
        const bool is_down = index == faults.m_victim && faults.m_down.covers(request.m_at);
        if (!is_down && (is_home || !is_steered))
        {
            near.push_back(index);
        }
    }
    return near.empty() ? region + 4 : near[random.below(near.size())];
}

/// Heavy-tailed requests in order of time.
std::vector<scripted_request> script_load(const comparison_case& chosen, const fault_plan& faults)
{
    constexpr double smallest_charge = 500;
    constexpr double largest_charge = 24'000;
    constexpr double tail_exponent = 1.5;
    constexpr double mean_charge = 1'356; // Of the distribution cut at the largest charge.
    core::seeded_random random(chosen.m_seed);
    const double gap =
        mean_charge / (chosen.m_load * static_cast<double>(rate_tokens) * workspace_count);
    std::vector<scripted_request> script;
    double when = std::chrono::duration<double>(warm_up).count();
    while (when < std::chrono::duration<double>(run_length).count())
    {
        when += -std::log(1 - random.unit()) * gap;
        const double charge = smallest_charge / std::pow(1 - random.unit(), 1 / tail_exponent);
        scripted_request request;
        request.m_at = std::chrono::nanoseconds(static_cast<std::int64_t>(when * 1e9));
        request.m_workspace = random.below(workspace_count);
        request.m_charge = static_cast<std::uint64_t>(std::min(charge, largest_charge));
        request.m_used = request.m_charge * (30 + random.below(71)) / 100;
        request.m_run_time = std::chrono::milliseconds(500 + random.below(15'000));
        request.m_entry = choose_entry(chosen, faults, request, random);
        script.push_back(request);
    }
    return script;
}

/// What one central bucket a workspace admits, request by request.
std::vector<bool> admit_centrally(const std::vector<scripted_request>& script)
{
    const core::time_point start{};
    std::vector<central_bucket> buckets(workspace_count, central_bucket(whole_limit(), start));
    std::vector<bool> admitted;
    admitted.reserve(script.size());
    for (const scripted_request& request : script)
    {
        admitted.push_back(buckets[request.m_workspace].admit(request, start + request.m_at));
    }
    return admitted;
}

template <class Way>
comparison_result run_baseline(const std::vector<scripted_request>& script,
                               const std::vector<bool>& central, std::vector<Way> ways)
{
    const core::time_point start{};
    std::vector<limit_checker> checkers(workspace_count);
    for (limit_checker& checker : checkers)
    {
        checker.set_limit(whole_limit(), start);
    }
    comparison_result result;
    for (std::size_t number = 0; number < script.size(); ++number)
    {
        const scripted_request& request = script[number];
        ++result.m_offered;
        if (!ways[request.m_workspace].admit(request, start + request.m_at))
        {
            result.m_refused_within_rate += central[number] ? 1 : 0;
            continue;
        }
        limit_checker& checker = checkers[request.m_workspace];
        checker.on_settled(checker.on_admitted(request.m_charge, start + request.m_at),
                           request.m_used);
    }
    for (const limit_checker& checker : checkers)
    {
        result.m_largest_excess = std::max(result.m_largest_excess, checker.max_excess());
    }
    return result;
}

void print_line(const comparison_case& chosen, const std::string& way,
                const comparison_result& result, const std::string& rest)
{
    fmt::print("limits case=\"{}\" seed={} way=\"{}\" requests={} refused_within_rate={:.3f}% "
               "largest_excess_tokens={:.0f}{}\n",
               chosen.m_name, chosen.m_seed, way, result.m_offered,
               100.0 * static_cast<double>(result.m_refused_within_rate) /
                   static_cast<double>(result.m_offered),
               result.m_largest_excess, rest);
}

void print_load(const comparison_case& chosen, const std::vector<scripted_request>& script,
                const std::vector<bool>& central)
{
    std::uint64_t charged = 0;
    for (const scripted_request& request : script)
    {
        charged += request.m_charge;
    }
    const double most = static_cast<double>(rate_tokens * workspace_count) *
                        std::chrono::duration<double>(run_length - warm_up).count();
    const auto refused = std::count(central.begin(), central.end(), false);
    fmt::print("limits case=\"{}\" seed={} offered_load={:.3f} refused_by_central_bucket={:.3f}%\n",
               chosen.m_name, chosen.m_seed, static_cast<double>(charged) / most,
               100.0 * static_cast<double>(refused) / static_cast<double>(central.size()));
}

void run_baselines(const comparison_case& chosen, const fault_plan& faults,
                   const std::vector<scripted_request>& script, const std::vector<bool>& central)
{
    print_load(chosen, script, central);
    const core::time_point start{};
    print_line(
        chosen, "rate/N",
        run_baseline(script, central,
                     std::vector<static_split>(workspace_count,
                                               static_split(whole_limit(), instance_count, start))),
        "");
    std::vector<leased_owner> owners;
    for (std::size_t index = 0; index < workspace_count; ++index)
    {
        const auto owner = homes_of(id_of_workspace(index), fleet(), 1).front();
        owners.emplace_back(whole_limit(), instance_count, core::value_of(owner) - 100, faults,
                            start);
    }
    print_line(chosen, "leased owner", run_baseline(script, central, owners), "");
}

void apply_faults(limit_network& network, const fault_plan& faults, core::duration elapsed)
{
    network.set_table_up(!faults.m_table.covers(elapsed));
    network.set_cut(faults.m_cut.covers(elapsed));
    const bool should_be_up = !faults.m_down.covers(elapsed);
    if (should_be_up == network.is_up(faults.m_victim))
    {
        return;
    }
    should_be_up ? network.start(faults.m_victim) : network.stop(faults.m_victim);
}

void run_homes(const comparison_case& chosen, const fault_plan& faults,
               const std::vector<scripted_request>& script, const std::vector<bool>& central)
{
    limit_settings settings;
    settings.m_home_count = chosen.m_homes;
    network_settings network_faults;
    network_faults.m_ids_are_unique = chosen.m_ids_are_unique;
    network_faults.m_list_lag = std::chrono::milliseconds(settings.m_list_lag);
    limit_network network(settings, network_faults, chosen.m_seed);
    if (!chosen.m_has_faults)
    {
        network.set_lossless();
    }
    for (std::size_t index = 0; index < workspace_count; ++index)
    {
        network.set_limit(id_of_workspace(index), rate_tokens, burst_tokens);
    }
    const core::time_point start = network.now();
    std::size_t restarted = 0;
    for (std::size_t number = 0; number < script.size(); ++number)
    {
        const scripted_request& request = script[number];
        network.run_until(start + request.m_at);
        apply_faults(network, faults, request.m_at);
        if (chosen.m_restarts_fleet && restarted < instance_count &&
            request.m_at >= first_restart + restarted * restart_gap)
        {
            network.start(restarted++);
        }
        network.offer(request.m_entry, number, id_of_workspace(request.m_workspace),
                      request.m_charge, request.m_used, request.m_run_time);
    }
    network.run_for(std::chrono::seconds(30));

    comparison_result result;
    std::uint64_t loans = 0;
    std::vector<double> waits;
    for (std::size_t number = 0; number < script.size(); ++number)
    {
        const limit_network::request_outcome& outcome = network.outcome(number);
        ++result.m_offered;
        loans += outcome.m_loans;
        result.m_refused_within_rate += !outcome.m_is_admitted && central[number] ? 1 : 0;
        const core::duration wait = outcome.m_decided_at - (start + script[number].m_at);
        waits.push_back(std::chrono::duration<double, std::milli>(wait).count());
    }
    for (std::size_t index = 0; index < workspace_count; ++index)
    {
        result.m_largest_excess =
            std::max(result.m_largest_excess, network.checker(id_of_workspace(index)).max_excess());
    }
    std::sort(waits.begin(), waits.end());
    print_line(
        chosen, fmt::format("homes={}", chosen.m_homes), result,
        fmt::format(" loans_per_request={:.3f} messages_per_request={:.2f} wait_p50_ms={:.1f} "
                    "wait_p99_ms={:.1f} table_writes={}",
                    static_cast<double>(loans) / static_cast<double>(script.size()),
                    static_cast<double>(network.messages()) / static_cast<double>(script.size()),
                    waits[waits.size() / 2], waits[waits.size() * 99 / 100],
                    network.table_writes()));
}

} // namespace

void print_limits_comparison()
{
    std::vector<comparison_case> cases;
    for (const std::uint64_t seed : {1, 2, 3})
    {
        for (const bool has_faults : {false, true})
        {
            for (const double steered : {0.9, 0.0})
            {
                for (const std::size_t homes : {4, 2, 8})
                {
                    cases.push_back(
                        {fmt::format("{}, {:.0f}% steered", has_faults ? "faults" : "no faults",
                                     100 * steered),
                         homes, 0.8, steered, has_faults, seed});
                }
            }
        }
    }
    for (const bool ids_are_unique : {true, false})
    {
        cases.push_back({fmt::format("faults, fleet restarts in the outage, ids {}",
                                     ids_are_unique ? "never come back" : "come back"),
                         4, 0.8, 0.9, true, 1, true, ids_are_unique});
    }
    for (const comparison_case& chosen : cases)
    {
        const fault_plan faults = plan_faults(chosen);
        const std::vector<scripted_request> script = script_load(chosen, faults);
        const std::vector<bool> central = admit_centrally(script);
        if (chosen.m_homes == 4 && !chosen.m_restarts_fleet)
        {
            run_baselines(chosen, faults, script, central);
        }
        run_homes(chosen, faults, script, central);
    }
}

} // namespace tarragontrail::limits
