#include "tarragontrail/config/generated_ctl_settings.hpp"

#include <array>
#include <gflags/gflags.h>

DEFINE_string(
    admins, "127.0.0.1:8082",
    "Addresses and administration ports of entry instances, separated by commas; tried in turn.");
DEFINE_string(token, "none",
              "Operator's token, or none; better given in the environment, as other users of the "
              "machine may see the command line.");
DEFINE_bool(json, false, "Answers as JSON.");
DEFINE_bool(dry_run, false, "Prints what a change would send and sends nothing.");
DEFINE_double(timeout, 20000, "Longest wait for one answer.");
DEFINE_double(poll_interval, 500, "Time between two looks of bundle watch.");

namespace tarragontrail::config {
namespace {

constexpr std::array<setting_description, 6> descriptions{{
    {"admins", "string", "127.0.0.1:8082",
     "text that matches ^[0-9a-fA-F.:\\[\\]]+:[0-9]+(,[0-9a-fA-F.:\\[\\]]+:[0-9]+)*$",
     "Addresses and administration ports of entry instances, separated by commas; tried in turn."},
    {"token", "string", "none", "any text",
     "Operator's token, or none; better given in the environment, as other users of the machine "
     "may see the command line."},
    {"json", "boolean", "false", "true or false", "Answers as JSON."},
    {"dry_run", "boolean", "false", "true or false",
     "Prints what a change would send and sends nothing."},
    {"timeout", "duration_ms", "20000", "a number between 10 and 600000",
     "Longest wait for one answer."},
    {"poll_interval", "duration_ms", "500", "a number between 10 and 600000",
     "Time between two looks of bundle watch."},
}};

} // namespace

ctl_settings load_ctl_settings(int& argc, char**& argv)
{
    const setting_page page{
        "tarragontrailctl",
        "Operators' command line over the administration API of the entry instances.",
        "COMMAND... (the command help lists them)"};
    parse_settings(page, descriptions, argc, argv);

    ctl_settings settings;
    check_pattern("admins", FLAGS_admins,
                  "^[0-9a-fA-F.:\\[\\]]+:[0-9]+(,[0-9a-fA-F.:\\[\\]]+:[0-9]+)*$");
    settings.m_admins = FLAGS_admins;
    settings.m_token = FLAGS_token;
    settings.m_json = FLAGS_json;
    settings.m_dry_run = FLAGS_dry_run;
    check_range("timeout", FLAGS_timeout, 10, 600000);
    settings.m_timeout = rounded_milliseconds(FLAGS_timeout);
    check_range("poll_interval", FLAGS_poll_interval, 10, 600000);
    settings.m_poll_interval = rounded_milliseconds(FLAGS_poll_interval);
    return settings;
}

} // namespace tarragontrail::config
