#include "platform/engine_client.hpp"
#include "unit_tests/platform/scripted_upstream.hpp"
#include "unit_tests/stand_ins/loop_client.hpp"

#include <atomic>
#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

using namespace tarragontrail;
using test::scripted_upstream;

/// Cache events of engines that are not what they should be.
class odd_events_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(odd_events_test);
    CPPUNIT_TEST(odd_event_costs_no_other_event);
    CPPUNIT_TEST(unreadable_answer_is_a_failure);
    CPPUNIT_TEST_SUITE_END();

    test::loop_client m_loop;

    /// What the client makes of one answer; nothing for a failure.
    std::optional<relay::cache_events> read(const std::string& body)
    {
        net::duty home{"home", 64};
        net::duty calls{"calls", 64};
        scripted_upstream engine(m_loop.m_context, [&body](const std::string&) {
            return scripted_upstream::reply{
                fmt::format("HTTP/1.1 200 X\r\nContent-Length: {}\r\n\r\n{}", body.size(), body)};
        });
        platform::engine_client client(calls, home, "holder");
        home.start();
        calls.start();
        std::optional<relay::cache_events> read;
        std::atomic<bool> is_done{false};
        client.follow_cache(net::make_endpoint("127.0.0.1", engine.port()), 0,
                            std::chrono::milliseconds(1), [&](const auto& events) {
                                read = events;
                                is_done = true;
                            });
        m_loop.run_until([&is_done] { return is_done.load(); });
        calls.stop();
        home.stop();
        return read;
    }

public:
    void odd_event_costs_no_other_event()
    {
        const std::string deep = std::string(30, '[') + std::string(30, ']');
        const auto events =
            read(R"({"boot-epoch":5,"next":9,"events":[[1,"+","s","a",10,"m"],7,[],)"
                 R"({"a":1},[2,"+","s","b",-1,"m"],[3,"+","s","c",1e300,"m"],)"
                 R"([4,"+","s",7,10,"m"],[5,1,"s","d",10,"m"],[6,"+"],null,)" +
                 deep + R"(,[7,"-","s","e",0,"m"]]})");
        CPPUNIT_ASSERT(events);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, events->m_epoch);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, events->m_next);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, events->m_events.size());
        CPPUNIT_ASSERT(events->m_events[0].m_added && events->m_events[0].m_tokens == 10);
        CPPUNIT_ASSERT(!events->m_events[1].m_added);
    }

    void unreadable_answer_is_a_failure()
    {
        const std::string deep = std::string(60'000, '[') + std::string(60'000, ']');
        for (const std::string& body :
             {std::string(), std::string("{"), std::string("[]"), std::string("{}"), deep,
              R"({"boot-epoch":5,"next":9,"events":[)" + deep + "]}",
              std::string(R"({"boot-epoch":-5,"next":9,"events":[]})"),
              std::string(R"({"boot-epoch":5,"next":1e300,"events":[]})"),
              std::string(R"({"boot-epoch":5,"next":9,"events":{}})"),
              std::string(R"({"boot-epoch":5,"next":9})")})
        {
            CPPUNIT_ASSERT_MESSAGE(fmt::format("{:.60}", body), !read(body));
        }
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(odd_events_test, "platform");
