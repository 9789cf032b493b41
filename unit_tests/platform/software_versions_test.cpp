#include "unit_tests/platform/relay_fixture.hpp"

#include <cppunit/TestAssert.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace tarragontrail;
using namespace tarragontrail::test;
using namespace std::chrono_literals;

/// Streams over upstreams of two software versions, whose events do not fit together.
class software_versions_test : public relay_fixture
{
    CPPUNIT_TEST_SUITE(software_versions_test);
    CPPUNIT_TEST(broken_stream_goes_on_at_its_own_version);
    CPPUNIT_TEST(broken_stream_without_its_version_is_broken_off);
    CPPUNIT_TEST(stream_that_is_taken_up_goes_on_at_its_own_version);
    CPPUNIT_TEST(take_up_is_not_sent_on_to_another_version);
    CPPUNIT_TEST(take_up_of_a_departed_version_is_refused_at_once);
    CPPUNIT_TEST(take_up_is_told_by_the_plan);
    CPPUNIT_TEST(take_up_that_waited_for_a_stopped_instance_is_old);
    CPPUNIT_TEST(take_up_with_a_fresh_deadline_is_old);
    CPPUNIT_TEST(version_told_by_the_plan_is_not_remembered);
    CPPUNIT_TEST(take_up_is_told_by_the_plan_that_the_store_holds);
    CPPUNIT_TEST(take_up_is_refused_where_nothing_confirms_the_plan_since_it_came);
    CPPUNIT_TEST(take_up_goes_on_where_instances_confirm_the_plan_since_it_came);
    CPPUNIT_TEST(plain_stream_may_begin_at_any_version);
    CPPUNIT_TEST_SUITE_END();

public:
    void broken_stream_goes_on_at_its_own_version()
    {
        configure(relay::request_kind::stream, true);
        add("v1", reply{events(1, 2), true}, [this] {
            add("v2", reply{events(3, 4) + end_of_chunks});
            add("v1", reply{events(3, 4) + end_of_chunks});
        });
        const auto result = send(request());
        CPPUNIT_ASSERT(result.m_ok);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_upstreams[1]->m_requests.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_upstreams[2]->m_requests.size());
    }

    void broken_stream_without_its_version_is_broken_off()
    {
        configure(relay::request_kind::stream, true);
        add("v1", reply{events(1, 2), true},
            [this] { add("v2", reply{events(3, 4) + end_of_chunks}); });
        CPPUNIT_ASSERT(!send(request()).m_ok);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_upstreams[1]->m_requests.size());
    }

    void stream_that_is_taken_up_goes_on_at_its_own_version()
    {
        configure(relay::request_kind::stream, true);
        add("v1", reply{events(1, 2), true});
        CPPUNIT_ASSERT(!send(request()).m_ok);
        // The upstream that is near, and so the cheapest, runs another version now.
        m_upstreams.front()->stop();
        add("v1", reply{whole_stream("r2")});
        m_state->m_upstreams.remove(core::id_of<core::upstream_id>("u1"),
                                    core::runtime_clock::now());
        m_state->m_upstreams.remove_departed({}, core::runtime_clock::now());
        add("v2", reply{whole_stream("r2")});
        set_record("v2", "here");
        const auto result = send(take_up("r1"));
        CPPUNIT_ASSERT_EQUAL(200U, result.m_response.result_int());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_upstreams[1]->m_requests.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_upstreams[2]->m_requests.size());
    }

    void take_up_is_not_sent_on_to_another_version()
    {
        configure(relay::request_kind::stream, true);
        add("v1", reply{events(1, 2), true});
        CPPUNIT_ASSERT(!send(request()).m_ok);
        add("v1", reply{refusal_of("r2")});
        add("v2", reply{whole_stream("r2")});
        m_upstreams.front()->stop();
        const auto result = send(take_up("r1"));
        CPPUNIT_ASSERT_EQUAL(503U, result.m_response.result_int());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_upstreams[2]->m_requests.size());
    }

    void take_up_of_a_departed_version_is_refused_at_once()
    {
        configure(relay::request_kind::stream, true);
        add("v1", reply{events(1, 2), true});
        CPPUNIT_ASSERT(!send(request()).m_ok);
        m_state->m_upstreams.remove(core::id_of<core::upstream_id>("u1"),
                                    core::runtime_clock::now());
        m_state->m_upstreams.remove_departed({}, core::runtime_clock::now());
        add("v2", reply{whole_stream("r2")});
        CPPUNIT_ASSERT_EQUAL(503U, send(take_up("r1")).m_response.result_int());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_upstreams[1]->m_requests.size());
    }

    void take_up_is_told_by_the_plan() { CPPUNIT_ASSERT_EQUAL(200U, status_of_take_up_after(0s)); }

    /// Its stream may have begun before the plan changed, which the instance reads beside it.
    void take_up_that_waited_for_a_stopped_instance_is_old()
    {
        CPPUNIT_ASSERT_EQUAL(503U, status_of_take_up_after(20s));
    }

    /// Its caller names the whole of its time with each try.
    void take_up_with_a_fresh_deadline_is_old()
    {
        CPPUNIT_ASSERT_EQUAL(503U, status_of_take_up_after(0s, 5s));
    }

    /// The instance that began the stream may tell another one yet.
    void version_told_by_the_plan_is_not_remembered()
    {
        CPPUNIT_ASSERT_EQUAL(200U, status_of_take_up_after(0s));
        const auto origin =
            m_state->m_stream_versions.origin("s", core::id_of<relay::stream_id>(std::string("r1")),
                                              {{"v2"}}, 1s, core::runtime_clock::now());
        CPPUNIT_ASSERT(origin.m_evidence == relay::version_evidence::plan);
    }

    /// The stream began by a plan that the instance has not read yet.
    void take_up_is_told_by_the_plan_that_the_store_holds()
    {
        m_plans.m_on_read = [this] {
            set_plan(3, "v2", "v1", 14s);
            return true;
        };
        m_state->m_plan_source = &m_plans;
        CPPUNIT_ASSERT_EQUAL(503U, status_of_take_up_after(0s));
        CPPUNIT_ASSERT_EQUAL(1, m_plans.m_reads);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_upstreams[0]->m_requests.size());
    }

    void take_up_is_refused_where_nothing_confirms_the_plan_since_it_came()
    {
        m_state->m_plan_source = &m_plans;
        CPPUNIT_ASSERT_EQUAL(503U, status_of_take_up_after(0s));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_upstreams[0]->m_requests.size());
    }

    void take_up_goes_on_where_instances_confirm_the_plan_since_it_came()
    {
        m_plans.m_confirms = true;
        m_state->m_plan_source = &m_plans;
        CPPUNIT_ASSERT_EQUAL(200U, status_of_take_up_after(0s));
    }

    void plain_stream_may_begin_at_any_version()
    {
        configure(relay::request_kind::stream);
        add("v1", reply{rejection()});
        add("v2", reply{events(1, 2) + end_of_chunks});
        CPPUNIT_ASSERT(send(request()).m_ok);
    }

