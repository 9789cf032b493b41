#include "tarragontrail/recovery/part_attribution.hpp"

#include <algorithm>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace tarragontrail;
using namespace tarragontrail::recovery;
using namespace std::chrono_literals;

namespace {

/// One instance with a clock and numbered attempts.
class part_attribution_fixture
{
public:
    using parts = std::vector<std::uint64_t>;

    explicit part_attribution_fixture(std::uint64_t self = 1) : m_core({}, core::instance_id{self})
    {}

    attempt_id send(const parts& what, std::uint64_t engine)
    {
        const attempt_id id{++m_attempts};
        m_core.on_dispatched(id, what, core::upstream_id{engine}, m_now);
        return id;
    }

    void serve(const parts& what, std::uint64_t engine)
    {
        m_core.on_answer_begun(send(what, engine), m_now);
    }

    void crash(std::uint64_t engine)
    {
        m_core.on_engine_crashed(core::upstream_id{engine}, core::incarnation{++m_crashes}, m_now);
    }

    void report(std::uint64_t engine, std::uint64_t started, const parts& what)
    {
        m_core.on_crash_report(
            {core::instance_id{2}, core::upstream_id{engine}, core::incarnation{started}, what},
            m_now);
    }

    /// Advances the clock and runs the timer whenever it is due.
    void advance(core::duration time)
    {
        const core::time_point until = m_now + time;
        for (auto due = m_core.next_deadline(); due && *due <= until; due = m_core.next_deadline())
        {
            m_now = std::max(m_now, *due);
            m_core.on_timer(m_now);
        }
        m_now = until;
    }

    /// Sends a request to an engine that crashes, and waits until the next trial may start.
    void send_and_crash(const parts& what, std::uint64_t engine)
    {
        send(what, engine);
        crash(engine);
        advance(3s);
    }

    dispatch_verdict verdict(const parts& what, std::uint64_t engine = 99) const
    {
        return m_core.check(what, core::upstream_id{engine}, m_now);
    }
    bool is_allowed(const parts& what, std::uint64_t engine = 99) const
    {
        return verdict(what, engine) == dispatch_verdict::allowed;
    }
    bool is_held(const parts& what, std::uint64_t engine = 99) const
    {
        return verdict(what, engine) == dispatch_verdict::hold;
    }
    bool is_refused(const parts& what) const
    {
        return verdict(what) == dispatch_verdict::quarantined;
    }

    /// Messages of one kind since the last call; drops the others.
    template <class Message>
    std::vector<Message> sent()
    {
        std::vector<Message> found;
        for (const part_attribution_action& action : m_core.take_actions())
        {
            if (const auto* message = std::get_if<Message>(&action))
            {
                found.push_back(*message);
            }
        }
        return found;
    }

    part_attribution m_core;
    core::time_point m_now{core::time_point{} + 1h};

private:
    std::uint64_t m_attempts = 0;
    std::uint64_t m_crashes = 0;
};

} // namespace

/// Parts of prompts that crash engines are quarantined; other parts are served.
class part_attribution_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(part_attribution_test);
    CPPUNIT_TEST(requests_with_one_part_in_common_are_told_apart_by_that_part);
    CPPUNIT_TEST(parts_of_two_crashes_with_open_cases_are_not_refused);
    CPPUNIT_TEST(part_of_fewer_crashes_is_not_refused_before_one_of_more);
    CPPUNIT_TEST(shared_first_part_is_served_while_a_suspect_is_held);
    CPPUNIT_TEST(lost_failure_domain_convicts_no_part);
    CPPUNIT_TEST(crashes_of_other_parts_delay_a_conviction);
    CPPUNIT_TEST(popular_part_is_neither_held_nor_refused_before_its_next_answer);
    CPPUNIT_TEST(part_that_was_sound_before_is_found);
    CPPUNIT_TEST(restarted_instances_keep_refusing);
    CPPUNIT_TEST(parts_that_always_come_together_are_refused_together);
    CPPUNIT_TEST(late_report_does_not_suspect_a_cleared_part);
    CPPUNIT_TEST(notice_before_its_report_does_not_clear_a_part);
    CPPUNIT_TEST(two_requests_with_a_suspect_are_not_in_flight_at_once);
    CPPUNIT_TEST(trial_of_a_stopped_peer_ends);
    CPPUNIT_TEST(request_in_flight_at_the_first_crash_is_a_trial);
    CPPUNIT_TEST(two_suspects_do_not_share_an_engine);
    CPPUNIT_TEST(suspect_is_held_until_the_report_of_its_trial);
    CPPUNIT_TEST(lost_attempt_holds_its_parts_until_its_engine_answers);
    CPPUNIT_TEST(crash_known_seconds_after_a_lost_attempt_counts);
    CPPUNIT_TEST(sound_parts_of_a_report_are_answered_by_few_instances);
    CPPUNIT_TEST(conviction_waits_for_exonerations_under_way);
    CPPUNIT_TEST(instance_that_missed_a_quarantine_hears_of_it_again);
    CPPUNIT_TEST(begun_answer_lifts_a_quarantine_for_good);
    CPPUNIT_TEST(quarantine_ends_after_its_time);
    CPPUNIT_TEST(lost_messages_are_sent_again);
    CPPUNIT_TEST(memory_stays_bounded);
    CPPUNIT_TEST_SUITE_END();

    using instance = part_attribution_fixture;

