#include "tarragontrail/relay/member_key.hpp"

#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace tarragontrail;

/// Keys of members' rows that no instance writes.
class odd_member_key_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(odd_member_key_test);
    CPPUNIT_TEST(odd_key_names_no_other_member);
    CPPUNIT_TEST_SUITE_END();

public:
    void odd_key_names_no_other_member()
    {
        CPPUNIT_ASSERT(relay::instance_of_key("member/12") == core::instance_id{12});
        CPPUNIT_ASSERT(relay::instance_of_key("member/18446744073709551615") ==
                       core::instance_id{18446744073709551615U});
        for (const char* key :
             {"member/", "member/12abc", "member/ 12", "member/-1", "member/+12", "member/0x12",
              "member/18446744073709551616", "member/abc", "members/12", "12", ""})
        {
            CPPUNIT_ASSERT_MESSAGE(key, !relay::instance_of_key(key));
        }
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(odd_member_key_test, "relay");
