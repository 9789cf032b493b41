#pragma once

#include "tarragontrail/core/random.hpp"
#include "tarragontrail/limits/admission_control.hpp"
#include "unit_tests/limits/limit_checker.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <vector>

namespace tarragontrail::limits {

/// Chances and delays of the fake network and table.
struct network_settings
{
    std::size_t m_instances = 8;                    ///< Instances; every second one in region 2.
    double m_loss = 0.01;                           ///< Chance that a message is lost.
    double m_duplication = 0.01;                    ///< Chance that a message arrives twice.
    std::chrono::microseconds m_local_delay{1500};  ///< One way within a region.
    std::chrono::microseconds m_region_delay{8000}; ///< One way between regions.
    std::chrono::milliseconds m_late_delay{3000};   ///< Longest delay of a late message.
    double m_late = 0.01;                           ///< Chance that a message is late.
    double m_table_loss = 0.05; ///< Chance that a table request or its answer is lost.
    std::chrono::milliseconds m_list_lag{3000}; ///< Longest lag of the list of instances.
    bool m_ids_are_unique = false;              ///< An id that was replaced never comes back.
};

/// Runs several admission_control objects over a fake network, table and list of instances.
class limit_network
{
public:
    struct request_outcome
    {
        bool m_is_decided = false;
        bool m_is_admitted = false;
        refusal_reason m_reason{};
        std::uint32_t m_loans = 0;
        core::time_point m_decided_at;
    };

    limit_network(const limit_settings& settings, const network_settings& network,
                  std::uint64_t seed)
        : m_settings(settings), m_network(network), m_random(seed)
    {
        for (std::size_t index = 0; index < network.m_instances; ++index)
        {
            m_members.push_back({core::instance_id{100 + index}, core::region_id{index % 2}});
        }
        m_genesis = m_members;
        m_nodes.resize(network.m_instances);
        for (std::size_t index = 0; index < network.m_instances; ++index)
        {
            m_nodes[index].m_offset = std::chrono::seconds(m_random.below(1000));
            start(index);
        }
        at(m_now, [this] { tick(); });
    }

    /// Sets a workspace's limit; every instance hears of it within two seconds unless it is cut
    /// off.
    void set_limit(core::workspace_id workspace, std::uint64_t rate, std::uint64_t burst)
    {
        config& changed = m_configs[workspace];
        changed.m_history.push_back(
            {{rate * micro_tokens_per_token, burst * micro_tokens_per_token},
             changed.m_history.size() + 1});
        for (std::size_t index = 0; index < m_nodes.size(); ++index)
        {
            at(m_now + std::chrono::milliseconds(m_random.below(2000)),
               [this, index, workspace] { configure(index, workspace); });
        }
        note_limit(workspace);
    }

    /// Offers a request at an instance; `used` tokens are settled after `duration`.
    void offer(std::size_t index, std::uint64_t request, core::workspace_id workspace,
               std::uint64_t charge, std::uint64_t used, core::duration duration)
    {
        m_offers[request] = {index, workspace, charge, used, duration};
        m_outcomes[request] = {};
        deliver(index, [=](admission_control& control, core::time_point now) {
            control.admit(core::request_id{request}, workspace, charge,
                          now + std::chrono::seconds(2), now);
        });
    }

    void run_until(core::time_point end)
    {
        while (!m_events.empty() && m_events.top().m_at <= end)
        {
            const event next = m_events.top();
            m_events.pop();
            m_now = next.m_at;
            next.m_run();
        }
        m_now = end;
    }

    void run_for(core::duration span) { run_until(m_now + span); }

    /// Faults.
    void set_table_up(bool up) { m_table_is_up = up; }
    void set_lossless() { m_network.m_loss = m_network.m_late = m_network.m_table_loss = 0; }
    void set_cut(bool cut) { m_is_cut = cut; }
    void pause(std::size_t index, core::duration span)
    {
        m_nodes[index].m_paused_until = m_now + span;
    }
    void stop(std::size_t index)
    {
        m_nodes[index].m_control.reset();
        m_nodes[index].m_changes.push_back(m_now);
    }
    void start(std::size_t index)
    {
        node& started = m_nodes[index];
        if (started.m_control)
        {
            stop(index);
        }
        started.m_changes.push_back(m_now);
        started.m_timer.reset();
        started.m_control = std::make_unique<admission_control>(
            m_settings, m_members[index].m_instance, m_random());
        ++started.m_incarnation;
        const core::time_point now = m_now + started.m_offset;
        started.m_control->set_genesis(m_genesis, now);
        if (m_network.m_ids_are_unique)
        {
            started.m_control->confirm_rows(now);
        }
        for (const auto& [workspace, config] : m_configs)
        {
            configure(index, workspace);
        }
        learn(index);
    }

