#include "tarragontrail/ctl/command.hpp"

#include "tarragontrail/core/parse_number.hpp"
#include "tarragontrail/ctl/command_handlers.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <fmt/core.h>

namespace tarragontrail::ctl {
namespace {

constexpr std::size_t name_words = 2;
constexpr std::size_t most_upstream_arguments = 8;
constexpr std::size_t fewest_upstream_arguments = 5;

constexpr std::array command_table{
    command{"status", "", 0, 0, show_status, "state of the first instance that answers"},
    command{"fleet", "", 0, 0, show_fleet, "state of every instance of --admins, one line each"},
    command{"bundle get", "", 0, 0, get_bundle, "prints the bundle in force"},
    command{"bundle check", "FILE", 1, 1, check_bundle_file, "checks a document, changes nothing"},
    command{"bundle submit", "FILE", 1, 1, submit_bundle_file, "submits a document as a draft"},
    command{"bundle review", "DRAFT", 1, 1, review_draft, "approves a draft as its reviewer"},
    command{"bundle sign-off", "DRAFT", 1, 1, sign_off_draft, "approves a reviewed draft"},
    command{"bundle roll", "DRAFT", 1, 1, roll_draft, "makes a signed-off draft the head"},
    command{"bundle advance", "VERSION STEP", 2, 2, advance_rollout,
            "moves the roll-out of a version on from a step"},
    command{"bundle status", "[DRAFT]", 0, 1, show_bundle_status, "state of the head or a draft"},
    command{"bundle watch", "", 0, 0, watch_rollout, "waits until all have the head's version"},
    command{"key issue", "WORKSPACE", 1, 1, issue_workspace_key,
            "makes a key and its bundle entry, changes nothing"},
    command{"key withdraw", "DIGEST|KEY", 1, 1, withdraw_key, "withdraws a key at once"},
    command{"quarantine list", "", 0, 0, list_quarantines, "requests that are refused as harmful"},
    command{"quarantine clear", "FINGERPRINT", 1, 1, clear_quarantine, "lets a request run again"},
    command{"workspace add", "NAME RATE BURST [PRIORITY]", 3, 4, edit_workspace_add,
            "drafts a new workspace"},
    command{"workspace add-key", "NAME DIGEST", 2, 2, edit_workspace_add_key,
            "drafts a key, named by its SHA-256"},
    command{"workspace set-rate", "NAME RATE BURST", 3, 3, edit_workspace_set_rate,
            "drafts another rate and burst, in tokens a second and tokens"},
    command{"workspace remove", "NAME", 1, 1, edit_workspace_remove, "drafts a removal"},
    command{"route open", "PATH", 1, 1, edit_route_open, "drafts a path served without a key"},
    command{"route close", "PATH", 1, 1, edit_route_close, "drafts its end"},
    command{"upstream add",
            "NAME engine|service ADDRESS:PORT REGION FAILURE_DOMAIN [MODEL WEIGHTS_VERSION "
            "[checks-fence]]",
            fewest_upstream_arguments, most_upstream_arguments, edit_upstream_add,
            "drafts a new upstream"},
    command{"upstream drain", "NAME", 1, 1, edit_upstream_drain, "drafts: no new work for it"},
    command{"upstream ready", "NAME", 1, 1, edit_upstream_ready, "drafts: new work for it"},
    command{"upstream remove", "NAME", 1, 1, edit_upstream_remove, "drafts a removal"},
};

} // namespace

std::span<const command> commands()
{
    return command_table;
}

std::string help_text()
{
    std::string text = "Commands:\n";
    for (const command& each : command_table)
    {
        text += fmt::format("  {}{}{}\n      {}\n", each.m_name,
                            each.m_arguments.empty() ? "" : " ", each.m_arguments, each.m_help);
    }
    return text + "Settings: see --help\n";
}

matched_command match_command(std::span<const std::string> words)
{
    std::string name;
    for (std::size_t count = 1; count <= std::min(name_words, words.size()); ++count)
    {
        name += (count == 1 ? "" : " ") + words[count - 1];
        const auto found = std::find_if(command_table.begin(), command_table.end(),
                                        [&](const command& each) { return each.m_name == name; });
        if (found == command_table.end())
        {
            continue;
        }
        const command_arguments arguments = words.subspan(count);
        if (arguments.size() < found->m_minimum || arguments.size() > found->m_maximum)
        {
            throw usage_error(fmt::format("usage: {} {}", found->m_name, found->m_arguments));
        }
        return {&*found, arguments};
    }
    throw usage_error(words.empty() ? "no command; the command help lists them"
                                    : fmt::format("no command '{}'; help lists them", name));
}

std::uint64_t number_argument(const std::string& text, const char* meaning)
{
    const auto number = core::parse_number(text);
    if (!number)
    {
        throw usage_error(fmt::format("{} '{}' is not a whole number", meaning, text));
    }
    return *number;
}

const std::string& path_argument(const std::string& text, const char* meaning)
{
    const bool plain = std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '-' || c == '_';
    });
    if (text.empty() || !plain)
    {
        throw usage_error(
            fmt::format("{} '{}' has a character that it may not have", meaning, text));
    }
    return text;
}

} // namespace tarragontrail::ctl
