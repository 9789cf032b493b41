#include "tarragontrail/entry/share_rows.hpp"
#include "tarragontrail/wire/decode_error.hpp"
#include "tarragontrail/wire/json_document.hpp"

#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <limits>

using namespace tarragontrail;

/// Rows of shares and gossip about them that no instance writes.
class odd_share_rows_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(odd_share_rows_test);
    CPPUNIT_TEST(rows_are_read_as_written);
    CPPUNIT_TEST(odd_gossip_is_refused);
    CPPUNIT_TEST(odd_texts_are_refused);
    CPPUNIT_TEST(odd_keys_name_no_workspace);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint64_t largest = std::numeric_limits<std::uint64_t>::max();
    const limits::share_row m_row{core::workspace_id{largest},
                                  3,
                                  {{core::instance_id{largest}, core::instance_id{0}},
                                   {core::instance_id{7}, core::instance_id{8}}}};

public:
    void rows_are_read_as_written()
    {
        CPPUNIT_ASSERT(entry::parse_gossip_row(entry::gossip_bytes(m_row)) == m_row);
        CPPUNIT_ASSERT(entry::parse_share_row(m_row.m_workspace, 3, entry::share_row_text(m_row)) ==
                       m_row);
        const std::vector<limits::member> members{
            {core::instance_id{largest}, core::region_id{largest - 1}}};
        CPPUNIT_ASSERT(entry::parse_genesis(entry::genesis_text(members)) == members);
        CPPUNIT_ASSERT(entry::workspace_of_key(entry::share_row_key(m_row.m_workspace)) ==
                       m_row.m_workspace);
    }

    void odd_gossip_is_refused()
    {
        std::string odd_count = entry::gossip_bytes(m_row);
        odd_count.front() = '\x85';
        odd_count.pop_back();
        const std::string deep(1'000'000, '\x81');
        for (const std::string& bytes :
             {std::string(), std::string("\x80"), std::string("\x81\x01"),
              std::string("\x82\x01\x20"), std::string("\x82\x01\x61x"), std::string("\xf6"),
              odd_count, deep, "\x82\x01" + deep})
        {
            CPPUNIT_ASSERT_THROW(entry::parse_gossip_row(bytes), wire::decode_error);
        }
    }

    void odd_texts_are_refused()
    {
        constexpr std::size_t depth = 60'000;
        const std::string deep = std::string(depth, '[') + std::string(depth, ']');
        for (const std::string& text :
             {std::string(), std::string("["), std::string("{}"), std::string("7"),
              std::string("null"), std::string("[7]"), std::string("[[]]"), std::string("[[1]]"),
              std::string("[[1,2,3]]"), std::string("[[1,-2]]"), std::string("[[1.5,2]]"),
              std::string("[[1,1e300]]"), std::string(R"([["1",2]])"), std::string("[[null,2]]"),
              std::string("[[18446744073709551616,2]]"), std::string(R"({"a":[1,2]})"),
              std::string(R"([{"a":1}])"), deep, "[[1," + deep + "]]"})
        {
            const std::string name = fmt::format("{:.60}", text);
            CPPUNIT_ASSERT_THROW_MESSAGE(name, entry::parse_share_row({}, 1, text),
                                         wire::json_error);
            CPPUNIT_ASSERT_THROW_MESSAGE(name, entry::parse_genesis(text), wire::json_error);
        }
    }

    void odd_keys_name_no_workspace()
    {
        for (const char* key : {"", "x", "12", "-000000000000001", "0x00000000000001",
                                "000000000000000g", "00000000000000011", " 00000000000001"})
        {
            CPPUNIT_ASSERT_MESSAGE(key, !entry::workspace_of_key(key));
        }
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(odd_share_rows_test, "entry");
