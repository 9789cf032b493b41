#include "tarragontrail/membership/view.hpp"

#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

using namespace tarragontrail;
using nlohmann::json;

/// Rows of the view that no instance writes.
class odd_view_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(odd_view_test);
    CPPUNIT_TEST(impossible_values_are_refused);
    CPPUNIT_TEST(deep_nesting_is_refused_wherever_it_is);
    CPPUNIT_TEST_SUITE_END();

    static std::string sample()
    {
        membership::member named;
        named.m_name = "entry-1";
        named.m_region = "region-1";
        named.m_failure_domain = "domain-1";
        named.m_address = "10.0.0.1";
        named.m_ports = {8080, 8081, 8082};
        named.m_incarnation = core::incarnation{5};
        return membership::serialise({core::view_number{3}, {membership::make_member(named)}});
    }

    static std::string with(const std::string& pointer, const std::string& text)
    {
        json tree = json::parse(sample());
        tree[json::json_pointer(pointer)] = "PLACE";
        std::string written = tree.dump();
        const std::string place = "\"PLACE\"";
        return written.replace(written.find(place), place.size(), text);
    }

    static void expect_refused(const std::string& pointer, const std::string& text)
    {
        CPPUNIT_ASSERT_THROW_MESSAGE(fmt::format("{} {:.40}", pointer, text),
                                     membership::parse_view(with(pointer, text)),
                                     membership::view_error);
    }

public:
    void impossible_values_are_refused()
    {
        CPPUNIT_ASSERT(membership::parse_view(sample()).number() == core::view_number{3});
        for (const char* odd : {"-1", "1.5", "1e300", "true", R"("1")", "null", "[]", "{}"})
        {
            for (const char* pointer : {"/number", "/members/0/1", "/members/0/3", "/members/0/4",
                                        "/members/0/5", "/ports/0/0", "/ports/0/1", "/ports/0/2"})
            {
                expect_refused(pointer, odd);
            }
        }
        for (const char* odd : {"65536", "18446744073709551615"})
        {
            expect_refused("/ports/0/1", odd);
        }
        for (const char* odd : {"1", "18446744073709551615"})
        {
            expect_refused("/members/0/1", odd);
            expect_refused("/members/0/3", odd);
        }
        expect_refused("/members/0/5", "2");
        for (const char* pointer : {"/members", "/members/0", "/places", "/places/0", "/ports",
                                    "/ports/0", "/members/0/0", "/members/0/2", "/places/0/0"})
        {
            for (const char* odd : {"1", "true", "null", "[]", R"({"a":1})"})
            {
                if (std::string(pointer) != "/members" || std::string(odd) != "[]")
                {
                    expect_refused(pointer, odd);
                }
            }
        }
    }

    void deep_nesting_is_refused_wherever_it_is()
    {
        constexpr std::size_t depth = 60'000;
        const std::string deep = std::string(depth, '[') + std::string(depth, ']');
        for (const char* pointer : {"/x", "/number", "/members/0/0", "/members/0/5", "/places/0",
                                    "/ports/0", "/ports/0/1", "/members/0/2"})
        {
            expect_refused(pointer, deep);
        }
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(odd_view_test, "membership");
