// Commands on the state of the fleet.
#include "tarragontrail/ctl/command_handlers.hpp"
#include "tarragontrail/ctl/output.hpp"

#include <fmt/core.h>

namespace tarragontrail::ctl {
namespace {

using nlohmann::json;

constexpr const char* status_target = "/admin/v1/status";

} // namespace

command_result show_status(command_context& context, command_arguments /*arguments*/)
{
    return {context.m_client.read(status_target), {}};
}

command_result show_fleet(command_context& context, command_arguments /*arguments*/)
{
    command_result result{json::array(), {}};
    result.m_code = exit_code::unreachable;
    const std::vector<std::string>& admins = context.m_client.admins();
    for (std::size_t admin = 0; admin < admins.size(); ++admin)
    {
        json row{{"admin", admins[admin]}};
        try
        {
            row["status"] = context.m_client.read_from(admin, status_target);
            result.m_text += fleet_line(admins[admin], row["status"]) + "\n";
            result.m_code = exit_code::done;
        }
        catch (const ctl_error& failure)
        {
            row["failure"] = failure.what();
            result.m_text += fmt::format("{} failure=\"{}\"\n", admins[admin], failure.what());
            // A refusal shows that an instance was reached; one good answer counts for more.
            if (failure.code() == exit_code::refused && result.m_code != exit_code::done)
            {
                result.m_code = exit_code::refused;
            }
        }
        result.m_document.push_back(std::move(row));
    }
    return result;
}

command_result list_quarantines(command_context& context, command_arguments /*arguments*/)
{
    const json quarantines = context.m_client.read(status_target).at("quarantines");
    return {quarantines, quarantines.empty() ? "no quarantines\n" : std::string()};
}

command_result clear_quarantine(command_context& context, command_arguments arguments)
{
    const std::uint64_t fingerprint = number_argument(arguments.front(), "fingerprint");
    const json answer =
        context.m_client.change(boost::beast::http::verb::delete_,
                                fmt::format("/admin/v1/quarantines/{}", fingerprint), {});
    return {answer, {}};
}

} // namespace tarragontrail::ctl
