#include "tarragontrail/relay/relay_service.hpp"
#include "unit_tests/relay/test_instance.hpp"
#include "unit_tests/stand_ins/loop_client.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <memory>

using namespace tarragontrail;
using namespace tarragontrail::relay;
using namespace tarragontrail::test;
using namespace std::chrono_literals;

/// Changes of the configuration on their way through a fleet, and what instances answer that cannot
/// know the newest one.
class configuration_age_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(configuration_age_test);
    CPPUNIT_TEST(change_is_decoded_once_however_often_it_comes);
    CPPUNIT_TEST(large_change_does_not_fill_the_link_of_the_instance_that_read_it);
    CPPUNIT_TEST(route_is_not_denied_by_a_configuration_of_unknown_age);
    CPPUNIT_TEST(route_is_not_denied_by_an_older_copy_of_another_instance);
    CPPUNIT_TEST(change_that_was_passed_on_to_others_only_is_asked_for);
    CPPUNIT_TEST_SUITE_END();

    loop_client m_loop;
    std::vector<std::unique_ptr<test_instance>> m_instances;
    std::vector<std::unique_ptr<relay_service>> m_relays;

    test_instance& add_instance()
    {
        m_instances.push_back(
            std::make_unique<test_instance>(m_loop.m_context, 20 + m_instances.size()));
        return *m_instances.back();
    }

    /// Rows of the first instances in the fleet's table.
    table_rows members(std::size_t count, const core::store_version& version) const
    {
        table_rows rows{{}, version, test_instance::store_time()};
        for (std::size_t i = 0; i < count; ++i)
        {
            rows.m_rows.push_back(m_instances[i]->row(version));
        }
        return rows;
    }

    /// Instances with the configuration 1 that know each other.
    void start_fleet(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
        {
            add_instance();
        }
        for (const auto& each : m_instances)
        {
            start(*each, count);
        }
        m_loop.run_until([&] {
            return std::all_of(m_instances.begin(), m_instances.end(), [&](const auto& each) {
                return each->m_service.registry().alive_count(core::runtime_clock::now()) == count;
            });
        });
        // Who reads the store is decided with the next checks.
        run_for(400ms);
    }

    void start(test_instance& instance, std::size_t known)
    {
        instance.m_service.start();
        instance.answer_configuration(1, {0, 20});
        instance.m_store.answer_read(followed_table::fleet, members(known, {0, 20}));
        instance.m_store.answer_read(followed_table::upstreams,
                                     table_rows{{}, {0, 20}, test_instance::store_time()});
    }

    void run_for(std::chrono::milliseconds time)
    {
        m_loop.m_context.restart();
        m_loop.m_context.run_for(time);
    }

    void write_configuration(test_instance& reader, std::uint64_t number,
                             const core::store_version& version, std::size_t routes)
    {
        reader.m_store.answer_follow(
            followed_table::operators,
            table_rows{{test_instance::configuration_row(number, version, routes)},
                       version,
                       test_instance::store_time()});
    }

    bool all_have(std::uint64_t number) const
    {
        return std::all_of(m_instances.begin(), m_instances.end(), [number](const auto& each) {
            return each->configuration_in_force() == number;
        });
    }

    /// Status of a request for a route that the configuration 1 does not have.
    unsigned ask(test_instance& instance)
    {
        if (m_relays.empty())
        {
            m_relays.push_back(std::make_unique<relay_service>(
                instance.m_state, net::tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0),
                listener_bounds{100}));
        }
        net::http_request message = net::make_request(boost::beast::http::verb::get, "/new/x");
        message.set("Host", "one.example");
        message.set("X-Request-Id", "r1");
        std::optional<net::http_client::fetch_result> result;
        net::call_settings settings;
        settings.m_fresh_connection = true;
        m_loop.m_client.fetch(
            net::make_endpoint("127.0.0.1", m_relays.front()->port()), std::move(message), settings,
            [&result](const net::http_client::fetch_result& value) { result = value; });
        m_loop.run_until([&result] { return result.has_value(); });
        return result->m_response.result_int();
    }

