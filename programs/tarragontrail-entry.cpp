#include "programs/program_main.hpp"
#include "tarragontrail/config/generated_entry_settings.hpp"
#include "tarragontrail/entry/entry_process.hpp"

int main(int argc, char** argv)
{
    using namespace tarragontrail;
    return programs::run_instance([&argc, &argv] {
        const config::entry_settings settings = config::load_entry_settings(argc, argv);
        observe::set_log_name(settings.m_name);
        entry::entry_process process(settings);
        return process.run();
    });
}
