#pragma once

#include <concepts>
#include <fmt/format.h>
#include <initializer_list>
#include <string>
#include <string_view>

namespace tarragontrail::observe {

/// One key and its value on a log line.
struct log_field
{
    /// Text value; quoted on the line when it has spaces.
    log_field(std::string_view key, std::string_view value) : m_key(key), m_value(value) {}
    log_field(std::string_view key, const std::string& value) : m_key(key), m_value(value) {}
    log_field(std::string_view key, const char* value) : m_key(key), m_value(value) {}

    /// Number or truth value.
    template <class Number>
    requires std::integral<Number> || std::floating_point<Number> log_field(std::string_view key,
                                                                            Number value)
        : m_key(key), m_value(fmt::format("{}", value))
    {}

    std::string_view m_key; ///< Name, a literal.
    std::string m_value;    ///< Value as text.
};

/// Writes one `event=... key=value ...` line: to the log writer while there is one, else to
/// standard error.
void log(std::string_view event, std::initializer_list<log_field> fields);

/// Names the process on every line that follows.
void set_log_name(std::string_view name);

} // namespace tarragontrail::observe
