#include "tarragontrail/net/http_server.hpp"
#include "unit_tests/stand_ins/loop_client.hpp"

#include <array>
#include <boost/asio/write.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <thread>

using namespace tarragontrail;
using namespace std::chrono_literals;

/// Connections that hold what a memory account allows, and as many as a listener takes. The clock
/// is paused.
class bounded_connections_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(bounded_connections_test);
    CPPUNIT_TEST(request_without_room_is_refused_and_not_handed_on);
    CPPUNIT_TEST(request_that_asks_to_go_on_without_room_is_dropped);
    CPPUNIT_TEST(request_that_holds_most_for_longest_yields_to_a_later_one);
    CPPUNIT_TEST(handled_request_does_not_yield);
    CPPUNIT_TEST(response_that_is_not_taken_yields);
    CPPUNIT_TEST(response_in_slices_arrives_whole);
    CPPUNIT_TEST(handler_that_finds_no_room_is_told_so);
    CPPUNIT_TEST(memory_is_given_back_when_clients_leave);
    CPPUNIT_TEST(longest_idle_connection_makes_room_for_another_one);
    CPPUNIT_TEST(handled_connection_makes_no_room);
    CPPUNIT_TEST(connection_whose_response_is_being_taken_makes_no_room);
    CPPUNIT_TEST(connection_that_takes_no_response_makes_room_after_a_while);
    CPPUNIT_TEST_SUITE_END();

    static constexpr unsigned no_memory_status = 503;
    static constexpr std::size_t account_bytes = 200'000;

    test::loop_client m_loop;
    boost::asio::io_context& m_context = m_loop.m_context;
    std::shared_ptr<net::memory_account> m_account =
        std::make_shared<net::memory_account>(account_bytes);
    std::unique_ptr<net::http_server> m_server;
    std::vector<std::shared_ptr<net::http_exchange>> m_taken; // each request that was handed on

    /// Client whose socket the test reads and writes by hand.
    struct client
    {
        explicit client(bounded_connections_test& test, int receive_bytes = 0)
            : m_test(test), m_socket(test.m_context)
        {
            m_socket.open(net::tcp::v4());
            if (receive_bytes > 0)
            {
                m_socket.set_option(boost::asio::socket_base::receive_buffer_size(receive_bytes));
            }
            m_socket.connect(net::make_endpoint("127.0.0.1", test.m_server->port()));
            test.run_what_is_due();
        }

        void send(const std::string& bytes)
        {
            boost::asio::write(m_socket, boost::asio::buffer(bytes));
            m_test.run_what_is_due();
        }

        /// Sends a request whose body has some bytes, and announces its length.
        void post(std::size_t bytes, std::size_t length)
        {
            send(fmt::format("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n{}", length,
                             std::string(bytes, 'x')));
        }

        void post() { post(1, 1); }

        /// All that arrives until the process sends nothing more; notes the end.
        std::string receive()
        {
            std::string all;
            std::array<char, 65'536> piece{};
            boost::system::error_code error;
            m_socket.non_blocking(true, error);
            for (int quiet = 0; quiet < 3 && !m_has_ended;)
            {
                m_test.run_what_is_due();
                const std::size_t size = m_socket.read_some(boost::asio::buffer(piece), error);
                all.append(piece.data(), size);
                quiet = size > 0 ? 0 : quiet + 1;
                m_has_ended = error && error != boost::asio::error::would_block;
            }
            return all;
        }

        bool has_ended()
        {
            receive();
            return m_has_ended;
        }

        bounded_connections_test& m_test;
        net::tcp::socket m_socket;
        bool m_has_ended = false;
    };

    void run_what_is_due()
    {
        m_context.restart();
        while (m_context.run_one_for(5ms) > 0)
        {}
    }

    void start(std::size_t connections = 100)
    {
        net::http_server_settings settings;
        settings.m_memory = m_account;
        settings.m_connection_limit = connections;
        m_server = std::make_unique<net::http_server>(
            m_context, net::tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0), settings,
            [this](const std::shared_ptr<net::http_exchange>& exchange) {
                m_taken.push_back(exchange);
            },
            [](net::request_fault fault) {
                return net::make_json_response(
                    fault == net::request_fault::no_memory ? no_memory_status : 400, "{}");
            });
    }

    static bool is_refused(const std::string& answer) { return answer.starts_with("HTTP/1.1 503"); }

