#pragma once

#include "unit_tests/limits/fake_fleet.hpp"
#include "unit_tests/limits/limit_checker.hpp"
#include "unit_tests/limits/limit_history.hpp"

#include <map>
#include <vector>

namespace tarragontrail::limits {

/// Fault probabilities and delays of the fake network and table service.
struct network_settings
{
    std::size_t m_instances = 8; ///< Number of instances, alternating between two regions.
    double m_loss = 0.01;        ///< Probability that a message is lost.
    double m_duplication = 0.01; ///< Probability that a message is delivered twice.
    std::chrono::microseconds m_local_delay{1500};  ///< One-way delay within a region.
    std::chrono::microseconds m_region_delay{8000}; ///< One-way delay between regions.
    std::chrono::milliseconds m_late_delay{3000};   ///< Maximum delay of a late message.
    double m_late = 0.01;                           ///< Probability that a message is late.
    double m_table_loss = 0.05; ///< Probability that a table request or its answer is lost.
    std::chrono::milliseconds m_list_lag{3000}; ///< Maximum lag of the list of instances.
    bool m_ids_are_unique = false;              ///< Instance ids are never reused.
};

/// Runs a fake_fleet over a fake network, table service and list of instances.
class limit_network : public fake_fleet
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
        : fake_fleet(settings, network.m_instances, network.m_ids_are_unique, seed),
          m_network(network)
    {
        for (std::size_t index = 0; index < size(); ++index)
        {
            start(index);
        }
        at(m_now, [this] { tick(); });
    }

    /// Sets a workspace's limit; every instance receives it within two seconds unless it is cut
    /// off.
    void set_limit(core::workspace_id workspace, std::uint64_t rate, std::uint64_t burst)
    {
        m_limits[workspace].add(rate, burst);
        for (std::size_t index = 0; index < size(); ++index)
        {
            at(m_now + std::chrono::milliseconds(m_random.below(2000)),
               [this, index, workspace] { configure(index, workspace); });
        }
        record_limit(workspace);
    }

    /// Sends a request to an instance; if admitted, it is settled with `used` tokens after
    /// `duration`.
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

    /// Set or clear faults.
    void set_table_up(bool up) { m_table_is_up = up; }
    void set_lossless() { m_network.m_loss = m_network.m_late = m_network.m_table_loss = 0; }
    void set_cut(bool cut) { m_is_cut = cut; }
    bool reaches_table(std::size_t index) const
    {
        return m_table_is_up && !(m_is_cut && index % 2 == 1);
    }
    const request_outcome& outcome(std::uint64_t request) { return m_outcomes[request]; }
    limit_checker& checker(core::workspace_id workspace) { return m_checkers[workspace]; }
    std::uint64_t table_writes() const { return m_table_writes; }
    std::uint64_t messages() const { return m_messages; }

    /// Maximum number of instances that can use one and the same share now.
    std::size_t max_holders() const
    {
        std::size_t most = 0;
        for (const auto& [workspace, history] : m_limits)
        {
            std::map<std::size_t, std::size_t> holders;
            for (std::size_t index = 0; index < size(); ++index)
            {
                const workspace_limit* limit =
                    is_up(index) ? control(index)->find(workspace) : nullptr;
                if (limit == nullptr || limit->share() == nullptr ||
                    !limit->share()->is_usable(local_time(index)))
                {
                    continue;
                }
                most = std::max(most, ++holders[limit->share_index()]);
            }
        }
        return most;
    }

private:
    struct offered
    {
        std::size_t m_index = 0;
        core::workspace_id m_workspace{};
        std::uint64_t m_charge = 0;
        std::uint64_t m_used = 0;
        core::duration m_duration{};
        std::size_t m_number = 0;
    };

    void initialize_instance(std::size_t index) override
    {
        for (const auto& [workspace, history] : m_limits)
        {
            configure(index, workspace);
        }
        poll_platform(index);
    }

    void execute_actions(std::size_t index, std::vector<action> actions) override
    {
        for (const action& each : actions)
        {
            std::visit([&](const auto& item) { execute_action(index, item); }, each);
        }
    }

    void execute_action(std::size_t, const admitted& item)
    {
        const std::uint64_t request = core::value_of(item.m_request);
        offered& offer = m_offers.at(request);
        m_outcomes[request] = {true, true, {}, item.m_loans, m_now};
        offer.m_number = m_checkers[offer.m_workspace].on_admitted(offer.m_charge, m_now);
        at(m_now + offer.m_duration, [this, request] { finish(request); });
    }

