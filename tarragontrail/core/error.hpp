#pragma once

#include <chrono>
#include <cstdint>
#include <stdexcept>
#include <string>

namespace tarragontrail::core {

/// What is known about the execution of a refused or failed request at an upstream.
enum class execution
{
    not_run, ///< No upstream received the request.
    run,     ///< An upstream ran the request.
    unknown, ///< The request was dispatched, but its outcome is not known.
};

/// Text of an execution state in replies to callers.
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

/// Base class of all exceptions of this project.
class error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace tarragontrail::core