    /// Stops an instance for good and starts another one, with an id of its own.
    void replace(std::size_t index)
    {
        stop(index);
        m_members[index].m_instance = core::instance_id{0};
        const std::size_t added = m_nodes.size();
        m_members.push_back({core::instance_id{100 + added}, core::region_id{added % 2}});
        m_nodes.emplace_back();
        ++m_view;
        start(added);
    }

    bool is_up(std::size_t index) const { return m_nodes[index].m_control != nullptr; }
    bool reaches_table(std::size_t index) const
    {
        return m_table_is_up && !(m_is_cut && index % 2 == 1);
    }
    core::time_point now() const { return m_now; }
    std::size_t size() const { return m_nodes.size(); }
    const std::vector<member>& members() const { return m_members; }
    const request_outcome& outcome(std::uint64_t request) { return m_outcomes[request]; }
    const admission_control* control(std::size_t index) const
    {
        return m_nodes[index].m_control.get();
    }
    limit_checker& checker(core::workspace_id workspace) { return m_checkers[workspace]; }
    std::uint64_t table_writes() const { return m_table_writes; }
    std::uint64_t messages() const { return m_messages; }

    /// Largest number of instances that may use one share at this moment.
    std::size_t most_holders() const
    {
        std::size_t most = 0;
        for (const auto& [workspace, config] : m_configs)
        {
            std::map<std::size_t, std::size_t> holders;
            for (const node& each : m_nodes)
            {
                const workspace_limit* limit =
                    each.m_control ? each.m_control->find(workspace) : nullptr;
                if (limit == nullptr || limit->share() == nullptr ||
                    !limit->share()->is_usable(m_now + each.m_offset))
                {
                    continue;
                }
                most = std::max(most, ++holders[limit->share_index()]);
            }
        }
        return most;
    }

private:
    using call = std::function<void(admission_control&, core::time_point)>;

    struct event
    {
        core::time_point m_at;
        std::uint64_t m_serial = 0;
        std::function<void()> m_run;

        bool operator<(const event& other) const
        {
            return std::pair(m_at, m_serial) > std::pair(other.m_at, other.m_serial);
        }
    };

    struct node
    {
        std::unique_ptr<admission_control> m_control;
        core::duration m_offset{}; ///< Its clock's lead over the network's.
        core::time_point m_paused_until{};
        std::uint64_t m_incarnation = 0;
        std::optional<core::time_point> m_timer; ///< Earliest timer event in the queue.
        std::vector<core::time_point> m_changes; ///< Starts and stops by turns.
    };

    struct config
    {
        std::vector<workspace_quota> m_history;
        std::deque<std::pair<core::time_point, bucket_limit>> m_recent; ///< Largest limits in use.
    };

    struct offered
    {
        std::size_t m_index = 0;
        core::workspace_id m_workspace{};
        std::uint64_t m_charge = 0;
        std::uint64_t m_used = 0;
        core::duration m_duration{};
        std::size_t m_number = 0;
    };

    bool chance(double probability) { return m_random.unit() < probability; }

    void at(core::time_point when, std::function<void()> run)
    {
        m_events.push({when, m_serial++, std::move(run)});
    }

    /// Runs a call at an instance, after its pause if it is paused, not at all if it is down.
    void deliver(std::size_t index, const call& run)
    {
        node& receiver = m_nodes[index];
        if (!receiver.m_control)
        {
            return;
        }
        if (receiver.m_paused_until > m_now)
        {
            at(receiver.m_paused_until, [this, index, run, process = receiver.m_incarnation] {
                deliver_to(index, process, run);
            });
            return;
        }
        run(*receiver.m_control, m_now + receiver.m_offset);
        carry_out(index);
    }

    /// Runs a call at an instance unless it has been restarted since.
    void deliver_to(std::size_t index, std::uint64_t process, const call& run)
    {
        if (m_nodes[index].m_incarnation == process)
        {
            deliver(index, run);
        }
    }

    void carry_out(std::size_t index)
    {
        for (const action& each : m_nodes[index].m_control->take_actions())
        {
            std::visit([&](const auto& item) { perform(index, item); }, each);
        }
        const std::optional<core::time_point> due = m_nodes[index].m_control->next_deadline();
        if (!due)
        {
            return;
        }
        const core::time_point when = std::max(m_now, *due - m_nodes[index].m_offset);
        if (m_nodes[index].m_timer && *m_nodes[index].m_timer <= when)
        {
            return;
        }
        m_nodes[index].m_timer = when;
        at(when, [this, index, when, process = m_nodes[index].m_incarnation] {
            if (m_nodes[index].m_timer != when)
            {
                return;
            }
            m_nodes[index].m_timer.reset();
            deliver_to(index, process, [](admission_control& control, core::time_point now) {
                control.on_timer(now);
            });
        });
    }

