#include "tarragontrail/entry/engine_chunk.hpp"
#include "tarragontrail/wire/json_document.hpp"

#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

using namespace tarragontrail;

/// Pieces of engines' answers that are not what they should be.
class odd_chunk_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(odd_chunk_test);
    CPPUNIT_TEST(pieces_are_read);
    CPPUNIT_TEST(odd_pieces_are_refused);
    CPPUNIT_TEST_SUITE_END();

public:
    void pieces_are_read()
    {
        const entry::engine_chunk piece = entry::parse_engine_chunk(
            R"({"id":"3-1","offset":7,"choices":[{"delta":{"content":"a "},"finish_reason":null}]})");
        CPPUNIT_ASSERT_EQUAL(std::string("3-1"), piece.m_id);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, piece.m_offset);
        CPPUNIT_ASSERT_EQUAL(std::string("a "), piece.m_text);
        CPPUNIT_ASSERT(!piece.m_is_final);
        const entry::engine_chunk last = entry::parse_engine_chunk(
            R"({"id":"3-1","offset":8,"usage":{"prompt_tokens":4,"cached_tokens":2},)"
            R"("choices":[{"delta":{"content":null},"finish_reason":"stop"}]})");
        CPPUNIT_ASSERT(last.m_is_final && last.m_text.empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, last.m_prompt_tokens);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, last.m_cached_tokens);
    }

    void odd_pieces_are_refused()
    {
        constexpr std::size_t depth = 60'000;
        const std::string deep = std::string(depth, '[') + std::string(depth, ']');
        for (const std::string& odd :
             {std::string(),
              std::string("{"),
              std::string("7"),
              std::string("[]"),
              std::string("{}"),
              std::string(R"({"choices":7})"),
              std::string(R"({"choices":[]})"),
              std::string(R"({"choices":{}})"),
              std::string(R"({"choices":[7]})"),
              std::string(R"({"choices":[[]]})"),
              std::string(R"({"choices":[{"delta":7}]})"),
              std::string(R"({"choices":[{"delta":{"content":7}}]})"),
              std::string(R"({"id":7,"choices":[{}]})"),
              std::string(R"({"offset":-1,"choices":[{}]})"),
              std::string(R"({"offset":1e300,"choices":[{}]})"),
              std::string(R"({"usage":7,"choices":[{"finish_reason":"stop"}]})"),
              std::string(R"({"usage":{"prompt_tokens":-1},"choices":[{"finish_reason":"stop"}]})"),
              deep,
              R"({"choices":)" + deep + "}",
              R"({"x":)" + deep + R"(,"choices":[{}]})"})
        {
            CPPUNIT_ASSERT_THROW_MESSAGE(fmt::format("{:.60}", odd), entry::parse_engine_chunk(odd),
                                         wire::json_error);
        }
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(odd_chunk_test, "entry");
