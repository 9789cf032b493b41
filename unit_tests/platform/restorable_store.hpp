#pragma once

#include "platform/base64.hpp"
#include "tarragontrail/net/http_server.hpp"
#include "tarragontrail/net/timer.hpp"

#include <boost/asio/ip/address_v4.hpp>
#include <fmt/format.h>
#include <map>
#include <nlohmann/json.hpp>
#include <vector>

namespace tarragontrail::test {

/// Stand-in for the platform's table store that can come back from an older copy.
class restorable_store
{
public:
    /// Rows and the newest version of a moment.
    struct copy
    {
        std::map<std::pair<std::string, std::string>, std::pair<std::string, std::uint64_t>> m_rows;
        std::uint64_t m_version = 0;
    };

    explicit restorable_store(boost::asio::io_context& context)
        : m_wait_timer(context),
          m_server(
              context, {boost::asio::ip::address_v4::loopback(), 0}, {},
              [this](const std::shared_ptr<net::http_exchange>& exchange) { serve(exchange); },
              [](net::request_fault) { return net::make_json_response(400, "{}"); })
    {
        end_waits();
    }

    std::uint16_t port() const { return m_server.port(); }

    /// Writes a row; an empty value removes it.
    void put(const std::string& table, const std::string& key, const std::string& value)
    {
        m_now.m_rows[{table, key}] = {value, ++m_now.m_version};
        answer_waiting();
    }

    copy take_copy() const { return m_now; }

    /// Loses what was written since the copy, and all calls under way.
    void restore(const copy& older)
    {
        m_now = older;
        ++m_era;
        for (const waiting_call& call : std::exchange(m_waiting, {}))
        {
            call.m_exchange->abort();
        }
    }

    /// Sends the answers of writes that were held back.
    void release_answers()
    {
        for (const held_answer& held : std::exchange(m_held, {}))
        {
            held.m_exchange->respond(held.m_response);
        }
    }

    bool m_is_away = false;           ///< Calls get 503.
    bool m_is_holding_writes = false; ///< Writes take effect, and their answers are held back.
    std::uint64_t m_era = 1;          ///< In all answers.
    copy m_now;                       ///< What the store has.
    int m_writes = 0;                 ///< Transactions that arrived.

private:
    using json = nlohmann::json;

    /// Call for changes that has none yet.
    struct waiting_call
    {
        std::shared_ptr<net::http_exchange> m_exchange;
        core::time_point m_end; ///< When it is answered without rows.
    };

    /// Answer of a write that is sent later.
    struct held_answer
    {
        std::shared_ptr<net::http_exchange> m_exchange;
        net::http_response m_response;
    };

    void end_waits()
    {
        answer_waiting();
        m_wait_timer.run_after(std::chrono::milliseconds(20), [this] { end_waits(); });
    }

    net::http_response make_answer(unsigned status, json document) const
    {
        document["ver"] = m_now.m_version;
        net::http_response response = net::make_json_response(status, document.dump());
        response.set("Store-Era", std::to_string(m_era));
        return response;
    }

    void answer(net::http_exchange& exchange, unsigned status, const json& document) const
    {
        exchange.respond(make_answer(status, document));
    }

    void serve(const std::shared_ptr<net::http_exchange>& exchange)
    {
        const std::string_view target = net::target_of(exchange->request());
        if (m_is_away)
        {
            exchange->respond(net::make_json_response(503, "{}"));
            return;
        }
        if (net::path_of(target) == "/-/rows-get")
        {
            answer(*exchange, 200, {{"rows", rows_after(net::query_value(target, "table"), 0)}});
            return;
        }
        if (net::path_of(target) == "/-/rows-tx")
        {
            transact(exchange);
            return;
        }
        const std::chrono::milliseconds wait(std::stoull(net::query_value(target, "wait-ms")));
        m_waiting.push_back({exchange, core::runtime_clock::now() + wait});
        answer_waiting();
    }

    void answer_waiting()
    {
        for (const waiting_call& call : std::exchange(m_waiting, {}))
        {
            const auto& exchange = call.m_exchange;
            const std::string_view target = net::target_of(exchange->request());
            const std::uint64_t after = std::stoull(net::query_value(target, "after"));
            if (after > m_now.m_version)
            {
                answer(*exchange, 410, json::object());
                continue;
            }
            const json rows = rows_after(net::query_value(target, "table"), after, true);
            if (rows.empty() && core::runtime_clock::now() < call.m_end)
            {
                m_waiting.push_back(call);
                continue;
            }
            answer(*exchange, 200, {{"rows", rows}});
        }
    }

    void transact(const std::shared_ptr<net::http_exchange>& exchange)
    {
        ++m_writes;
        const json call = json::parse(exchange->request().body());
        for (const json& expected : call.at("expected"))
        {
            const auto found = m_now.m_rows.find({expected.at("table"), expected.at("key")});
            const std::uint64_t version = found == m_now.m_rows.end() || found->second.first.empty()
                                              ? 0
                                              : found->second.second;
            if (version != expected.at("ver").get<std::uint64_t>())
            {
                answer(*exchange, 412, {{"rows", json::array()}});
                return;
            }
        }
        for (const json& row : call.at("set-keys"))
        {
            m_now.m_rows[{row.at("table"), row.at("key")}] = {
                platform::from_base64(row.at("value").get<std::string>()), m_now.m_version + 1};
        }
        ++m_now.m_version;
        if (m_is_holding_writes)
        {
            m_held.push_back({exchange, make_answer(200, json::object())});
        }
        else
        {
            answer(*exchange, 200, json::object());
        }
        answer_waiting();
    }

    json rows_after(const std::string& table, std::uint64_t after, bool with_deleted = false) const
    {
        std::map<std::uint64_t, json> found;
        for (const auto& [name, row] : m_now.m_rows)
        {
            const auto& [value, version] = row;
            if (name.first != table || version <= after || (value.empty() && !with_deleted))
            {
                continue;
            }
            json entry{{"table", table}, {"part", ""}, {"key", name.second}, {"ver", version}};
            entry[value.empty() ? "deleted" : "value"] =
                value.empty() ? json(true) : json(platform::to_base64(value));
            found[version] = entry;
        }
        json rows = json::array();
        for (const auto& [version, row] : found)
        {
            rows.push_back(row);
        }
        return rows;
    }

    net::timer m_wait_timer;
    std::vector<waiting_call> m_waiting;
    std::vector<held_answer> m_held;
    net::http_server m_server;
};

} // namespace tarragontrail::test