    void perform(std::size_t, const admitted& item)
    {
        const std::uint64_t request = core::value_of(item.m_request);
        offered& offer = m_offers.at(request);
        m_outcomes[request] = {true, true, {}, item.m_loans, m_now};
        offer.m_number = m_checkers[offer.m_workspace].on_admitted(offer.m_charge, m_now);
        at(m_now + offer.m_duration, [this, request] { finish(request); });
    }

    void perform(std::size_t, const refused& item)
    {
        m_outcomes[core::value_of(item.m_request)] = {true, false, item.m_reason, 0, m_now};
        m_offers.erase(core::value_of(item.m_request));
    }

    void finish(std::uint64_t request)
    {
        const offered offer = m_offers.at(request);
        m_offers.erase(request);
        m_checkers[offer.m_workspace].on_settled(offer.m_number, offer.m_used);
        deliver(offer.m_index, [=](admission_control& control, core::time_point now) {
            control.settle(core::request_id{request}, offer.m_used, now);
        });
    }

    template <class Message>
    void perform(std::size_t from, const send_to<Message>& item)
    {
        const std::size_t to = index_of(item.m_to);
        ++m_messages;
        const int copies = chance(m_network.m_loss) ? 0 : chance(m_network.m_duplication) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy)
        {
            at(m_now + delay(from, to), [=, this, message = item.m_message] {
                if (m_is_cut && from % 2 != to % 2)
                {
                    return;
                }
                deliver(to, [=, this](admission_control& control, core::time_point now) {
                    hand_over(control, core::instance_id{100 + from}, message, now);
                });
            });
        }
    }

    static void hand_over(admission_control& control, core::instance_id from,
                          const loan_request& message, core::time_point now)
    {
        control.on_loan_request(from, message, now);
    }
    static void hand_over(admission_control& control, core::instance_id from,
                          const loan_reply& message, core::time_point now)
    {
        control.on_loan_reply(from, message, now);
    }
    static void hand_over(admission_control& control, core::instance_id from,
                          const loan_settle& message, core::time_point now)
    {
        control.on_loan_settle(from, message, now);
    }
    static void hand_over(admission_control& control, core::instance_id from,
                          const share_hint& message, core::time_point now)
    {
        control.on_share_hint(from, message, now);
    }

    void perform(std::size_t from, const read_share_row& item)
    {
        ask_table(from, item.m_workspace, [] {});
    }

    void perform(std::size_t from, const write_share_row& item)
    {
        ask_table(from, item.m_row.m_workspace, [this, item] {
            share_row& row = m_table[item.m_row.m_workspace];
            if (row.m_version != item.m_expected_version)
            {
                return;
            }
            row = item.m_row;
            ++m_table_writes;
        });
    }

    /// Runs an operation at the table and sends the row back; either way may be lost or late.
    void ask_table(std::size_t from, core::workspace_id workspace, const std::function<void()>& run)
    {
        if (chance(m_network.m_table_loss))
        {
            return;
        }
        const std::uint64_t process = m_nodes[from].m_incarnation;
        const core::duration way = chance(m_network.m_late) ? 10 * delay(from, 0) : delay(from, 0);
        at(m_now + way, [=, this] {
            if (!reaches_table(from))
            {
                return;
            }
            run();
            if (chance(m_network.m_table_loss))
            {
                return;
            }
            const auto found = m_table.find(workspace);
            const share_row row = found == m_table.end() ? share_row{} : found->second;
            at(m_now + delay(0, from), [=, this] {
                deliver_to(from, process, [=](admission_control& control, core::time_point now) {
                    row.m_version == 0 ? control.on_share_row_missing(workspace, now)
                                       : control.on_share_row(row, now);
                });
            });
        });
    }

    core::duration list_lag()
    {
        return std::chrono::milliseconds(m_random.below(m_network.m_list_lag.count() + 1));
    }

    core::duration delay(std::size_t from, std::size_t to)
    {
        if (chance(m_network.m_late))
        {
            return std::chrono::milliseconds(1 + m_random.below(m_network.m_late_delay.count()));
        }
        const auto base = from % 2 == to % 2 ? m_network.m_local_delay : m_network.m_region_delay;
        return base / 2 + std::chrono::microseconds(m_random.below(base.count()));
    }

