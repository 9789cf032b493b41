#include "tarragontrail/config/bundle_delta.hpp"
#include "unit_tests/config/fake_operator.hpp"
#include "unit_tests/config/sample_bundle.hpp"
#include "unit_tests/membership/fake_fleet.hpp"

#include <algorithm>
#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <rapidcheck.h>

using namespace tarragontrail;
using namespace std::chrono_literals;
using config::key_verdict;

namespace {

constexpr std::size_t key_count = 6;

/// Fleet with an operator, in which every instance applies version 1.
struct configured_fleet
{
    configured_fleet(std::uint64_t seed, std::size_t count)
        : m_fleet(seed, count), m_operator(m_fleet.m_events, m_fleet.m_platform)
    {
        m_current = std::make_shared<const config::bundle>(test::sample_bundle(key_count, 1));
        const std::string draft =
            m_operator.submit_and_approve(config::serialize(*m_current), nullptr);
        m_operator.wait(m_operator.core().start_rollout(draft, nullptr, m_fleet.now()));
        for (std::size_t i = 0; i < count; ++i)
        {
            m_fleet.start(i);
        }
        m_fleet.run_for(20s);
    }

    /// Rolls out the next version, changed by `edit`; returns whether the head was moved.
    template <class Edit>
    bool roll_next(Edit edit)
    {
        config::bundle next = *m_current;
        ++next.m_version;
        edit(next);
        const std::string draft = m_operator.submit_and_approve(config::serialize(next), m_current);
        const bool rolled =
            !m_operator.wait(m_operator.core().start_rollout(draft, m_current, m_fleet.now()))
                 .m_refusal;
        if (rolled)
        {
            m_current = std::make_shared<const config::bundle>(next);
        }
        return rolled;
    }

    key_verdict check(std::size_t index, std::size_t key) const
    {
        const config::sha256_digest digest = config::sha256(test::sample_key(key));
        return m_fleet.m_instances[index].m_agent->check_key(digest, m_fleet.now()).m_verdict;
    }

    /// Number of running instances with this verdict on the key.
    std::size_t count(std::size_t key, key_verdict verdict) const
    {
        std::size_t found = 0;
        for (std::size_t i = 0; i < m_fleet.m_instances.size(); ++i)
        {
            const test::instance& each = m_fleet.m_instances[i];
            found += each.m_up && !each.m_paused && check(i, key) == verdict ? 1 : 0;
        }
        return found;
    }

    /// Whether every instance applies this version.
    bool all_apply(std::uint64_t version) const
    {
        return std::all_of(
            m_fleet.m_instances.begin(), m_fleet.m_instances.end(),
            [&](const auto& each) { return each.m_agent->applied_version() == version; });
    }

