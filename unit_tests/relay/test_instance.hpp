#pragma once

#include "platform/caller_codec.hpp"
#include "platform/document_decoder.hpp"
#include "tarragontrail/core/hash.hpp"
#include "tarragontrail/relay/fleet_service.hpp"

#include <boost/asio/ip/address_v4.hpp>
#include <cppunit/TestAssert.h>
#include <fmt/format.h>
#include <functional>
#include <map>
#include <vector>

namespace tarragontrail::test {

using namespace tarragontrail::relay;

/// Table store whose results the test supplies.
class scripted_store : public table_store
{
public:
    struct pending_write
    {
        std::string m_key;
        std::string m_value;
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

    void follow(followed_table table, const core::store_version& /*after*/,
                std::chrono::milliseconds /*wait*/,
                std::function<void(table_result)> handler) override
    {
        m_follows[table] = std::move(handler);
    }

    void write(const std::string& key, const std::string& value,
               const std::optional<core::store_version>& /*expected_version*/,
               std::function<void(row_write_result)> handler) override
    {
        m_writes.push_back({key, value, std::move(handler)});
    }

    void answer_read(followed_table table, const table_result& result)
    {
        const auto handler = std::exchange(m_reads[table], nullptr);
        CPPUNIT_ASSERT(handler != nullptr);
        handler(result);
    }

    void answer_follow(followed_table table, const table_result& result)
    {
        const auto handler = std::exchange(m_follows[table], nullptr);
        CPPUNIT_ASSERT(handler != nullptr);
        handler(result);
    }

    void acknowledge(std::size_t write, const core::store_version& version)
    {
        m_writes.at(write).m_handler({row_write_result::outcome::applied, version});
    }

    std::function<void(std::uint64_t)> m_on_era;
    std::map<followed_table, std::function<void(table_result)>> m_reads;
    std::map<followed_table, std::function<void(table_result)>> m_follows;
    std::vector<pending_write> m_writes;
};

/// Engines that never answer.
class silent_engines : public engine_control
{
public:
    void on_notice(
        std::function<void(const upstream_identity&, const upstream_notice&)> /*handler*/) override
    {}

    void
    read_report(const upstream_record& /*engine*/, const std::string& /*model*/,
                std::function<void(std::optional<placement::engine_report>)> /*handler*/) override
    {}

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
};

/// Decoder of the platform's documents that counts those of the operators.
class counting_reader : public document_reader
{
public:
    operator_document read_operator_row(const table_row& row) const override
    {
        ++m_operator_rows;
        return m_decoder.read_operator_row(row);
    }

    upstream_record read_upstream_row(const table_row& row) const override
    {
        return m_decoder.read_upstream_row(row);
    }

    mutable int m_operator_rows = 0; ///< Operators' rows that were decoded.

private:
    platform::document_decoder m_decoder{{{"zone-a", "r"}}};
};

/// One instance with a table store of its own.
struct test_instance
{
    test_instance(boost::asio::io_context& context, std::uint64_t id)
        : m_state(context, m_codec, {}, locality{"zone-a", "r"}, core::instance_id{id}, id),
          m_member(member_of(id)),
          m_service(context, service_settings(), m_member, net::parse_endpoint(address(id)),
                    m_state, m_store, m_engines, m_decoder, {})
    {}

    static fleet_member member_of(std::uint64_t id)
    {
        return {core::instance_id{id}, core::incarnation{1}, "zone-a", "r",
                "127.0.0.1:1",         address(id)};
    }

    /// Tests answer calls for changes at once.
    static fleet_service_settings service_settings()
    {
        fleet_service_settings settings;
        settings.m_first_follow_delay = std::chrono::milliseconds(0);
        return settings;
    }

    /// Port that no other test listens on.
    static std::string address(std::uint64_t id)
    {
        return fmt::format("127.0.0.1:{}", 24'800 + id);
    }

    table_row row(const core::store_version& version) const
    {
        return row_of(core::value_of(m_member.m_instance), version);
    }

    static table_row row_of(std::uint64_t id, const core::store_version& version)
    {
        return {std::string(member_prefix) + std::to_string(id), wire::encode(member_of(id)),
                version, false};
    }

    /// Row of a configuration with some routes, written as the users' operators do.
    static table_row configuration_row(std::uint64_t number, const core::store_version& version,
                                       std::size_t routes = 0)
    {
        std::string listed;
        for (std::size_t i = 0; i < routes; ++i)
        {
            listed += fmt::format(
                R"({}{{"name":"r-{:07x}","host":"one.example","prefix":"/{:08x}/{:05x}/",)"
                R"("kind":"idempotent","service":"s","timeout-ms":3000,"target-latency-ms":200,)"
                R"("max-attempts":2,"priority":1,"public":false,"sticky":false}})",
                i == 0 ? "" : ",", core::hash_pair(i, 1) >> 36U, core::hash_pair(i, 2) >> 32U,
                core::hash_pair(i, 3) >> 44U);
        }
        return {"config",
                fmt::format(R"({{"version":{},"routes":[{}],"services":[{{"name":"s"}}],)"
                            R"("limits":{{}},"tenants":[]}})",
                            number, listed),
                version, false};
    }

    /// Answers a read of the operators' table that has a configuration.
    void answer_configuration(std::uint64_t number, const core::store_version& version)
    {
        m_store.answer_read(
            followed_table::operators,
            table_rows{{configuration_row(number, version)}, version, store_time()});
    }

    /// Time that the store's clock shows.
    static std::chrono::milliseconds store_time()
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
            core::runtime_clock::now().time_since_epoch());
    }

    std::uint64_t configuration_in_force() const
    {
        return m_state.m_routes ? m_state.m_routes->config().m_version : 0;
    }

    platform::caller_codec m_codec;
    counting_reader m_decoder;
    scripted_store m_store;
    silent_engines m_engines;
    relay_state m_state;
    fleet_member m_member;
    fleet_service m_service;
};

} // namespace tarragontrail::test
