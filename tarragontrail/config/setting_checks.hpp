#pragma once

#include "tarragontrail/core/error.hpp"

#include <chrono>
#include <span>
#include <string>
#include <string_view>

namespace tarragontrail::config {

/// A setting is unknown or has an invalid value.
class setting_error : public core::error
{
public:
    /// `setting` is the flag's name without dashes.
    setting_error(std::string_view setting, std::string_view value, std::string_view reason);

    /// Name of the invalid setting.
    const std::string& setting() const noexcept { return m_setting; }

private:
    std::string m_setting; ///< Flag's name without dashes.
};

/// Description of one setting in a program's help text.
struct setting_description
{
    const char* m_name;          ///< Flag's name without dashes.
    const char* m_kind;          ///< Type of the value.
    const char* m_default_value; ///< Default value as text.
    const char* m_range;         ///< What the value must be.
    const char* m_description;
};

/// Header of a program's help text.
struct setting_page
{
    const char* m_program;     ///< Program's name.
    const char* m_description; ///< What the program does.
    const char* m_arguments;   ///< Positional arguments; empty if there are none.
};

/// Applies environment variables, then command-line flags, to the program's gflags.
///
/// Prints the output of --help and --version and exits. Throws setting_error on an unknown flag and
/// on a value of the wrong type. Removes the flags from `argv`.
void parse_settings(const setting_page& page, std::span<const setting_description> descriptions,
                    int& argc, char**& argv);

/// Throws setting_error unless minimum <= value <= maximum.
void check_range(std::string_view setting, double value, double minimum, double maximum);

/// Duration of a number of milliseconds, rounded to whole ones.
std::chrono::milliseconds rounded_milliseconds(double milliseconds);

/// Throws setting_error unless the value matches the ECMAScript regular expression.
void check_pattern(std::string_view setting, const std::string& value, const char* pattern);

} // namespace tarragontrail::config