    void execute_action(std::size_t, const refused& item)
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
    void execute_action(std::size_t from, const send_to<Message>& item)
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
                    receive(control, core::instance_id{100 + from}, message, now);
                });
            });
        }
    }

    static void receive(admission_control& control, core::instance_id from,
                        const loan_request& message, core::time_point now)
    {
        control.on_loan_request(from, message, now);
    }
    static void receive(admission_control& control, core::instance_id from,
                        const loan_reply& message, core::time_point now)
    {
        control.on_loan_reply(from, message, now);
    }
    static void receive(admission_control& control, core::instance_id from,
                        const loan_settle& message, core::time_point now)
    {
        control.on_loan_settle(from, message, now);
    }
    static void receive(admission_control& control, core::instance_id from,
                        const share_hint& message, core::time_point now)
    {
        control.on_share_hint(from, message, now);
    }

    void execute_action(std::size_t from, const read_share_row& item)
    {
        access_table(from, item.m_workspace, [] {});
    }

    void execute_action(std::size_t from, const write_share_row& item)
    {
        access_table(from, item.m_row.m_workspace, [this, item] {
            share_row& row = m_table[item.m_row.m_workspace];
            if (row.m_version != item.m_expected_version)
            {
                return;
            }
            row = item.m_row;
            ++m_table_writes;
        });
    }

    /// Runs an operation at the table service and returns the row; the request or the answer may be
    /// lost or late.
    void access_table(std::size_t from, core::workspace_id workspace,
                      const std::function<void()>& run)
    {
        if (chance(m_network.m_table_loss))
        {
            return;
        }
        const std::uint64_t process = process_of(from);
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

    /// Every second, each instance polls the list, the rows and the configuration.
    void tick()
    {
        for (std::size_t index = 0; index < size(); ++index)
        {
            poll_platform(index);
        }
        for (const auto& [workspace, history] : m_limits)
        {
            record_limit(workspace);
        }
        at(m_now + std::chrono::seconds(1), [this] { tick(); });
    }

    void poll_platform(std::size_t index)
    {
        const bool reaches = reaches_table(index);
        if (!is_up(index) || (m_is_cut && index % 2 == 1))
        {
            return;
        }
        std::vector<core::instance_id> listed;
        for (std::size_t other = 0; other < size(); ++other)
        {
            if (is_listed(other, m_now - list_lag()))
            {
                listed.push_back(core::instance_id{100 + other});
            }
        }
        std::vector<member> view = m_members;
        std::erase_if(view,
                      [](const member& each) { return each.m_instance == core::instance_id{0}; });
        const core::time_point requested_at = local_time(index);
        deliver(index, [=, this, rows = m_table](admission_control& control, core::time_point now) {
            control.set_view(view, core::view_number{m_view}, now);
            control.set_listed_instances(listed, requested_at, now);
            for (const auto& [workspace, row] : rows)
            {
                if (reaches)
                {
                    control.learn_share_row(row, now);
                }
            }
            if (reaches)
            {
                control.on_rows_loaded(now);
            }
        });
        for (const auto& [workspace, history] : m_limits)
        {
            configure(index, workspace);
        }
    }

    void configure(std::size_t index, core::workspace_id workspace)
    {
        const workspace_quota newest = m_limits.at(workspace).newest();
        if (m_is_cut && index % 2 == 1)
        {
            return;
        }
        deliver(index, [=](admission_control& control, core::time_point now) {
            control.set_limit(workspace, newest.m_limit.m_rate / micro_tokens_per_token,
                              newest.m_limit.m_burst / micro_tokens_per_token, newest.m_epoch, now);
        });
    }

    /// Reports the maximum limit that any instance may still apply to the checker.
    void record_limit(core::workspace_id workspace)
    {
        limit_history& history = m_limits.at(workspace);
        std::uint64_t oldest = history.newest().m_epoch;
        for (std::size_t index = 0; index < size(); ++index)
        {
            const admission_control* known = control(index);
            const workspace_limit* limit = known == nullptr ? nullptr : known->find(workspace);
            oldest = limit == nullptr ? oldest : std::min(oldest, limit->quota().m_epoch);
        }
        m_checkers[workspace].set_limit(
            history.largest_in_use(oldest, m_settings.m_loan_lifetime, m_now), m_now);
    }

    std::size_t index_of(core::instance_id instance) const
    {
        return core::value_of(instance) - 100;
    }

    network_settings m_network;
    std::map<core::workspace_id, share_row> m_table;
    std::map<core::workspace_id, limit_history> m_limits;
    std::map<core::workspace_id, limit_checker> m_checkers;
    std::map<std::uint64_t, offered> m_offers;
    std::map<std::uint64_t, request_outcome> m_outcomes;
    bool m_table_is_up = true;
    bool m_is_cut = false;
    std::uint64_t m_table_writes = 0;
    std::uint64_t m_messages = 0;
};

} // namespace tarragontrail::limits
