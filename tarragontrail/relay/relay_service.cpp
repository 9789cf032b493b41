#include "tarragontrail/relay/relay_service.hpp"

#include "tarragontrail/observe/log.hpp"
#include "tarragontrail/relay/relay_session.hpp"

#include <algorithm>
#include <limits>

namespace tarragontrail::relay {
namespace {

constexpr std::chrono::milliseconds shortest_timeout{1};

/// Headers that an instance adds to a request that it passes on.
constexpr std::uint32_t peer_header_bytes = 1'024;

/// Longer than other instances keep connections for requests that they pass on.
constexpr std::chrono::milliseconds peer_keep_alive_timeout{15'000};

/// Longer ones overflow the clock.
constexpr std::chrono::milliseconds longest_timeout = std::chrono::hours(24 * 365);

/// Retry delay reported when the memory for clients is used up: those that hold much for long give
/// it back first.
constexpr std::chrono::milliseconds no_memory_retry_after{500};

net::http_server_settings first_settings(const listener_bounds& bounds)
{
    net::http_server_settings settings;
    settings.m_connection_limit = bounds.m_connections;
    settings.m_memory = bounds.m_memory;
    settings.m_receive_buffer_bytes = bounds.m_receive_buffer_bytes;
    return settings;
}

unsigned status_of(net::request_fault fault)
{
    switch (fault)
    {
    case net::request_fault::malformed:
        return 400;
    case net::request_fault::head_too_large:
        return 431;
    case net::request_fault::body_too_large:
        return 413;
    case net::request_fault::too_slow:
        return 408;
    case net::request_fault::unanswered:
        return 500;
    case net::request_fault::no_memory:
        return 503;
    }
    return 400;
}

/// `to_instance` is set for a request that another instance passes on.
net::http_response answer_fault(const http_codec& codec, net::request_fault fault, bool to_instance)
{
    if (fault == net::request_fault::no_memory)
    {
        return codec.encode(
            refusal{refusal_reason::overloaded, no_memory_retry_after, {}, to_instance});
    }
    const unsigned status = status_of(fault);
    observe::log("request_refused", {{"status", status}});
    net::http_response answer;
    answer.result(status);
    return answer;
}

} // namespace

relay_service::relay_service(relay_state& state, const net::tcp::endpoint& endpoint,
                             const listener_bounds& bounds,
                             const std::optional<net::tcp::endpoint>& peers)
    : m_state(state), m_bounds(bounds), m_settings(first_settings(bounds)),
      m_server(
          state.m_context, endpoint, m_settings,
          [this](const std::shared_ptr<net::http_exchange>& exchange) {
              on_request(exchange, false);
          },
          [&state](net::request_fault fault) { return answer_fault(state.m_codec, fault, false); })
{
    if (peers)
    {
        m_peer_server = std::make_unique<net::http_server>(
            m_state.m_context, *peers, passed_on_settings(),
            [this](const std::shared_ptr<net::http_exchange>& exchange) {
                on_request(exchange, true);
            },
            [this](net::request_fault fault) {
                return answer_fault(m_state.m_codec, fault, true);
            });
    }
    m_state.m_on_config = [this] { apply_limits(); };
}

relay_service::~relay_service()
{
    m_state.m_on_config = nullptr;
}

void relay_service::apply_limits()
{
    const caller_limits& limits = m_state.m_routes->config().m_limits;
    m_settings.m_header_limit_bytes = static_cast<std::uint32_t>(
        std::min<std::uint64_t>(limits.m_header_bytes, std::numeric_limits<std::uint32_t>::max()));
    m_settings.m_body_limit_bytes = limits.m_body_bytes;
    m_settings.m_read_timeout =
        std::clamp(limits.m_header_timeout, shortest_timeout, longest_timeout);
    m_settings.m_keep_alive_timeout =
        std::clamp(limits.m_idle_timeout, shortest_timeout, longest_timeout);
    m_server.update(m_settings);
    if (m_peer_server)
    {
        m_peer_server->update(passed_on_settings());
    }
    observe::log("limits_in_force", {{"config", m_state.m_routes->config().m_version},
                                     {"head_bytes", m_settings.m_header_limit_bytes},
                                     {"body_bytes", m_settings.m_body_limit_bytes},
                                     {"read_timeout_ms", m_settings.m_read_timeout.count()},
                                     {"idle_timeout_ms", m_settings.m_keep_alive_timeout.count()}});
}

/// Those of callers, with room for what an instance adds.
net::http_server_settings relay_service::passed_on_settings() const
{
    net::http_server_settings settings = m_settings;
    settings.m_connection_limit = m_bounds.m_passed_on_connections;
    settings.m_header_limit_bytes +=
        std::min(peer_header_bytes,
                 std::numeric_limits<std::uint32_t>::max() - settings.m_header_limit_bytes);
    settings.m_keep_alive_timeout =
        std::max(settings.m_keep_alive_timeout, peer_keep_alive_timeout);
    return settings;
}

void relay_service::give_up_requests()
{
    // A session leaves the set when it ends.
    const auto sessions = m_state.m_sessions;
    for (const auto& session : sessions)
    {
        session->give_up();
    }
}

bool relay_service::is_idle() const
{
    return in_flight() == 0 && busy_count() == 0 && !m_server.has_arrivals() &&
           !(m_peer_server && m_peer_server->has_arrivals());
}

std::size_t relay_service::busy_count() const
{
    return m_server.busy_count() + (m_peer_server ? m_peer_server->busy_count() : 0);
}

void relay_service::announce_leaving()
{
    m_server.announce_leaving();
    if (m_peer_server)
    {
        m_peer_server->announce_leaving();
    }
}

void relay_service::end_pipelines()
{
    m_server.end_pipelines();
    if (m_peer_server)
    {
        m_peer_server->end_pipelines();
    }
}

void relay_service::on_request(const std::shared_ptr<net::http_exchange>& exchange,
                               bool is_passed_on)
{
    std::shared_ptr<relay_session> session;
    try
    {
        caller_request request = is_passed_on
                                     ? m_state.m_codec.decode_passed_on(exchange->take_request())
                                     : m_state.m_codec.decode(exchange->take_request());
        session = std::make_shared<relay_session>(m_state, exchange, std::move(request));
        session->start();
    }
    catch (const request_error& failure)
    {
        observe::log("request_refused", {{"reason", failure.what()}});
        exchange->respond(m_state.m_codec.encode(refusal{refusal_reason::malformed, {}, {}}));
    }
    catch (const std::exception& failure)
    {
        // The session may have no deadline yet; without a session the server answers.
        observe::log("request_failed", {{"reason", failure.what()}});
        if (session)
        {
            session->give_up();
        }
    }
}

} // namespace tarragontrail::relay
