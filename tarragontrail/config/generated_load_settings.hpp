#pragma once

#include "tarragontrail/config/setting_checks.hpp"

#include <chrono>
#include <cstdint>
#include <string>

namespace tarragontrail::config {

/// Load tool: callers with nested, shared and shifting hot prefixes; checks every answer and
/// reports the measures.
struct load_settings
{
    std::string m_entries =
        "127.0.0.1:8080"; ///< Addresses and caller ports of entry instances, separated by commas.
    std::string m_keys =
        "workspace-1=tt-key"; ///< Key of each workspace: workspace=key, separated by commas.
    std::string m_limits =
        "none"; ///< Rate and burst of each workspace in tokens: workspace=rate:burst, separated by
                ///< commas; none counts every refusal as within rate.
    std::string m_model = "model-1"; ///< Model to ask for.
    std::uint64_t m_seed = 1; ///< Seed of the request list; the same seed gives the same list.
    std::chrono::milliseconds m_duration{60000}; ///< Time over which requests are sent.
    std::chrono::milliseconds m_drain_timeout{
        60000};          ///< Longest wait for answers after the last request.
    double m_rate = 8.0; ///< Requests per second over all workspaces, without the excess.
    std::string m_deployment = "notices"; ///< Preset of callers, prefix length and question length.
    std::uint64_t m_callers = 0;          ///< Number of callers; zero takes the preset.
    std::uint64_t m_bundles = 20;         ///< Bundles of each workspace.
    std::uint64_t m_bundle_pieces =
        0; ///< Length of a bundle in blocks of 4096 bytes; zero takes the preset.
    std::chrono::milliseconds m_shift_interval{
        20000}; ///< Time after which other bundles become the popular ones.
    std::string m_excess_workspace =
        "none"; ///< Workspace that sends more than its share; none switches it off.
    double m_excess_factor = 4.0; ///< How many times its share the excess workspace sends.
    std::string m_regions =
        "region-1"; ///< Regions of the callers, separated by commas; callers take them in turn.
    std::uint64_t m_retries =
        3; ///< Repeats after a refusal with Retry-After, a refused connection or a broken stream.
    std::string m_service_path = "/services/orders"; ///< Path of the plain service's route.
    double m_service_fraction = 0.0; ///< Fraction of requests that call the plain service; a third
                                     ///< of these are sent twice under one idempotency key.
    std::string m_engine_stats = "none";  ///< Addresses of stand-in engines whose statistics are
                                          ///< taken before and after, separated by commas; or none.
    std::string m_service_stats = "none"; ///< Addresses of stand-in services whose executions per
                                          ///< key are checked, separated by commas; or none.
    std::string m_output = "none";        ///< File for the report as JSON, or none.
};

/// Reads the environment, then the command line, which goes before it.
///
/// Prints and exits on --help and --version. Throws setting_error, which names the setting.
/// Words that are no flags stay in `argv`.
load_settings load_load_settings(int& argc, char**& argv);

} // namespace tarragontrail::config
