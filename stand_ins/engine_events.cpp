#include "stand_ins/engine_events.hpp"

namespace tarragontrail::stand_ins {

engine_events::engine_events(boost::asio::io_context& context, std::chrono::milliseconds delay,
                             double loss, std::uint64_t seed)
    : m_context(context), m_delay(delay), m_loss(loss), m_random(seed), m_keep_alive_timer(context)
{
    send_keep_alive();
}

void engine_events::subscribe(const exchange_pointer& exchange)
{
    net::http_response head;
    head.set(boost::beast::http::field::content_type, "text/event-stream");
    exchange->begin_stream(std::move(head));
    exchange->write(": connected\n\n");
    m_subscribers.push_back(exchange);
    exchange->on_client_gone([this, gone = std::weak_ptr(exchange)](net::close_cause) {
        std::erase(m_subscribers, gone.lock());
    });
}

void engine_events::publish(const cache_change& change)
{
    if (change.m_stored.empty() && change.m_evicted.empty())
    {
        return;
    }
    ++m_sequence;
    const nlohmann::json event{{"incarnation", m_incarnation},
                               {"sequence", m_sequence},
                               {"stored", change.m_stored},
                               {"evicted", change.m_evicted}};
    const std::string line = "data: " + event.dump() + "\n\n";
    run_after(m_context, m_delay, [this, line, incarnation = m_incarnation] {
        if (incarnation == m_incarnation && !m_silent)
        {
            send(line);
        }
    });
}

void engine_events::restart(std::uint64_t incarnation)
{
    m_incarnation = incarnation;
    m_sequence = 0;
    m_subscribers.clear();
}

void engine_events::send(const std::string& line)
{
    // A write may end a stream, which shortens the list.
    const std::vector<exchange_pointer> subscribers = m_subscribers;
    for (const exchange_pointer& subscriber : subscribers)
    {
        if (m_random.unit() >= m_loss)
        {
            subscriber->write(line);
        }
    }
}

void engine_events::send_keep_alive()
{
    m_keep_alive_timer.run_after(keep_alive_interval, [this] {
        const std::vector<exchange_pointer> subscribers = m_subscribers;
        for (const exchange_pointer& subscriber : subscribers)
        {
            if (!m_silent)
            {
                subscriber->write(": keep-alive\n\n");
            }
        }
        send_keep_alive();
    });
}

} // namespace tarragontrail::stand_ins
