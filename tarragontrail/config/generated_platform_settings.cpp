#include "tarragontrail/config/generated_platform_settings.hpp"

#include <array>
#include <gflags/gflags.h>

DEFINE_string(name, "platform", "Name in log lines.");
DEFINE_string(address, "127.0.0.1", "Numeric address to bind.");
DEFINE_uint64(port, 9000, "TCP port.");
DEFINE_double(list_lag, 0, "Age of the instance list that is shown.");
DEFINE_double(weight_load_time, 300, "Length of one weight load at full rate.");
DEFINE_uint64(seed, 1, "Seed of the random faults.");

namespace tarragontrail::config {
namespace {

constexpr std::array<setting_description, 6> descriptions{{
    {"name", "string", "platform", "text that matches ^[a-z0-9-]{1,64}$", "Name in log lines."},
    {"address", "string", "127.0.0.1", "any text", "Numeric address to bind."},
    {"port", "integer", "9000", "a whole number between 1 and 65535", "TCP port."},
    {"list_lag", "duration_ms", "0", "a number between 0 and 600000",
     "Age of the instance list that is shown."},
    {"weight_load_time", "duration_ms", "300", "a number between 0 and 600000",
     "Length of one weight load at full rate."},
    {"seed", "integer", "1", "a whole number between 0 and 1e+18", "Seed of the random faults."},
}};

} // namespace

platform_settings load_platform_settings(int& argc, char**& argv)
{
    const setting_page page{
        "stand-in-platform",
        "Stand-in of the platform: table, objects, instance list and weights in memory, for tests.",
        ""};
    parse_settings(page, descriptions, argc, argv);

    platform_settings settings;
    check_pattern("name", FLAGS_name, "^[a-z0-9-]{1,64}$");
    settings.m_name = FLAGS_name;
    settings.m_address = FLAGS_address;
    check_range("port", static_cast<double>(FLAGS_port), 1, 65535);
    settings.m_port = FLAGS_port;
    check_range("list_lag", FLAGS_list_lag, 0, 600000);
    settings.m_list_lag = rounded_milliseconds(FLAGS_list_lag);
    check_range("weight_load_time", FLAGS_weight_load_time, 0, 600000);
    settings.m_weight_load_time = rounded_milliseconds(FLAGS_weight_load_time);
    check_range("seed", static_cast<double>(FLAGS_seed), 0, 1e+18);
    settings.m_seed = FLAGS_seed;
    return settings;
}

} // namespace tarragontrail::config
