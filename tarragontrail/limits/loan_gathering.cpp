// The part of admission_control that gathers a request's charge from the local share and from
// loans.
#include "tarragontrail/limits/admission_control.hpp"

#include "tarragontrail/core/invariant.hpp"

#include <algorithm>

namespace tarragontrail::limits {
namespace {

/// Time in which `amount` accrues at a workspace's whole rate, rounded up to whole milliseconds;
/// zero if the rate is zero.
std::chrono::milliseconds time_to_accrue(std::uint64_t amount, std::uint64_t rate)
{
    constexpr double milliseconds_per_second = 1000.0;
    if (rate == 0)
    {
        return {};
    }
    const double wait =
        static_cast<double>(amount) / static_cast<double>(rate) * milliseconds_per_second;
    return std::chrono::milliseconds(static_cast<std::int64_t>(wait) + 1);
}

} // namespace

void admission_control::on_loan_reply(core::instance_id from, const loan_reply& message,
                                      core::time_point now)
{
    outgoing_loan_request* sent = m_loan_requests.find(message.m_loan_id);
    if (sent == nullptr || sent->m_lender != from)
    {
        return;
    }
    outgoing_loan_request& pending = *sent;
    m_lenders_in_backoff.clear(from);
    if (workspace_limit* limit = find_limit(pending.m_workspace))
    {
        limit->lenders(make_context(*m_ownership.find_row(pending.m_workspace), now))
            .record_balance(from, message.m_left, now);
    }

    // A loan that was abandoned or has exceeded its lifetime is returned unused.
    const core::time_point usable_until = pending.m_requested_at + m_settings.m_loan_lifetime;
    if (pending.m_state == outgoing_loan_request::state::abandoned ||
        (pending.m_state == outgoing_loan_request::state::open && now >= usable_until))
    {
        send_settlement(from, pending.m_workspace, message.m_loan_id, 0);
    }
    if (pending.m_state != outgoing_loan_request::state::open)
    {
        return;
    }
    const auto place = m_requests.find(pending.m_request);
    TARRAGONTRAIL_INVARIANT(place != m_requests.end(), "limits.open_ask_has_request");
    admission_request& state = place->second;
    state.close_loan_request(pending.m_amount);
    pending.m_state = outgoing_loan_request::state::abandoned;
    state.find_contacted(from)->m_has_tokens_left = message.m_left > 0;
    if (message.m_granted && now < usable_until)
    {
        ++m_counts.m_loans_granted;
        pending.m_state = outgoing_loan_request::state::accepted;
        state.m_loans.push_back(
            {from, message.m_loan_id, std::min(message.m_amount, pending.m_amount), usable_until});
    }
    gather_charge(place, now);
}

void admission_control::gather_charge(request_map::iterator place, core::time_point now)
{
    admission_request& state = place->second;
    if (now >= state.m_deadline)
    {
        refuse_and_release(place, now);
        return;
    }
    drop_unusable_tokens(state, now);
    if (state.missing() == 0)
    {
        finish_admission(place->first, state);
        return;
    }
    request_loans(place->first, state, now);
    if (state.m_open_loan_requests == 0)
    {
        refuse_and_release(place, now);
    }
}

void admission_control::request_loans(core::request_id request, admission_request& state,
                                      core::time_point now)
{
    workspace_limit* limit = find_limit(state.m_workspace);
    const std::uint64_t lacking = state.missing();
    if (limit == nullptr || state.m_open_amount >= lacking)
    {
        return;
    }
    const lender_registry& registry =
        limit->lenders(make_context(*m_ownership.find_row(state.m_workspace), now));
    if (state.m_contacted.empty() &&
        registry.is_known_exhausted(lacking, m_settings.m_max_balance_age, now))
    {
        return;
    }

    // A lender is contacted a second time only if its reply reported a remaining balance.
    registry.rank(m_lenders_in_backoff, now, m_candidates);
    std::erase_if(m_candidates, [&](lender_candidate& each) {
        const contacted_lender* contacted = state.find_contacted(each.m_instance);
        each.m_was_contacted = contacted != nullptr;
        return each.m_was_contacted && (contacted->m_is_repeated || !contacted->m_has_tokens_left);
    });

    // A single lender is contacted if its estimated balance suffices, otherwise as many as needed.
    // The last new candidate is sent a request for up to its whole burst, regardless of its
    // estimate.
    std::uint64_t wanted = lacking - state.m_open_amount;
    for (std::size_t index = 0; index < m_candidates.size() && wanted > 0; ++index)
    {
        const lender_candidate& next = m_candidates[index];
        const bool is_last = index + 1 == m_candidates.size();
        const std::uint64_t max_amount =
            is_last && !next.m_was_contacted ? next.m_burst : next.m_estimated_balance;
        const std::uint64_t amount = std::min(wanted, max_amount);
        if (amount == 0)
        {
            continue;
        }
        request_loan(request, state, next.m_instance, amount, now);
        wanted -= amount;
    }
}

void admission_control::request_loan(core::request_id request, admission_request& state,
                                     core::instance_id lender, std::uint64_t amount,
                                     core::time_point now)
{
    const std::uint64_t loan_id = m_loan_requests.add(
        {request, state.m_workspace, lender, amount, now, outgoing_loan_request::state::open},
        m_settings);
    state.add_loan_request(lender, loan_id, amount);
    ++m_counts.m_loan_requests_sent;
    m_actions.emplace_back(
        send_to<loan_request>{lender, {loan_id, state.m_workspace, amount, m_view}});
}

void admission_control::drop_unusable_tokens(admission_request& state, core::time_point now)
{
    if (state.m_own_tokens > 0 && own_share(state) == nullptr)
    {
        state.m_own_tokens = 0;
    }
    for (std::size_t index = 0; index < state.m_loans.size();)
    {
        const received_loan part = state.m_loans[index];
        if (now < part.m_usable_until)
        {
            ++index;
            continue;
        }
        send_settlement(part.m_lender, state.m_workspace, part.m_loan_id, 0);
        state.m_loans.erase(state.m_loans.begin() + static_cast<std::ptrdiff_t>(index));
    }
}

void admission_control::finish_admission(core::request_id request, admission_request& state)
{
    TARRAGONTRAIL_INVARIANT(state.missing() == 0, "limits.admitted_with_whole_charge");
    abandon_loan_requests(state);
    if (state.m_own_tokens > 0)
    {
        token_bucket& bucket = own_share(state)->bucket();
        bucket.consume_reserved(state.m_own_tokens);
        state.m_own_refund_mark = bucket.mark();
    }
    state.m_is_admitted = true;
    ++m_counts.m_admitted;
    m_actions.emplace_back(admitted{request, state.m_charge / micro_tokens_per_token,
                                    static_cast<std::uint32_t>(state.m_loans.size())});
}

void admission_control::refuse_and_release(request_map::iterator place, core::time_point now)
{
    admission_request& state = place->second;
    const core::request_id request = place->first;
    const std::uint64_t lacking = state.missing();
    release_tokens(state);

    if (now >= state.m_deadline)
    {
        refuse(request, refusal_reason::deadline_expired, {});
    }
    else
    {
        const workspace_limit* limit = find_limit(state.m_workspace);
        const std::uint64_t rate = limit == nullptr ? 0 : limit->quota().m_limit.m_rate;
        refuse(request,
               state.m_lender_timed_out ? refusal_reason::homes_unreachable
                                        : refusal_reason::rate_exceeded,
               time_to_accrue(lacking, rate));
    }
    m_requests.erase(place);
}

void admission_control::release_tokens(admission_request& state)
{
    abandon_loan_requests(state);
    home_share* share = own_share(state);
    if (share != nullptr && state.m_own_tokens > 0)
    {
        share->bucket().release_reserved(state.m_own_tokens);
    }
    for (const received_loan& part : state.m_loans)
    {
        send_settlement(part.m_lender, state.m_workspace, part.m_loan_id, 0);
    }
}

void admission_control::end_workspace_requests(core::workspace_id workspace, core::time_point now)
{
    for (auto place = m_requests.begin(); place != m_requests.end();)
    {
        const auto current = place++;
        if (current->second.m_workspace != workspace)
        {
            continue;
        }
        if (!current->second.m_is_admitted)
        {
            refuse_and_release(current, now);
            continue;
        }
        current->second.m_own_tokens = 0;
        current->second.m_own_share_generation = 0;
    }
}

void admission_control::abandon_loan_requests(admission_request& state)
{
    if (state.m_open_loan_requests == 0)
    {
        return;
    }
    for (const contacted_lender& each : state.m_contacted)
    {
        if (!m_loan_requests.abandon(each.m_loan_id))
        {
            continue;
        }
        send_settlement(each.m_lender, state.m_workspace, each.m_loan_id, 0);
    }
    state.m_open_loan_requests = 0;
    state.m_open_amount = 0;
}

void admission_control::refund(admission_request& state, std::uint64_t unused, core::time_point now)
{
    // Refunds loans first, because their lenders need a settlement in any case.
    for (const received_loan& part : state.m_loans)
    {
        const std::uint64_t back = std::min(unused, part.m_amount);
        unused -= back;
        send_settlement(part.m_lender, state.m_workspace, part.m_loan_id, part.m_amount - back);
    }
    home_share* share = own_share(state);
    if (share != nullptr && unused > 0)
    {
        share->advance(m_settings, now);
        share->bucket().refund(std::min(unused, state.m_own_tokens), state.m_own_refund_mark);
    }
}

home_share* admission_control::own_share(const admission_request& state)
{
    const workspace_limit* limit = find_limit(state.m_workspace);
    const bool is_same =
        limit != nullptr && limit->share_generation() == state.m_own_share_generation;
    return is_same ? find_share(state.m_workspace) : nullptr;
}

void admission_control::time_out_loan_requests(core::time_point now)
{
    while (const auto loan_id = m_loan_requests.time_out_one(m_settings, now))
    {
        const outgoing_loan_request late = *m_loan_requests.find(*loan_id);
        ++m_counts.m_loan_requests_timed_out;
        m_lenders_in_backoff.back_off(late.m_lender, now + m_settings.m_lender_backoff);
        send_settlement(late.m_lender, late.m_workspace, *loan_id, 0);

        const auto place = m_requests.find(late.m_request);
        TARRAGONTRAIL_INVARIANT(place != m_requests.end(), "limits.open_ask_has_request");
        place->second.close_loan_request(late.m_amount);
        place->second.m_lender_timed_out = true;
        gather_charge(place, now);
    }
}

void admission_control::send_settlement(core::instance_id lender, core::workspace_id workspace,
                                        std::uint64_t loan_id, std::uint64_t used)
{
    m_actions.emplace_back(send_to<loan_settle>{lender, {loan_id, workspace, used}});
}

} // namespace tarragontrail::limits
