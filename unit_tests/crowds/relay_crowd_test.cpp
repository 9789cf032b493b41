#include "unit_tests/crowds/crowd_fixture.hpp"
#include "unit_tests/crowds/crowd_scripts.hpp"
#include "unit_tests/crowds/relay_machine.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace tarragontrail;
using namespace tarragontrail::test;

/// Clients that do not behave, at the ports of a tarragontrail-relay process.
class relay_crowd_test : public crowd_fixture
{
    CPPUNIT_TEST_SUITE(relay_crowd_test);
    CPPUNIT_TEST(trailers_without_end);
    CPPUNIT_TEST(trailer_lines_without_end);
    CPPUNIT_TEST(chunk_extensions_without_end);
    CPPUNIT_TEST(heads_without_end);
    CPPUNIT_TEST(heads_of_many_small_fields);
    CPPUNIT_TEST(large_bodies_that_stop_short_of_their_end);
    CPPUNIT_TEST(large_bodies_in_pieces_that_stop_short_of_their_end);
    CPPUNIT_TEST(large_chunks_that_stop_short_of_their_end);
    CPPUNIT_TEST(tiny_chunks_that_stop_short_of_their_end);
    CPPUNIT_TEST(last_chunks_in_pieces);
    CPPUNIT_TEST(answers_that_nobody_reads);
    CPPUNIT_TEST(pipelined_requests_whose_answers_nobody_reads);
    CPPUNIT_TEST(several_kinds_at_once);
    CPPUNIT_TEST(second_crowd_after_the_first);
    CPPUNIT_TEST(trailers_without_end_at_the_directory);
    CPPUNIT_TEST(trailers_without_end_at_the_readiness_port);
    CPPUNIT_TEST(trailers_without_end_at_the_metrics_port);
    CPPUNIT_TEST(large_bodies_at_the_port_of_other_instances);
    CPPUNIT_TEST(websocket_messages_without_end_at_the_peers_port);
    CPPUNIT_TEST(idle_connections_at_every_port);
    CPPUNIT_TEST(connections_that_send_one_byte);
    CPPUNIT_TEST(unread_answers_on_every_connection);
    CPPUNIT_TEST(several_kinds_at_a_small_machine);
    CPPUNIT_TEST(answers_that_nobody_reads_at_a_small_machine);
    CPPUNIT_TEST(heads_of_many_small_fields_at_a_small_machine);
    CPPUNIT_TEST(largest_request_is_served_at_a_small_machine);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<relay_machine> m_machine;
    crowd_scripts m_posts{relay_machine::request_head("POST", "/a/b")};
    crowd_scripts m_large_answers{relay_machine::request_head("GET", "/a/large")};

public:
    void setUp() override
    {
        crowd_fixture::setUp();
        m_machine = std::make_unique<relay_machine>();
    }

    void tearDown() override { m_machine.reset(); }

    void trailers_without_end()
    {
        expect_survival(m_machine->callers(), 40, m_posts.endless_trailer());
    }

    void trailer_lines_without_end()
    {
        expect_survival(m_machine->callers(), 40, m_posts.endless_trailer_line());
    }

    void chunk_extensions_without_end()
    {
        expect_survival(m_machine->callers(), 40, m_posts.endless_extension());
    }

    void heads_without_end() { expect_survival(m_machine->callers(), 200, m_posts.endless_head()); }

