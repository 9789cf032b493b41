// Commands that edit the bundle in force and submit the result as a draft.
#include "tarragontrail/config/key_digest.hpp"
#include "tarragontrail/ctl/bundle_edit.hpp"
#include "tarragontrail/ctl/command_handlers.hpp"
#include "tarragontrail/net/http_types.hpp"

#include <fmt/core.h>

namespace tarragontrail::ctl {
namespace {

using nlohmann::json;

constexpr std::uint64_t default_priority = 5;

/// Fetches the bundle in force, edits it and submits the result as a draft.
template <class Edit>
command_result submit_edit(command_context& context, Edit edit)
{
    const json current = context.m_client.read("/admin/v1/bundle");
    json edited = current;
    edit(edited);
    const std::string text = finish_edit(current, std::move(edited));
    if (context.m_client.dry_run())
    {
        const json document = json::parse(text);
        return {document, document.dump(1) + "\n"};
    }
    return {context.m_client.change(boost::beast::http::verb::post, "/admin/v1/drafts", text), {}};
}

workspace_limit limit_of(const std::string& rate, const std::string& burst)
{
    return {number_argument(rate, "rate"), number_argument(burst, "burst")};
}

/// Splits ADDRESS:PORT into the entry; throws usage_error.
void set_endpoint(upstream_entry& entry, const std::string& text)
{
    try
    {
        const net::tcp::endpoint endpoint = net::parse_endpoint(text);
        entry.m_address = endpoint.address().to_string();
        entry.m_port = endpoint.port();
    }
    catch (const net::address_error& failure)
    {
        throw usage_error(failure.what());
    }
}

upstream_entry upstream_of(command_arguments arguments)
{
    constexpr std::size_t with_model = 7;
    constexpr std::size_t with_fence = 8;
    upstream_entry entry;
    entry.m_name = arguments[0];
    entry.m_kind = arguments[1];
    set_endpoint(entry, arguments[2]);
    entry.m_region = arguments[3];
    entry.m_failure_domain = arguments[4];
    const bool is_engine = entry.m_kind == "engine";
    if (!is_engine && entry.m_kind != "service")
    {
        throw usage_error(fmt::format("kind '{}' is neither engine nor service", entry.m_kind));
    }
    if (is_engine != (arguments.size() >= with_model))
    {
        throw usage_error("an engine needs MODEL and WEIGHTS_VERSION, a service has neither");
    }
    if (!is_engine)
    {
        return entry;
    }
    entry.m_model = arguments[5];
    entry.m_weights_version = arguments[6];
    entry.m_checks_fence = arguments.size() == with_fence;
    if (entry.m_checks_fence && arguments[7] != "checks-fence")
    {
        throw usage_error(fmt::format("'{}' is not checks-fence", arguments[7]));
    }
    return entry;
}

} // namespace

command_result edit_workspace_add(command_context& context, command_arguments arguments)
{
    constexpr std::size_t with_priority = 4;
    const workspace_limit limit = limit_of(arguments[1], arguments[2]);
    const std::uint64_t priority = arguments.size() == with_priority
                                       ? number_argument(arguments[3], "priority")
                                       : default_priority;
    return submit_edit(
        context, [&](json& document) { add_workspace(document, arguments[0], priority, limit); });
}

command_result edit_workspace_add_key(command_context& context, command_arguments arguments)
{
    // Only a digest is taken, so that no key can reach the bundle.
    config::sha256_digest digest{};
    if (!config::from_hex(arguments[1], digest))
    {
        throw usage_error("the digest is not a SHA-256 in lower-case hexadecimal");
    }
    return submit_edit(context,
                       [&](json& document) { add_key(document, arguments[0], arguments[1]); });
}

command_result edit_workspace_set_rate(command_context& context, command_arguments arguments)
{
    const workspace_limit limit = limit_of(arguments[1], arguments[2]);
    return submit_edit(context,
                       [&](json& document) { set_workspace_limit(document, arguments[0], limit); });
}

command_result edit_workspace_remove(command_context& context, command_arguments arguments)
{
    return submit_edit(context, [&](json& document) { remove_workspace(document, arguments[0]); });
}

command_result edit_route_open(command_context& context, command_arguments arguments)
{
    return submit_edit(context, [&](json& document) { open_route(document, arguments[0]); });
}

command_result edit_route_close(command_context& context, command_arguments arguments)
{
    return submit_edit(context, [&](json& document) { close_route(document, arguments[0]); });
}

command_result edit_upstream_add(command_context& context, command_arguments arguments)
{
    const upstream_entry entry = upstream_of(arguments);
    return submit_edit(context, [&](json& document) { add_upstream(document, entry); });
}

command_result edit_upstream_drain(command_context& context, command_arguments arguments)
{
    return submit_edit(context,
                       [&](json& document) { set_upstream_state(document, arguments[0], false); });
}

command_result edit_upstream_ready(command_context& context, command_arguments arguments)
{
    return submit_edit(context,
                       [&](json& document) { set_upstream_state(document, arguments[0], true); });
}

command_result edit_upstream_remove(command_context& context, command_arguments arguments)
{
    return submit_edit(context, [&](json& document) { remove_upstream(document, arguments[0]); });
}

} // namespace tarragontrail::ctl
