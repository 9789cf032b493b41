#include "tarragontrail/ctl/command_line.hpp"

#include "tarragontrail/ctl/command.hpp"
#include "tarragontrail/ctl/output.hpp"

#include <fmt/core.h>
#include <ostream>

namespace tarragontrail::ctl {
namespace {

admin_client_settings client_settings_of(const config::ctl_settings& settings)
{
    admin_client_settings client;
    client.m_admins = settings.m_admins;
    client.m_token = settings.m_token == "none" ? std::string() : settings.m_token;
    client.m_timeout = settings.m_timeout;
    client.m_dry_run = settings.m_dry_run;
    return client;
}

void print(const command_result& result, bool as_json, std::ostream& output)
{
    if (as_json)
    {
        output << result.m_document.dump() << '\n';
        return;
    }
    output << (result.m_text.empty() ? to_plain(result.m_document) : result.m_text);
}

void print_failure(const ctl_error& failure, bool as_json, std::ostream& errors)
{
    if (!as_json)
    {
        errors << failure.what() << '\n';
        return;
    }
    const nlohmann::json document{{"failure", failure.what()},
                                  {"code", static_cast<int>(failure.code())}};
    errors << document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << '\n';
}

} // namespace

std::vector<std::string> expand_switches(std::span<char* const> words)
{
    std::vector<std::string> expanded(words.begin(), words.end());
    for (std::string& word : expanded)
    {
        if (word == "--json" || word == "--dry_run")
        {
            word += "=true";
        }
    }
    return expanded;
}

exit_code run_command_line(const config::ctl_settings& settings, std::span<const std::string> words,
                           std::ostream& output, std::ostream& errors)
{
    if (words.size() == 1 && words.front() == "help")
    {
        output << help_text();
        return exit_code::done;
    }
    try
    {
        const matched_command matched = match_command(words);
        admin_client client(client_settings_of(settings));
        command_context context{client, output, settings.m_json, settings.m_poll_interval};
        const command_result result = matched.m_command->m_run(context, matched.m_arguments);
        print(result, settings.m_json, output);
        return result.m_code;
    }
    catch (const ctl_error& failure)
    {
        print_failure(failure, settings.m_json, errors);
        return failure.code();
    }
}

} // namespace tarragontrail::ctl