private:
    /// Reads of the plans whose results the test supplies; the store does not answer by default.
    class scripted_plans : public relay::plan_source
    {
    public:
        void read_plans(std::function<void(bool)> handler) override
        {
            ++m_reads;
            handler(m_on_read && m_on_read());
        }

        bool do_all_confirm(core::time_point /*since*/) const override { return m_confirms; }

        std::function<bool()> m_on_read;
        bool m_confirms = false;
        int m_reads = 0;
    };

    scripted_plans m_plans;

    /// All slots have moved from one version to another some time ago.
    void set_plan(std::uint64_t number, const char* from, const char* to,
                  std::chrono::seconds since_move)
    {
        const core::time_point now = core::runtime_clock::now();
        relay::stream_versions& versions = m_state->m_stream_versions;
        const relay::store_time moved = *versions.store_time_at(now) - since_move;
        std::vector<relay::version_plan::assignment> assignments;
        for (std::uint64_t slot = 0; slot < relay::version_plan::slot_count; ++slot)
        {
            assignments.push_back({slot, {from}, relay::store_time::zero()});
            assignments.push_back({slot, {to}, moved});
        }
        versions.set_plan("s", relay::version_plan(number, assignments), now);
    }

    /// Status of the answer to a take-up that an instance reads after it has stood still. All slots
    /// have moved to the only version that is left, by default longer ago than callers wait.
    unsigned status_of_take_up_after(core::duration standstill,
                                     std::chrono::seconds since_move = 15s)
    {
        configure(relay::request_kind::stream, true);
        add("v2", reply{whole_stream("r2")});
        constexpr relay::store_time store_now = 1'000s;
        const core::time_point now = core::runtime_clock::now();
        relay::stream_versions& versions = m_state->m_stream_versions;
        versions.set_store_time(store_now, now);
        set_plan(2, "v1", "v2", since_move);
        versions.on_contact(now);
        m_state->m_standstill.on_check(core::suspension_counting_now() - standstill);
        return send(take_up("r1")).m_response.result_int();
    }

    /// Adds an upstream of a software version; only the first one is near. `on_first` runs when its
    /// first request arrives.
    void add(const char* version, const reply& answer, std::function<void()> on_first = nullptr)
    {
        add_upstream([answer, on_first](const std::string&) mutable {
            if (const auto hook = std::exchange(on_first, nullptr))
            {
                hook();
            }
            return answer;
        });
        set_record(version, m_upstreams.size() == 1 ? "here" : "there");
    }

    /// Sets version and failure domain of the upstream that was added last.
    void set_record(const char* version, const char* domain)
    {
        const std::string name = "u" + std::to_string(m_upstreams.size());
        const auto added = m_state->m_upstreams.find(core::id_of<core::upstream_id>(name));
        relay::upstream_record record = added->m_record;
        record.m_software = {version};
        record.m_failure_domain = domain;
        m_state->m_upstreams.apply(record, core::runtime_clock::now());
    }

    /// The caller takes its stream up under another id.
    static net::http_request take_up(const std::string& first_attempt)
    {
        net::http_request message = request();
        message.set("X-Request-Id", "r2");
        message.set("Resumes", first_attempt);
        message.set("Last-Event-Id", "2");
        return message;
    }

    /// Bytes of an answer to the request r1, as one to another request.
    static std::string renamed(std::string bytes, const std::string& id)
    {
        return bytes.replace(bytes.find("r1"), 2, id);
    }

    static std::string whole_stream(const std::string& id)
    {
        return renamed(events(3, 4), id) + end_of_chunks;
    }

    static std::string refusal_of(const std::string& id) { return renamed(rejection(), id); }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(software_versions_test, "platform");