public:
    void requests_with_one_part_in_common_are_told_apart_by_that_part()
    {
        instance here;
        here.serve({1}, 50);
        here.send_and_crash({1, 7}, 10);
        CPPUNIT_ASSERT(!here.is_refused({1, 7}));
        here.serve({1, 8}, 50);
        here.send_and_crash({1, 7}, 11);
        CPPUNIT_ASSERT(here.is_refused({1, 7}));
        CPPUNIT_ASSERT(here.is_refused({7, 9}));
        CPPUNIT_ASSERT(here.is_allowed({1, 9}));
    }

    void parts_of_two_crashes_with_open_cases_are_not_refused()
    {
        // Part 5 was in flight at the crashes of two deadly parts.
        instance here;
        here.send_and_crash({5, 7}, 10);
        here.send_and_crash({5, 8}, 11);
        CPPUNIT_ASSERT(!here.is_refused({5}));
        here.send_and_crash({7}, 12);
        here.send_and_crash({8}, 13);
        here.send_and_crash({7}, 14);
        here.send_and_crash({8}, 15);
        CPPUNIT_ASSERT(here.is_refused({7}));
        CPPUNIT_ASSERT(here.is_refused({8}));
        CPPUNIT_ASSERT(here.is_allowed({5}));
        CPPUNIT_ASSERT(!here.m_core.is_suspect(5));
    }

    void part_of_fewer_crashes_is_not_refused_before_one_of_more()
    {
        // Part 7 was in four crashes, the last of which waits for its evaluation; part 5 in three.
        instance here;
        here.send_and_crash({5, 7}, 10);
        here.send_and_crash({5, 6, 8}, 11);
        here.send_and_crash({6, 7, 8}, 12);
        here.send({5, 9}, 13);
        here.crash(13);
        here.advance(79ms);
        here.report(14, 90, {7});
        here.report(15, 91, {7});
        here.advance(2ms);
        CPPUNIT_ASSERT(!here.is_refused({5}));
    }

    void shared_first_part_is_served_while_a_suspect_is_held()
    {
        instance here;
        here.serve({1, 8}, 50);
        here.send({1, 7}, 10);
        here.crash(10);
        CPPUNIT_ASSERT(here.is_held({1, 7}));
        CPPUNIT_ASSERT(here.is_allowed({1, 9}));
        // A part without an answer so far is held until one begins.
        instance fresh;
        const attempt_id other = fresh.send({1, 9}, 50);
        fresh.send({1, 7}, 10);
        fresh.crash(10);
        CPPUNIT_ASSERT(fresh.is_held({1, 6}));
        fresh.m_core.on_answer_begun(other, fresh.m_now + 1ms);
        CPPUNIT_ASSERT(fresh.is_allowed({1, 6}));
        CPPUNIT_ASSERT(fresh.is_held({1, 7}));
    }

    void lost_failure_domain_convicts_no_part()
    {
        instance here;
        for (std::uint64_t round = 0; round < 4; ++round)
        {
            here.serve({1}, 50);
            for (std::uint64_t engine = 10; engine < 17; ++engine)
            {
                here.send({1, 100 + engine}, engine);
            }
            here.send({1, 5}, 10);
            for (std::uint64_t engine = 10; engine < 17; ++engine)
            {
                here.crash(engine);
            }
            CPPUNIT_ASSERT(here.is_allowed({5}));
            here.advance(500ms);
        }
        CPPUNIT_ASSERT(here.m_core.list(here.m_now).empty());
        here.serve({1}, 50);
        CPPUNIT_ASSERT(here.is_allowed({1, 5}));
    }

    void crashes_of_other_parts_delay_a_conviction()
    {
        // Each crash with part 5 has two others without it within 2 s.
        instance here;
        const auto crash_beside_others = [&](std::uint64_t engine) {
            for (std::uint64_t i = 0; i < 3; ++i)
            {
                here.send({i == 0 ? 5 : 100 * i + engine}, engine + i);
                here.crash(engine + i);
                here.advance(200ms);
            }
            here.advance(5s);
        };
        crash_beside_others(10);
        crash_beside_others(20);
        crash_beside_others(30);
        CPPUNIT_ASSERT(!here.is_refused({5}));
        // After four crashes it is convicted regardless.
        crash_beside_others(40);
        CPPUNIT_ASSERT(here.is_refused({5}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, here.m_core.list(here.m_now).size());
    }

    void popular_part_is_neither_held_nor_refused_before_its_next_answer()
    {
        instance here;
        here.serve({1}, 50);
        here.advance(100ms);
        for (std::uint64_t engine = 10; engine < 14; ++engine)
        {
            here.send({1, 100 + engine}, engine);
            here.crash(engine);
            CPPUNIT_ASSERT(here.is_allowed({1}));
            here.advance(60ms);
        }
        here.advance(300ms);
        CPPUNIT_ASSERT(!here.is_refused({1}));
        // Without an answer it is held like others.
        const attempt_id trial = here.send({1}, 50);
        CPPUNIT_ASSERT(here.is_held({1}));
        here.m_core.on_answer_begun(trial, here.m_now);
        here.advance(1s);
        CPPUNIT_ASSERT(here.is_allowed({1}));
    }

    void part_that_was_sound_before_is_found()
    {
        instance here;
        here.serve({1, 7}, 50);
        here.advance(1s);
        here.send_and_crash({1, 7}, 10);
        here.serve({1}, 50);
        const attempt_id other = here.send({1, 7}, 60);
        CPPUNIT_ASSERT(here.is_allowed({1, 7}));
        here.m_core.on_ended(other, here.m_now);
        here.send({1, 7}, 11);
        here.crash(11);
        CPPUNIT_ASSERT(here.is_held({7}));
        here.advance(2s);
        here.serve({1}, 50);
        CPPUNIT_ASSERT(!here.is_refused({7}));
        here.send_and_crash({1, 7}, 12);
        CPPUNIT_ASSERT(here.is_refused({7}));
    }

    void restarted_instances_keep_refusing()
    {
        instance before;
        before.send_and_crash({7}, 10);
        before.send_and_crash({7}, 11);
        const auto rows = before.m_core.list(before.m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, rows.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, rows.front().m_crashes.size());
        instance after;
        after.m_core.on_quarantine_notice(rows.front(), after.m_now);
        CPPUNIT_ASSERT(after.is_refused({1, 7}));
        // A late report of an explained crash suspects none of its other parts.
        after.report(11, 2, {5, 6});
        CPPUNIT_ASSERT(!after.m_core.is_suspect(5));
    }

    void parts_that_always_come_together_are_refused_together()
    {
        instance here;
        here.send_and_crash({7, 8}, 10);
        here.send_and_crash({7, 8}, 11);
        CPPUNIT_ASSERT(here.is_refused({7, 8}));
        CPPUNIT_ASSERT(!here.is_refused({7}));
        CPPUNIT_ASSERT(!here.is_refused({8, 9}));
        // One request with some of the parts at a time.
        const attempt_id trial = here.send({8, 9}, 12);
        CPPUNIT_ASSERT(here.is_held({8}));
        here.m_core.on_answer_begun(trial, here.m_now);
        CPPUNIT_ASSERT(here.is_allowed({8}));
        CPPUNIT_ASSERT(here.is_refused({7}));

        instance other;
        other.send_and_crash({7, 8}, 10);
        other.send_and_crash({7, 8}, 11);
        other.send_and_crash({7, 9}, 12);
        CPPUNIT_ASSERT(other.is_refused({7}));
        CPPUNIT_ASSERT(!other.is_refused({8}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, other.m_core.list(other.m_now).size());
    }

    void late_report_does_not_suspect_a_cleared_part()
    {
        instance here;
        here.report(10, 1, {5, 7});
        CPPUNIT_ASSERT(here.m_core.is_suspect(5));
        here.advance(500ms);
        here.serve({5}, 50);
        CPPUNIT_ASSERT(!here.m_core.is_suspect(5));
        here.advance(100ms);
        here.report(10, 1, {5, 7});
        CPPUNIT_ASSERT(!here.m_core.is_suspect(5));
        CPPUNIT_ASSERT(here.m_core.is_suspect(7));
        // Cleared by a peer.
        here.m_core.on_exoneration_notice({{7}, true}, here.m_now);
        here.report(10, 1, {5, 7});
        CPPUNIT_ASSERT(!here.m_core.is_suspect(7));
    }

    void notice_before_its_report_does_not_clear_a_part()
    {
        // The crash is known, and a peer tells that a part was sound before its report arrives.
        instance here;
        here.send({5}, 10);
        here.crash(10);
        here.m_core.on_exoneration_notice({{7}, false}, here.m_now + 1ms);
        here.report(10, 1, {7});
        CPPUNIT_ASSERT(here.m_core.is_suspect(7));
        here.advance(1s);
        for (const part_exoneration_notice& notice : here.sent<part_exoneration_notice>())
        {
            CPPUNIT_ASSERT(!notice.m_since_crashes);
        }
    }

    void two_requests_with_a_suspect_are_not_in_flight_at_once()
    {
        instance here;
        here.report(10, 1, {7});
        CPPUNIT_ASSERT(here.is_held({7}));
        here.advance(1s);
        CPPUNIT_ASSERT(here.is_allowed({7}));
        const attempt_id trial = here.send({7}, 11);
        CPPUNIT_ASSERT(here.is_held({7}));
        const auto notices = here.sent<part_trial_notice>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, notices.size());

        instance peer(3);
        peer.report(10, 1, {7});
        peer.advance(1s);
        peer.m_core.on_trial_notice(notices.front(), peer.m_now);
        CPPUNIT_ASSERT(peer.is_held({7}));
        CPPUNIT_ASSERT(peer.is_allowed({8}));
        here.m_core.on_answer_begun(trial, here.m_now);
        peer.m_core.on_exoneration_notice(here.sent<part_exoneration_notice>().at(0), peer.m_now);
        CPPUNIT_ASSERT(peer.is_allowed({7}));
    }

    void trial_of_a_stopped_peer_ends()
    {
        instance here;
        here.report(10, 1, {7});
        here.advance(1s);
        here.m_core.on_trial_notice({{7}, core::upstream_id{11}}, here.m_now);
        here.advance(1s);
        CPPUNIT_ASSERT(here.is_held({7}));
        here.m_core.on_trial_notice({{7}, core::upstream_id{11}}, here.m_now);
        here.advance(1s);
        CPPUNIT_ASSERT(here.is_held({7}));
        here.advance(1s);
        CPPUNIT_ASSERT(here.is_allowed({7}));
        // A trial in flight is announced again.
        here.sent<part_trial_notice>();
        here.send({7}, 12);
        here.advance(1100ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, here.sent<part_trial_notice>().size());
    }

    void request_in_flight_at_the_first_crash_is_a_trial()
    {
        instance here;
        here.send({1, 7}, 12);
        here.report(10, 1, {7});
        const auto notices = here.sent<part_trial_notice>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, notices.size());
        CPPUNIT_ASSERT(notices.front() == (part_trial_notice{{7}, core::upstream_id{12}}));
        here.advance(1s);
        CPPUNIT_ASSERT(here.is_held({7}));
    }

    void two_suspects_do_not_share_an_engine()
    {
        instance here;
        here.report(10, 1, {6, 7, 8});
        here.advance(1s);
        here.send({6}, 11);
        here.m_core.on_trial_notice({{8}, core::upstream_id{12}}, here.m_now);
        CPPUNIT_ASSERT(here.is_held({7}, 11));
        CPPUNIT_ASSERT(here.is_held({7}, 12));
        CPPUNIT_ASSERT(here.is_allowed({7}, 13));
        CPPUNIT_ASSERT(here.is_allowed({5}, 11));
    }

    void suspect_is_held_until_the_report_of_its_trial()
    {
        // The engine of a peer's trial crashed; others report before the peer does.
        instance here;
        here.report(10, 1, {7});
        here.advance(1s);
        here.m_core.on_trial_notice({{7}, core::upstream_id{11}}, here.m_now);
        here.report(11, 2, {5});
        here.advance(50ms);
        CPPUNIT_ASSERT(here.is_held({7}));
    }

    void lost_attempt_holds_its_parts_until_its_engine_answers()
    {
        instance here;
        here.serve({1}, 50);
        const attempt_id first = here.send({1, 7}, 10);
        here.m_core.on_attempt_lost(first, here.m_now);
        CPPUNIT_ASSERT(here.is_held({7}));
        CPPUNIT_ASSERT(here.is_allowed({1, 8}));
        here.m_core.on_engine_alive(core::upstream_id{10}, here.m_now);
        CPPUNIT_ASSERT(here.is_allowed({7}));

        here.m_core.on_attempt_lost(here.send({6}, 11), here.m_now);
        CPPUNIT_ASSERT(here.is_held({6}));
        here.advance(part_attribution_settings{}.m_lost_hold_time);
        CPPUNIT_ASSERT(here.is_allowed({6}));
    }

    void crash_known_seconds_after_a_lost_attempt_counts()
    {
        instance here;
        here.m_core.on_attempt_lost(here.send({7}, 10), here.m_now);
        here.m_core.on_attempt_lost(here.send({8}, 11), here.m_now);
        here.advance(3s);
        here.crash(10);
        CPPUNIT_ASSERT(here.m_core.is_suspect(7));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, here.sent<part_crash_report>().size());
        here.advance(part_attribution_settings{}.m_lost_attempt_lifetime);
        here.crash(11);
        CPPUNIT_ASSERT(!here.m_core.is_suspect(8));
    }

    void sound_parts_of_a_report_are_answered_by_few_instances()
    {
        // All instances know the part to be sound; answers take up to 8 ms.
        constexpr std::uint64_t instances = 380;
        const core::time_point now{core::time_point{} + 1h};
        std::vector<core::time_point> answers;
        for (std::uint64_t self = 3; self < 3 + instances; ++self)
        {
            instance here(self);
            here.serve({1}, 50);
            here.advance(1s);
            here.report(10, 1, {1, 7});
            for (auto due = here.m_core.next_deadline(); due; due = here.m_core.next_deadline())
            {
                here.m_core.on_timer(*due);
                const auto sent = here.sent<part_exoneration_notice>();
                if (!sent.empty())
                {
                    CPPUNIT_ASSERT(sent.front() == (part_exoneration_notice{{1}, false}));
                    answers.push_back(*due);
                    break;
                }
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{instances}, answers.size());
        std::sort(answers.begin(), answers.end());
        CPPUNIT_ASSERT(answers.back() <= now + 1s + part_attribution_settings{}.m_answer_window);
        const auto early = std::count_if(answers.begin(), answers.end(), [&](core::time_point at) {
            return at < answers.front() + 8ms;
        });
        CPPUNIT_ASSERT(early <= 20);

        // An instance that hears an answer in time sends none.
        instance here;
        here.serve({1}, 50);
        here.advance(1s);
        here.report(10, 1, {1, 7});
        here.m_core.on_exoneration_notice({{1}, false}, here.m_now);
        here.advance(1s);
        CPPUNIT_ASSERT(here.sent<part_exoneration_notice>().empty());
    }

    void conviction_waits_for_exonerations_under_way()
    {
        instance here;
        here.send_and_crash({7}, 10);
        here.send({7}, 11);
        here.crash(11);
        here.m_core.on_timer(here.m_now);
        CPPUNIT_ASSERT(!here.is_refused({7}));
        CPPUNIT_ASSERT(here.is_held({7}));
        here.m_core.on_exoneration_notice({{7}, true}, here.m_now + 20ms);
        here.advance(1s);
        CPPUNIT_ASSERT(!here.is_refused({7}));
    }

    void instance_that_missed_a_quarantine_hears_of_it_again()
    {
        instance here;
        here.send_and_crash({7}, 10);
        here.send_and_crash({7}, 11);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, here.sent<part_quarantine_notice>().size());
        here.report(12, 9, {5, 7});
        CPPUNIT_ASSERT(!here.m_core.is_suspect(5));
        here.advance(100ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, here.sent<part_quarantine_notice>().size());
    }

    void begun_answer_lifts_a_quarantine_for_good()
    {
        instance here;
        here.send_and_crash({7}, 10);
        here.send({7}, 11);
        const attempt_id sound = here.send({7}, 12);
        here.crash(11);
        here.advance(1s);
        const auto notices = here.sent<part_quarantine_notice>();
        CPPUNIT_ASSERT(here.is_refused({7}));
        here.m_core.on_answer_begun(sound, here.m_now);
        CPPUNIT_ASSERT(here.is_allowed({7}));
        CPPUNIT_ASSERT(here.sent<part_exoneration_notice>().front() ==
                       (part_exoneration_notice{{7}, true}));
        here.advance(1s);
        here.m_core.on_quarantine_notice(notices.front(), here.m_now);
        CPPUNIT_ASSERT(here.is_allowed({7}));
        // Later crashes of the part count anew.
        here.report(20, 90, {7});
        part_quarantine_notice later = notices.front();
        later.m_crashes.push_back({core::upstream_id{20}, core::incarnation{90}});
        here.m_core.on_quarantine_notice(later, here.m_now);
        CPPUNIT_ASSERT(here.is_refused({7}));
    }

    void quarantine_ends_after_its_time()
    {
        instance here;
        here.send_and_crash({7}, 10);
        here.send_and_crash({7}, 11);
        here.advance(29min);
        CPPUNIT_ASSERT(here.is_refused({7}));
        here.advance(1min);
        CPPUNIT_ASSERT(here.is_allowed({7}));
        CPPUNIT_ASSERT(here.m_core.list(here.m_now).empty());
    }

    void lost_messages_are_sent_again()
    {
        instance here;
        here.send({7}, 10);
        here.crash(10);
        here.advance(50ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, here.sent<part_crash_report>().size());
        here.advance(1s);
        here.serve({7}, 50);
        here.advance(50ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, here.sent<part_exoneration_notice>().size());
    }

    void memory_stays_bounded()
    {
        // 710 engines crash with 1,500 parts each, reported by an instance of 380.
        const part_attribution_settings settings;
        instance here;
        std::uint64_t part = 1000;
        for (std::uint64_t engine = 1; engine <= 710; ++engine)
        {
            here.m_core.on_attempt_lost(here.send({++part}, engine), here.m_now);
            here.m_core.on_attempt_lost(here.send({++part}, engine + 1000), here.m_now);
            part_attribution_fixture::parts reported(1500);
            std::generate(reported.begin(), reported.end(), [&] { return ++part; });
            here.report(engine, 1, reported);
            here.m_core.on_trial_notice({{part}, core::upstream_id{engine}}, here.m_now);
            here.m_core.on_quarantine_notice({{engine}, 1min, {}}, here.m_now);
            here.serve({++part}, 50);
        }
        for (std::uint64_t i = 0; i < settings.m_max_begins; ++i)
        {
            here.serve({++part}, 50);
        }
        const part_attribution_sizes sizes = here.m_core.sizes();
        CPPUNIT_ASSERT(sizes.m_crashes <= settings.m_max_crashes);
        CPPUNIT_ASSERT(sizes.m_suspects <= settings.m_max_crashes * settings.m_max_parts_per_crash);
        CPPUNIT_ASSERT(sizes.m_begins <= settings.m_max_begins);
        CPPUNIT_ASSERT(sizes.m_quarantines <= settings.m_max_quarantines);
        CPPUNIT_ASSERT(sizes.m_peer_trials <= settings.m_max_trials);
        CPPUNIT_ASSERT(sizes.m_attempts <= settings.m_max_lost_attempts);
        CPPUNIT_ASSERT(sizes.m_pending_messages <= 2 * settings.m_max_pending_messages);
        here.advance(settings.m_crash_lifetime);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, here.m_core.sizes().m_suspects);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, here.m_core.sizes().m_attempts);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(part_attribution_test, "recovery");
