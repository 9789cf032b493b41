#pragma once

#include "tarragontrail/core/error.hpp"

#include <span>
#include <string>
#include <string_view>

namespace tarragontrail::config {

/// A setting has a value that cannot be used.
class setting_error : public core::error
{
public:
    /// `setting` is the flag's name without dashes.
    setting_error(std::string_view setting, std::string_view value, std::string_view reason);

    /// Name of the setting at fault.
    const std::string& setting() const noexcept { return m_setting; }

private:
    std::string m_setting; ///< Flag's name without dashes.
};

/// One line of a program's help text.
struct setting_description
{
    const char* m_name;          ///< Flag's name without dashes.
    const char* m_kind;          ///< Kind of value.
    const char* m_default_value; ///< Default as text.
    const char* m_description;   ///< Meaning.
};

/// Head of a program's help text.
struct setting_page
{
    const char* m_program;     ///< Program's name.
    const char* m_description; ///< What the program does.
    const char* m_arguments;   ///< Words after the flags; empty when there are none.
};

/// Applies environment variables, then command-line flags, to the program's gflags.
///
/// Answers --help and --version itself and exits. Throws setting_error on a value of the wrong
/// kind and on an unknown flag.
void parse_settings(const setting_page& page, std::span<const setting_description> descriptions,
                    int& argc, char**& argv);

/// Throws setting_error unless minimum <= value <= maximum.
void check_range(std::string_view setting, double value, double minimum, double maximum);

/// Throws setting_error unless the value matches the ECMAScript regular expression.
void check_pattern(std::string_view setting, const std::string& value, const char* pattern);

} // namespace tarragontrail::config
