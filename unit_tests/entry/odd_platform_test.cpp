#include "tarragontrail/entry/platform_client.hpp"
#include "tarragontrail/net/http_server.hpp"
#include "unit_tests/stand_ins/loop_client.hpp"

#include <atomic>
#include <boost/asio/ip/address_v4.hpp>
#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

using namespace tarragontrail;

/// Answers of the platform that are not what they should be.
class odd_platform_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(odd_platform_test);
    CPPUNIT_TEST(odd_rows_count_as_no_answer);
    CPPUNIT_TEST(odd_results_of_writes_count_as_no_answer);
    CPPUNIT_TEST(odd_lists_count_as_no_answer);
    CPPUNIT_TEST_SUITE_END();

    test::loop_client m_loop;
    unsigned m_status = 200;
    std::string m_answer;
    net::http_server m_server{
        m_loop.m_context,
        {boost::asio::ip::address_v4::loopback(), 0},
        {},
        [this](const std::shared_ptr<net::http_exchange>& exchange) {
            exchange->respond(net::make_json_response(m_status, m_answer));
        },
        [](net::request_fault) { return net::make_json_response(400, "{}"); }};

    /// Reply to one call; nothing when the answer counts as none.
    template <class Reply, class Call>
    std::optional<Reply> ask(const std::string& answer, Call call)
    {
        m_answer = answer;
        net::duty home{"home", 64};
        net::duty calls{"calls", 64};
        entry::platform_client client(calls, home, net::make_endpoint("127.0.0.1", m_server.port()),
                                      std::chrono::seconds(5));
        home.start();
        calls.start();
        std::optional<Reply> reply;
        std::atomic<bool> is_done{false};
        call(client, [&](const std::optional<Reply>& value) {
            reply = value;
            is_done = true;
        });
        m_loop.run_until([&is_done] { return is_done.load(); });
        calls.stop();
        home.stop();
        return reply;
    }

    static std::string deep()
    {
        constexpr std::size_t depth = 60'000;
        return std::string(depth, '[') + std::string(depth, ']');
    }

public:
    void odd_rows_count_as_no_answer()
    {
        const auto read = [this](const std::string& answer) {
            return ask<idempotency::read_result>(
                answer, [](auto& client, auto handler) { client.read("t", "k", false, handler); });
        };
        const auto list = [this](const std::string& answer) {
            return ask<std::vector<entry::platform_row>>(
                answer, [](auto& client, auto handler) { client.list_rows("t", handler); });
        };
        CPPUNIT_ASSERT(read(R"({"version":3,"value":"x"})"));
        CPPUNIT_ASSERT(list(R"({"rows":[{"key":"k","version":3,"value":"x"}]})"));
        for (const std::string& odd :
             {std::string(R"({"version":-1,"value":"x"})"), std::string(R"({"version":1.5})"),
              std::string(R"({"version":1e300})"), std::string(R"({"version":3,"value":7})"),
              std::string(R"({"value":"x"})"), std::string("[]"), std::string("7"),
              std::string("{"), deep(), R"({"version":3,"value":"x","y":)" + deep() + "}"})
        {
            CPPUNIT_ASSERT_MESSAGE(fmt::format("{:.60}", odd), !read(odd));
            CPPUNIT_ASSERT_MESSAGE(fmt::format("{:.60}", odd), !list(R"({"rows":[)" + odd + "]}"));
        }
        CPPUNIT_ASSERT(!list(R"({"rows":{"key":"k","version":3,"value":"x"}})"));
    }

    void odd_results_of_writes_count_as_no_answer()
    {
        const auto write = [this](const std::string& answer) {
            return ask<idempotency::write_result>(answer, [](auto& client, auto handler) {
                client.write({{"t", "k", 0, "x"}}, handler);
            });
        };
        CPPUNIT_ASSERT(write(R"({"versions":[4]})"));
        for (const char* odd :
             {R"({"versions":[]})", R"({"versions":[4,5]})", R"({"versions":[-4]})",
              R"({"versions":[1.5]})", R"({"versions":4})", R"({"versions":{"a":4}})", "{}", "[]"})
        {
            CPPUNIT_ASSERT_MESSAGE(odd, !write(odd));
        }
        m_status = 409;
        CPPUNIT_ASSERT(write(R"({"failed":0,"version":3,"value":"x"})"));
        for (const char* odd : {R"({"failed":1,"version":3})", R"({"failed":-1,"version":3})",
                                R"({"failed":1e300,"version":3})", R"({"version":3})"})
        {
            CPPUNIT_ASSERT_MESSAGE(odd, !write(odd));
        }
    }

    void odd_lists_count_as_no_answer()
    {
        const auto list = [this](const std::string& item) {
            return ask<std::vector<membership::listed_instance>>(
                R"({"instances":[)" + item + "]}",
                [](auto& client, auto handler) { client.list_instances(handler); });
        };
        CPPUNIT_ASSERT(list(R"({"name":"a","peer_port":65535})"));
        for (const char* odd :
             {R"({"name":7})", R"({"peer_port":1})", R"({"name":"a","peer_port":65536})",
              R"({"name":"a","peer_port":-1})", R"({"name":"a","peer_port":1e300})",
              R"({"name":"a","peer_port":"1"})", R"({"name":"a","region":7})", "7", "null", "[]"})
        {
            CPPUNIT_ASSERT_MESSAGE(odd, !list(odd));
        }
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(odd_platform_test, "entry");