    /// Every second each instance polls the list, the rows and the configuration.
    void tick()
    {
        for (std::size_t index = 0; index < m_nodes.size(); ++index)
        {
            learn(index);
        }
        for (const auto& [workspace, config] : m_configs)
        {
            note_limit(workspace);
        }
        at(m_now + std::chrono::seconds(1), [this] { tick(); });
    }

    void learn(std::size_t index)
    {
        const bool reaches = reaches_table(index);
        if (!m_nodes[index].m_control || (m_is_cut && index % 2 == 1))
        {
            return;
        }
        std::vector<core::instance_id> listed;
        for (std::size_t other = 0; other < m_nodes.size(); ++other)
        {
            if (is_listed(other, m_now - list_lag()))
            {
                listed.push_back(core::instance_id{100 + other});
            }
        }
        std::vector<member> view = m_members;
        std::erase_if(view,
                      [](const member& each) { return each.m_instance == core::instance_id{0}; });
        const core::time_point asked_at = m_now + m_nodes[index].m_offset;
        deliver(index, [=, this, rows = m_table](admission_control& control, core::time_point now) {
            control.set_view(view, core::view_number{m_view}, now);
            control.set_listed(listed, asked_at, now);
            for (const auto& [workspace, row] : rows)
            {
                if (reaches)
                {
                    control.learn_share_row(row, now);
                }
            }
            if (reaches)
            {
                control.confirm_rows(now);
            }
        });
        for (const auto& [workspace, config] : m_configs)
        {
            configure(index, workspace);
        }
    }

    void configure(std::size_t index, core::workspace_id workspace)
    {
        const workspace_quota newest = m_configs[workspace].m_history.back();
        if (m_is_cut && index % 2 == 1)
        {
            return;
        }
        deliver(index, [=](admission_control& control, core::time_point now) {
            control.set_limit(workspace, newest.m_limit.m_rate / micro_tokens_per_token,
                              newest.m_limit.m_burst / micro_tokens_per_token, newest.m_epoch, now);
        });
    }

    /// Tells the checker the largest limit that some instance may still apply.
    void note_limit(core::workspace_id workspace)
    {
        const std::vector<workspace_quota>& history = m_configs[workspace].m_history;
        std::uint64_t oldest = history.size();
        for (const node& each : m_nodes)
        {
            const workspace_limit* limit =
                each.m_control ? each.m_control->find(workspace) : nullptr;
            oldest = limit == nullptr ? oldest : std::min(oldest, limit->quota().m_epoch);
        }
        bucket_limit largest;
        for (std::size_t epoch = oldest; epoch <= history.size(); ++epoch)
        {
            largest.m_rate = std::max(largest.m_rate, history[epoch - 1].m_limit.m_rate);
            largest.m_burst = std::max(largest.m_burst, history[epoch - 1].m_limit.m_burst);
        }

        // Loans made under a larger limit may still be used until they lapse.
        std::deque<std::pair<core::time_point, bucket_limit>>& recent =
            m_configs[workspace].m_recent;
        recent.emplace_back(m_now, largest);
        while (recent.front().first + 2 * m_settings.m_loan_lifetime < m_now)
        {
            recent.pop_front();
        }
        for (const auto& [since, limit] : recent)
        {
            largest.m_rate = std::max(largest.m_rate, limit.m_rate);
            largest.m_burst = std::max(largest.m_burst, limit.m_burst);
        }
        m_checkers[workspace].set_limit(largest, m_now);
    }

    bool is_listed(std::size_t index, core::time_point when) const
    {
        const std::vector<core::time_point>& changes = m_nodes[index].m_changes;
        return std::count_if(changes.begin(), changes.end(),
                             [&](core::time_point change) { return change <= when; }) %
                   2 ==
               1;
    }

    std::size_t index_of(core::instance_id instance) const
    {
        return core::value_of(instance) - 100;
    }

    limit_settings m_settings;
    network_settings m_network;
    core::seeded_random m_random;
    core::time_point m_now{std::chrono::hours(1)};
    std::vector<member> m_genesis;
    std::vector<member> m_members; ///< Id zero in place of a replaced instance.
    std::uint64_t m_view = 1;
    std::vector<node> m_nodes;
    std::priority_queue<event> m_events;
    std::uint64_t m_serial = 0;
    std::map<core::workspace_id, share_row> m_table;
    std::map<core::workspace_id, config> m_configs;
    std::map<core::workspace_id, limit_checker> m_checkers;
    std::map<std::uint64_t, offered> m_offers;
    std::map<std::uint64_t, request_outcome> m_outcomes;
    bool m_table_is_up = true;
    bool m_is_cut = false;
    std::uint64_t m_table_writes = 0;
    std::uint64_t m_messages = 0;
};

} // namespace tarragontrail::limits
