#include "unit_tests/crowds/crowd_fixture.hpp"
#include "unit_tests/crowds/crowd_scripts.hpp"
#include "unit_tests/processes/fleet_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace tarragontrail;
using namespace tarragontrail::test;

namespace {

/// Head of a completion, without framing and the empty line.
const std::string completion_head =
    "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer tt-court-1\r\n";

/// Longest body that a caller may send.
constexpr std::size_t body_limit_bytes = std::size_t{8} * 1024 * 1024;

/// Body that the administration takes.
constexpr std::size_t draft_bytes = std::size_t{4} * 1024 * 1024;

} // namespace

/// Clients that do not behave, at the ports of a tarragontrail-entry process.
class entry_crowd_test : public crowd_fixture
{
    CPPUNIT_TEST_SUITE(entry_crowd_test);
    CPPUNIT_TEST(trailers_without_end);
    CPPUNIT_TEST(large_bodies_that_stop_short_of_their_end);
    CPPUNIT_TEST(large_chunks_that_stop_short_of_their_end);
    CPPUNIT_TEST(tiny_chunks_that_stop_short_of_their_end);
    CPPUNIT_TEST(trailers_without_end_at_the_administration);
    CPPUNIT_TEST(large_bodies_at_the_administration);
    CPPUNIT_TEST(trailers_without_end_at_the_metrics_port);
    CPPUNIT_TEST(websocket_messages_without_end_at_the_peers_port);
    CPPUNIT_TEST(idle_connections_at_every_port);
    CPPUNIT_TEST_SUITE_END();

    /// Calls of the ordinary callers.
    class fleet : public fleet_fixture
    {
    public:
        using fleet_fixture::begin;
        using fleet_fixture::m_fleet;

        bool answers_request()
        {
            return is_complete(ask(0, completion_body("warm", 1, 2), m_court));
        }
    };

    std::unique_ptr<fleet> m_fleet;
    crowd_scripts m_completions{completion_head, body_limit_bytes};
    crowd_scripts m_drafts{"POST /admin/v1/drafts HTTP/1.1\r\nHost: a\r\n", draft_bytes};

public:
    void setUp() override
    {
        crowd_fixture::setUp();
        m_fleet = std::make_unique<fleet>();
        m_fleet->begin();
    }

    void tearDown() override { m_fleet.reset(); }

    void trailers_without_end() { expect_survival(callers(), 40, m_completions.endless_trailer()); }

    void large_bodies_that_stop_short_of_their_end()
    {
        expect_survival(callers(), 160, m_completions.large_body());
    }

    void large_chunks_that_stop_short_of_their_end()
    {
        expect_survival(callers(), 160, m_completions.large_chunks());
    }

    void tiny_chunks_that_stop_short_of_their_end()
    {
        expect_survival(callers(), 600, m_completions.tiny_chunks());
    }

    void trailers_without_end_at_the_administration()
    {
        expect_survival(admin(), 40, m_drafts.endless_trailer());
        CPPUNIT_ASSERT_EQUAL(
            200U, m_fleet->m_fleet->call("GET", m_fleet->m_fleet->admin(0), "/readyz").m_status);
    }

    void large_bodies_at_the_administration()
    {
        expect_survival(admin(), 160, m_drafts.large_body());
        CPPUNIT_ASSERT_EQUAL(
            200U, m_fleet->m_fleet->call("GET", m_fleet->m_fleet->admin(0), "/readyz").m_status);
    }

    void trailers_without_end_at_the_metrics_port()
    {
        expect_survival(port(3), 40, m_drafts.endless_trailer());
    }

    void websocket_messages_without_end_at_the_peers_port()
    {
        expect_survival(port(1), 200, crowd_scripts::large_websocket_message());
    }

    void idle_connections_at_every_port()
    {
        constexpr std::size_t clients = 1'600;
        crowd all;
        for (const std::uint16_t number : {0, 1, 2, 3})
        {
            all.add(port(number), clients, crowd_scripts::idle_connection());
        }
        expect_survival(all);
    }

protected:
    pid_t process() const override { return m_fleet->m_fleet->process_id("entry-1"); }
    bool answers_request() override { return m_fleet->answers_request(); }

private:
    net::tcp::endpoint callers() const { return port(0); }
    net::tcp::endpoint admin() const { return port(2); }

    /// Ports of an entry follow each other: callers, peers, administration, metrics.
    net::tcp::endpoint port(std::uint16_t number) const
    {
        net::tcp::endpoint endpoint = net::parse_endpoint(m_fleet->m_fleet->entry(0));
        endpoint.port(static_cast<std::uint16_t>(endpoint.port() + number));
        return endpoint;
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(entry_crowd_test, "crowds");
