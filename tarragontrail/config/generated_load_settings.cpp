#include "tarragontrail/config/generated_load_settings.hpp"

#include <array>
#include <gflags/gflags.h>

DEFINE_string(entries, "127.0.0.1:8080",
              "Addresses and caller ports of entry instances, separated by commas.");
DEFINE_string(keys, "workspace-1=tt-key",
              "Key of each workspace: workspace=key, separated by commas.");
DEFINE_string(limits, "none",
              "Rate and burst of each workspace in tokens: workspace=rate:burst, separated by "
              "commas; none counts every refusal as within rate.");
DEFINE_string(model, "model-1", "Model to ask for.");
DEFINE_uint64(seed, 1, "Seed of the request list; the same seed gives the same list.");
DEFINE_double(duration, 60000, "Time over which requests are sent.");
DEFINE_double(drain_timeout, 60000, "Longest wait for answers after the last request.");
DEFINE_double(rate, 8.0, "Requests per second over all workspaces, without the excess.");
DEFINE_string(deployment, "notices", "Preset of callers, prefix length and question length.");
DEFINE_uint64(callers, 0, "Number of callers; zero takes the preset.");
DEFINE_uint64(bundles, 20, "Bundles of each workspace.");
DEFINE_uint64(bundle_pieces, 0,
              "Length of a bundle in blocks of 4096 bytes; zero takes the preset.");
DEFINE_double(shift_interval, 20000, "Time after which other bundles become the popular ones.");
DEFINE_string(excess_workspace, "none",
              "Workspace that sends more than its share; none switches it off.");
DEFINE_double(excess_factor, 4.0, "How many times its share the excess workspace sends.");
DEFINE_string(regions, "region-1",
              "Regions of the callers, separated by commas; callers take them in turn.");
DEFINE_uint64(retries, 3,
              "Repeats after a refusal with Retry-After, a refused connection or a broken stream.");
DEFINE_string(service_path, "/services/orders", "Path of the plain service's route.");
DEFINE_double(service_fraction, 0.0,
              "Fraction of requests that call the plain service; a third of these are sent twice "
              "under one idempotency key.");
DEFINE_string(engine_stats, "none",
              "Addresses of stand-in engines whose statistics are taken before and after, "
              "separated by commas; or none.");
DEFINE_string(service_stats, "none",
              "Addresses of stand-in services whose executions per key are checked, separated by "
              "commas; or none.");
DEFINE_string(output, "none", "File for the report as JSON, or none.");

