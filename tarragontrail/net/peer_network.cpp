#include "tarragontrail/net/peer_network.hpp"

#include "tarragontrail/observe/log.hpp"

#include <algorithm>

namespace tarragontrail::net {

using boost::system::error_code;

peer_network::peer_network(boost::asio::io_context& context, const tcp::endpoint& endpoint,
                           const wire::hello& own_name, const peer_link_settings& settings,
                           peer_network_listener& listener)
    : m_context(context), m_acceptor(context), m_accept_timer(context), m_own_name(own_name),
      m_settings(settings), m_listener(listener)
{
    m_acceptor.open(endpoint.protocol());
    m_acceptor.set_option(tcp::acceptor::reuse_address(true));
    if (settings.m_receive_buffer_bytes > 0)
    {
        m_acceptor.set_option(
            boost::asio::socket_base::receive_buffer_size(settings.m_receive_buffer_bytes));
    }
    m_acceptor.bind(endpoint);
    m_acceptor.listen();
    accept();
}

peer_network::~peer_network()
{
    error_code ignored;
    m_acceptor.close(ignored);
    for (const auto& link : m_links)
    {
        link->abandon();
    }
}

void peer_network::set_peers(const std::vector<peer_address>& peers)
{
    std::map<core::instance_id, tcp::endpoint> known;
    for (const peer_address& peer : peers)
    {
        known[peer.m_instance] = peer.m_endpoint;
    }

    // A moved or departed peer's outgoing link is of no more use.
    for (const auto& [instance, endpoint] : m_peers)
    {
        const auto found = known.find(instance);
        if (found != known.end() && found->second == endpoint)
        {
            continue;
        }
        m_routes.erase(instance);
    }
    m_peers = std::move(known);
}

bool peer_network::send(core::instance_id peer, const encoded_message& message)
{
    const auto route = m_routes.find(peer);
    if (route != m_routes.end())
    {
        return route->second->send(message);
    }
    const auto address = m_peers.find(peer);
    if (address == m_peers.end())
    {
        return false;
    }
    const auto link =
        std::make_shared<peer_link>(tcp::socket(m_context), wire::websocket_role::client,
                                    m_own_name, m_settings, *this, m_traffic);
    m_links.insert(link);
    m_routes[peer] = link.get();
    link->connect(address->second);
    return link->send(message);
}

void peer_network::replace_quiet_link(core::instance_id peer)
{
    const auto route = m_routes.find(peer);
    if (route != m_routes.end() &&
        route->second->silence(core::runtime_clock::now()) > m_settings.m_quiet_time)
    {
        m_routes.erase(route);
    }
}

void peer_network::accept()
{
    m_acceptor.async_accept([this](error_code error, tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted)
        {
            return;
        }
        if (error)
        {
            // A connection that cannot be accepted stays in the queue, so a try at once fails too.
            observe::log("accept_failed", {{"reason", error.message()}});
            m_accept_timer.run_after(accept_retry_delay, [this] { accept(); });
            return;
        }
        take(std::move(socket));
        accept();
    });
}

void peer_network::take(tcp::socket socket)
{
    if (m_links.size() >= m_settings.m_accepted_limit && !close_unnamed_link())
    {
        observe::log("peer_link_refused", {{"links", m_links.size()}});
        return;
    }
    const auto link = std::make_shared<peer_link>(std::move(socket), wire::websocket_role::server,
                                                  m_own_name, m_settings, *this, m_traffic);
    m_links.insert(link);
    link->serve();
}

/// What connects without being an instance does not keep out the others.
bool peer_network::close_unnamed_link()
{
    const auto unnamed = std::find_if(m_links.begin(), m_links.end(), [](const auto& link) {
        return link->is_accepted() && core::value_of(link->peer()) == 0;
    });
    if (unnamed == m_links.end())
    {
        return false;
    }
    (*unnamed)->abandon();
    m_links.erase(unnamed);
    return true;
}

void peer_network::on_link_named(peer_link& link, core::instance_id peer)
{
    // A sound route stays, so that messages to one peer keep their order.
    replace_quiet_link(peer);
    m_routes.try_emplace(peer, &link);
}

void peer_network::on_link_message(peer_link& link, const wire::message& message)
{
    m_listener.on_peer_message(link.peer(), message);
}

void peer_network::on_link_closed(peer_link& link)
{
    std::erase_if(m_routes, [&link](const auto& route) { return route.second == &link; });
    m_links.erase(link.shared_from_this());
}

} // namespace tarragontrail::net
