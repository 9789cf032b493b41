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
    std::size_t m_max_buffered_chunks = 64;         ///< Maximum chunks buffered behind a gap.
    std::chrono::milliseconds m_gap_timeout{200};   ///< A gap that lasts longer triggers a resume.
    std::chrono::milliseconds m_read_timeout{5000}; ///< Silence after which the stream is resumed.
};

/// Piece of an answer as received from an upstream.
struct stream_chunk
{
    core::request_id m_request{};
    std::uint64_t m_attempt = 0;
    std::uint64_t m_offset = 0; ///< Offset of its first token in the whole answer.
    std::uint64_t m_tokens = 0; ///< Number of tokens.
    std::string m_text;
};

/// End marker of an answer, as received from an upstream.
struct stream_end
{
    core::request_id m_request{};
    std::uint64_t m_attempt = 0;
    std::uint64_t m_offset = 0; ///< Number of tokens of the whole answer.
};

/// Delivers the next piece to the caller; pieces are contiguous.
struct deliver
{
    std::uint64_t m_offset = 0; ///< Offset of its first token in the whole answer.
    std::uint64_t m_tokens = 0; ///< Number of tokens.
    std::string m_text;
};

/// Reports that the answer was delivered completely.
struct finished
{
    std::uint64_t m_tokens = 0; ///< Number of tokens of the whole answer.
};

/// Requests that the current attempt is ended and, if the retry budget allows, the next one is
/// started from an offset.
struct resume
{
    std::uint64_t m_attempt = 0;
    std::uint64_t m_from = 0; ///< Token offset to continue from.
};

/// Reports that the stream ended without the whole answer.
struct failed
{
    core::execution m_execution{}; ///< What is known about the request's execution.
    std::uint64_t m_delivered = 0; ///< Token offset from which the caller can resume.
};

/// Action that stream_tracker requests from the I/O layer.
using stream_action = std::variant<deliver, finished, resume, failed>;

/// Assembles one caller's stream from the attempts that produce it; delivers each token once and in
/// order.
class stream_tracker
{
public:
    /// Starts with attempt 1 at the token offset `from`, which is not zero if the caller resumes a
    /// stream.
    stream_tracker(stream_tracker_settings settings, core::request_id request, std::uint64_t from,
                   core::time_point deadline, core::time_point now);

    /// Messages from upstreams; messages of other requests or attempts are dropped.
    void on_chunk(const stream_chunk& chunk, core::time_point now);
    void on_end(const stream_end& end, core::time_point now);

    /// The connection or engine of an attempt was lost; `proven_not_run` if no byte was sent.
    void on_attempt_lost(std::uint64_t attempt, bool proven_not_run, core::time_point now);

    /// The requested resume was dispatched as this attempt.
    void on_attempt_started(std::uint64_t attempt, core::time_point now);

    /// The retry budget refused the requested resume.
    void on_retry_refused(core::time_point now);

    /// Handles the deadline, gap timeouts and read timeouts.
    void on_timer(core::time_point now);

    /// Time of the next on_timer() call, if any.
    std::optional<core::time_point> next_deadline() const;

    /// Returns the actions since the last call.
    std::vector<stream_action> take_actions();

    /// Whether the stream has finished or failed.
    bool closed() const noexcept { return m_is_closed; }

    /// Number of the current attempt.
    std::uint64_t attempt() const noexcept { return m_attempt; }

    /// Token offset after the delivered text.
    std::uint64_t delivered() const noexcept { return m_next_offset; }

    /// Number of chunks dropped because they belong to another request or attempt, or are
    /// duplicates.
    std::uint64_t dropped() const noexcept { return m_dropped; }

private:
    /// Chunk buffered behind a gap.
    struct buffered_chunk
    {
        std::uint64_t m_tokens = 0; ///< Number of tokens.
        std::string m_text;
    };

    bool is_current(core::request_id request, std::uint64_t attempt) const noexcept;
    void deliver_chunk(std::uint64_t offset, std::uint64_t tokens, const std::string& text);
    void deliver_buffered();
    void record_gap(core::time_point now);
    void check_end(core::time_point now);
    void start_resume(core::time_point now);
    void fail();

    stream_tracker_settings m_settings;
    core::request_id m_request;
    std::uint64_t m_attempt = 1; ///< Number of the current attempt.
    std::uint64_t m_next_offset;
    std::map<std::uint64_t, buffered_chunk> m_buffered; ///< Chunks behind a gap, by token offset.
    std::optional<std::uint64_t> m_end;          ///< Token offset of the end marker, once received.
    std::optional<core::time_point> m_gap_since; ///< When the current gap was detected.
    core::time_point m_last_received{}; ///< Last receipt from the current attempt, or its start.
    core::time_point m_deadline;        ///< The caller's deadline.
    bool m_is_resuming = false;         ///< A resume was requested and not yet dispatched.
    bool m_may_have_run = false;        ///< At least one attempt may have run.
    bool m_is_closed = false;
    std::uint64_t m_dropped = 0;
    std::vector<stream_action> m_actions; ///< Returned by the next take_actions().
};

} // namespace tarragontrail::recovery
