#include "platform/caller_codec.hpp"
#include "platform/document_decoder.hpp"
#include "tarragontrail/relay/document_applier.hpp"

#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

using namespace tarragontrail;

/// Rows of upstreams while the store comes back from an older copy of itself.
class restored_upstreams_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(restored_upstreams_test);
    CPPUNIT_TEST(draining_upstream_gets_no_requests_by_its_older_row);
    CPPUNIT_TEST(gone_upstream_gets_no_requests_by_its_older_row);
    CPPUNIT_TEST(gone_upstream_that_reports_again_serves);
    CPPUNIT_TEST(lapsed_upstream_of_the_same_era_serves_again);
    CPPUNIT_TEST(row_of_an_earlier_start_does_not_count);
    CPPUNIT_TEST(row_that_the_store_keeps_is_believed_in_the_end);
    CPPUNIT_TEST(doubt_begins_anew_with_a_second_return);
    CPPUNIT_TEST_SUITE_END();

    boost::asio::io_context m_context;
    platform::caller_codec m_codec;
    relay::relay_state m_state{
        m_context, m_codec, {}, relay::locality{"zone-a", "r"}, core::instance_id{1}, 1};
    platform::document_decoder m_decoder{{{"zone-a", "r"}}};
    relay::document_applier m_applier{m_state, m_decoder};

    void report(const core::store_version& version, const std::string& state, int reports,
                int born = 7)
    {
        const std::string value = fmt::format(
            R"({{"service":"s","address":"127.0.0.1:80","zone":"zone-a","version":"v1","slots":4,"state":"{}",)"
            R"("cold-remaining-ms":0,"sequence":{},"born":{}}})",
            state, reports, born);
        m_applier.on_upstream_rows({{"e", value, version, false}});
    }

    void remove(const core::store_version& version)
    {
        m_applier.on_upstream_rows({{"e", {}, version, true}});
    }

    relay::upstream& upstream()
    {
        const auto found = m_state.m_upstreams.find(core::id_of<core::upstream_id>("e"));
        CPPUNIT_ASSERT(found != nullptr);
        return *found;
    }

public:
    void draining_upstream_gets_no_requests_by_its_older_row()
    {
        report({1, 4}, "ready", 3);
        report({1, 9}, "draining", 6);
        report({2, 4}, "ready", 3);
        CPPUNIT_ASSERT(upstream().m_leaving_since.has_value());
        report({2, 7}, "draining", 8);
        CPPUNIT_ASSERT(upstream().m_leaving_since.has_value());
    }

    void gone_upstream_gets_no_requests_by_its_older_row()
    {
        report({1, 4}, "ready", 3);
        remove({1, 9});
        // The copy may have more reports than were seen here before.
        report({2, 6}, "ready", 5);
        report({2, 6}, "ready", 5);
        CPPUNIT_ASSERT(upstream().m_leaving_since.has_value());
    }

    void gone_upstream_that_reports_again_serves()
    {
        report({1, 4}, "ready", 3);
        remove({1, 9});
        report({2, 6}, "ready", 5);
        report({2, 8}, "ready", 6);
        CPPUNIT_ASSERT(!upstream().m_leaving_since.has_value());
    }

    void lapsed_upstream_of_the_same_era_serves_again()
    {
        report({1, 4}, "ready", 3);
        remove({1, 9});
        report({1, 10}, "ready", 3);
        CPPUNIT_ASSERT(!upstream().m_leaving_since.has_value());
    }

    /// An upstream need not write another row: its row lapses when it is silent.
    void row_that_the_store_keeps_is_believed_in_the_end()
    {
        core::runtime_clock::pause();
        report({1, 4}, "ready", 3);
        remove({1, 9});
        report({2, 6}, "ready", 3);
        core::runtime_clock::advance(std::chrono::seconds(4));
        m_applier.on_timer(core::runtime_clock::now());
        const bool was_leaving = upstream().m_leaving_since.has_value();
        core::runtime_clock::advance(std::chrono::seconds(2));
        m_applier.on_timer(core::runtime_clock::now());
        core::runtime_clock::resume();
        CPPUNIT_ASSERT(was_leaving);
        CPPUNIT_ASSERT(!upstream().m_leaving_since.has_value());
    }

    /// The store may have deleted the row in between, and have it again.
    void doubt_begins_anew_with_a_second_return()
    {
        core::runtime_clock::pause();
        report({1, 4}, "ready", 3);
        remove({1, 9});
        report({2, 6}, "ready", 3);
        core::runtime_clock::advance(std::chrono::seconds(4));
        m_applier.on_upstreams_restored(core::runtime_clock::now());
        core::runtime_clock::advance(std::chrono::seconds(4));
        m_applier.on_timer(core::runtime_clock::now());
        core::runtime_clock::resume();
        CPPUNIT_ASSERT(upstream().m_leaving_since.has_value());
    }

    void row_of_an_earlier_start_does_not_count()
    {
        report({1, 4}, "ready", 3, 7);
        report({1, 9}, "ready", 1, 8);
        report({2, 4}, "ready", 3, 7);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, core::value_of(upstream().m_record.m_started));
        report({2, 5}, "ready", 1, 9);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, core::value_of(upstream().m_record.m_started));
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(restored_upstreams_test, "platform");
