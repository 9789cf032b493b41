#pragma once

#include "tarragontrail/entry/caller_server.hpp"

#include <map>
#include <string>

namespace tarragontrail::entry {

/// Operators by the digest of their token.
class operator_directory
{
public:
    /// Reads `name=digest` pairs separated by commas, each digest the SHA-256 of a token in
    /// hexadecimal; throws config::setting_error on anything else.
    explicit operator_directory(const std::string& setting);

    /// Operator whose token came with a request; empty when there is none.
    std::string identify(const net::http_request& request) const;

private:
    std::map<config::sha256_digest, std::string> m_names; ///< Names by digest of the token.
};

/// Operators' HTTP listener: health, status, bundles, keys, quarantines.
class admin_server
{
public:
    /// `bounds` are those on what operators' connections hold.
    admin_server(net::duty& admin, control_port& control, control_plane& plane,
                 const caller_server& callers, operator_directory operators,
                 const net::http_server_settings& bounds);

    /// From now on the instance reports that it is not ready for callers.
    void set_draining() noexcept { m_draining = true; }

private:
    using exchange_pointer = std::shared_ptr<net::http_exchange>;

    void on_request(const exchange_pointer& exchange);
    void route(const exchange_pointer& exchange);
    void route_change(const exchange_pointer& exchange, const std::string& path,
                      const std::string& name);
    void answer_ready(const exchange_pointer& exchange);
    void answer_status(const exchange_pointer& exchange);
    void answer_bundle(const exchange_pointer& exchange);
    void check_bundle(const exchange_pointer& exchange);
    void submit_bundle(const exchange_pointer& exchange, const std::string& name);
    void move_draft(const exchange_pointer& exchange, const std::string& draft,
                    const std::string& step, const std::string& name);
    void advance_rollout(const exchange_pointer& exchange);
    void withdraw_key(const exchange_pointer& exchange, const std::string& name);
    void report_withdrawal(const exchange_pointer& exchange, core::time_point give_up);
    void clear_quarantine(const exchange_pointer& exchange, const std::string& fingerprint);
    void run(const exchange_pointer& exchange,
             const std::function<config::command_id(core::time_point)>& command);
    void ask(const exchange_pointer& exchange, const std::function<net::http_response()>& work);
    void respond(const exchange_pointer& exchange, net::http_response response);

    net::duty& m_admin;                  ///< Thread of this listener.
    control_port& m_control;             ///< Way to the control thread.
    control_plane& m_plane;              ///< Asked on its own thread only.
    const caller_server& m_callers;      ///< Counts of requests.
    operator_directory m_operators;      ///< Operators.
    std::atomic<bool> m_draining{false}; ///< Shutting down.
    net::http_server m_server;           ///< Listener.
};

} // namespace tarragontrail::entry
