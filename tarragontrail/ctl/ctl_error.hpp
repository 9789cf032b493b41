#pragma once

#include "tarragontrail/core/error.hpp"

#include <string>

namespace tarragontrail::ctl {

/// Exit codes of the command line.
enum class exit_code
{
    done = 0,            ///< The command took effect, or its answer was printed.
    refused = 1,         ///< The instance refused it.
    usage = 2,           ///< A word, a file or a setting cannot be used; nothing was sent.
    unreachable = 3,     ///< No instance was reached; nothing was changed.
    outcome_unknown = 4, ///< A change was sent and may have taken effect.
};

/// Base of the command line's failures.
class ctl_error : public core::error
{
public:
    using core::error::error;

    /// Exit code that tells of the failure.
    virtual exit_code code() const noexcept = 0;
};

/// A word, a file or an edit cannot be used; nothing was sent.
class usage_error : public ctl_error
{
public:
    using ctl_error::ctl_error;
    exit_code code() const noexcept override { return exit_code::usage; }
};

/// The instance refused the command.
class refused_error : public ctl_error
{
public:
    /// `kind` is the problem's title, `detail` its text.
    refused_error(unsigned status, std::string kind, const std::string& detail)
        : ctl_error("refused: " + kind + ": " + detail), m_status(status), m_kind(std::move(kind))
    {}

    exit_code code() const noexcept override { return exit_code::refused; }

    /// HTTP status of the answer.
    unsigned status() const noexcept { return m_status; }

    /// Title of the problem.
    const std::string& kind() const noexcept { return m_kind; }

private:
    unsigned m_status;  ///< HTTP status of the answer.
    std::string m_kind; ///< Title of the problem.
};

/// No instance was reached; nothing was changed.
class unreachable_error : public ctl_error
{
public:
    using ctl_error::ctl_error;
    exit_code code() const noexcept override { return exit_code::unreachable; }
};

/// A change was sent and its outcome was not learned.
class outcome_unknown_error : public ctl_error
{
public:
    using ctl_error::ctl_error;
    exit_code code() const noexcept override { return exit_code::outcome_unknown; }
};

} // namespace tarragontrail::ctl
