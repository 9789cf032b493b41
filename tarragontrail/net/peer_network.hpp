#pragma once

#include "tarragontrail/net/peer_link.hpp"

#include <boost/asio/io_context.hpp>
#include <map>
#include <set>

namespace tarragontrail::net {

/// Where another instance listens for peers.
struct peer_address
{
    core::instance_id m_instance{}; ///< Instance.
    tcp::endpoint m_endpoint;       ///< Its peer port.
};

/// Told of messages from other instances, on the network's thread.
class peer_network_listener
{
public:
    virtual ~peer_network_listener() = default;

    /// A peer sent a message.
    virtual void on_peer_message(core::instance_id from, const wire::message& message) = 0;
};

/// Links to other entry instances, opened when there is something to send.
class peer_network : public peer_link_listener
{
public:
    /// Binds at once; throws boost::system::system_error when the port is taken.
    peer_network(boost::asio::io_context& context, const tcp::endpoint& endpoint,
                 const wire::hello& own_name, const peer_link_settings& settings,
                 peer_network_listener& listener);
    ~peer_network() override;
    peer_network(const peer_network&) = delete;
    peer_network& operator=(const peer_network&) = delete;

    /// Replaces the addresses of all known peers; links to others close.
    void set_peers(const std::vector<peer_address>& peers);

    /// Queues a message; returns false when the peer is unknown or its link is full.
    bool send(core::instance_id peer, const encoded_message& message);
    bool send(core::instance_id peer, const wire::message& message)
    {
        return send(peer, encoded_message(message));
    }

    /// The next message to a peer opens a new link, unless the one in use has been heard a moment
    /// ago: a connection may go silent for good while new ones work.
    void replace_quiet_link(core::instance_id peer);

    /// Counts over all links since the start.
    const peer_traffic& traffic() const noexcept { return m_traffic; }

    /// Links that are open or opening.
    std::size_t link_count() const noexcept { return m_links.size(); }

private:
    void accept();
    void take(tcp::socket socket);
    bool close_unnamed_link();
    void on_link_named(peer_link& link, core::instance_id peer) override;
    void on_link_message(peer_link& link, const wire::message& message) override;
    void on_link_closed(peer_link& link) override;

    static constexpr std::chrono::milliseconds accept_retry_delay{100};

    boost::asio::io_context& m_context;                 ///< Event loop.
    tcp::acceptor m_acceptor;                           ///< Listening socket.
    timer m_accept_timer;                               ///< Next accept after one that failed.
    wire::hello m_own_name;                             ///< First message on each link.
    peer_link_settings m_settings;                      ///< For each link.
    peer_network_listener& m_listener;                  ///< Told of messages.
    peer_traffic m_traffic;                             ///< Counts over all links.
    std::map<core::instance_id, tcp::endpoint> m_peers; ///< Known peers.
    std::map<core::instance_id, peer_link*> m_routes;   ///< Link used to send to a peer.
    std::set<std::shared_ptr<peer_link>> m_links;       ///< Every link, either role.
};

} // namespace tarragontrail::net
