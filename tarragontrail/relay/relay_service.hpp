#pragma once

#include "tarragontrail/net/http_server.hpp"
#include "tarragontrail/relay/relay_state.hpp"

#include <memory>
#include <optional>

namespace tarragontrail::relay {

/// Bounds on what callers make the relay hold.
struct listener_bounds
{
    std::size_t m_connections = 1'500;           ///< Callers' connections at most.
    std::size_t m_passed_on_connections = 1'500; ///< Those of other instances.
    /// Bounds what all these connections hold.
    std::shared_ptr<net::memory_account> m_memory = net::memory_account::unlimited();
    int m_receive_buffer_bytes = 0; ///< See net::http_server_settings.
};

/// Listens for callers and creates a session for each request.
class relay_service
{
public:
    /// Binds at once; throws boost::system::system_error when the address is in use.
    /// `peers` is where other instances pass requests on to this one.
    relay_service(relay_state& state, const net::tcp::endpoint& endpoint,
                  const listener_bounds& bounds,
                  const std::optional<net::tcp::endpoint>& peers = std::nullopt);
    ~relay_service();
    relay_service(const relay_service&) = delete;
    relay_service& operator=(const relay_service&) = delete;

    /// Applies the caller limits of the configuration in force.
    void apply_limits();

    /// Continues to serve, but closes each connection after its next response.
    void announce_leaving();

    /// Continues to serve, but closes each connection after its next response even when the caller
    /// has sent more requests behind it.
    void end_pipelines();

    /// Bound port, also when the endpoint's port was zero.
    std::uint16_t port() const { return m_server.port(); }

    /// Same for requests that other instances pass on; zero when they pass none on.
    std::uint16_t peer_port() const { return m_peer_server ? m_peer_server->port() : 0; }

    /// Number of requests in progress.
    std::size_t in_flight() const noexcept { return m_state.m_sessions.size(); }

    /// Answers every request in progress with what is certain of it.
    void give_up_requests();

    /// True when the process can end without losing a response.
    bool is_idle() const;

    /// Number of responses that are ended and not yet written whole.
    std::size_t unsent_responses() const
    {
        const std::size_t busy = busy_count();
        return busy > in_flight() ? busy - in_flight() : 0;
    }

private:
    void on_request(const std::shared_ptr<net::http_exchange>& exchange, bool is_passed_on);
    net::http_server_settings passed_on_settings() const;
    std::size_t busy_count() const;

    relay_state& m_state;
    listener_bounds m_bounds;
    net::http_server_settings m_settings;
    net::http_server m_server;
    std::unique_ptr<net::http_server> m_peer_server; ///< Null when no peers pass requests on.
};

} // namespace tarragontrail::relay
