// Commands on callers' keys.
#include "tarragontrail/ctl/bundle_edit.hpp"
#include "tarragontrail/ctl/command_handlers.hpp"
#include "tarragontrail/ctl/key_issue.hpp"

#include <fmt/core.h>

namespace tarragontrail::ctl {
namespace {

using nlohmann::json;

/// Workspace that has the key in the bundle in force; empty when none has or nobody can tell.
std::string find_owner(admin_client& client, const std::string& digest)
{
    try
    {
        return workspace_of_key(client.read("/admin/v1/bundle"), digest);
    }
    catch (const ctl_error&)
    {
        return {};
    }
}

} // namespace

command_result issue_workspace_key(command_context& context, command_arguments arguments)
{
    // The bundle comes first, so that no key is shown for a workspace that does not exist.
    const std::string& workspace = arguments.front();
    const json bundle = context.m_client.read("/admin/v1/bundle");
    json entry = make_key_entry(bundle, workspace, {});
    const issued_key issued = issue_key();
    entry["sha256"] = issued.m_digest;
    const json document{{"workspace", workspace}, {"key", issued.m_key}, {"entry", entry}};
    std::string text = fmt::format("key: {}\nentry: {}\nIt works once the bundle has the entry: "
                                   "workspace add-key {} {}\n",
                                   issued.m_key, entry.dump(), workspace, issued.m_digest);
    return {document, std::move(text)};
}

command_result withdraw_key(command_context& context, command_arguments arguments)
{
    const std::string digest = digest_of(arguments.front());
    const json body{{"digest", digest}};
    json answer = context.m_client.change(boost::beast::http::verb::post, "/admin/v1/keys/withdraw",
                                          body.dump());
    const std::string owner = find_owner(context.m_client, digest);
    answer["digest"] = digest;
    // A mistyped digest is taken as well, so the operator is told whose key it was.
    answer["workspace"] = owner.empty() ? "none in the bundle in force" : owner;
    return {answer, {}};
}

} // namespace tarragontrail::ctl
