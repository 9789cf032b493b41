// Commands on the life of a bundle.
#include "tarragontrail/ctl/command_handlers.hpp"
#include "tarragontrail/ctl/rollout_watch.hpp"

#include <fmt/core.h>
#include <fstream>
#include <iterator>

namespace tarragontrail::ctl {
namespace {

using nlohmann::json;

constexpr auto post = boost::beast::http::verb::post;

std::string read_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
    {
        throw usage_error(fmt::format("cannot read the file {}", path));
    }
    return {std::istreambuf_iterator<char>(file), {}};
}

command_result move_draft(command_context& context, const std::string& draft, const char* step)
{
    const std::string target =
        fmt::format("/admin/v1/drafts/{}/{}", path_argument(draft, "draft"), step);
    return {context.m_client.change(post, target, "{}"), {}};
}

} // namespace

command_result get_bundle(command_context& context, command_arguments /*arguments*/)
{
    const json document = context.m_client.read("/admin/v1/bundle");
    return {document, document.dump(1) + "\n"};
}

command_result check_bundle_file(command_context& context, command_arguments arguments)
{
    return {context.m_client.ask("/admin/v1/bundles/check", read_file(arguments.front())), {}};
}

command_result submit_bundle_file(command_context& context, command_arguments arguments)
{
    return {context.m_client.change(post, "/admin/v1/drafts", read_file(arguments.front())), {}};
}

command_result review_draft(command_context& context, command_arguments arguments)
{
    return move_draft(context, arguments.front(), "review");
}

command_result sign_off_draft(command_context& context, command_arguments arguments)
{
    return move_draft(context, arguments.front(), "sign_off");
}

command_result roll_draft(command_context& context, command_arguments arguments)
{
    return move_draft(context, arguments.front(), "roll");
}

command_result advance_rollout(command_context& context, command_arguments arguments)
{
    const json body{{"version", number_argument(arguments[0], "version")},
                    {"from_step", number_argument(arguments[1], "step")}};
    return {context.m_client.change(post, "/admin/v1/rollout/advance", body.dump()), {}};
}

command_result show_bundle_status(command_context& context, command_arguments arguments)
{
    if (arguments.empty())
    {
        return {context.m_client.read("/admin/v1/head"), {}};
    }
    return {context.m_client.read("/admin/v1/drafts/" + path_argument(arguments.front(), "draft")),
            {}};
}

command_result watch_rollout(command_context& context, command_arguments /*arguments*/)
{
    return rollout_watch(context).run();
}

} // namespace tarragontrail::ctl
