#pragma once

#include "stand_ins/block_cache.hpp"
#include "stand_ins/chat_request.hpp"
#include "tarragontrail/net/timer.hpp"

#include <map>
#include <set>
#include <unordered_set>

namespace tarragontrail::stand_ins {

/// Speeds and bounds of an engine.
struct engine_speed
{
    double m_prefill_tokens_per_s = 20'000; ///< Uncached prompt tokens, one prompt at a time.
    double m_decode_tokens_per_s = 50;      ///< Generated tokens of each running request.
    std::size_t m_batch = 32;               ///< Requests that run at once.
};

/// Work done since the start.
struct engine_counters
{
    std::uint64_t m_requests = 0;          ///< Requests submitted.
    std::uint64_t m_completed = 0;         ///< Requests answered whole.
    std::uint64_t m_cancelled = 0;         ///< Requests that their client gave up.
    std::uint64_t m_prompt_tokens = 0;     ///< Prompt tokens of requests that began.
    std::uint64_t m_cached_tokens = 0;     ///< Of these, found in the cache.
    std::uint64_t m_computed_tokens = 0;   ///< Tokens computed in prefill.
    std::uint64_t m_recomputed_tokens = 0; ///< Of these, in blocks that this engine had computed.
    std::uint64_t m_generated_tokens = 0;  ///< Answer tokens sent.
    std::size_t m_max_running = 0;         ///< Most requests running at once.
    core::duration m_prefill_busy{0};      ///< Time spent in prefill.

    /// Counts by name.
    nlohmann::json to_json() const;
};

/// One request in an engine and its answer.
struct engine_job
{
    engine_job(boost::asio::io_context& context, chat_request request, chat_response response)
        : m_request(std::move(request)), m_response(std::move(response)), m_timer(context)
    {}

    chat_request m_request;              ///< What is asked.
    chat_response m_response;            ///< Where the answer goes.
    net::timer m_timer;                  ///< End of prefill, then next tokens.
    std::uint64_t m_arrival = 0;         ///< Order of submission.
    std::uint64_t m_cached_tokens = 0;   ///< Prompt tokens found in the cache.
    std::uint64_t m_uncached_tokens = 0; ///< Tokens that prefill computes.
    std::uint64_t m_sent = 0;            ///< Index of the next token.
    core::time_point m_phase_start;      ///< Beginning of prefill, then of decode.
    bool m_poisonous = false;            ///< Crashes the engine when it begins.
    bool m_client_gone = false;          ///< The client left.
};

using job_pointer = std::shared_ptr<engine_job>;

/// Serial prefill by priority, then decoding of a batch at a common speed.
class engine_scheduler
{
public:
    /// `on_change` is told what each prefill does to the cache, `on_crash` of a poisonous request.
    engine_scheduler(boost::asio::io_context& context, const engine_speed& speed,
                     block_cache& cache, std::function<void(const cache_change&)> on_change,
                     std::function<void()> on_crash);

    /// Queues a request.
    void submit(const job_pointer& job);

    /// Drops a request; returns false when it is not here.
    bool cancel(const job_pointer& job);

    /// Drops all requests with an identity and their connections; returns their number.
    std::size_t cancel(const std::string& id);

    /// Forgets all requests.
    void clear();

    /// While paused, no prefill begins.
    void set_paused(bool paused);

    /// While hung, nothing begins and no token is sent.
    void set_hung(bool hung);

    /// Tokens waiting for prefill or under way in it.
    std::uint64_t queued_tokens() const;

    /// Requests in prefill or decode.
    std::size_t running() const noexcept { return m_decoding.size() + (m_prefill ? 1 : 0); }

    /// Requests waiting.
    std::size_t waiting() const noexcept { return m_waiting.size(); }

    /// Work done since the start.
    const engine_counters& counters() const noexcept { return m_counters; }

private:
    using queue_key = std::pair<std::int64_t, std::uint64_t>;

    void start_next();
    void start_prefill(const job_pointer& job);
    void finish_prefill(const job_pointer& job);
    void decode(const job_pointer& job);
    void count_recomputed(const job_pointer& job, std::size_t cached_blocks);
    core::duration prefill_time(const engine_job& job) const;

    static constexpr std::chrono::milliseconds shortest_decode_step{2};

    boost::asio::io_context& m_context;                   ///< Event loop.
    engine_speed m_speed;                                 ///< Speeds and bounds.
    block_cache& m_cache;                                 ///< Prefix cache.
    std::function<void(const cache_change&)> m_on_change; ///< Told of cache changes.
    std::function<void()> m_on_crash;                     ///< Told of a poisonous request.
    std::map<queue_key, job_pointer> m_waiting;           ///< By priority, then arrival.
    job_pointer m_prefill;                                ///< In prefill, or none.
    std::set<job_pointer> m_decoding;                     ///< Generating tokens.
    std::unordered_set<std::uint64_t> m_computed_before;  ///< Blocks computed since the start.
    engine_counters m_counters;                           ///< Work done.
    std::uint64_t m_arrivals = 0;                         ///< Requests numbered so far.
    bool m_paused = false;                                ///< No prefill begins.
    bool m_hung = false;                                  ///< Nothing moves.
};

} // namespace tarragontrail::stand_ins
