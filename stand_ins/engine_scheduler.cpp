#include "stand_ins/engine_scheduler.hpp"

#include <cmath>

namespace tarragontrail::stand_ins {
namespace {

core::duration seconds_of(double seconds)
{
    return std::chrono::duration_cast<core::duration>(std::chrono::duration<double>(seconds));
}

} // namespace

nlohmann::json engine_counters::to_json() const
{
    const auto busy = std::chrono::duration_cast<std::chrono::milliseconds>(m_prefill_busy);
    return {{"requests", m_requests},
            {"completed", m_completed},
            {"cancelled", m_cancelled},
            {"prompt_tokens", m_prompt_tokens},
            {"cached_tokens", m_cached_tokens},
            {"computed_tokens", m_computed_tokens},
            {"recomputed_tokens", m_recomputed_tokens},
            {"generated_tokens", m_generated_tokens},
            {"max_running", m_max_running},
            {"prefill_busy_ms", busy.count()}};
}

engine_scheduler::engine_scheduler(boost::asio::io_context& context, const engine_speed& speed,
                                   block_cache& cache,
                                   std::function<void(const cache_change&)> on_change,
                                   std::function<void()> on_crash)
    : m_context(context), m_speed(speed), m_cache(cache), m_on_change(std::move(on_change)),
      m_on_crash(std::move(on_crash))
{}

void engine_scheduler::submit(const job_pointer& job)
{
    const chat_request& request = job->m_request;
    ++m_counters.m_requests;
    job->m_arrival = ++m_arrivals;
    const std::size_t cached = m_cache.count_prefix(request.m_blocks);
    job->m_uncached_tokens =
        request.m_prompt_tokens + request.m_resume_from - cached * load::block_tokens;
    m_waiting.emplace(queue_key(-request.m_priority, job->m_arrival), job);
    start_next();
}

bool engine_scheduler::cancel(const job_pointer& job)
{
    const queue_key key(-job->m_request.m_priority, job->m_arrival);
    const bool in_prefill = m_prefill == job;
    if (m_waiting.erase(key) + m_decoding.erase(job) + (in_prefill ? 1 : 0) == 0)
    {
        return false;
    }
    ++m_counters.m_cancelled;
    job->m_timer.cancel();
    if (in_prefill)
    {
        m_counters.m_prefill_busy += core::runtime_clock::now() - job->m_phase_start;
        m_prefill.reset();
    }
    start_next();
    return true;
}

std::size_t engine_scheduler::cancel(const std::string& id)
{
    std::vector<job_pointer> found;
    for (const auto& [key, job] : m_waiting)
    {
        if (job->m_request.m_id == id)
        {
            found.push_back(job);
        }
    }
    for (const job_pointer& job : m_decoding)
    {
        if (job->m_request.m_id == id)
        {
            found.push_back(job);
        }
    }
    if (m_prefill && m_prefill->m_request.m_id == id)
    {
        found.push_back(m_prefill);
    }
    for (const job_pointer& job : found)
    {
        cancel(job);
        job->m_response.abort();
    }
    return found.size();
}

void engine_scheduler::clear()
{
    std::vector<job_pointer> dropped(m_decoding.begin(), m_decoding.end());
    for (const auto& [key, job] : m_waiting)
    {
        dropped.push_back(job);
    }
    if (m_prefill)
    {
        dropped.push_back(m_prefill);
    }
    m_waiting.clear();
    m_decoding.clear();
    m_prefill.reset();
    for (const job_pointer& job : dropped)
    {
        job->m_timer.cancel();
        // An engine that crashes answers nothing more.
        job->m_response.abort();
    }
}

void engine_scheduler::set_paused(bool paused)
{
    m_paused = paused;
    start_next();
}

void engine_scheduler::set_hung(bool hung)
{
    m_hung = hung;
    start_next();
}

std::uint64_t engine_scheduler::queued_tokens() const
{
    std::uint64_t tokens = 0;
    for (const auto& [key, job] : m_waiting)
    {
        tokens += job->m_uncached_tokens;
    }
    if (!m_prefill)
    {
        return tokens;
    }
    const auto elapsed = core::runtime_clock::now() - m_prefill->m_phase_start;
    const double done =
        std::chrono::duration<double>(elapsed).count() * m_speed.m_prefill_tokens_per_s;
    const auto total = static_cast<double>(m_prefill->m_uncached_tokens);
    return tokens + static_cast<std::uint64_t>(std::max(0.0, total - done));
}

void engine_scheduler::start_next()
{
    const bool blocked = m_paused || m_hung || m_prefill || running() >= m_speed.m_batch;
    if (blocked || m_waiting.empty())
    {
        return;
    }
    const job_pointer job = m_waiting.begin()->second;
    m_waiting.erase(m_waiting.begin());
    start_prefill(job);
}

void engine_scheduler::start_prefill(const job_pointer& job)
{
    if (job->m_poisonous)
    {
        job->m_response.abort();
        m_on_crash();
        return;
    }
    m_prefill = job;
    m_counters.m_max_running = std::max(m_counters.m_max_running, running());
    const chat_request& request = job->m_request;
    const std::size_t cached = m_cache.use_prefix(request.m_blocks);
    job->m_cached_tokens = cached * load::block_tokens;
    job->m_uncached_tokens = request.m_prompt_tokens + request.m_resume_from - job->m_cached_tokens;
    count_recomputed(job, cached);
    job->m_phase_start = core::runtime_clock::now();
    job->m_timer.run_after(prefill_time(*job), [this, job] {
        if (m_prefill == job)
        {
            finish_prefill(job);
        }
    });
}

void engine_scheduler::finish_prefill(const job_pointer& job)
{
    const chat_request& request = job->m_request;
    const core::time_point now = core::runtime_clock::now();
    m_counters.m_prefill_busy += now - job->m_phase_start;
    m_prefill.reset();
    m_decoding.insert(job);
    m_on_change(m_cache.store(request.m_salt, request.m_blocks));
    job->m_phase_start = now;
    job->m_sent = std::min(request.m_resume_from, request.m_answer.size());
    decode(job);
    start_next();
}

void engine_scheduler::decode(const job_pointer& job)
{
    const chat_request& request = job->m_request;
    const std::uint64_t size = request.m_answer.size();

    // The first token comes with the end of prefill, the others at the common speed.
    if (!m_hung)
    {
        const auto elapsed = core::runtime_clock::now() - job->m_phase_start;
        const double generated =
            1 + std::chrono::duration<double>(elapsed).count() * m_speed.m_decode_tokens_per_s;
        const std::uint64_t due =
            std::min(size, request.m_resume_from + static_cast<std::uint64_t>(generated));
        if (due > job->m_sent)
        {
            job->m_response.send_tokens(request, job->m_sent, due);
            m_counters.m_generated_tokens += due - job->m_sent;
            job->m_sent = due;
        }
        if (job->m_sent >= size)
        {
            ++m_counters.m_completed;
            m_decoding.erase(job);
            job->m_response.finish(request, job->m_cached_tokens);
            start_next();
            return;
        }
    }
    const core::duration step = seconds_of(1 / m_speed.m_decode_tokens_per_s);
    job->m_timer.run_after(std::max<core::duration>(step, shortest_decode_step), [this, job] {
        if (m_decoding.contains(job))
        {
            decode(job);
        }
    });
}

void engine_scheduler::count_recomputed(const job_pointer& job, std::size_t cached_blocks)
{
    m_counters.m_prompt_tokens += job->m_request.m_prompt_tokens;
    m_counters.m_cached_tokens += job->m_cached_tokens;
    m_counters.m_computed_tokens += job->m_uncached_tokens;
    const std::vector<std::uint64_t>& blocks = job->m_request.m_blocks;
    for (std::size_t i = cached_blocks; i < blocks.size(); ++i)
    {
        if (!m_computed_before.insert(blocks[i]).second)
        {
            m_counters.m_recomputed_tokens += load::block_tokens;
        }
    }
}

core::duration engine_scheduler::prefill_time(const engine_job& job) const
{
    return seconds_of(static_cast<double>(job.m_uncached_tokens) / m_speed.m_prefill_tokens_per_s);
}

} // namespace tarragontrail::stand_ins
