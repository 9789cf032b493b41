#include "platform/caller_codec.hpp"
#include "platform/document_decoder.hpp"
#include "tarragontrail/relay/fleet_service.hpp"

#include <boost/asio/ip/address_v4.hpp>
#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

using namespace tarragontrail;
using namespace tarragontrail::relay;
using namespace std::chrono_literals;

namespace {

/// Table store whose results the test supplies.
class scripted_store : public table_store
{
public:
    struct pending_write
    {
        std::string m_key;
        std::function<void(row_write_result)> m_handler;
    };

    void on_era(std::function<void(std::uint64_t)> handler) override
    {
        m_on_era = std::move(handler);
    }

    void read(followed_table table, std::function<void(table_result)> handler) override
    {
        m_reads[table] = std::move(handler);
    }

    void follow(followed_table /*table*/, const core::store_version& /*after*/,
                std::chrono::milliseconds /*wait*/,
                std::function<void(table_result)> /*handler*/) override
    {}

    void write(const std::string& key, const std::string& /*value*/,
               const std::optional<core::store_version>& /*expected_version*/,
               std::function<void(row_write_result)> handler) override
    {
        m_writes.push_back({key, std::move(handler)});
    }

    void answer_read(followed_table table, const table_result& result)
    {
        const auto handler = std::exchange(m_reads[table], nullptr);
        CPPUNIT_ASSERT(handler != nullptr);
        handler(result);
    }

    void acknowledge(std::size_t write, const core::store_version& version)
    {
        m_writes.at(write).m_handler({row_write_result::outcome::applied, version});
    }

    std::function<void(std::uint64_t)> m_on_era;
    std::map<followed_table, std::function<void(table_result)>> m_reads;
    std::vector<pending_write> m_writes;
};

/// Engines that never answer.
class silent_engines : public engine_control
{
public:
    void
    read_report(const upstream_record& /*engine*/, const std::string& /*model*/,
                std::function<void(std::optional<placement::engine_report>)> /*handler*/) override
    {}

    void follow_cache(const net::tcp::endpoint& /*cache*/, std::uint64_t /*since*/,
                      std::chrono::milliseconds /*wait*/,
                      std::function<void(std::optional<cache_events>)> /*handler*/) override
    {}

    void order(const upstream_record& /*engine*/, const placement::order_weights& /*order*/,
               std::uint64_t /*fence*/,
               std::function<void(placement::order_answer)> /*handler*/) override
    {}
};

/// One instance with a table store of its own.
struct test_instance
{
    test_instance(boost::asio::io_context& context, std::uint64_t id)
        : m_state(context, m_codec, {}, locality{"zone-a", "r"}, core::instance_id{id}, id),
          m_member{core::instance_id{id}, core::incarnation{1}, "zone-a", "r",
                   "127.0.0.1:1",         address(id)},
          m_service(context, {}, m_member, net::parse_endpoint(address(id)), m_state, m_store,
                    m_engines, m_decoder, {})
    {}

    /// Port that no other test listens on.
    static std::string address(std::uint64_t id)
    {
        return fmt::format("127.0.0.1:{}", 24'800 + id);
    }

    table_row row(const core::store_version& version) const
    {
        return {std::string(member_prefix) + std::to_string(core::value_of(m_member.m_instance)),
                wire::encode(m_member), version, false};
    }

    /// Answers a read of the operators' table that has a configuration.
    void answer_configuration(std::uint64_t number, const core::store_version& version)
    {
        const std::string value = fmt::format(
            R"({{"version":{},"routes":[],"services":[],"limits":{{}},"tenants":[]}})", number);
        m_store.answer_read(followed_table::operators,
                            table_rows{{{"config", value, version, false}}, version});
    }

    std::uint64_t configuration_in_force() const
    {
        return m_state.m_routes ? m_state.m_routes->config().m_version : 0;
    }

    platform::caller_codec m_codec;
    platform::document_decoder m_decoder{{{"zone-a", "r"}}};
    scripted_store m_store;
    silent_engines m_engines;
    relay_state m_state;
    fleet_member m_member;
    fleet_service m_service;
};

} // namespace

/// Rows that instances have written, after the table store has come back from an older copy.
class restored_fleet_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(restored_fleet_test);
    CPPUNIT_TEST(own_row_is_written_again_that_was_acknowledged_before_the_first_read);
    CPPUNIT_TEST(own_row_is_written_once_without_a_return);
    CPPUNIT_TEST(own_row_of_an_earlier_start_is_replaced);
    CPPUNIT_TEST(living_instance_stays_a_member_when_its_row_is_lost);
    CPPUNIT_TEST(instance_that_starts_after_the_return_gets_the_configuration_in_force);
    CPPUNIT_TEST_SUITE_END();

