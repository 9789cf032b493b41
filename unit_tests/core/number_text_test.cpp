#include "tarragontrail/core/number_text.hpp"

#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace tarragontrail;

/// Numbers in text, as callers, operators and settings write them.
class number_text_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(number_text_test);
    CPPUNIT_TEST(only_a_text_of_digits_is_a_number);
    CPPUNIT_TEST_SUITE_END();

public:
    void only_a_text_of_digits_is_a_number()
    {
        CPPUNIT_ASSERT(core::read_number("0") == std::uint64_t{0});
        CPPUNIT_ASSERT(core::read_number("18446744073709551615") == ~std::uint64_t{0});
        for (const char* odd :
             {"", "x", "1x", " 1", "1 ", "-1", "+1", "1.5", "18446744073709551616"})
        {
            CPPUNIT_ASSERT_MESSAGE(odd, !core::read_number(odd));
        }
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(number_text_test, "core");
