#include "stand_ins/platform_weights.hpp"

namespace tarragontrail::stand_ins {

platform_weights::platform_weights(boost::asio::io_context& context,
                                   std::chrono::milliseconds load_time)
    : m_timer(context), m_load_time(load_time), m_advanced_at(core::runtime_clock::now())
{}

void platform_weights::start_load(std::function<void()> on_done)
{
    advance();
    m_loads.push_back({m_load_time.count(), std::move(on_done)});
    ++m_total;
    m_max_concurrent = std::max(m_max_concurrent, m_loads.size());
    arm();
}

double platform_weights::rate() const
{
    return m_loads.size() <= full_rate_loads
               ? 1.0
               : static_cast<double>(full_rate_loads) / static_cast<double>(m_loads.size());
}

void platform_weights::advance()
{
    const core::time_point now = core::runtime_clock::now();
    const double elapsed_s = std::chrono::duration<double>(now - m_advanced_at).count() * rate();
    m_advanced_at = now;
    for (load& running : m_loads)
    {
        running.m_remaining_s -= elapsed_s;
    }
}

void platform_weights::arm()
{
    if (m_loads.empty())
    {
        return;
    }
    double shortest_s = m_loads.front().m_remaining_s;
    for (const load& running : m_loads)
    {
        shortest_s = std::min(shortest_s, running.m_remaining_s);
    }
    const std::chrono::duration<double> wait(std::max(0.0, shortest_s) / rate());
    m_timer.run_after(std::chrono::ceil<std::chrono::milliseconds>(wait), [this] {
        advance();
        std::list<load> finished;
        for (auto it = m_loads.begin(); it != m_loads.end();)
        {
            const auto next = std::next(it);
            if (it->m_remaining_s <= 0)
            {
                finished.splice(finished.end(), m_loads, it);
            }
            it = next;
        }
        arm();
        for (const load& done : finished)
        {
            done.m_on_done();
        }
    });
}

} // namespace tarragontrail::stand_ins
