#include "tarragontrail/entry/engine_watcher.hpp"
#include "tarragontrail/wire/json_document.hpp"

#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

using namespace tarragontrail;

/// Engines' load reports that are not what they should be.
class odd_report_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(odd_report_test);
    CPPUNIT_TEST(impossible_values_are_refused);
    CPPUNIT_TEST(deep_nesting_is_refused_wherever_it_is);
    CPPUNIT_TEST_SUITE_END();

    static entry::engine_report read(const std::string& field, const std::string& text)
    {
        std::string body;
        for (const char* name : {"incarnation", "queued_tokens", "running", "prefill_tokens_per_s",
                                 "decode_tokens_per_s", "weights_version", "sequence"})
        {
            body += fmt::format(R"({}"{}":{})", body.empty() ? "{" : ",", name,
                                field == name ? text : "4");
        }
        body += field == "x" ? R"(,"x":)" + text + "}" : "}";
        return entry::parse_engine_report(body, {});
    }

    static void expect_refused(const std::string& field, const std::string& text)
    {
        CPPUNIT_ASSERT_THROW_MESSAGE(fmt::format("{} {:.40}", field, text), read(field, text),
                                     wire::json_error);
    }

public:
    void impossible_values_are_refused()
    {
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, read("running", "7").m_load.m_running);
        for (const char* odd : {"-1", "1e300", "true", R"("1")", "[]", "{}"})
        {
            for (const char* field :
                 {"incarnation", "queued_tokens", "running", "prefill_tokens_per_s",
                  "decode_tokens_per_s", "weights_version", "sequence"})
            {
                expect_refused(field, odd);
            }
        }
        for (const char* field : {"incarnation", "queued_tokens", "running", "weights_version"})
        {
            expect_refused(field, "1.5");
            expect_refused(field, "null");
        }
        for (const char* body : {"", "[]", "1", "null", "{}", "{"})
        {
            CPPUNIT_ASSERT_THROW_MESSAGE(body, entry::parse_engine_report(body, {}),
                                         wire::json_error);
        }
    }

    void deep_nesting_is_refused_wherever_it_is()
    {
        constexpr std::size_t depth = 60'000;
        const std::string deep = std::string(depth, '[') + std::string(depth, ']');
        for (const char* field : {"x", "incarnation", "sequence", "decode_tokens_per_s"})
        {
            expect_refused(field, deep);
        }
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(odd_report_test, "entry");
