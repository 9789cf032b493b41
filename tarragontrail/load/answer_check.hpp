#pragma once

#include "tarragontrail/load/answer_text.hpp"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace tarragontrail::load {

/// What is wrong with a streamed answer.
enum class answer_fault
{
    none,         ///< Whole, in order and its own.
    cut,          ///< Ended before its end marker or with tokens missing.
    out_of_order, ///< Tokens lost, doubled or swapped on the way.
    crossed,      ///< Belongs to another request.
    malformed,    ///< Not a stream of chat completion chunks.
    reported,     ///< The stream itself reports a failure.
};

/// Text of a fault for reports.
const char* to_string(answer_fault fault) noexcept;

/// Token counts that close an answer.
struct answer_usage
{
    std::uint64_t m_prompt_tokens = 0; ///< Tokens of the prompt.
    std::uint64_t m_cached_tokens = 0; ///< Of these, found in the engine's cache.
};

/// Compares a streamed answer with the expected one as it arrives.
class answer_check
{
public:
    explicit answer_check(const answer_text& expected);

    /// A piece of the stream has arrived.
    void on_bytes(std::string_view piece);

    /// The stream broke, or reported that it did; later pieces continue the answer on another one.
    void on_stream_lost();

    /// Verdict once the stream has ended.
    answer_fault verdict() const noexcept;

    /// Verdict on what has arrived so far.
    answer_fault fault() const noexcept { return m_fault; }

    /// Whole tokens received.
    std::uint64_t tokens() const noexcept { return m_tokens; }

    /// Tokens of the whole answer.
    std::uint64_t expected_tokens() const noexcept { return m_expected_tokens; }

    /// Counts told by the engine.
    const answer_usage& usage() const noexcept { return m_usage; }

    /// Kind of failure that the stream reported.
    const std::string& reported() const noexcept { return m_reported; }

private:
    void on_line(std::string_view line);
    void on_chunk(const nlohmann::json& chunk);
    void on_content(const std::string& content);
    void set_fault(answer_fault fault);

    std::string m_expected;                    ///< Whole text.
    std::uint64_t m_expected_tokens;           ///< Tokens of it.
    std::size_t m_received = 0;                ///< Bytes of it received.
    std::uint64_t m_tokens = 0;                ///< Tokens received.
    std::string m_buffer;                      ///< Bytes of an unfinished line.
    std::string m_id;                          ///< Identity that all chunks must share.
    std::string m_reported;                    ///< Kind of a reported failure.
    answer_usage m_usage;                      ///< Counts told at the end.
    answer_fault m_fault = answer_fault::none; ///< First fault found.
    bool m_finished = false;                   ///< Finish reason seen.
    bool m_done = false;                       ///< End marker seen.
};

} // namespace tarragontrail::load
