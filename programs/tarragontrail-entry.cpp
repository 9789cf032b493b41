#include "tarragontrail/config/generated_entry_settings.hpp"

#include <cstdlib>
#include <fmt/core.h>

int main(int argc, char** argv)
{
    try
    {
        const auto settings = tarragontrail::config::load_entry_settings(argc, argv);
        fmt::print(stderr, "event=start name={}\n", settings.m_name);
        return EXIT_SUCCESS;
    }
    catch (const tarragontrail::config::setting_error& failure)
    {
        fmt::print(stderr, "event=setting_error reason=\"{}\"\n", failure.what());
        return 2;
    }
}
