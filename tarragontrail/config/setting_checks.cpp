#include "tarragontrail/config/setting_checks.hpp"

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <fmt/core.h>
#include <fstream>
#include <gflags/gflags.h>
#include <regex>

namespace tarragontrail::config {
namespace {

std::string environment_variable_name(std::string_view setting)
{
    std::string name = "TARRAGONTRAIL_";
    for (const char letter : setting)
    {
        name.push_back(static_cast<char>(std::toupper(static_cast<unsigned char>(letter))));
    }
    return name;
}

void print_help(const setting_page& page, std::span<const setting_description> descriptions)
{
    fmt::print("{} {}\n{}\n\nUsage: {} [--setting=value ...] {}\n\nSettings:\n", page.m_program,
               TARRAGONTRAIL_VERSION, page.m_description, page.m_program, page.m_arguments);
    for (const setting_description& each : descriptions)
    {
        fmt::print("  --{} ({}, {}, default {}; {})\n      {}\n", each.m_name, each.m_kind,
                   each.m_range, each.m_default_value, environment_variable_name(each.m_name),
                   each.m_description);
    }
    fmt::print("  --settings_file=PATH\n      Reads settings from a file of --name=value lines.\n");
    fmt::print("  --help\n      Prints this text.\n  --version\n      Prints the version.\n");
}

void apply_value(const setting_description& setting, const std::string& value)
{
    if (gflags::SetCommandLineOption(setting.m_name, value.c_str()).empty())
    {
        throw setting_error(setting.m_name, value, fmt::format("must be {}", setting.m_range));
    }
}

void apply_environment(std::span<const setting_description> descriptions)
{
    for (const setting_description& each : descriptions)
    {
        const char* value = std::getenv(environment_variable_name(each.m_name).c_str());
        if (value == nullptr)
        {
            continue;
        }
        apply_value(each, value);
    }
}

/// Throws setting_error when no setting has the name.
const setting_description& description_of(std::span<const setting_description> descriptions,
                                          std::string_view name)
{
    const auto found =
        std::find_if(descriptions.begin(), descriptions.end(),
                     [name](const setting_description& each) { return name == each.m_name; });
    if (found == descriptions.end())
    {
        throw setting_error(name, "", "unknown setting");
    }
    return *found;
}

/// Applies each `--name=value` line of a file. A line without a value leaves the setting unchanged.
void apply_file(std::span<const setting_description> descriptions, const std::string& path)
{
    std::ifstream file(path);
    if (!file)
    {
        throw setting_error("settings_file", path, "cannot be read");
    }
    for (std::string line; std::getline(file, line);)
    {
        if (line.empty() || line.front() == '#')
        {
            continue;
        }
        const std::size_t equals = line.find('=');
        if (!line.starts_with("--") || equals == std::string::npos)
        {
            throw setting_error("settings_file", line, "must have the form --name=value");
        }
        const setting_description& setting =
            description_of(descriptions, std::string_view(line).substr(2, equals - 2));
        if (equals + 1 < line.size())
        {
            apply_value(setting, line.substr(equals + 1));
        }
    }
}

/// Applies one `--name=value` or `--name value`; returns the number of arguments consumed.
int apply_flag(std::span<const setting_description> descriptions, int position, int argc,
               char** argv)
{
    std::string_view argument = argv[position];
    argument.remove_prefix(argument.starts_with("--") ? 2 : 1);
    const std::size_t equals = argument.find('=');
    const std::string_view name = argument.substr(0, equals);
    if (name == "settings_file" && equals != std::string_view::npos)
    {
        apply_file(descriptions, std::string(argument.substr(equals + 1)));
        return 1;
    }
    const setting_description& setting = description_of(descriptions, name);
    if (equals != std::string_view::npos)
    {
        apply_value(setting, std::string(argument.substr(equals + 1)));
        return 1;
    }
    if (position + 1 == argc)
    {
        throw setting_error(name, "", "value is missing");
    }
    apply_value(setting, argv[position + 1]);
    return 2;
}

} // namespace

setting_error::setting_error(std::string_view setting, std::string_view value,
                             std::string_view reason)
    : error(fmt::format("setting {}: {} (value '{}')", setting, reason, value)), m_setting(setting)
{}

void parse_settings(const setting_page& page, std::span<const setting_description> descriptions,
                    int& argc, char**& argv)
{
    apply_environment(descriptions);

    // Flags are removed from argv; positional arguments keep their order.
    int kept = 1;
    int position = 1;
    while (position < argc)
    {
        const std::string_view argument = argv[position];
        if (argument == "--help")
        {
            print_help(page, descriptions);
            std::exit(EXIT_SUCCESS);
        }
        if (argument == "--version")
        {
            fmt::print("{} {}\n", page.m_program, TARRAGONTRAIL_VERSION);
            std::exit(EXIT_SUCCESS);
        }
        if (!argument.starts_with("--"))
        {
            argv[kept++] = argv[position++];
            continue;
        }
        position += apply_flag(descriptions, position, argc, argv);
    }
    argc = kept;
}

void check_range(std::string_view setting, double value, double minimum, double maximum)
{
    if (value >= minimum && value <= maximum)
    {
        return;
    }
    throw setting_error(setting, fmt::format("{}", value),
                        fmt::format("must be between {} and {}", minimum, maximum));
}

std::chrono::milliseconds rounded_milliseconds(double milliseconds)
{
    return std::chrono::round<std::chrono::milliseconds>(
        std::chrono::duration<double, std::milli>(milliseconds));
}

void check_pattern(std::string_view setting, const std::string& value, const char* pattern)
{
    if (std::regex_match(value, std::regex(pattern)))
    {
        return;
    }
    throw setting_error(setting, value, fmt::format("must match {}", pattern));
}

} // namespace tarragontrail::config
