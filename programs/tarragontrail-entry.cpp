#include "tarragontrail/config/generated_entry_settings.hpp"
#include "tarragontrail/entry/entry_process.hpp"
#include "tarragontrail/observe/log.hpp"

#include <cstdlib>

namespace {

constexpr int exit_bad_setting = 2;
constexpr int exit_cannot_start = 3;
constexpr int exit_cut_requests = 4;

} // namespace

int main(int argc, char** argv)
{
    using namespace tarragontrail;
    try
    {
        const config::entry_settings settings = config::load_entry_settings(argc, argv);
        observe::set_log_name(settings.m_name);
        entry::entry_process process(settings);
        return process.run() ? EXIT_SUCCESS : exit_cut_requests;
    }
    catch (const config::setting_error& failure)
    {
        observe::log("setting_error", {{"setting", failure.setting()}, {"reason", failure.what()}});
        return exit_bad_setting;
    }
    catch (const std::exception& failure)
    {
        observe::log("start_failed", {{"reason", failure.what()}});
        return exit_cannot_start;
    }
}
