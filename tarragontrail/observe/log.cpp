#include "tarragontrail/observe/log.hpp"

#include "tarragontrail/observe/log_writer.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fmt/chrono.h>
#include <mutex>

namespace tarragontrail::observe {
namespace {

std::string process_name;
std::mutex line_mutex;

/// Texts from outside may be of any length; a line stays readable.
constexpr std::size_t longest_value_bytes = 1024;

/// Whether a character may stand on a line as it is.
bool is_printable(char letter)
{
    return letter >= ' ' && letter <= '~';
}

bool needs_quotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" \"=") != std::string_view::npos ||
           !std::all_of(value.begin(), value.end(), is_printable);
}

void append_value(std::string& line, std::string_view value)
{
    const bool is_cut = value.size() > longest_value_bytes;
    value = value.substr(0, longest_value_bytes);
    if (!is_cut && !needs_quotes(value))
    {
        line.append(value);
        return;
    }
    line.push_back('"');
    for (const char letter : value)
    {
        if (letter == '"' || letter == '\\')
        {
            line.push_back('\\');
        }
        const char other = static_cast<unsigned char>(letter) < ' ' ? ' ' : '?';
        line.push_back(is_printable(letter) ? letter : other);
    }
    line.append(is_cut ? "...\"" : "\"");
}

} // namespace

void set_log_name(std::string_view name)
{
    process_name = name;
}

void log(std::string_view event, std::initializer_list<log_field> fields)
{
    const auto wall = std::chrono::system_clock::now();
    std::string line = fmt::format("time={:%Y-%m-%dT%H:%M:%S}Z",
                                   std::chrono::time_point_cast<std::chrono::milliseconds>(wall));
    line += fmt::format(" process={} event={}", process_name, event);
    for (const log_field& field : fields)
    {
        line.push_back(' ');
        line.append(field.m_key);
        line.push_back('=');
        append_value(line, field.m_value);
    }
    line.push_back('\n');

    // One write a line, so that lines of two threads never mix.
    const std::lock_guard lock(line_mutex);
    if (log_writer* writer = log_writer::current())
    {
        writer->append(std::move(line));
        return;
    }
    fmt::print(stderr, "{}", line);
}

} // namespace tarragontrail::observe
