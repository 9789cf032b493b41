#include "tarragontrail/core/parse_number.hpp"

#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace tarragontrail;

/// Parsing of numbers, as in headers, command lines and settings.
class parse_number_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(parse_number_test);
    CPPUNIT_TEST(only_decimal_digits_are_parsed);
    CPPUNIT_TEST_SUITE_END();

public:
    void only_decimal_digits_are_parsed()
    {
        CPPUNIT_ASSERT(core::parse_number("0") == std::uint64_t{0});
        CPPUNIT_ASSERT(core::parse_number("18446744073709551615") == ~std::uint64_t{0});
        for (const char* odd :
             {"", "x", "1x", " 1", "1 ", "-1", "+1", "1.5", "18446744073709551616"})
        {
            CPPUNIT_ASSERT_MESSAGE(odd, !core::parse_number(odd));
        }
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(parse_number_test, "core");
