#include "tarragontrail/core/hash.hpp"
#include "tarragontrail/core/random.hpp"
#include "tarragontrail/routing/anchor_depth_learner.hpp"
#include "tarragontrail/routing/predicted_blocks.hpp"
#include "tarragontrail/routing/prefix_chain.hpp"

#include <algorithm>
#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <set>

using namespace tarragontrail;
using namespace tarragontrail::routing;

namespace {

prefix_identity random_identity(core::seeded_random& random)
{
    return {core::workspace_id{random.below(3)}, core::model_id{random.below(3)},
            core::adapter_id{random.below(3)}, random.below(3)};
}

std::string random_prompt(core::seeded_random& random)
{
    std::string prompt;
    for (std::uint64_t piece = random.below(6); piece > 0; --piece)
    {
        prompt.append(piece_bytes, static_cast<char>('a' + random.below(2)));
    }
    return prompt.append(random.below(piece_bytes), 'z');
}

/// Number of leading pieces that two prompts share.
std::size_t shared_pieces(std::string_view first, std::string_view second)
{
    const std::size_t common =
        static_cast<std::size_t>(std::ranges::mismatch(first, second).in1 - first.begin());
    return common / piece_bytes;
}

/// Prompt with common instructions, one of several bundles, and text of its own, in this order.
std::string nested_prompt(std::size_t instruction_pieces, std::uint64_t bundle, std::uint64_t own)
{
    std::string prompt(instruction_pieces * piece_bytes, 'i');
    const auto append = [&](std::uint64_t number, std::size_t pieces) {
        std::string text = std::to_string(number);
        text.resize(pieces * piece_bytes, '.');
        prompt += text;
    };
    append(bundle, 6);
    append(own, 2);
    return prompt;
}

} // namespace

/// Prefix identities and chains, anchor depths and predictions.
class prefix_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(prefix_test);
    CPPUNIT_TEST(chains_agree_exactly_on_shared_text_of_one_identity);
    CPPUNIT_TEST(long_prompt_is_truncated);
    CPPUNIT_TEST(branching_depth_is_learned);
    CPPUNIT_TEST(hints_merge_to_one_depth_in_any_order);
    CPPUNIT_TEST(change_of_depth_keeps_old_keys_during_migration);
    CPPUNIT_TEST(learner_memory_is_bounded);
    CPPUNIT_TEST(predictions_are_limited_to_their_incarnation_and_lifetime);
    CPPUNIT_TEST_SUITE_END();

