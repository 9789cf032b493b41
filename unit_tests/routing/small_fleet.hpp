#pragma once

#include "unit_tests/routing/router_fixture.hpp"

#include <variant>
#include <vector>

namespace router_fixture {

using namespace std::chrono_literals;

/// Router with local engines 1 to `count` and `far` remote ones, used for one request at a time.
class small_fleet
{
public:
    explicit small_fleet(std::uint64_t count, routing_settings settings = {}, std::uint64_t far = 0)
        : m_router(router_self, settings)
    {
        std::vector<engine_entry> engines;
        for (std::uint64_t id = 1; id <= count + far; ++id)
        {
            engines.push_back(make_engine(id, id <= count ? local_region : remote_region));
        }
        m_router.set_engines(engines, m_now);
    }

    /// Routes a prompt whose lookups all time out, and leaves it unfinished.
    routed route(const prompt& text, core::request_id id)
    {
        begin(text, id);
        m_now += 10ms;
        m_router.on_timer(m_now);
        return std::get<routed>(m_router.take_actions().back());
    }

    void begin(const prompt& text, core::request_id id)
    {
        m_router.begin({id,
                        text.m_identity,
                        text.m_chain,
                        text.m_chain.size() * tokens_per_piece,
                        50,
                        m_now + 60s,
                        {}},
                       m_now);
    }

    /// Routes, dispatches and finishes one request.
    routed complete(const prompt& text, core::request_id id)
    {
        const routed decision = route(text, id);
        m_router.on_dispatched(id, m_now);
        m_router.on_first_token(id, m_now);
        m_router.on_finished(id, 10, m_now);
        return decision;
    }

    void report(std::uint64_t engine, std::uint64_t queued_tokens)
    {
        m_router.on_load_report(core::upstream_id{engine},
                                {core::incarnation{1}, queued_tokens, 0, 8000, 100, m_now}, m_now);
    }

    router m_router;                               ///< Router under test.
    core::time_point m_now{std::chrono::hours(1)}; ///< Simulated time.
};

} // namespace router_fixture
