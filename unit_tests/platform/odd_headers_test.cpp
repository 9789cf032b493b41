#include "platform/caller_codec.hpp"
#include "tarragontrail/net/http_client.hpp"

#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace tarragontrail;
using namespace std::chrono_literals;
namespace http = boost::beast::http;

namespace {

constexpr const char* largest = "18446744073709551615";
/// What the sums of a request's times and tokens must stay below.
constexpr std::chrono::milliseconds far_away = std::chrono::hours(24 * 367);
constexpr std::uint64_t many_tokens = std::uint64_t{1} << 62U;

relay::caller_request read(const char* name, const std::string& value)
{
    net::http_request message = net::make_request(http::verb::post, "/a", "body");
    message.set("Host", "one.example");
    message.set("X-Request-Id", "r1");
    message.set("X-Model", "m");
    message.set(name, value);
    return platform::caller_codec().decode(message);
}

} // namespace

/// Numbers in callers' headers that no caller means.
class odd_headers_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(odd_headers_test);
    CPPUNIT_TEST(time_left_stays_within_the_clock);
    CPPUNIT_TEST(sum_of_tokens_does_not_wrap_to_a_small_charge);
    CPPUNIT_TEST(tokens_of_parts_add_up);
    CPPUNIT_TEST(lists_of_commas_name_nothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void time_left_stays_within_the_clock()
    {
        for (const char* text : {"10000000000000", "9223372036854775807", "9223372036854775808",
                                 "10000000000000000000", largest})
        {
            const auto left = read("X-Request-Deadline-Ms", text).m_deadline;
            CPPUNIT_ASSERT_MESSAGE(text, left && *left > 1h && *left < far_away);
        }
        for (const char* text : {"", "-1", "1.5", "1e3", "99999999999999999999", "soon", "5 "})
        {
            const auto left = read("X-Request-Deadline-Ms", text).m_deadline;
            CPPUNIT_ASSERT_MESSAGE(text, !left || *left == 5ms);
        }
        CPPUNIT_ASSERT(read("X-Request-Deadline-Ms", "0").m_deadline == 0ms);
        CPPUNIT_ASSERT(read("X-Request-Deadline-Ms", "3000").m_deadline == 3000ms);
    }

    void sum_of_tokens_does_not_wrap_to_a_small_charge()
    {
        for (const std::string& text : {std::string(largest) + ",2", "2," + std::string(largest),
                                        std::string(largest) + "," + largest,
                                        std::string("9223372036854775808,"
                                                    "9223372036854775808")})
        {
            const relay::caller_request request = read("X-Token-Usage", text);
            CPPUNIT_ASSERT_MESSAGE(text, request.m_charged_tokens);
            CPPUNIT_ASSERT_MESSAGE(text, *request.m_charged_tokens > 1'000'000'000U);
            CPPUNIT_ASSERT_MESSAGE(text, *request.m_charged_tokens < many_tokens);
            CPPUNIT_ASSERT_MESSAGE(text, request.m_prompt->m_input_tokens < many_tokens);
            CPPUNIT_ASSERT_MESSAGE(text, request.m_prompt->m_output_tokens < many_tokens);
        }
        CPPUNIT_ASSERT(read("X-Token-Usage", "1460,80").m_charged_tokens == 1540U);
    }

    void tokens_of_parts_add_up()
    {
        std::string list = std::string("a:") + largest;
        while (list.size() < 16'000)
        {
            list += std::string(",a:") + largest;
        }
        std::uint64_t sum = 0;
        const relay::caller_request request = read("X-Prompt-Prefix", list);
        CPPUNIT_ASSERT(!request.m_prompt->m_parts.empty());
        for (const relay::prompt_part& part : request.m_prompt->m_parts)
        {
            CPPUNIT_ASSERT(part.m_tokens < many_tokens - sum);
            sum += part.m_tokens;
        }
    }

    void lists_of_commas_name_nothing()
    {
        const std::string commas(16'000, ',');
        CPPUNIT_ASSERT(read("X-Prompt-Prefix", commas).m_prompt->m_parts.empty());
        CPPUNIT_ASSERT(!read("X-Token-Usage", commas).m_charged_tokens);
        CPPUNIT_ASSERT_EQUAL(std::string("r1"), read("Connection", commas).m_id);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(odd_headers_test, "platform");