    test::fake_fleet m_fleet; ///< Instances and platform.
    test::fake_operator m_operator;
    std::shared_ptr<const config::bundle> m_current; ///< Newest bundle rolled out.
};

bool is_pending(const config::bundle_agent& agent)
{
    return agent.propagation() == config::withdrawal_propagation::pending;
}

/// Whether an instance can reach neither the table service nor any instance of some failure domain.
bool is_out_of_reach(const test::fake_fleet& fleet, std::size_t index)
{
    const core::region_id region = fleet.m_instances[index].m_member.m_region_id;
    const bool far = region != fleet.m_instances[0].m_member.m_region_id;
    if (fleet.m_platform.m_table_up && !(fleet.m_regions_partitioned && far))
    {
        return false;
    }
    std::map<core::failure_domain_id, bool> answers;
    for (const test::instance& each : fleet.m_instances)
    {
        const core::failure_domain_id own = fleet.m_instances[index].m_member.m_domain_id;
        if (each.m_member.m_domain_id == own)
        {
            continue;
        }
        const bool cut = fleet.m_regions_partitioned && each.m_member.m_region_id != region;
        answers[each.m_member.m_domain_id] |= each.m_up && !each.m_paused && !cut;
    }
    return std::any_of(answers.begin(), answers.end(),
                       [](const auto& each) { return !each.second; });
}

/// Injects one random fault or ends one.
void inject_fault(test::fake_fleet& fleet)
{
    const auto victim = *rc::gen::inRange<std::size_t>(0, fleet.m_instances.size());
    test::instance& each = fleet.m_instances[victim];
    switch (*rc::gen::inRange(0, 6))
    {
    case 0:
        each.m_up ? fleet.crash(victim) : fleet.start(victim);
        return;
    case 1:
        each.m_paused ? fleet.resume(victim) : fleet.pause(victim);
        return;
    case 2:
        fleet.m_platform.m_table_up = *rc::gen::arbitrary<bool>();
        return;
    case 3:
        fleet.m_regions_partitioned = *rc::gen::arbitrary<bool>();
        return;
    default:
        fleet.m_platform.m_reply_loss_rate = *rc::gen::element(0.0, 0.2);
        fleet.m_loss = *rc::gen::element(0.0, 0.2);
        return;
    }
}

void clear_faults(test::fake_fleet& fleet)
{
    fleet.m_platform.m_table_up = true;
    fleet.m_platform.m_reply_loss_rate = 0.0;
    fleet.m_regions_partitioned = false;
    fleet.m_loss = 0.0;
    for (std::size_t i = 0; i < fleet.m_instances.size(); ++i)
    {
        fleet.m_instances[i].m_paused ? fleet.resume(i) : void();
        fleet.m_instances[i].m_up ? void() : fleet.start(i);
    }
}

} // namespace

/// Bundles and withdrawals in a simulated fleet with crashes, pauses, partitions, outages and
/// losses.
class bundle_agent_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(bundle_agent_test);
    CPPUNIT_TEST(accepted_bundle_is_in_force_within_15_s);
    CPPUNIT_TEST(faults_never_lower_a_version);
    CPPUNIT_TEST(withdrawn_key_is_refused_within_seconds_and_for_good);
    CPPUNIT_TEST(platform_outage_alone_keeps_keyed_routes);
    CPPUNIT_TEST(partitioned_region_stops_keyed_routes_in_time);
    CPPUNIT_TEST(restarted_instance_recovers_state_from_peers);
    CPPUNIT_TEST(simultaneous_restart_recovers_from_the_table);
    CPPUNIT_TEST(simultaneous_restart_without_table_serves_open_routes_only);
    CPPUNIT_TEST(delayed_freshness_counts_from_the_request);
    CPPUNIT_TEST(bundle_that_cannot_be_fetched_stops_keyed_routes);
    CPPUNIT_TEST(mismatched_delta_falls_back_to_the_whole_document);
    CPPUNIT_TEST(single_instance_without_table_does_not_trust_a_head_copy);
    CPPUNIT_TEST_SUITE_END();

