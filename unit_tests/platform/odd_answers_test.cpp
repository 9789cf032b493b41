#include "platform/store_client.hpp"
#include "tarragontrail/net/http_server.hpp"
#include "unit_tests/stand_ins/loop_client.hpp"

#include <atomic>
#include <boost/asio/ip/address_v4.hpp>
#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace tarragontrail;

/// Answers of the table store that are not what they should be.
class odd_answers_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(odd_answers_test);
    CPPUNIT_TEST(odd_row_costs_no_other_row);
    CPPUNIT_TEST(unreadable_answer_is_a_failure);
    CPPUNIT_TEST(next_page_is_asked_for_behind_any_key);
    CPPUNIT_TEST(repeated_page_ends_the_reading);
    CPPUNIT_TEST_SUITE_END();

    test::loop_client m_loop;
    std::vector<std::string> m_answers; // one after the other; the last one stays
    std::vector<std::string> m_targets;
    net::http_server m_server{
        m_loop.m_context,
        {boost::asio::ip::address_v4::loopback(), 0},
        {},
        [this](const std::shared_ptr<net::http_exchange>& exchange) {
            m_targets.emplace_back(net::target_of(exchange->request()));
            const std::size_t number = std::min(m_targets.size(), m_answers.size());
            exchange->respond(net::make_json_response(200, m_answers[number - 1]));
        },
        [](net::request_fault) { return net::make_json_response(400, "{}"); }};

    relay::table_result read()
    {
        net::duty home{"home", 64};
        net::duty calls{"calls", 64};
        platform::store_client client(calls, home,
                                      net::make_endpoint("127.0.0.1", m_server.port()));
        home.start();
        calls.start();
        relay::table_result read;
        std::atomic<bool> is_done = false;
        home.post([&] {
            client.read(relay::followed_table::upstreams, [&](const relay::table_result& result) {
                read = result;
                is_done = true;
            });
        });
        m_loop.run_until([&is_done] { return is_done.load(); });
        calls.stop();
        home.stop();
        return read;
    }

public:
    void odd_row_costs_no_other_row()
    {
        m_answers = {R"({"ver":9,"rows":[{"key":"a","ver":1,"value":"eA=="},7,[],{"ver":2},)"
                     R"({"key":1,"ver":2,"value":"eA=="},{"key":"b","ver":-1,"value":"eA=="},)"
                     R"({"key":"c","ver":3,"value":"!"},{"key":"d","ver":4,"value":[]},)"
                     R"({"key":"e","ver":5,"value":"eA==","deleted":"no"},)"
                     R"({"key":"f","ver":6,"value":"eA=="}]})"};
        const auto rows = std::get<relay::table_rows>(read()).m_rows;
        std::string seen;
        for (const relay::table_row& row : rows)
        {
            CPPUNIT_ASSERT(!row.m_deleted);
            seen += row.m_key + "=" + row.m_value + " ";
        }
        CPPUNIT_ASSERT_EQUAL(std::string("a=x b= c= d= e= f=x "), seen);
    }

    void unreadable_answer_is_a_failure()
    {
        const std::string deep = std::string(60'000, '[') + std::string(60'000, ']');
        for (const std::string& answer :
             {std::string("x"), std::string("[]"), std::string(R"({"ver":-1,"rows":[]})"),
              std::string(R"({"ver":1,"rows":{}})"), R"({"ver":1,"rows":[],"x":)" + deep + "}"})
        {
            m_answers = {answer};
            CPPUNIT_ASSERT(std::holds_alternative<relay::store_failure>(read()));
        }
    }

    void next_page_is_asked_for_behind_any_key()
    {
        m_answers = {R"({"ver":9,"rows":[{"key":"a &%","ver":1,"value":""}],"truncated":true})",
                     R"({"ver":9,"rows":[{"key":"b","ver":2,"value":""}]})"};
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, std::get<relay::table_rows>(read()).m_rows.size());
        CPPUNIT_ASSERT(m_targets.back().ends_with("from=a%20%26%25%00"));
    }

    void repeated_page_ends_the_reading()
    {
        m_answers = {R"({"ver":9,"rows":[{"key":"a","ver":1,"value":""}],"truncated":true})"};
        CPPUNIT_ASSERT(std::holds_alternative<relay::store_failure>(read()));
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(odd_answers_test, "platform");