    boost::asio::io_context m_context;
    std::unique_ptr<test_instance> m_first;

public:
    void setUp() override { m_first = std::make_unique<test_instance>(m_context, 1); }

    void tearDown() override
    {
        m_context.stop();
        m_first.reset();
    }

    void own_row_is_written_again_that_was_acknowledged_before_the_first_read()
    {
        m_first->m_service.start();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_first->m_store.m_writes.size());
        m_first->m_store.acknowledge(0, {1, 50});
        m_first->m_store.answer_read(followed_table::fleet, table_rows{{}, {2, 20}});
        m_context.run_for(300ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_first->m_store.m_writes.size());
        CPPUNIT_ASSERT_EQUAL(m_first->row({}).m_key, m_first->m_store.m_writes[1].m_key);
    }

    void own_row_is_written_once_without_a_return()
    {
        m_first->m_service.start();
        m_first->m_store.answer_read(followed_table::fleet, table_rows{{}, {1, 20}});
        m_first->m_store.acknowledge(0, {1, 50});
        m_context.run_for(300ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_first->m_store.m_writes.size());
    }

    /// A write of an earlier start may take effect late.
    void own_row_of_an_earlier_start_is_replaced()
    {
        m_first->m_service.start();
        m_first->m_store.acknowledge(0, {1, 50});
        fleet_member earlier = m_first->m_member;
        earlier.m_started = core::incarnation{0};
        m_first->m_store.answer_read(
            followed_table::fleet,
            table_rows{{{m_first->row({}).m_key, wire::encode(earlier), {1, 51}, false}}, {1, 51}});
        m_context.run_for(300ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_first->m_store.m_writes.size());
    }

    void living_instance_stays_a_member_when_its_row_is_lost()
    {
        fleet_member other = m_first->m_member;
        other.m_instance = core::instance_id{2};
        instance_registry registry(m_first->m_member);
        const core::time_point now = core::runtime_clock::now();
        registry.apply(other);
        registry.on_status(other.m_instance, {core::incarnation{1}, true, false, true}, now);
        registry.remove(other.m_instance, now + 100ms);
        CPPUNIT_ASSERT(registry.is_ready(other.m_instance, now + 100ms));
        registry.remove(other.m_instance, now + 1min);
        CPPUNIT_ASSERT(!registry.members().contains(other.m_instance));
    }

    /// The store has an older one until its operators write again.
    void instance_that_starts_after_the_return_gets_the_configuration_in_force()
    {
        test_instance second(m_context, 2);
        const auto answer_fleet = [&](test_instance& instance, const core::store_version& version) {
            instance.m_store.answer_read(
                followed_table::fleet,
                table_rows{{m_first->row(version), second.row(version)}, version});
        };
        m_first->m_service.start();
        m_first->answer_configuration(82, {1, 40});
        answer_fleet(*m_first, {1, 40});
        m_first->m_store.m_on_era(2);
        m_first->answer_configuration(59, {2, 20});
        answer_fleet(*m_first, {2, 20});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{82}, m_first->configuration_in_force());

        second.m_service.start();
        second.answer_configuration(59, {2, 20});
        answer_fleet(second, {2, 20});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{59}, second.configuration_in_force());
        const auto give_up = std::chrono::steady_clock::now() + 20s;
        while (second.configuration_in_force() != 82 && std::chrono::steady_clock::now() < give_up)
        {
            m_context.run_one_for(50ms);
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{82}, second.configuration_in_force());
        m_context.stop();
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(restored_fleet_test, "relay");
