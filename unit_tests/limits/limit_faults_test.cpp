#include "unit_tests/limits/limit_network.hpp"

#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace tarragontrail;
using namespace tarragontrail::limits;

namespace {

constexpr core::workspace_id small{11};
constexpr core::workspace_id large{12};

limit_settings test_settings()
{
    limit_settings settings;
    settings.m_list_lag = std::chrono::seconds(3);
    return settings;
}

/// Parameters and state of the load of one run.
struct load
{
    std::uint64_t m_largest_charge = 400;
    bool m_has_refunds = true;
    std::uint64_t m_last_request = 0;
};

void offer_one(limit_network& network, core::seeded_random& random, load& load)
{
    const std::uint64_t charge = 1 + random.below(load.m_largest_charge);
    const std::uint64_t used = load.m_has_refunds ? random.below(charge + 1) : charge;
    network.offer(random.below(network.size()), ++load.m_last_request,
                  random.below(3) == 0 ? small : large, charge, used,
                  std::chrono::milliseconds(random.below(8000)));
}

/// Sends more than the whole burst at one moment, just as instances resume that were paused while
/// loans were open.
void flood(limit_network& network, core::seeded_random& random, load& load)
{
    for (int count = 0; count < 4; ++count)
    {
        offer_one(network, random, load);
    }
    network.run_for(std::chrono::microseconds(random.below(20'000)));
    const std::chrono::milliseconds stop(200 + random.below(2500));
    for (std::size_t count = random.below(4); count > 0; --count)
    {
        network.pause(random.below(network.size()), stop);
    }
    network.run_for(stop - std::chrono::milliseconds(random.below(200)));
    for (int count = 0; count < 60; ++count)
    {
        offer_one(network, random, load);
    }
}

/// Sends requests to random instances for `span`: either a steady load, or no load followed by
/// floods.
void offer_load(limit_network& network, core::seeded_random& random, core::duration span,
                load& load)
{
    const core::time_point end = network.now() + span;
    const bool is_steady = random.below(2) == 0;
    while (is_steady && network.now() < end)
    {
        offer_one(network, random, load);
        network.run_for(std::chrono::milliseconds(random.below(100)));
    }
    network.run_until(end);
    for (std::size_t count = is_steady ? 0 : 1 + random.below(3); count > 0; --count)
    {
        flood(network, random, load);
        network.run_for(std::chrono::milliseconds(random.below(1200)));
    }
}

/// Starts or ends one random fault.
void inject_fault(limit_network& network, core::seeded_random& random, bool ids_are_unique,
                  std::size_t& gone)
{
    const std::size_t chosen = random.below(network.size());
    switch (random.below(10))
    {
    case 0:
        network.set_table_up(random.below(2) == 0);
        break;
    case 1:
        network.set_cut(random.below(2) == 0);
        break;
    case 2:
        network.pause(chosen, std::chrono::milliseconds(random.below(15000)));
        break;
    case 3:
        if (network.is_up(chosen))
        {
            network.stop(chosen);
            network.run_for(std::chrono::milliseconds(random.below(5500)));
            network.start(chosen);
        }
        break;
    case 4:
        network.restart_all();
        break;
    case 5:
        network.set_limit(large, 100 + random.below(3000), 500 + random.below(9000));
        break;
    case 6:
        // One instance at a time is stopped long enough to lose its shares.
        if (!ids_are_unique && network.is_up(chosen))
        {
            if (!network.is_up(gone))
            {
                network.start(gone);
            }
            gone = chosen;
            network.stop(gone);
        }
        break;
    case 7:
        if (ids_are_unique && network.is_up(chosen))
        {
            network.replace(chosen);
        }
        break;
    default:
        break;
    }
}

/// Clears all faults and waits until every share can be usable again.
void clear_faults(limit_network& network, bool ids_are_unique)
{
    network.set_lossless();
    network.set_cut(false);
    network.set_table_up(true);
    for (std::size_t index = 0; index < network.size(); ++index)
    {
        if (!ids_are_unique && !network.is_up(index))
        {
            network.start(index);
        }
    }
    network.run_for(std::chrono::seconds(60));
}

} // namespace

/// Several instances under load and all kinds of faults at once.
class limit_faults_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(limit_faults_test);
    CPPUNIT_TEST(no_fault_lets_a_window_exceed_the_limit);
    CPPUNIT_TEST(without_faults_requests_within_rate_pass);
    CPPUNIT_TEST_SUITE_END();

public:
    void no_fault_lets_a_window_exceed_the_limit()
    {
        CPPUNIT_ASSERT(rc::check("faults", [] {
            core::seeded_random random(*rc::gen::arbitrary<std::uint64_t>());
            network_settings faults;
            faults.m_instances = 3 + random.below(7);
            faults.m_loss = random.unit() * 0.2;
            faults.m_duplication = random.unit() * 0.2;
            faults.m_late = random.unit() * 0.2;
            faults.m_ids_are_unique = random.below(2) == 0;
            limit_network network(test_settings(), faults, random());
            network.set_limit(small, 37, 1001);
            network.set_limit(large, 1500, 4000);

            load load;
            load.m_has_refunds = random.below(2) == 0;
            std::size_t gone = 0;
            for (int round = 0; round < 25; ++round)
            {
                offer_load(network, random, std::chrono::seconds(1 + random.below(9)), load);
                inject_fault(network, random, faults.m_ids_are_unique, gone);
                RC_ASSERT(network.max_holders() <= 1u);
                RC_ASSERT(network.checker(small).max_excess() == 0.0);
                RC_ASSERT(network.checker(large).max_excess() == 0.0);
            }

            // Without faults, a charge above the burst of one share is admitted again.
            clear_faults(network, faults.m_ids_are_unique);
            network.set_limit(large, 2000, 8000);
            network.run_for(std::chrono::seconds(30));
            RC_ASSERT(network.max_holders() == 1u);
            network.offer(network.size() - 1, ++load.m_last_request, large, 6000, 6000,
                          std::chrono::seconds(1));
            network.run_for(std::chrono::seconds(2));
            RC_ASSERT(network.outcome(load.m_last_request).m_is_admitted);
            RC_ASSERT(network.checker(large).max_excess() == 0.0);
        }));
    }

    /// At 80% load, fewer than 0.5% of the requests are refused that a single central bucket would
    /// admit.
    void without_faults_requests_within_rate_pass()
    {
        limit_network network(test_settings(), {}, 9);
        network.set_lossless();
        network.set_limit(large, 20'000, 60'000);
        network.run_for(std::chrono::seconds(20));
        const bucket_limit limit{20'000 * micro_tokens_per_token, 60'000 * micro_tokens_per_token};
        token_bucket central(limit, network.now() - std::chrono::seconds(20));

        // On average, a charge of 1,500 tokens every 93.75 ms.
        constexpr std::uint64_t requests = 6000;
        core::seeded_random random(10);
        std::vector<bool> admitted_centrally;
        for (std::uint64_t request = 0; request < requests; ++request)
        {
            network.run_for(std::chrono::microseconds(random.below(187'500)));
            const std::uint64_t charge = 500 + random.below(2000);
            central.refill(network.now());
            const bool fits = central.balance() >= charge * micro_tokens_per_token;
            central.consume_up_to(fits ? charge * micro_tokens_per_token : 0);
            admitted_centrally.push_back(fits);
            network.offer(random.below(network.size()), request, large, charge, charge,
                          std::chrono::seconds(1));
        }
        network.run_for(std::chrono::seconds(5));
        std::uint64_t refused_within_rate = 0;
        for (std::uint64_t request = 0; request < requests; ++request)
        {
            const bool is_admitted = network.outcome(request).m_is_admitted;
            refused_within_rate += admitted_centrally[request] && !is_admitted ? 1 : 0;
        }
        CPPUNIT_ASSERT(refused_within_rate * 1000 < requests * 5);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(limit_faults_test, "limits");