public:
    void chains_agree_exactly_on_shared_text_of_one_identity()
    {
        CPPUNIT_ASSERT(rc::check("chain isolation", [](std::uint64_t seed) {
            core::seeded_random random(seed);
            for (int pair = 0; pair < 20; ++pair)
            {
                const std::array identities{random_identity(random), random_identity(random)};
                const std::array prompts{random_prompt(random), random_prompt(random)};
                std::array<prefix_chain, 2> chains;
                chains[0].assign(identities[0], prompts[0]);
                chains[1].assign(identities[1], prompts[1]);
                const bool same = identities[0] == identities[1];
                RC_ASSERT((cache_salt(identities[0]) == cache_salt(identities[1])) == same);

                // Chains of one identity match exactly on shared text; chains of different
                // identities never match.
                const std::size_t shared = same ? shared_pieces(prompts[0], prompts[1]) : 0;
                const std::set<std::uint64_t> first(chains[0].hashes().begin(),
                                                    chains[0].hashes().end());
                for (std::size_t piece = 0; piece < chains[1].size(); ++piece)
                {
                    RC_ASSERT(first.contains(chains[1].hashes()[piece]) == (piece < shared));
                }
            }
        }));
    }

    void long_prompt_is_truncated()
    {
        prefix_chain chain;
        chain.assign({}, std::string((max_pieces + 3) * piece_bytes, 'x'));
        CPPUNIT_ASSERT_EQUAL(max_pieces, chain.size());
        chain.assign({}, std::string(piece_bytes - 1, 'x'));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, chain.size());
    }

    void branching_depth_is_learned()
    {
        for (const std::size_t instructions : {0U, 1U, 3U, 9U})
        {
            core::seeded_random random(instructions);
            anchor_depth_learner learner(core::instance_id{1}, {});
            send_nested_workload(learner, random, instructions);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{instructions + 1}, learner.depth(group));
        }
    }

    void hints_merge_to_one_depth_in_any_order()
    {
        CPPUNIT_ASSERT(rc::check("hints merge", [](std::uint64_t seed) {
            core::seeded_random random(seed);
            std::vector<anchor_hint> hints;
            for (std::uint64_t count = 1 + random.below(8); count > 0; --count)
            {
                hints.push_back({random.below(2), random.below(3), random.below(3),
                                 random.below(40), core::instance_id{random.below(3)}});
            }
            std::vector<anchor_depth_learner> learners;
            for (std::uint64_t self = 0; self < 3; ++self)
            {
                anchor_depth_learner& learner =
                    learners.emplace_back(core::instance_id{self}, anchor_settings{});
                std::shuffle(hints.begin(), hints.end(), random);
                for (const anchor_hint& hint : hints)
                {
                    learner.on_hint(hint, {});
                    learner.on_hint(hints[random.below(hints.size())], {});
                }
            }
            for (std::uint64_t id = 0; id < 2; ++id)
            {
                RC_ASSERT(learners[0].depth(id) == learners[1].depth(id));
                RC_ASSERT(learners[0].depth(id) == learners[2].depth(id));
                RC_ASSERT(
                    (learners[0].depth(id) >= 1 && learners[0].depth(id) <= max_anchor_depth));
            }
        }));
    }

    void change_of_depth_keeps_old_keys_during_migration()
    {
        const anchor_settings settings;
        anchor_depth_learner learner(core::instance_id{1}, settings);
        const core::time_point changed{std::chrono::seconds(1000)};
        learner.on_hint({group, 1, 1, 5, core::instance_id{2}}, changed);

        // Every bundle has both keys at first, migrates once, and has one key after the migration
        // time.
        const auto keys_at = [&](std::uint64_t bundle, core::duration after) {
            prefix_chain chain;
            chain.assign({}, nested_prompt(1, bundle, 0));
            const rendezvous_keys keys = learner.observe_chain(group, chain, 0, changed + after);
            CPPUNIT_ASSERT(keys.m_key == chain.hashes()[4]);
            CPPUNIT_ASSERT(!keys.m_previous_key || *keys.m_previous_key == chain.hashes()[1]);
            return keys;
        };
        std::size_t both_half_way = 0;
        for (std::uint64_t bundle = 0; bundle < 100; ++bundle)
        {
            CPPUNIT_ASSERT(keys_at(bundle, {}).m_previous_key.has_value());
            both_half_way +=
                keys_at(bundle, settings.m_migration_time / 2).m_previous_key.has_value() ? 1 : 0;
            CPPUNIT_ASSERT(!keys_at(bundle, settings.m_migration_time).m_previous_key.has_value());
        }
        CPPUNIT_ASSERT(both_half_way > 25 && both_half_way < 75);
    }

    void learner_memory_is_bounded()
    {
        anchor_settings settings;
        settings.m_max_agreed_groups = 100;
        anchor_depth_learner learner(core::instance_id{1}, settings);
        prefix_chain chain;
        for (std::uint64_t id = 1; id < 3000; ++id)
        {
            chain.assign({core::workspace_id{id}, {}, {}, 0}, nested_prompt(0, id, id));
            learner.observe_chain(id, chain, 0, {});
            learner.on_hint({id, 1, 1, 3, core::instance_id{2}}, {});
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, learner.depth(id));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{100}, learner.next_hints(1000).size());
        CPPUNIT_ASSERT(learner.bytes() < 1'000'000);
    }

    void predictions_are_limited_to_their_incarnation_and_lifetime()
    {
        CPPUNIT_ASSERT(rc::check("predictions", [](std::uint64_t seed) {
            core::seeded_random random(seed);
            predicted_blocks predicted(64);
            const auto max_age = std::chrono::seconds(5);
            core::time_point now{};
            std::map<std::tuple<std::uint64_t, std::uint64_t, std::uint64_t>, core::time_point>
                sent;
            for (int step = 0; step < 200; ++step)
            {
                now += std::chrono::milliseconds(random.below(1000));
                const std::uint64_t engine = random.below(3);
                const std::uint64_t incarnation = random.below(2);
                std::vector<std::uint64_t> hashes;
                std::uint64_t hash = 0;
                for (std::uint64_t piece = 0; piece < 10; ++piece)
                {
                    hash = core::hash_pair(hash, piece == 5 ? random.below(3) : 0);
                    hashes.push_back(hash);
                }
                const std::size_t depth =
                    predicted.depth(core::upstream_id{engine}, core::incarnation{incarnation},
                                    hashes, max_age, now);
                for (std::size_t piece = 0; piece < depth; ++piece)
                {
                    const auto found = sent.find({engine, incarnation, hashes[piece]});
                    RC_ASSERT((found != sent.end() && now - found->second <= max_age));
                }
                predicted.insert(core::upstream_id{engine}, core::incarnation{incarnation}, hashes,
                                 now);
                for (const std::uint64_t hash : hashes)
                {
                    sent[{engine, incarnation, hash}] = now;
                }
                RC_ASSERT(predicted.size() <= 64U);
                RC_ASSERT(predicted.depth(core::upstream_id{engine}, core::incarnation{incarnation},
                                          hashes, max_age, now) == hashes.size());
            }
        }));
    }

private:
    static constexpr std::uint64_t group = 77;

    /// Counts 1000 chains over 20 bundles, each with text of its own.
    static void send_nested_workload(anchor_depth_learner& learner, core::seeded_random& random,
                                     std::size_t instructions)
    {
        prefix_chain chain;
        for (std::uint64_t own = 0; own < 1000; ++own)
        {
            chain.assign({}, nested_prompt(instructions, random.below(20), own));
            learner.observe_chain(group, chain, 0, core::time_point(std::chrono::hours(1)));
        }
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(prefix_test, "routing");
