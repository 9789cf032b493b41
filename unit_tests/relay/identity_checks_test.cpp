#include "platform/caller_codec.hpp"
#include "tarragontrail/relay/identity_checks.hpp"

#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace tarragontrail;
using namespace tarragontrail::relay;
using namespace std::chrono_literals;

namespace {

/// Engines whose reports the test supplies.
class scripted_engines : public engine_control
{
public:
    void on_notice(
        std::function<void(const upstream_identity&, const upstream_notice&)> /*handler*/) override
    {}

    using report_handler = std::function<void(std::optional<placement::engine_report>)>;

    void read_report(const upstream_record& /*engine*/, const std::string& /*model*/,
                     report_handler handler) override
    {
        m_pending.push_back(std::move(handler));
    }

    void check_presence(const upstream_record& /*asked*/,
                        std::function<void(process_presence)> /*handler*/) override
    {}

    void follow_cache(const net::tcp::endpoint& /*cache*/, std::uint64_t /*since*/,
                      std::chrono::milliseconds /*wait*/,
                      std::function<void(std::optional<cache_events>)> /*handler*/) override
    {}

    void order(const upstream_record& /*engine*/, const placement::order_weights& /*order*/,
               std::uint64_t /*fence*/,
               std::function<void(placement::order_answer)> /*handler*/) override
    {}

    /// Answers the oldest question; nothing for an engine that does not respond.
    void answer(std::optional<std::uint64_t> started)
    {
        const auto handler = m_pending.front();
        m_pending.erase(m_pending.begin());
        if (!started)
        {
            handler(std::nullopt);
            return;
        }
        placement::engine_report report;
        report.m_started = core::incarnation{*started};
        handler(report);
    }

    std::vector<report_handler> m_pending;
};

} // namespace

/// An engine whose process may have ended gets streams again once it is known to be the same.
class identity_checks_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(identity_checks_test);
    CPPUNIT_TEST(same_start_ends_the_doubt);
    CPPUNIT_TEST(another_start_stays_in_doubt_until_its_row);
    CPPUNIT_TEST(later_sign_outlives_an_earlier_question);
    CPPUNIT_TEST(silent_engine_is_asked_again);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_state = std::make_unique<relay_state>(m_context, m_codec, upstream_selector_settings{},
                                                locality{"here", "r"}, core::instance_id{1}, 1);
        m_record.m_name = "e";
        m_record.m_id = core::id_of<core::upstream_id>("e");
        m_record.m_service = "s";
        m_record.m_started = core::incarnation{5};
        m_record.m_software = m_version;
        m_state->m_upstreams.apply(m_record, m_now);
        m_checks =
            std::make_unique<identity_checks>(*m_state, m_engines, identity_checks_settings{});
    }

    void same_start_ends_the_doubt()
    {
        m_checks->check("s", m_now);
        CPPUNIT_ASSERT(m_engines.m_pending.empty());
        engine().doubt(m_now);
        CPPUNIT_ASSERT(!engine().surely_runs(m_version));
        m_checks->check("s", m_now);
        m_engines.answer(5);
        CPPUNIT_ASSERT(engine().surely_runs(m_version));
    }

    void another_start_stays_in_doubt_until_its_row()
    {
        engine().doubt(m_now);
        m_checks->check("s", m_now);
        m_engines.answer(6);
        CPPUNIT_ASSERT(!engine().surely_runs(m_version));
        m_record.m_started = core::incarnation{6};
        m_record.m_software = {"v2"};
        m_state->m_upstreams.apply(m_record, m_now);
        CPPUNIT_ASSERT(engine().surely_runs({"v2"}));
    }

    void later_sign_outlives_an_earlier_question()
    {
        engine().doubt(m_now);
        m_checks->check("s", m_now);
        engine().doubt(m_now + 10ms);
        m_engines.answer(5);
        CPPUNIT_ASSERT(!engine().surely_runs(m_version));
    }

    void silent_engine_is_asked_again()
    {
        engine().doubt(m_now);
        m_checks->check("s", m_now);
        m_engines.answer(std::nullopt);
        m_checks->check("s", m_now + 100ms);
        CPPUNIT_ASSERT(m_engines.m_pending.empty());
        m_checks->check("s", m_now + 600ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_engines.m_pending.size());
    }

private:
    upstream& engine() { return *m_state->m_upstreams.find(m_record.m_id); }

    boost::asio::io_context m_context;
    platform::caller_codec m_codec;
    scripted_engines m_engines;
    std::unique_ptr<relay_state> m_state;
    std::unique_ptr<identity_checks> m_checks;
    upstream_record m_record;
    software_version m_version{"v1"};
    core::time_point m_now{1h};
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(identity_checks_test, "relay");