public:
    void tearDown() override
    {
        core::runtime_clock::resume();
        m_loop.m_context.stop();
        m_relays.clear();
        m_instances.clear();
    }

    /// Both instances that read the store pass it on, and the store's answer comes as well.
    void change_is_decoded_once_however_often_it_comes()
    {
        start_fleet(3);
        write_configuration(*m_instances[0], 2, {0, 21}, 10);
        write_configuration(*m_instances[1], 2, {0, 21}, 10);
        m_loop.run_until([this] { return all_have(2); });
        write_configuration(*m_instances[2], 2, {0, 21}, 10);
        run_for(1'500ms);
        for (const auto& each : m_instances)
        {
            CPPUNIT_ASSERT_EQUAL(2, each->m_decoder.m_operator_rows);
        }
    }

    /// A region of 37 instances behind links of 10 Mbit/s has a change within 4 s: 135 KB for each.
    void large_change_does_not_fill_the_link_of_the_instance_that_read_it()
    {
        constexpr std::uint64_t bytes_per_receiver = 10'000'000 / 8 * 4 / 37;
        start_fleet(6);
        const std::uint64_t before = m_instances[0]->m_service.peer_traffic().m_bytes_sent;
        write_configuration(*m_instances[0], 2, {0, 21}, 1'400);
        m_loop.run_until([this] { return all_have(2); });
        const std::uint64_t sent = m_instances[0]->m_service.peer_traffic().m_bytes_sent - before;
        CPPUNIT_ASSERT_LESS(bytes_per_receiver * 5, sent);
    }

    void route_is_not_denied_by_a_configuration_of_unknown_age()
    {
        core::runtime_clock::pause();
        start(add_instance(), 1);
        CPPUNIT_ASSERT_EQUAL(404U, ask(*m_instances[0]));
        // The store has not answered since, so that a newer one may be in force.
        core::runtime_clock::advance(10s);
        CPPUNIT_ASSERT_EQUAL(503U, ask(*m_instances[0]));
    }

    /// An instance starts beside one that has been cut off from the store for a while.
    void route_is_not_denied_by_an_older_copy_of_another_instance()
    {
        core::runtime_clock::pause();
        add_instance();
        add_instance();
        start(*m_instances[0], 2);
        core::runtime_clock::advance(10s);
        test_instance& started = *m_instances[1];
        started.m_service.start();
        started.m_store.answer_read(followed_table::fleet, members(2, {0, 20}));
        m_loop.run_until([&started] {
            core::runtime_clock::advance(2ms);
            return started.configuration_in_force() == 1;
        });
        CPPUNIT_ASSERT_EQUAL(503U, ask(started));
    }

    /// An instance that reads the store was ended while it passed a change on, and a later change
    /// comes.
    void change_that_was_passed_on_to_others_only_is_asked_for()
    {
        add_instance();
        add_instance();
        start(*m_instances[0], 1);
        start(*m_instances[1], 2);
        test_instance& reader = *m_instances[0];
        reader.m_store.answer_follow(followed_table::operators,
                                     table_rows{{{"version/m", R"({"model":"m","version":2})",
                                                  core::store_version{0, 25}, false}},
                                                {0, 25},
                                                test_instance::store_time()});
        reader.m_store.answer_follow(followed_table::fleet, members(2, {0, 26}));
        m_loop.run_until(
            [&reader] { return reader.m_service.peer_traffic().m_messages_received > 1; });
        m_loop.run_until(
            [&reader] { return reader.m_store.m_follows[followed_table::operators] != nullptr; });
        write_configuration(reader, 2, {0, 30}, 1);
        m_loop.run_until([this] { return all_have(2); });
        run_for(2s);
        CPPUNIT_ASSERT(m_instances[1]->m_state.m_target_weights.contains("m"));
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(configuration_age_test, "relay");
