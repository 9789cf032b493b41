#include "tarragontrail/placement/lease_row.hpp"
#include "tarragontrail/wire/cbor_fields.hpp"
#include "tarragontrail/wire/generated_messages.hpp"

#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace tarragontrail;

/// Messages and rows of peers that are not what they should be.
class odd_messages_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(odd_messages_test);
    CPPUNIT_TEST(deep_nesting_is_refused);
    CPPUNIT_TEST(chunks_within_chunks_are_refused);
    CPPUNIT_TEST(impossible_counts_are_refused);
    CPPUNIT_TEST(times_beyond_the_clock_are_refused);
    CPPUNIT_TEST(changed_bytes_are_refused_or_read);
    CPPUNIT_TEST_SUITE_END();

public:
    void deep_nesting_is_refused()
    {
        constexpr std::size_t depth = 1'000'000;
        // Arrays of one entry, arrays without a count, and objects.
        for (const char* opening : {"\x81", "\x9f", "\xa1\x61x"})
        {
            std::string bytes;
            while (bytes.size() < depth)
            {
                bytes += opening;
            }
            CPPUNIT_ASSERT_THROW(wire::decode(bytes), wire::decode_error);
            CPPUNIT_ASSERT_THROW(placement::decode_row(bytes), placement::lease_row_error);
        }
    }

    void chunks_within_chunks_are_refused()
    {
        // Heads of texts and of bytes without a length, which hold chunks.
        for (const char head : {'\x7f', '\x5f'})
        {
            for (const std::size_t size : {std::size_t{1}, std::size_t{60'000}})
            {
                const std::string bytes(size, head);
                for (const char* first : {"", "\x81", "\x82\x01", "\xa1", "\xa1\x61x", "\xc1"})
                {
                    CPPUNIT_ASSERT_THROW(wire::decode(first + bytes), wire::decode_error);
                    CPPUNIT_ASSERT_THROW(placement::decode_row(first + bytes),
                                         placement::lease_row_error);
                }
            }
        }
    }

    void impossible_counts_are_refused()
    {
        for (const char* head : {"\x9b", "\xbb", "\x7b", "\x5b"})
        {
            for (const char* count : {"\xff\xff\xff\xff\xff\xff\xff\xf0", "\x0f\xff\xff\xff\xff\xff"
                                                                          "\xff\xff"})
            {
                const std::string bytes = std::string(head) + count;
                CPPUNIT_ASSERT_THROW(wire::decode(bytes), wire::decode_error);
                CPPUNIT_ASSERT_THROW(wire::decode("\x82\x01" + bytes), wire::decode_error);
            }
        }
    }

    void times_beyond_the_clock_are_refused()
    {
        placement::lease_row row;
        for (const std::int64_t time :
             {std::numeric_limits<std::int64_t>::max(), std::numeric_limits<std::int64_t>::min()})
        {
            row.m_wait = std::chrono::milliseconds(time);
            CPPUNIT_ASSERT_THROW(placement::decode_row(placement::encode_row(row)),
                                 placement::lease_row_error);
        }
        row.m_wait = std::chrono::hours(24);
        CPPUNIT_ASSERT(placement::decode_row(placement::encode_row(row)) == row);
    }

    void changed_bytes_are_refused_or_read()
    {
        CPPUNIT_ASSERT(rc::check("changed messages", [] {
            std::string bytes =
                wire::encode(wire::part_quarantine_entry{{1, 2, 3}, 1'700'000'000'000, {}});
            const auto changes = *rc::gen::inRange(1, 5);
            for (int change = 0; change < changes; ++change)
            {
                bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] =
                    *rc::gen::arbitrary<char>();
            }
            try
            {
                wire::decode(bytes);
            }
            catch (const wire::decode_error&)
            {
                RC_SUCCEED("refused");
            }
        }));
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(odd_messages_test, "relay");
