#include "tarragontrail/core/random.hpp"
#include "tarragontrail/recovery/stream_tracker.hpp"

#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/core.h>
#include <map>
#include <rapidcheck.h>

using namespace tarragontrail;
using namespace tarragontrail::recovery;
using namespace std::chrono_literals;

namespace {

/// One stream whose attempts crash, and whose chunks are lost, duplicated, delayed, reordered and
/// mixed with those of other streams.
class stream_simulation
{
public:
    explicit stream_simulation(std::uint64_t seed)
        : m_random(seed), m_total(m_random.below(60)), m_loss(0.1 * m_random.unit())
    {
        for (std::uint64_t i = 0; i < m_total; ++i)
        {
            m_reference += fmt::format("{} ", i * 7919 % 10007);
            m_ends.push_back(m_reference.size());
        }
    }

    void run()
    {
        // The caller sometimes reconnects to another instance and resumes at its current offset.
        while (!m_finished)
        {
            m_id = core::request_id{core::value_of(m_id) + 1};
            stream_tracker tracker({}, m_id, m_delivered, m_now + 1h, m_now);
            produce(1, m_delivered);
            const std::uint64_t stays = m_random.below(400);
            for (std::uint64_t i = 0; i < stays && !tracker.closed(); ++i)
            {
                step(tracker);
            }
        }
        RC_ASSERT(m_text == m_reference);
    }

    std::uint64_t m_steps = 0; ///< Number of processed events.

private:
    std::string text(std::uint64_t from, std::uint64_t to) const
    {
        const std::size_t begin = from == 0 ? 0 : m_ends[from - 1];
        return to == 0 ? "" : m_reference.substr(begin, m_ends[to - 1] - begin);
    }

    /// Posts the messages of an attempt with faults, mixed with messages of another request and of
    /// the previous attempt.
    void produce(std::uint64_t attempt, std::uint64_t from)
    {
        const core::request_id id = m_id;
        const std::uint64_t crash = m_random.unit() < 0.4 ? m_random.below(m_total + 1) : m_total;
        for (std::uint64_t at = from; at < crash;)
        {
            const std::uint64_t to = std::min(crash, at + 1 + m_random.below(3));
            post_chunk({id, attempt, at, to - at, text(at, to)});
            post_chunk({core::request_id{0}, attempt, at, 1, "crossed"});
            post_chunk({id, attempt - 1, at, 1, "of the attempt before"});
            at = to;
        }
        if (crash == m_total)
        {
            post([=, this](stream_tracker& t) { t.on_end({id, attempt, m_total}, m_now); });
            return;
        }
        post([=, this](stream_tracker& t) {
            t.on_attempt_lost(id == m_id ? attempt : 0, false, m_now);
        });
    }

    void post_chunk(const stream_chunk& chunk)
    {
        post([=, this](stream_tracker& t) { t.on_chunk(chunk, m_now); });
    }

    template <class Event>
    void post(const Event& event)
    {
        m_clock += 1ms;
        const core::time_point when = m_clock + std::chrono::milliseconds(m_random.below(8));
        if (m_random.unit() >= m_loss)
        {
            m_in_flight.emplace(when, event);
        }
        if (m_random.unit() < 0.2)
        {
            m_in_flight.emplace(when + std::chrono::milliseconds(m_random.below(500)), event);
        }
    }

    void step(stream_tracker& tracker)
    {
        ++m_steps;
        const core::time_point due = tracker.next_deadline().value();
        if (!m_in_flight.empty() && m_in_flight.begin()->first <= due)
        {
            const auto node = m_in_flight.extract(m_in_flight.begin());
            m_now = std::max(m_now, node.key());
            node.mapped()(tracker);
        }
        else
        {
            m_now = std::max(m_now, due);
            tracker.on_timer(m_now);
        }
        m_clock = std::max(m_clock, m_now);
        for (const stream_action& action : tracker.take_actions())
        {
            std::visit([&](const auto& what) { execute_actions(tracker, what); }, action);
        }
    }

    void execute_actions(stream_tracker&, const deliver& what)
    {
        RC_ASSERT(what.m_offset == m_delivered);
        m_delivered += what.m_tokens;
        m_text += what.m_text;
    }
    void execute_actions(stream_tracker&, const finished& what)
    {
        RC_ASSERT(what.m_tokens == m_total);
        m_finished = true;
    }
    void execute_actions(stream_tracker& tracker, const resume& what)
    {
        RC_ASSERT(what.m_from == m_delivered);
        if (m_random.unit() < 0.1)
        {
            tracker.on_retry_refused(m_now);
            return;
        }
        tracker.on_attempt_started(what.m_attempt, m_now);
        produce(what.m_attempt, what.m_from);
    }
    void execute_actions(stream_tracker&, const failed& what)
    {
        RC_ASSERT(what.m_execution == core::execution::unknown);
        RC_ASSERT(what.m_delivered == m_delivered);
    }

    core::seeded_random m_random;    ///< Source of all randomness.
    std::uint64_t m_total;           ///< Number of tokens of the whole answer.
    double m_loss;                   ///< Probability that a message is lost.
    std::string m_reference;         ///< Text of the whole answer.
    std::vector<std::size_t> m_ends; ///< End offset of each token in m_reference.
    core::request_id m_id{100};      ///< Request id at the caller's current instance.
    std::string m_text;              ///< Text delivered to the caller.
    std::uint64_t m_delivered = 0;   ///< Number of tokens delivered to the caller.
    bool m_finished = false;         ///< The answer was reported as complete.
    core::time_point m_now{};
    core::time_point m_clock{}; ///< Time of the last post.
    /// Messages and their times of delivery.
    std::multimap<core::time_point, std::function<void(stream_tracker&)>> m_in_flight;
};

} // namespace

/// Streams over crashing attempts are delivered completely, in order and exactly once.
class stream_tracker_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(stream_tracker_test);
    CPPUNIT_TEST(delivered_text_equals_reference);
    CPPUNIT_TEST(refused_retry_of_work_never_sent_is_not_run);
    CPPUNIT_TEST_SUITE_END();

public:
    void delivered_text_equals_reference()
    {
        std::uint64_t steps = 0;
        CPPUNIT_ASSERT(rc::check("stream equals reference", [&] {
            const auto seed = *rc::gen::arbitrary<std::uint64_t>();
            for (std::uint64_t i = 0; i < 30; ++i)
            {
                stream_simulation world(seed + i);
                world.run();
                steps += world.m_steps;
            }
        }));
        fmt::print("stream_tracker_test: {} events\n", steps);
    }

    void refused_retry_of_work_never_sent_is_not_run()
    {
        const core::time_point now{};
        stream_tracker tracker({}, core::request_id{1}, 0, now + 1s, now);
        tracker.on_attempt_lost(1, true, now);
        tracker.on_retry_refused(now);
        const auto actions = tracker.take_actions();
        CPPUNIT_ASSERT(std::get<failed>(actions.at(1)).m_execution == core::execution::not_run);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(stream_tracker_test, "recovery");
