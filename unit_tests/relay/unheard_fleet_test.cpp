#include "unit_tests/relay/test_instance.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <memory>

using namespace tarragontrail;
using namespace tarragontrail::test;
using namespace std::chrono_literals;

/// What an instance concludes when it hears nobody any more.
class unheard_fleet_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(unheard_fleet_test);
    CPPUNIT_TEST(silence_alone_does_not_confirm_plans);
    CPPUNIT_TEST(message_that_waited_confirms_no_plans);
    CPPUNIT_TEST(instances_that_are_cut_off_together_confirm_no_plans);
    CPPUNIT_TEST(silent_instances_keep_their_share_of_the_retry_budget);
    CPPUNIT_TEST_SUITE_END();

    static constexpr const char* service = "s";

    boost::asio::io_context m_context;
    std::vector<std::unique_ptr<test_instance>> m_instances;

    /// Three instances that hear each other; the last one reads nothing from the store.
    void start_fleet(std::uint64_t first)
    {
        std::vector<table_row> rows;
        for (std::uint64_t i = 0; i < 3; ++i)
        {
            rows.push_back(test_instance::row_of(first + i, {0, 5 + i}));
            m_instances.push_back(std::make_unique<test_instance>(m_context, first + i));
        }
        for (const auto& each : m_instances)
        {
            each->m_service.start();
            each->answer_configuration(1, {0, 20});
            for (const followed_table table : {followed_table::upstreams, followed_table::fleet})
            {
                each->m_store.answer_read(
                    table,
                    table_rows{table == followed_table::fleet ? rows : std::vector<table_row>(),
                               {0, 20},
                               test_instance::store_time()});
            }
        }
        m_context.run_for(1'500ms);
        for (const followed_table table :
             {followed_table::operators, followed_table::upstreams, followed_table::fleet})
        {
            // The call that it began before it had heard the others.
            last().m_store.answer_follow(table,
                                         table_rows{{}, {0, 20}, test_instance::store_time()});
        }
        m_context.run_for(500ms);
        CPPUNIT_ASSERT(!last().m_store.m_follows[followed_table::fleet]);
    }

    test_instance& last() { return *m_instances.back(); }

    bool is_informed()
    {
        return last().m_state.m_stream_versions.is_informed(service, core::runtime_clock::now());
    }

    void know_plan()
    {
        last().m_state.m_stream_versions.set_plan(service, version_plan(1, {}),
                                                  core::runtime_clock::now());
    }

    /// Another instance that has no newer rows says so; the store has confirmed its configuration
    /// at a time.
    void hear(store_time sent, store_time confirmed)
    {
        wire::table_versions versions;
        versions.m_fleet = {{0, 20}, {0, 20}, {0, 20}};
        versions.m_configuration = 1;
        versions.m_confirmed = confirmed;
        versions.m_store_time = sent;
        static_cast<fleet_exchange_listener&>(last().m_service)
            .on_versions(core::instance_id{1}, versions, core::runtime_clock::now());
    }

    /// The last instance is cut off from the others.
    void lose_others()
    {
        m_instances.front().reset();
        m_instances[1].reset();
    }

public:
    void tearDown() override
    {
        m_context.stop();
        m_instances.clear();
    }

    /// Others may be there and change the plans; only the table store can tell.
    void silence_alone_does_not_confirm_plans()
    {
        start_fleet(64);
        last().m_state.m_stream_versions.set_plan(service, version_plan(1, {}),
                                                  core::runtime_clock::now());
        CPPUNIT_ASSERT(is_informed());
        lose_others();
        m_context.run_for(4s);
        CPPUNIT_ASSERT(!is_informed());
        last().m_store.answer_follow(followed_table::fleet,
                                     table_rows{{}, {0, 20}, test_instance::store_time()});
        m_context.run_for(500ms);
        CPPUNIT_ASSERT(is_informed());
    }

    /// It was sent before the receiver stood still, and read afterwards.
    void message_that_waited_confirms_no_plans()
    {
        start_fleet(70);
        lose_others();
        know_plan();
        m_context.run_for(4s);
        hear(test_instance::store_time() - 3s, test_instance::store_time() - 3s);
        CPPUNIT_ASSERT(!is_informed());
        hear(test_instance::store_time(), test_instance::store_time());
        CPPUNIT_ASSERT(is_informed());
    }

    /// None of them has reached the store for a while, and a member that is not heard may have.
    void instances_that_are_cut_off_together_confirm_no_plans()
    {
        start_fleet(73);
        lose_others();
        know_plan();
        m_context.run_for(4s);
        hear(test_instance::store_time(), test_instance::store_time() - 8s);
        CPPUNIT_ASSERT(!is_informed());
    }

    void silent_instances_keep_their_share_of_the_retry_budget()
    {
        start_fleet(67);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, last().m_state.m_sharing_instances);
        lose_others();
        m_context.run_for(4s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             last().m_service.registry().alive_count(core::runtime_clock::now()));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, last().m_state.m_sharing_instances);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(unheard_fleet_test, "relay");
