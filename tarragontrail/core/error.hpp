#pragma once

#include <chrono>
#include <cstdint>
#include <stdexcept>
#include <string>

namespace tarragontrail::core {

/// What is known of a refused or failed request's execution at an upstream.
enum class execution
{
    not_run, ///< No upstream received the request.
    run,     ///< An upstream ran it.
    unknown, ///< It was dispatched and its outcome was not learned.
};

/// Text of an execution state as shown to callers.
constexpr const char* to_string(execution state) noexcept
{
    switch (state)
    {
    case execution::not_run:
        return "not run";
    case execution::run:
        return "run";
    case execution::unknown:
        return "unknown";
    }
    return "unknown";
}

/// Base of every failure that this project reports.
class error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace tarragontrail::core