public:
    void setUp() override { core::runtime_clock::pause(); }

    void tearDown() override
    {
        m_taken.clear();
        m_server.reset();
        core::runtime_clock::resume();
    }

    void request_without_room_is_refused_and_not_handed_on()
    {
        start();
        client large(*this);
        large.post(account_bytes, account_bytes);
        CPPUNIT_ASSERT(is_refused(large.receive()));
        CPPUNIT_ASSERT(m_taken.empty());
        constexpr std::size_t lingering_bytes = 8'000;
        CPPUNIT_ASSERT(m_account->held_bytes() < lingering_bytes);
    }

    void request_that_asks_to_go_on_without_room_is_dropped()
    {
        m_account = std::make_shared<net::memory_account>(10'000);
        start();
        client large(*this);
        std::string head = "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n";
        for (int i = 0; i < 200; ++i)
        {
            head += "a:\r\n";
        }
        large.send(head + "Expect: 100-continue\r\n\r\n");
        CPPUNIT_ASSERT(large.has_ended());
        CPPUNIT_ASSERT(m_taken.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_account->held_bytes());
    }

    void request_that_holds_most_for_longest_yields_to_a_later_one()
    {
        start();
        client first(*this);
        first.post(100'000, 100'001);
        core::runtime_clock::advance(1s);
        client second(*this);
        second.post(10'000, 10'001);
        core::runtime_clock::advance(1s);
        client third(*this);
        third.post(20'000, 20'000);
        CPPUNIT_ASSERT(is_refused(first.receive()));
        CPPUNIT_ASSERT(second.receive().empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_taken.size());
        second.send("x");
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_taken.size());
    }

    void handled_request_does_not_yield()
    {
        start();
        client first(*this);
        first.post(40'000, 40'000);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_taken.size());
        core::runtime_clock::advance(5s);
        client second(*this);
        second.post(60'000, 60'000);
        CPPUNIT_ASSERT(is_refused(second.receive()));
        m_taken.front()->respond(net::make_json_response(200, "first"));
        CPPUNIT_ASSERT(first.receive().ends_with("first"));
    }

    void response_that_is_not_taken_yields()
    {
        start();
        client first(*this, 2'048);
        first.post();
        m_taken.back()->begin_stream(net::make_json_response(200, ""));
        net::close_cause cause = net::close_cause::finished;
        m_taken.back()->on_client_gone([&cause](net::close_cause why) { cause = why; });
        // The system takes some of it before the server has to keep the rest.
        for (int i = 0; i < 100 && m_taken.back()->unsent_bytes() < 120'000; ++i)
        {
            m_taken.back()->write(std::string(100'000, 'x'));
            run_what_is_due();
        }
        core::runtime_clock::advance(2s);
        client second(*this);
        second.post(30'000, 30'000);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_taken.size());
        CPPUNIT_ASSERT(cause == net::close_cause::no_memory);
    }

    void response_in_slices_arrives_whole()
    {
        m_account = net::memory_account::unlimited();
        start();
        client slow(*this, 2'048);
        slow.post();
        m_taken.back()->begin_stream(net::make_json_response(200, ""));
        std::string body;
        for (int i = 0; i < 40; ++i)
        {
            const std::string piece = std::string(50'000, static_cast<char>('a' + i % 26));
            body += piece;
            m_taken.back()->write(piece);
        }
        m_taken.back()->end_stream();
        const std::string all = slow.receive();
        std::string received;
        std::size_t at = all.find("\r\n\r\n") + 4;
        for (;;)
        {
            const std::size_t line = all.find("\r\n", at);
            CPPUNIT_ASSERT(line != std::string::npos);
            const std::size_t size = std::stoull(all.substr(at, line - at), nullptr, 16);
            if (size == 0)
            {
                break;
            }
            received += all.substr(line + 2, size);
            at = line + 2 + size + 2;
        }
        CPPUNIT_ASSERT(body == received);
        constexpr std::size_t idle_bytes = 20'000;
        m_taken.clear();
        CPPUNIT_ASSERT_MESSAGE(std::to_string(m_account->held_bytes()),
                               m_account->held_bytes() < idle_bytes);
    }

    void handler_that_finds_no_room_is_told_so()
    {
        start();
        client first(*this);
        first.post();
        CPPUNIT_ASSERT(m_taken.back()->hold(50'000));
        CPPUNIT_ASSERT(!m_taken.back()->hold(account_bytes));
        const std::size_t held = m_account->held_bytes();
        CPPUNIT_ASSERT(m_taken.back()->hold(0));
        CPPUNIT_ASSERT_EQUAL(held - 50'000, m_account->held_bytes());
    }

    void memory_is_given_back_when_clients_leave()
    {
        start();
        {
            client first(*this);
            first.post(50'000, 50'001);
            client second(*this);
            second.post();
            CPPUNIT_ASSERT(m_account->held_bytes() > 50'000);
        }
        m_taken.clear();
        run_what_is_due();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_account->held_bytes());
    }

    void longest_idle_connection_makes_room_for_another_one()
    {
        start(2);
        client first(*this);
        first.post();
        m_taken.back()->respond(net::make_json_response(200, "one"));
        CPPUNIT_ASSERT(first.receive().ends_with("one"));
        core::runtime_clock::advance(1s);
        client second(*this);
        core::runtime_clock::advance(1s);
        client third(*this);
        third.post();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_taken.size());
        CPPUNIT_ASSERT(first.has_ended());
        CPPUNIT_ASSERT(!second.has_ended());
    }

    void handled_connection_makes_no_room()
    {
        start(1);
        client first(*this);
        first.post();
        core::runtime_clock::advance(5s);
        client second(*this);
        CPPUNIT_ASSERT(second.has_ended());
        m_taken.back()->respond(net::make_json_response(200, "one"));
        CPPUNIT_ASSERT(first.receive().ends_with("one"));
    }

    void connection_whose_response_is_being_taken_makes_no_room()
    {
        begin_unread_response();
        core::runtime_clock::advance(1s);
        client second(*this);
        CPPUNIT_ASSERT(second.has_ended());
    }

    void connection_that_takes_no_response_makes_room_after_a_while()
    {
        begin_unread_response();
        core::runtime_clock::advance(3s);
        client second(*this);
        second.post();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_taken.size());
    }

private:
    /// The only connection of the listener has a response that its client does not read.
    void begin_unread_response()
    {
        m_account = net::memory_account::unlimited();
        start(1);
        m_unread = std::make_unique<client>(*this, 2'048);
        m_unread->post();
        m_taken.back()->begin_stream(net::make_json_response(200, ""));
        for (int i = 0; i < 100 && m_taken.back()->unsent_bytes() < 1'000'000; ++i)
        {
            m_taken.back()->write(std::string(500'000, 'x'));
            run_what_is_due();
        }
        CPPUNIT_ASSERT(m_taken.back()->unsent_bytes() > 0);
    }

    std::unique_ptr<client> m_unread;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(bounded_connections_test, "net");