    void heads_of_many_small_fields()
    {
        expect_survival(m_machine->callers(), 1'400, m_posts.many_small_fields());
    }

    void large_bodies_that_stop_short_of_their_end()
    {
        expect_survival(m_machine->callers(), 160, m_posts.large_body());
    }

    void large_bodies_in_pieces_that_stop_short_of_their_end()
    {
        expect_survival(m_machine->callers(), 200, m_posts.slow_body());
    }

    void large_chunks_that_stop_short_of_their_end()
    {
        expect_survival(m_machine->callers(), 200, m_posts.large_chunks());
    }

    void tiny_chunks_that_stop_short_of_their_end()
    {
        expect_survival(m_machine->callers(), 600, m_posts.tiny_chunks());
    }

    void last_chunks_in_pieces()
    {
        expect_survival(m_machine->callers(), 8, m_posts.last_chunk_in_pieces());
    }

    void answers_that_nobody_reads()
    {
        expect_survival(m_machine->callers(), 800, m_large_answers.unread_answer());
    }

    void pipelined_requests_whose_answers_nobody_reads()
    {
        expect_survival(m_machine->callers(), 800, m_posts.pipelined_requests());
    }

    void several_kinds_at_once()
    {
        crowd all;
        add_several_kinds(all);
        expect_survival(all);
    }

    void connections_that_send_one_byte()
    {
        expect_survival(m_machine->callers(), 2'000, crowd_scripts::first_byte());
    }

    void unread_answers_on_every_connection()
    {
        expect_survival(m_machine->callers(), 2'000, m_large_answers.unread_answer());
    }

    void several_kinds_at_a_small_machine()
    {
        begin_small_machine();
        crowd all;
        add_several_kinds(all);
        expect_survival(all);
    }

    void answers_that_nobody_reads_at_a_small_machine()
    {
        begin_small_machine();
        expect_survival(m_machine->callers(), 400, m_large_answers.unread_answer());
    }

    void heads_of_many_small_fields_at_a_small_machine()
    {
        begin_small_machine();
        expect_survival(m_machine->callers(), 1'400, m_posts.many_small_fields());
    }

    void largest_request_is_served_at_a_small_machine()
    {
        begin_small_machine();
        constexpr std::size_t longest_body_bytes = std::size_t{4} * 1024 * 1024;
        CPPUNIT_ASSERT(m_machine->answers_request(std::string(longest_body_bytes, 'x')));
    }

    void second_crowd_after_the_first()
    {
        expect_survival(m_machine->callers(), 100, m_posts.large_chunks());
        expect_survival(m_machine->callers(), 100, m_posts.large_body());
        expect_survival(m_machine->callers(), 300, m_posts.tiny_chunks());
    }

    void trailers_without_end_at_the_directory()
    {
        expect_survival(m_machine->directory(), 40, m_posts.endless_trailer());
        CPPUNIT_ASSERT(m_machine->answers_get(m_machine->directory(),
                                              "/-/resolve?name=one.example&zone=zone-a"));
    }

    void trailers_without_end_at_the_readiness_port()
    {
        expect_survival(m_machine->readiness(), 40, m_posts.endless_trailer());
        CPPUNIT_ASSERT(m_machine->answers_get(m_machine->readiness(), "/-/ready"));
    }

    void trailers_without_end_at_the_metrics_port()
    {
        expect_survival(m_machine->metrics(), 40, m_posts.endless_trailer());
        CPPUNIT_ASSERT(m_machine->answers_get(m_machine->metrics(), "/metrics"));
    }

    void large_bodies_at_the_port_of_other_instances()
    {
        expect_survival(m_machine->passed_on(), 160, m_posts.large_body());
    }

    void websocket_messages_without_end_at_the_peers_port()
    {
        expect_survival(m_machine->peers(), 200, crowd_scripts::large_websocket_message());
    }

    void idle_connections_at_every_port()
    {
        constexpr std::size_t clients = 1'600;
        crowd all;
        for (const auto& endpoint :
             {m_machine->callers(), m_machine->directory(), m_machine->readiness(),
              m_machine->metrics(), m_machine->passed_on(), m_machine->peers()})
        {
            all.add(endpoint, clients, crowd_scripts::idle_connection());
        }
        expect_survival(all);
    }

private:
    /// The smallest machine of the deployments.
    void begin_small_machine()
    {
        m_machine.reset();
        m_machine_memory_bytes = 88'000'000;
        m_machine = std::make_unique<relay_machine>(caller_bounds{},
                                                    std::vector<std::string>{"--memory_mb=88"});
    }

    void add_several_kinds(crowd& all) const
    {
        all.add(m_machine->callers(), 40, m_posts.endless_trailer());
        all.add(m_machine->callers(), 80, m_posts.large_body());
        all.add(m_machine->callers(), 80, m_posts.slow_body());
        all.add(m_machine->callers(), 80, m_posts.large_chunks());
        all.add(m_machine->callers(), 200, m_posts.tiny_chunks());
        all.add(m_machine->callers(), 200, m_large_answers.unread_answer());
    }

protected:
    pid_t process() const override { return m_machine->process(); }
    bool answers_request() override { return m_machine->answers_request(); }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(relay_crowd_test, "crowds");
