#include "platform/engine_client.hpp"
#include "platform/store_client.hpp"
#include "unit_tests/platform/scripted_upstream.hpp"
#include "unit_tests/stand_ins/loop_client.hpp"

#include <atomic>
#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace tarragontrail;
using test::scripted_upstream;

/// Answers to the platform's own calls that have no end.
class endless_fetch_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(endless_fetch_test);
    CPPUNIT_TEST(report_without_end_is_given_up);
    CPPUNIT_TEST(cache_events_without_end_are_given_up);
    CPPUNIT_TEST(rows_without_end_are_given_up);
    CPPUNIT_TEST(rows_that_trickle_without_end_are_given_up);
    CPPUNIT_TEST_SUITE_END();

    test::loop_client m_loop;
    net::duty m_home{"home", 64};
    net::duty m_calls{"calls", 64};
    std::atomic<bool> m_told{false};   // the handler was called
    std::atomic<bool> m_failed{false}; // with no result

    std::unique_ptr<scripted_upstream> m_server;
    std::unique_ptr<platform::engine_client> m_engine_client;
    std::unique_ptr<platform::store_client> m_store_client;

    net::tcp::endpoint serve(std::size_t bytes)
    {
        m_server =
            std::make_unique<scripted_upstream>(m_loop.m_context, [bytes](const std::string&) {
                scripted_upstream::reply wanted{"HTTP/1.1 200 X\r\n\r\n"};
                wanted.m_endless = std::string(bytes, 'x');
                return wanted;
            });
        return net::make_endpoint("127.0.0.1", m_server->port());
    }

    void tell(bool failed)
    {
        m_failed = failed;
        m_told = true;
    }

    void check_given_up()
    {
        m_loop.run_until([this] { return m_told.load(); });
        CPPUNIT_ASSERT(m_failed);
        m_loop.run_until(
            [this] { return m_server->m_closed_by_client > 0 || m_server->m_overrun; });
        CPPUNIT_ASSERT(!m_server->m_overrun);
    }

    void read_rows(std::size_t bytes, platform::store_client_settings settings)
    {
        m_store_client =
            std::make_unique<platform::store_client>(m_calls, m_home, serve(bytes), settings);
        m_store_client->read(relay::followed_table::fleet,
                             [this](const relay::table_result& result) {
                                 tell(std::holds_alternative<relay::store_failure>(result));
                             });
        check_given_up();
    }

    static constexpr std::size_t piece_bytes = std::size_t{64} * 1024;

public:
    void setUp() override
    {
        m_engine_client = std::make_unique<platform::engine_client>(m_calls, m_home, "i");
        m_home.start();
        m_calls.start();
    }

    void tearDown() override
    {
        m_calls.stop();
        m_home.stop();
    }

    void report_without_end_is_given_up()
    {
        relay::upstream_record engine;
        engine.m_name = "e";
        engine.m_endpoint = serve(piece_bytes);
        m_engine_client->read_report(engine, "m",
                                     [this](const auto& report) { tell(!report.has_value()); });
        check_given_up();
    }

    void cache_events_without_end_are_given_up()
    {
        m_engine_client->follow_cache(serve(piece_bytes), 0, std::chrono::milliseconds(1),
                                      [this](const auto& events) { tell(!events.has_value()); });
        check_given_up();
    }

    void rows_without_end_are_given_up() { read_rows(piece_bytes, {}); }

    /// Each byte comes before the longest silence has passed.
    void rows_that_trickle_without_end_are_given_up()
    {
        platform::store_client_settings settings;
        settings.m_transfer = std::chrono::milliseconds(100);
        read_rows(1, settings);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(endless_fetch_test, "platform");