namespace tarragontrail::config {
namespace {

constexpr std::array<setting_description, 22> descriptions{{
    {"entries", "string", "127.0.0.1:8080", "any text",
     "Addresses and caller ports of entry instances, separated by commas."},
    {"keys", "string", "workspace-1=tt-key", "text that matches ^[^=,]+=[^=,]+(,[^=,]+=[^=,]+)*$",
     "Key of each workspace: workspace=key, separated by commas."},
    {"limits", "string", "none",
     "text that matches ^(none|[^=,]+=[0-9]+:[0-9]+(,[^=,]+=[0-9]+:[0-9]+)*)$",
     "Rate and burst of each workspace in tokens: workspace=rate:burst, separated by commas; none "
     "counts every refusal as within rate."},
    {"model", "string", "model-1", "text that matches ^[A-Za-z0-9._:-]{1,128}$",
     "Model to ask for."},
    {"seed", "integer", "1", "a whole number between 0 and 1e+18",
     "Seed of the request list; the same seed gives the same list."},
    {"duration", "duration_ms", "60000", "a number between 1 and 86400000",
     "Time over which requests are sent."},
    {"drain_timeout", "duration_ms", "60000", "a number between 0 and 3600000",
     "Longest wait for answers after the last request."},
    {"rate", "number", "8.0", "a number between 0.001 and 100000",
     "Requests per second over all workspaces, without the excess."},
    {"deployment", "string", "notices", "text that matches ^(notices|tyres)$",
     "Preset of callers, prefix length and question length."},
    {"callers", "integer", "0", "a whole number between 0 and 100000",
     "Number of callers; zero takes the preset."},
    {"bundles", "integer", "20", "a whole number between 1 and 100000",
     "Bundles of each workspace."},
    {"bundle_pieces", "integer", "0", "a whole number between 0 and 1000",
     "Length of a bundle in blocks of 4096 bytes; zero takes the preset."},
    {"shift_interval", "duration_ms", "20000", "a number between 1 and 86400000",
     "Time after which other bundles become the popular ones."},
    {"excess_workspace", "string", "none", "any text",
     "Workspace that sends more than its share; none switches it off."},
    {"excess_factor", "number", "4.0", "a number between 1 and 1000",
     "How many times its share the excess workspace sends."},
    {"regions", "string", "region-1", "any text",
     "Regions of the callers, separated by commas; callers take them in turn."},
    {"retries", "integer", "3", "a whole number between 0 and 100",
     "Repeats after a refusal with Retry-After, a refused connection or a broken stream."},
    {"service_path", "string", "/services/orders", "text that matches ^/.*$",
     "Path of the plain service's route."},
    {"service_fraction", "number", "0.0", "a number between 0 and 1",
     "Fraction of requests that call the plain service; a third of these are sent twice under one "
     "idempotency key."},
    {"engine_stats", "string", "none", "any text",
     "Addresses of stand-in engines whose statistics are taken before and after, separated by "
     "commas; or none."},
    {"service_stats", "string", "none", "any text",
     "Addresses of stand-in services whose executions per key are checked, separated by commas; or "
     "none."},
    {"output", "string", "none", "any text", "File for the report as JSON, or none."},
}};

} // namespace

load_settings load_load_settings(int& argc, char**& argv)
{
    const setting_page page{"tarragontrail-load",
                            "Load tool: callers with nested, shared and shifting hot prefixes; "
                            "checks every answer and reports the measures.",
                            ""};
    parse_settings(page, descriptions, argc, argv);

    load_settings settings;
    settings.m_entries = FLAGS_entries;
    check_pattern("keys", FLAGS_keys, "^[^=,]+=[^=,]+(,[^=,]+=[^=,]+)*$");
    settings.m_keys = FLAGS_keys;
    check_pattern("limits", FLAGS_limits, "^(none|[^=,]+=[0-9]+:[0-9]+(,[^=,]+=[0-9]+:[0-9]+)*)$");
    settings.m_limits = FLAGS_limits;
    check_pattern("model", FLAGS_model, "^[A-Za-z0-9._:-]{1,128}$");
    settings.m_model = FLAGS_model;
    check_range("seed", static_cast<double>(FLAGS_seed), 0, 1e+18);
    settings.m_seed = FLAGS_seed;
    check_range("duration", FLAGS_duration, 1, 86400000);
    settings.m_duration = rounded_milliseconds(FLAGS_duration);
    check_range("drain_timeout", FLAGS_drain_timeout, 0, 3600000);
    settings.m_drain_timeout = rounded_milliseconds(FLAGS_drain_timeout);
    check_range("rate", static_cast<double>(FLAGS_rate), 0.001, 100000);
    settings.m_rate = FLAGS_rate;
    check_pattern("deployment", FLAGS_deployment, "^(notices|tyres)$");
    settings.m_deployment = FLAGS_deployment;
    check_range("callers", static_cast<double>(FLAGS_callers), 0, 100000);
    settings.m_callers = FLAGS_callers;
    check_range("bundles", static_cast<double>(FLAGS_bundles), 1, 100000);
    settings.m_bundles = FLAGS_bundles;
    check_range("bundle_pieces", static_cast<double>(FLAGS_bundle_pieces), 0, 1000);
    settings.m_bundle_pieces = FLAGS_bundle_pieces;
    check_range("shift_interval", FLAGS_shift_interval, 1, 86400000);
    settings.m_shift_interval = rounded_milliseconds(FLAGS_shift_interval);
    settings.m_excess_workspace = FLAGS_excess_workspace;
    check_range("excess_factor", static_cast<double>(FLAGS_excess_factor), 1, 1000);
    settings.m_excess_factor = FLAGS_excess_factor;
    settings.m_regions = FLAGS_regions;
    check_range("retries", static_cast<double>(FLAGS_retries), 0, 100);
    settings.m_retries = FLAGS_retries;
    check_pattern("service_path", FLAGS_service_path, "^/.*$");
    settings.m_service_path = FLAGS_service_path;
    check_range("service_fraction", static_cast<double>(FLAGS_service_fraction), 0, 1);
    settings.m_service_fraction = FLAGS_service_fraction;
    settings.m_engine_stats = FLAGS_engine_stats;
    settings.m_service_stats = FLAGS_service_stats;
    settings.m_output = FLAGS_output;
    return settings;
}

} // namespace tarragontrail::config
