#include "tarragontrail/wire/websocket_codec.hpp"

#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <malloc.h>
#include <string>

using namespace tarragontrail;
using wire::websocket_codec;
using wire::websocket_role;

/// Memory of codecs whose connection ends without a closing handshake.
class unfinished_codec_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(unfinished_codec_test);
    CPPUNIT_TEST(codec_without_an_answer_leaves_no_memory);
    CPPUNIT_TEST(codec_that_is_open_leaves_no_memory);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int codec_count = 500;
    /// Less than one of a hundred codecs leaves behind when each keeps its input buffer.
    static constexpr std::size_t growth_limit_bytes = std::size_t{64} * 1024;

    static void exchange(websocket_codec& from, websocket_codec& to)
    {
        const std::string bytes = from.take_output();
        to.feed(bytes.data(), bytes.size());
    }

    static void open_and_drop()
    {
        websocket_codec client(websocket_role::client, "peer");
        websocket_codec server(websocket_role::server, "peer");
        exchange(client, server);
        exchange(server, client);
        CPPUNIT_ASSERT(client.is_open() && server.is_open());
        client.send("one");
        exchange(client, server);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server.take_messages().size());
    }

    static void drop_without_an_answer()
    {
        const websocket_codec client(websocket_role::client, "peer");
        const websocket_codec server(websocket_role::server, "peer");
    }

    /// Allocated bytes that stay behind many calls; a sanitizer's allocator counts none, and its
    /// own search for leaks tells then.
    static std::size_t growth_of(void (*step)())
    {
        step();
        const std::size_t before = mallinfo2().uordblks;
        for (int i = 0; i < codec_count; ++i)
        {
            step();
        }
        const std::size_t after = mallinfo2().uordblks;
        return after > before ? after - before : 0;
    }

public:
    void codec_without_an_answer_leaves_no_memory()
    {
        const std::size_t growth = growth_of(&drop_without_an_answer);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(growth), growth < growth_limit_bytes);
    }

    void codec_that_is_open_leaves_no_memory()
    {
        const std::size_t growth = growth_of(&open_and_drop);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(growth), growth < growth_limit_bytes);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(unfinished_codec_test, "net");