public:
    void accepted_bundle_is_in_force_within_15_s()
    {
        CPPUNIT_ASSERT(rc::check("32 instances, a fifth of messages and replies lost", [] {
            configured_fleet at(*rc::gen::arbitrary<std::uint64_t>(), 32);
            RC_ASSERT(at.all_apply(1));
            at.m_fleet.m_loss = 0.2;
            at.m_fleet.m_platform.m_reply_loss_rate = *rc::gen::element(0.0, 0.2);
            const auto roll = [](config::bundle& next) { next.m_limits.m_output_tokens = 7; };
            RC_PRE(at.roll_next(roll));
            at.m_fleet.run_for(15s);
            RC_ASSERT(at.all_apply(2));
        }));
    }

    void faults_never_lower_a_version()
    {
        CPPUNIT_ASSERT(rc::check("versions never decrease and converge after the faults end", [] {
            configured_fleet at(*rc::gen::arbitrary<std::uint64_t>(), 6);
            std::vector<std::pair<std::uint64_t, std::uint64_t>> last(6);
            for (int step = 0; step < 30; ++step)
            {
                inject_fault(at.m_fleet);
                if (step % 5 == 0 && at.m_fleet.m_platform.m_table_up)
                {
                    at.roll_next([](config::bundle& next) { next.m_rollout.clear(); });
                }
                at.m_fleet.run_for(2s);
                for (std::size_t i = 0; i < 6; ++i)
                {
                    const test::instance& each = at.m_fleet.m_instances[i];
                    const std::uint64_t applied = each.m_agent->applied_version();
                    RC_ASSERT((last[i].first != each.m_generation || applied >= last[i].second));
                    last[i] = {each.m_generation, applied};
                }
            }
            clear_faults(at.m_fleet);
            at.m_fleet.run_for(30s);
            const config::head_row head =
                config::parse_head_row(at.m_fleet.m_platform.m_rows.at("bundle/head").m_value);
            RC_ASSERT(at.all_apply(head.m_current.m_version));
            RC_ASSERT(at.count(0, key_verdict::accepted) == 6U);
        }));
    }

    void withdrawn_key_is_refused_within_seconds_and_for_good()
    {
        CPPUNIT_ASSERT(rc::check("no instance accepts a withdrawn key", [] {
            configured_fleet at(*rc::gen::arbitrary<std::uint64_t>(), 8);
            for (int step = 0; step < 6; ++step)
            {
                inject_fault(at.m_fleet);
                at.m_fleet.run_for(1s);
            }
            const auto here = *rc::gen::inRange<std::size_t>(0, 8);
            RC_PRE(at.m_fleet.m_instances[here].m_up && !at.m_fleet.m_instances[here].m_paused);
            const config::sha256_digest digest = config::sha256(test::sample_key(3));
            at.m_fleet.m_instances[here].m_agent->withdraw(config::prefix_of(digest),
                                                           at.m_fleet.now());
            RC_ASSERT(at.check(here, 3) != key_verdict::accepted);

            // The withdrawal is reported as done once it is not pending; the instance keeps running
            // until then. During a partition it stays pending, and only this instance rejects the
            // key.
            bool in_table = false;
            const auto agent = [&]() -> const config::bundle_agent& {
                return *at.m_fleet.m_instances[here].m_agent;
            };
            for (int wait = 0; wait < 30 && is_pending(agent()); ++wait)
            {
                at.m_fleet.run_for(1s);
                RC_ASSERT(at.check(here, 3) != key_verdict::accepted);
            }
            RC_ASSERT((!is_pending(agent()) || is_out_of_reach(at.m_fleet, here)));
            if (is_pending(agent()))
            {
                clear_faults(at.m_fleet);
                at.m_fleet.run_for(12s);
                RC_ASSERT(!is_pending(agent()));
            }
            at.m_fleet.run_for(12s);
            for (int step = 0; step < 40; ++step)
            {
                RC_ASSERT(at.count(3, key_verdict::accepted) == 0U);
                in_table =
                    in_table || agent().propagation() == config::withdrawal_propagation::in_table;
                if (step > 10 && in_table)
                {
                    inject_fault(at.m_fleet);
                }
                if (step % 9 == 8 && at.m_fleet.m_platform.m_table_up)
                {
                    const bool lists = *rc::gen::arbitrary<bool>();
                    at.roll_next([&](config::bundle& next) {
                        next.m_keys[3].m_state =
                            lists ? config::key_state::withdrawn : next.m_keys[3].m_state;
                    });
                }
                at.m_fleet.run_for(1s);
            }
            clear_faults(at.m_fleet);
            at.m_fleet.run_for(30s);
            RC_ASSERT(at.count(3, key_verdict::withdrawn) == 8U);
            RC_ASSERT(at.count(2, key_verdict::accepted) == 8U);
        }));
    }

    void platform_outage_alone_keeps_keyed_routes()
    {
        configured_fleet at(42, 12);
        at.m_fleet.m_platform.m_table_up = false;
        at.m_fleet.m_platform.m_objects_up = false;
        at.m_fleet.m_loss = 0.2;
        for (int step = 0; step < 300; ++step)
        {
            at.m_fleet.run_for(1s);
            CPPUNIT_ASSERT_EQUAL(std::size_t{12}, at.count(0, key_verdict::accepted));
        }
        const config::sha256_digest digest = config::sha256(test::sample_key(0));
        at.m_fleet.m_instances[5].m_agent->withdraw(config::prefix_of(digest), at.m_fleet.now());
        at.m_fleet.run_for(10s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{12}, at.count(0, key_verdict::withdrawn));
        at.m_fleet.m_platform.m_table_up = true;
        at.m_fleet.run_for(20s);
        CPPUNIT_ASSERT(at.m_fleet.m_instances[0].m_agent->withdrawals_persisted());
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{1},
            config::parse_head_row(at.m_fleet.m_platform.m_rows.at("bundle/head").m_value)
                .m_withdrawals.size());
    }

    void partitioned_region_stops_keyed_routes_in_time()
    {
        configured_fleet at(42, 12);
        at.m_fleet.m_regions_partitioned = true;
        at.m_fleet.run_for(12s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, at.count(0, key_verdict::accepted));
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, at.count(0, key_verdict::stale_state));
        at.m_fleet.m_regions_partitioned = false;
        at.m_fleet.run_for(10s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{12}, at.count(0, key_verdict::accepted));
    }

    void restarted_instance_recovers_state_from_peers()
    {
        configured_fleet at(42, 8);
        at.m_fleet.m_platform.m_table_up = false;
        at.m_fleet.m_platform.m_objects_up = false;
        const config::sha256_digest digest = config::sha256(test::sample_key(1));
        at.m_fleet.m_instances[5].m_agent->withdraw(config::prefix_of(digest), at.m_fleet.now());
        at.m_fleet.run_for(10s);
        at.m_fleet.crash(2);
        at.m_fleet.start(2);
        CPPUNIT_ASSERT(at.m_fleet.m_instances[2].m_agent->state() ==
                       config::agent_state::not_ready);
        at.m_fleet.run_for(15s);
        CPPUNIT_ASSERT(at.check(2, 0) == key_verdict::accepted);
        CPPUNIT_ASSERT(at.check(2, 1) == key_verdict::withdrawn);
    }

    void simultaneous_restart_recovers_from_the_table()
    {
        configured_fleet at(42, 16);
        const config::sha256_digest digest = config::sha256(test::sample_key(1));
        at.m_fleet.m_instances[5].m_agent->withdraw(config::prefix_of(digest), at.m_fleet.now());
        at.m_fleet.run_for(5s);
        CPPUNIT_ASSERT(at.m_fleet.m_instances[5].m_agent->propagation() ==
                       config::withdrawal_propagation::in_table);
        for (std::size_t i = 0; i < 16; ++i)
        {
            at.m_fleet.crash(i);
        }
        for (std::size_t i = 0; i < 16; ++i)
        {
            at.m_fleet.start(i);
        }
        at.m_fleet.run_for(5s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{16}, at.count(0, key_verdict::accepted));
        CPPUNIT_ASSERT_EQUAL(std::size_t{16}, at.count(1, key_verdict::withdrawn));
    }

    void simultaneous_restart_without_table_serves_open_routes_only()
    {
        configured_fleet at(42, 8);
        at.m_fleet.m_platform.m_table_up = false;
        for (std::size_t i = 0; i < 8; ++i)
        {
            at.m_fleet.crash(i);
        }
        for (std::size_t i = 0; i < 8; ++i)
        {
            at.m_fleet.start(i);
        }
        for (int step = 0; step < 60; ++step)
        {
            at.m_fleet.run_for(1s);
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, at.count(0, key_verdict::accepted));
        }
        for (const test::instance& each : at.m_fleet.m_instances)
        {
            CPPUNIT_ASSERT(each.m_agent->state() == config::agent_state::provisional);
            CPPUNIT_ASSERT(each.m_keys->applied()->is_open_route("/v1/status"));
        }
        at.m_fleet.m_platform.m_table_up = true;
        at.m_fleet.run_for(10s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, at.count(0, key_verdict::accepted));
    }

    void delayed_freshness_counts_from_the_request()
    {
        configured_fleet at(42, 2);
        at.m_fleet.m_list_lag = 600s;
        at.m_fleet.crash(1);
        at.m_fleet.m_platform.m_table_up = false;
        at.m_fleet.run_for(15s);
        CPPUNIT_ASSERT(at.check(0, 0) == key_verdict::stale_state);

        // A peer that holds the same state reports that the table service has just confirmed it.
        config::bundle_agent& agent = *at.m_fleet.m_instances[0].m_agent;
        config::freshness_word status = agent.make_freshness_word(at.m_fleet.now());
        status.m_sender = at.m_fleet.m_instances[1].m_member.m_id;
        status.m_store_age = 0ms;
        status.m_domains.clear();

        // An unrequested message may be arbitrarily old; a reply is at most as old as its request.
        agent.on_peer_freshness(status, std::nullopt, at.m_fleet.now());
        CPPUNIT_ASSERT(at.check(0, 0) == key_verdict::stale_state);
        agent.on_peer_freshness(status, at.m_fleet.now() - 9s, at.m_fleet.now());
        CPPUNIT_ASSERT(at.check(0, 0) == key_verdict::accepted);
        at.m_fleet.run_for(2s);
        CPPUNIT_ASSERT(at.check(0, 0) == key_verdict::stale_state);
    }

    void bundle_that_cannot_be_fetched_stops_keyed_routes()
    {
        // The head row is received, but the bundle that it names, and so its withdrawals, cannot be
        // fetched.
        configured_fleet at(42, 4);
        config::bundle next = *at.m_current;
        next.m_version = 2;
        next.m_keys[3].m_state = config::key_state::withdrawn;
        const std::string draft =
            at.m_operator.submit_and_approve(config::serialize(next), at.m_current);
        at.m_fleet.m_platform.m_objects_up = false;
        at.m_operator.wait(
            at.m_operator.core().start_rollout(draft, at.m_current, at.m_fleet.now()));
        at.m_fleet.run_for(15s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, at.count(3, key_verdict::accepted));
        at.m_fleet.m_platform.m_objects_up = true;
        at.m_fleet.run_for(15s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, at.count(3, key_verdict::withdrawn));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, at.count(0, key_verdict::accepted));
    }

    void mismatched_delta_falls_back_to_the_whole_document()
    {
        configured_fleet at(42, 2);
        config::bundle next = *at.m_current;
        next.m_version = 2;
        next.m_limits.m_output_tokens = 9;
        config::bundle other = next;
        other.m_limits.m_output_tokens = 8;
        const std::string text = config::serialize(next);
        const std::string delta = config::make_delta(*at.m_current, other);
        config::write_reply& row = at.m_fleet.m_platform.m_rows.at("bundle/head");
        config::head_row head = config::parse_head_row(row.m_value);
        head.m_current = {2, config::object_name("bundle", text), 1,
                          config::object_name("change", delta)};
        at.m_fleet.m_platform.m_objects[head.m_current.m_object] = text;
        at.m_fleet.m_platform.m_objects[head.m_current.m_delta_object] = delta;
        row.m_value = config::serialize_head_row(head);
        ++row.m_version;
        at.m_fleet.run_for(15s);
        for (const test::instance& each : at.m_fleet.m_instances)
        {
            CPPUNIT_ASSERT_EQUAL(9U, each.m_keys->applied()->m_limits.m_output_tokens);
        }
    }

    void single_instance_without_table_does_not_trust_a_head_copy()
    {
        configured_fleet at(42, 1);
        CPPUNIT_ASSERT(at.check(0, 0) == key_verdict::accepted);
        at.m_fleet.m_platform.m_table_up = false;
        at.m_fleet.run_for(60s);
        CPPUNIT_ASSERT(at.check(0, 0) == key_verdict::accepted);
        at.m_fleet.crash(0);
        at.m_fleet.start(0);
        at.m_fleet.run_for(60s);
        CPPUNIT_ASSERT(at.m_fleet.m_instances[0].m_agent->state() ==
                       config::agent_state::provisional);
        CPPUNIT_ASSERT(at.check(0, 0) == key_verdict::stale_state);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(bundle_agent_test, "config");
