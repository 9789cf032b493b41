#pragma once

#include "tarragontrail/ctl/admin_client.hpp"
#include "tarragontrail/ctl/ctl_error.hpp"

#include <chrono>
#include <iosfwd>
#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <string_view>

namespace tarragontrail::ctl {

/// What a command works with.
struct command_context
{
    admin_client& m_client;                         ///< Administration API.
    std::ostream& m_output;                         ///< Receives progress while a command runs.
    bool m_json = false;                            ///< Answers as JSON.
    std::chrono::milliseconds m_poll_interval{500}; ///< Time between two looks.
};

/// Answer of a command.
struct command_result
{
    nlohmann::json m_document;          ///< Answer, shown with --json.
    std::string m_text;                 ///< Plain answer; when empty, made from the document.
    exit_code m_code = exit_code::done; ///< Exit code.
};

/// Words that follow a command's name.
using command_arguments = std::span<const std::string>;

/// One command of the table.
struct command
{
    std::string_view m_name;                                      ///< Its words.
    std::string_view m_arguments;                                 ///< Arguments as shown by help.
    std::size_t m_minimum = 0;                                    ///< Fewest arguments.
    std::size_t m_maximum = 0;                                    ///< Most arguments.
    command_result (*m_run)(command_context&, command_arguments); ///< Runs it.
    std::string_view m_help;                                      ///< Meaning.
};

/// Every command.
std::span<const command> commands();

/// Text that lists the commands.
std::string help_text();

/// Command that the words name, with its arguments.
struct matched_command
{
    const command* m_command = nullptr; ///< Command of the table.
    command_arguments m_arguments;      ///< Words after its name.
};

/// Finds the command; throws usage_error when there is none or the arguments do not fit.
matched_command match_command(std::span<const std::string> words);

/// Whole number of an argument; throws usage_error.
std::uint64_t number_argument(const std::string& text, const char* meaning);

/// Argument that goes into a request's path; throws usage_error on other characters.
const std::string& path_argument(const std::string& text, const char* meaning);

} // namespace tarragontrail::ctl
