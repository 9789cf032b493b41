#pragma once

#include "tarragontrail/net/duty.hpp"
#include "unit_tests/platform/restorable_store.hpp"
#include "unit_tests/stand_ins/loop_client.hpp"

namespace tarragontrail::test {

/// Limits on callers in the configuration that a relay_machine gets.
struct caller_bounds
{
    std::size_t m_header_bytes = std::size_t{16} * 1024;
    std::size_t m_body_bytes = std::size_t{4} * 1024 * 1024;
    std::chrono::milliseconds m_header_timeout{3'000};
    std::chrono::milliseconds m_idle_timeout{15'000};
};

/// One tarragontrail-relay process as the deploy file starts it, with a store and a service on a
/// thread of their own.
class relay_machine
{
public:
    /// Answers on /a/large have this length.
    static constexpr std::size_t large_answer_bytes = 3'000'000;

    /// `flags` follow those of the deploy file.
    explicit relay_machine(const caller_bounds& bounds = {},
                           const std::vector<std::string>& flags = {});
    ~relay_machine();
    relay_machine(const relay_machine&) = delete;
    relay_machine& operator=(const relay_machine&) = delete;

    net::tcp::endpoint callers() const { return endpoint(caller_port); }
    net::tcp::endpoint directory() const { return endpoint(directory_port); }
    net::tcp::endpoint readiness() const { return endpoint(ready_port); }
    net::tcp::endpoint peers() const { return endpoint(peer_port); }
    net::tcp::endpoint passed_on() const { return endpoint(peer_port + 1); }
    net::tcp::endpoint metrics() const { return endpoint(metrics_port); }

    /// Head of a request that the configuration allows, without framing and the empty line.
    static std::string request_head(const std::string& method, const std::string& path);

    pid_t process() const noexcept { return m_process; }

    /// One request, sent again while it is refused; whether it was answered whole with 200.
    bool answers_request(const std::string& body = "question");

    /// Whether a port answers one GET with 200, asked again while it does not.
    bool answers_get(const net::tcp::endpoint& at, const std::string& path);

private:
    static constexpr std::uint16_t caller_port = 8606;
    static constexpr std::uint16_t ready_port = 8605;
    static constexpr std::uint16_t directory_port = 8603;
    static constexpr std::uint16_t peer_port = 7600;
    static constexpr std::uint16_t metrics_port = 7615;

    net::tcp::endpoint endpoint(std::uint16_t port) const
    {
        return net::make_endpoint(m_address, port);
    }
    void serve(net::http_exchange& exchange);
    void start_process(const std::vector<std::string>& flags);
    template <class Request>
    bool ask_until_answered(const net::tcp::endpoint& at, const Request& make_request);

    std::string m_address; ///< Of this machine alone.
    net::duty m_platform;  ///< Thread of the store and the service.
    restorable_store m_store;
    net::http_server m_service;
    loop_client m_loop;           ///< Ordinary callers.
    std::uint64_t m_requests = 0; ///< Ordinary requests sent.
    pid_t m_process = 0;
};

} // namespace tarragontrail::test
