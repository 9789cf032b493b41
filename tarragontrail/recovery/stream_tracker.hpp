#pragma once

#include "tarragontrail/core/clock.hpp"
#include "tarragontrail/core/error.hpp"
#include "tarragontrail/core/ids.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace tarragontrail::recovery {

/// Settings of stream_tracker.
struct stream_tracker_settings
{
    std::size_t m_max_buffered_chunks = 64;         ///< Chunks held behind a gap.
    std::chrono::milliseconds m_gap_timeout{200};   ///< A gap that lasts longer leads to a resume.
    std::chrono::milliseconds m_read_timeout{5000}; ///< Silence that leads to a resume.
};

/// Piece of an answer as it came from an upstream.
struct stream_chunk
{
    core::request_id m_request{}; ///< Request that it answers.
    std::uint64_t m_attempt = 0;  ///< Attempt that produced it.
    std::uint64_t m_offset = 0;   ///< Token offset of its first token.
    std::uint64_t m_tokens = 0;   ///< Tokens in it.
    std::string m_text;           ///< Text.
};

/// End marker of an answer.
struct stream_end
{
    core::request_id m_request{}; ///< Request that it answers.
    std::uint64_t m_attempt = 0;  ///< Attempt that produced it.
    std::uint64_t m_offset = 0;   ///< Tokens of the whole answer.
};

/// Gives the caller the next piece; offsets follow on each other.
struct deliver
{
    std::uint64_t m_offset = 0; ///< Token offset of its first token.
    std::uint64_t m_tokens = 0; ///< Tokens in it.
    std::string m_text;         ///< Text.
};

/// The answer is complete.
struct finished
{
    std::uint64_t m_tokens = 0; ///< Tokens of the whole answer.
};

/// Asks the shell to end the attempt and, budget permitting, start the next one from an offset.
struct resume
{
    std::uint64_t m_attempt = 0; ///< Number of the attempt to start.
    std::uint64_t m_from = 0;    ///< Token offset to start from.
};

/// The stream ends without the whole answer.
struct failed
{
    core::execution m_execution{}; ///< What is known of the request's execution.
    std::uint64_t m_delivered = 0; ///< The caller can resume from this offset.
};

/// What stream_tracker asks of its shell.
using stream_action = std::variant<deliver, finished, resume, failed>;

/// One caller's stream over the attempts that produce it; delivers each token once and in order.
class stream_tracker
{
public:
    /// Starts with attempt 1 at an offset, which is not zero when the caller resumes.
    stream_tracker(stream_tracker_settings settings, core::request_id request, std::uint64_t from,
                   core::time_point deadline, core::time_point now);

    /// Messages of upstreams; those of other requests and attempts are dropped.
    void on_chunk(const stream_chunk& chunk, core::time_point now);
    void on_end(const stream_end& end, core::time_point now);

    /// The attempt's connection or engine was lost; `proven_not_run` when no byte was sent.
    void on_attempt_lost(std::uint64_t attempt, bool proven_not_run, core::time_point now);

    /// The resume that was asked for was dispatched as this attempt.
    void on_attempt_started(std::uint64_t attempt, core::time_point now);

    /// The retry budget refused the resume that was asked for.
    void on_retry_refused(core::time_point now);

    /// Handles deadline, gaps and silence.
    void on_timer(core::time_point now);

    /// When on_timer is wanted next.
    std::optional<core::time_point> next_deadline() const;

    /// Actions since the last call.
    std::vector<stream_action> take_actions();

    /// The stream finished or failed.
    bool closed() const noexcept { return m_is_closed; }

    /// Attempt that is waited for.
    std::uint64_t attempt() const noexcept { return m_attempt; }

    /// Token offset that follows the delivered text.
    std::uint64_t delivered() const noexcept { return m_next_offset; }

    /// Chunks dropped as they belong to another request or attempt, or came twice.
    std::uint64_t dropped() const noexcept { return m_dropped; }

private:
    /// Chunk held behind a gap.
    struct buffered_chunk
    {
        std::uint64_t m_tokens = 0; ///< Tokens in it.
        std::string m_text;         ///< Text.
    };

    bool is_current(core::request_id request, std::uint64_t attempt) const noexcept;
    void deliver_chunk(std::uint64_t offset, std::uint64_t tokens, const std::string& text);
    void deliver_buffered();
    void record_gap(core::time_point now);
    void check_end(core::time_point now);
    void start_resume(core::time_point now);
    void fail();

    stream_tracker_settings m_settings;                 ///< Settings.
    core::request_id m_request;                         ///< Request.
    std::uint64_t m_attempt = 1;                        ///< Attempt that is waited for.
    std::uint64_t m_next_offset;                        ///< Offset of the next token to deliver.
    std::map<std::uint64_t, buffered_chunk> m_buffered; ///< Chunks behind a gap, by offset.
    std::optional<std::uint64_t> m_end;                 ///< Offset of the end marker, when it came.
    std::optional<core::time_point> m_gap_since;        ///< When the present gap was first seen.
    core::time_point m_last_received{};                 ///< Last sign of life of the attempt.
    core::time_point m_deadline;                        ///< The caller's deadline.
    bool m_is_resuming = false;           ///< A resume was asked for, not yet dispatched.
    bool m_may_have_run = false;          ///< Some attempt may have run.
    bool m_is_closed = false;             ///< Finished or failed.
    std::uint64_t m_dropped = 0;          ///< Chunks dropped.
    std::vector<stream_action> m_actions; ///< Actions not yet taken.
};

} // namespace tarragontrail::recovery
