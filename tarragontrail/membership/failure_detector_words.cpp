// Part of failure_detector that exchanges words on members.
#include "tarragontrail/membership/failure_detector.hpp"

#include "tarragontrail/core/invariant.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace tarragontrail::membership {

namespace {

auto version_of(const member_word& word) noexcept
{
    return std::tuple(word.m_incarnation, word.m_refutation, word.m_liveness);
}

} // namespace

void failure_detector::hear(core::instance_id sender, core::view_number view)
{
    m_actions.emplace_back(view_number_received{sender, view});
    const auto found = m_peers.find(sender);
    if (found == m_peers.end())
    {
        return;
    }
    found->second.m_heard = true;
    mark_answered(sender);
}

void failure_detector::mark_answered(core::instance_id member)
{
    const auto found = m_peers.find(member);
    if (found != m_peers.end())
    {
        found->second.m_silent_since.reset();
    }
}

void failure_detector::answer_relays(const ping_ack& message, core::time_point /*now*/)
{
    const auto found = std::find_if(m_relays.begin(), m_relays.end(), [&](const relay& each) {
        return each.m_sequence == message.m_sequence;
    });
    if (found == m_relays.end())
    {
        return;
    }
    ping_ack answer = make_message<ping_ack>(found->m_requester);
    answer.m_subject = message.m_subject;
    answer.m_sequence = found->m_requester_sequence;
    if (m_peers.contains(message.m_subject))
    {
        answer.m_members.push_back(word_on(message.m_subject));
    }
    m_actions.emplace_back(send_ping_ack{found->m_requester, std::move(answer)});
    m_relays.erase(found);
}

member_word failure_detector::own_word() const noexcept
{
    const liveness own = m_leaving ? liveness::left : liveness::alive;
    return {m_self, m_started, m_refutation, static_cast<std::uint64_t>(own)};
}

member_word failure_detector::word_on(core::instance_id member) const
{
    const peer& held = m_peers.at(member);
    return {member, held.m_incarnation, held.m_refutation,
            static_cast<std::uint64_t>(held.m_liveness)};
}

std::vector<member_word> failure_detector::take_words(core::instance_id receiver)
{
    std::vector<member_word> words{own_word()};

    // The receiver learns what is held of it, so that it can refute.
    const auto about = m_peers.find(receiver);
    if (about != m_peers.end() && about->second.m_liveness != liveness::alive)
    {
        words.push_back(word_on(receiver));
    }
    const std::size_t limit = transmit_limit(transmit_factor, m_peers.size() + 1);
    const std::size_t count = std::min(m_settings.m_max_words, m_news.size());
    const auto end = m_news.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(m_news.begin(), end, m_news.end());
    for (std::size_t i = 0; i < count; ++i)
    {
        words.push_back(word_on(m_news[i].m_member));
        ++m_news[i].m_sent;
    }
    std::erase_if(m_news, [limit](const news& each) { return each.m_sent >= limit; });
    return words;
}

void failure_detector::accept_words(const std::vector<member_word>& words)
{
    for (const member_word& word : words)
    {
        accept_word(word);
    }
}

void failure_detector::accept_word(const member_word& word)
{
    if (word.m_liveness > static_cast<std::uint64_t>(liveness::failed))
    {
        return;
    }
    if (word.m_member == m_self)
    {
        refute(word);
        return;
    }
    if (m_peers.contains(word.m_member) && version_of(word) > version_of(word_on(word.m_member)))
    {
        change(word.m_member, word);
    }
}

void failure_detector::refute(const member_word& word)
{
    const member_word own = own_word();
    if (word.m_incarnation != m_started || version_of(word) <= version_of(own))
    {
        return;
    }
    m_refutation = word.m_refutation + 1;
    TARRAGONTRAIL_INVARIANT(version_of(own_word()) > version_of(word),
                            "a refutation outranks what it refutes");
}

void failure_detector::change(core::instance_id member, const member_word& word)
{
    peer& held = m_peers[member];
    const auto state = static_cast<liveness>(word.m_liveness);
    const bool is_news = state != held.m_liveness || word.m_incarnation != held.m_incarnation;
    held.m_incarnation = word.m_incarnation;
    held.m_refutation = word.m_refutation;
    held.m_liveness = state;
    if (state == liveness::alive)
    {
        held.m_silent_since.reset();
    }
    std::erase_if(m_news, [member](const news& each) { return each.m_member == member; });
    m_news.push_back({0, member});
    if (is_news)
    {
        m_actions.emplace_back(member_changed{member, word.m_incarnation, state});
    }
}

void failure_detector::accept_items(const std::vector<gossip_item>& items)
{
    for (const gossip_item& item : items)
    {
        if (m_gossip.add(item))
        {
            m_actions.emplace_back(item_received{item});
        }
    }
}

std::vector<gossip_item> failure_detector::take_items()
{
    return m_gossip.take(m_settings.m_max_item_bytes, m_peers.size() + 1);
}

} // namespace tarragontrail::membership
