#include "tarragontrail/config/generated_service_settings.hpp"

#include <array>
#include <gflags/gflags.h>

DEFINE_string(name, "service-1", "Name in answers and log lines.");
DEFINE_string(address, "127.0.0.1", "Numeric address to bind.");
DEFINE_uint64(port, 9200, "TCP port.");
DEFINE_double(delay, 0, "Length of one execution.");
DEFINE_double(network_delay, 0, "Delay added to each response.");
DEFINE_double(crash_after_run, 0.0,
              "Fraction of executions whose connection is dropped without an answer.");
DEFINE_double(
    unframed, 0.0,
    "Fraction of answers with neither a length nor chunks, which end with their connection.");
DEFINE_double(refuse, 0.0, "Fraction of calls refused with status 503 and not executed.");
DEFINE_uint64(seed, 1, "Seed of the random faults.");

namespace tarragontrail::config {
namespace {

constexpr std::array<setting_description, 9> descriptions{{
    {"name", "string", "service-1", "text that matches ^[a-z0-9-]{1,64}$",
     "Name in answers and log lines."},
    {"address", "string", "127.0.0.1", "any text", "Numeric address to bind."},
    {"port", "integer", "9200", "a whole number between 1 and 65535", "TCP port."},
    {"delay", "duration_ms", "0", "a number between 0 and 600000", "Length of one execution."},
    {"network_delay", "duration_ms", "0", "a number between 0 and 60000",
     "Delay added to each response."},
    {"crash_after_run", "number", "0.0", "a number between 0 and 1",
     "Fraction of executions whose connection is dropped without an answer."},
    {"unframed", "number", "0.0", "a number between 0 and 1",
     "Fraction of answers with neither a length nor chunks, which end with their connection."},
    {"refuse", "number", "0.0", "a number between 0 and 1",
     "Fraction of calls refused with status 503 and not executed."},
    {"seed", "integer", "1", "a whole number between 0 and 1e+18", "Seed of the random faults."},
}};

} // namespace

service_settings load_service_settings(int& argc, char**& argv)
{
    const setting_page page{
        "stand-in-service",
        "Stand-in of a plain service that counts the executions of each call, for tests.", ""};
    parse_settings(page, descriptions, argc, argv);

    service_settings settings;
    check_pattern("name", FLAGS_name, "^[a-z0-9-]{1,64}$");
    settings.m_name = FLAGS_name;
    settings.m_address = FLAGS_address;
    check_range("port", static_cast<double>(FLAGS_port), 1, 65535);
    settings.m_port = FLAGS_port;
    check_range("delay", FLAGS_delay, 0, 600000);
    settings.m_delay = rounded_milliseconds(FLAGS_delay);
    check_range("network_delay", FLAGS_network_delay, 0, 60000);
    settings.m_network_delay = rounded_milliseconds(FLAGS_network_delay);
    check_range("crash_after_run", static_cast<double>(FLAGS_crash_after_run), 0, 1);
    settings.m_crash_after_run = FLAGS_crash_after_run;
    check_range("unframed", static_cast<double>(FLAGS_unframed), 0, 1);
    settings.m_unframed = FLAGS_unframed;
    check_range("refuse", static_cast<double>(FLAGS_refuse), 0, 1);
    settings.m_refuse = FLAGS_refuse;
    check_range("seed", static_cast<double>(FLAGS_seed), 0, 1e+18);
    settings.m_seed = FLAGS_seed;
    return settings;
}

} // namespace tarragontrail::config
