#include "tarragontrail/core/random.hpp"
#include "tarragontrail/routing/cached_block_index.hpp"
#include "tarragontrail/routing/prefix_probe.hpp"

#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <rapidcheck.h>
#include <set>

using namespace tarragontrail;
using namespace tarragontrail::routing;

namespace {

constexpr core::upstream_id engine_id{7};

/// Model of an engine with a small cache; records the content after each batch of each incarnation.
class engine_model
{
public:
    using content = std::set<std::uint64_t>;

    explicit engine_model(core::seeded_random& random) : m_random(random) { crash(); }

    void crash()
    {
        m_event = {};
        m_event.m_incarnation = core::incarnation{m_history.size() + 1};
        m_history.push_back({content{}});
    }

    cache_event apply_random_change()
    {
        content blocks = current();
        m_event.m_stored.clear();
        m_event.m_evicted.clear();
        ++m_event.m_sequence;
        for (std::uint64_t change = m_random.below(4); change > 0; --change)
        {
            const std::uint64_t block = m_random.below(40);
            const bool listed = std::ranges::count(m_event.m_stored, block) +
                                    std::ranges::count(m_event.m_evicted, block) >
                                0;
            if (listed)
            {
                continue;
            }
            const bool stored = blocks.insert(block).second;
            (stored ? m_event.m_stored : m_event.m_evicted).push_back(block);
            stored ? 0U : blocks.erase(block);
        }
        m_history.back().push_back(blocks);
        return m_event;
    }

    cache_snapshot snapshot() const
    {
        return {m_event.m_incarnation, m_event.m_sequence, {current().begin(), current().end()}};
    }

    const content& content_at(core::incarnation incarnation, std::uint64_t sequence) const
    {
        return m_history.at(core::value_of(incarnation) - 1).at(sequence);
    }

    const content& current() const { return m_history.back().back(); }

private:
    core::seeded_random& m_random;
    cache_event m_event;                         ///< Last batch.
    std::vector<std::vector<content>> m_history; ///< Content by incarnation and batch.
};

/// Asserts that a complete index equals the engine's content after the applied batch, and that an
/// incomplete one reports no block.
void check_index(const cached_block_index& index, const engine_model& engine)
{
    std::size_t reported = 0;
    for (std::uint64_t block = 0; block < 40; ++block)
    {
        const bool is_reported = index.contains(block);
        reported += is_reported ? 1 : 0;
        const std::array chain{block};
        RC_ASSERT(index.depth(chain) == (is_reported ? 1U : 0U));
        RC_ASSERT(
            (!is_reported ||
             engine.content_at(index.incarnation(), index.applied_sequence()).contains(block)));
    }
    const bool complete =
        index.is_complete() &&
        reported == engine.content_at(index.incarnation(), index.applied_sequence()).size();
    RC_ASSERT((complete || (!index.is_complete() && reported == 0)));
}

/// Applies an event stream with loss, reordering, duplicates and crashes to an index, and checks it
/// after each message.
void run_lossy_stream(std::uint64_t seed)
{
    core::seeded_random random(seed);
    engine_model engine(random);
    cached_block_index_settings settings;
    settings.m_expected_blocks = 8;
    settings.m_max_buffered_events = 4;
    settings.m_gap_timeout = std::chrono::milliseconds(40);
    settings.m_snapshot_interval = std::chrono::milliseconds(200);
    cached_block_index index(engine_id, settings);
    std::vector<std::variant<cache_event, cache_snapshot>> network;
    core::time_point now{};
    core::incarnation newest{};
    std::uint64_t highest = 0;

    for (int step = 0; step < 400; ++step)
    {
        now += std::chrono::milliseconds(random.below(50));
        if (random.below(40) == 0)
        {
            engine.crash();
        }
        const cache_event event = engine.apply_random_change();
        for (std::uint64_t copies = random.below(8); copies % 4 != 0; copies /= 2)
        {
            network.emplace_back(event);
        }
        index.on_timer(now);
        if (random.below(100) == 0)
        {
            index.on_stream_lost(now);
            RC_ASSERT(!index.is_complete());
        }
        for ([[maybe_unused]] const request_snapshot& request : index.take_snapshot_requests())
        {
            random.below(3) != 0 ? (void)network.emplace_back(engine.snapshot()) : (void)0;
        }
        while (!network.empty() && random.below(4) != 0)
        {
            // Delivers mostly in order, sometimes out of order.
            const std::size_t position = random.below(4) == 0 ? random.below(network.size()) : 0;
            const auto message = network[position];
            network.erase(network.begin() + static_cast<std::ptrdiff_t>(position));
            const auto [incarnation, sequence] = std::visit(
                [](const auto& item) { return std::pair(item.m_incarnation, item.m_sequence); },
                message);
            highest = incarnation > newest ? 0 : highest;
            newest = std::max(newest, incarnation);
            highest = incarnation == newest ? std::max(highest, sequence) : highest;
            if (const auto* const batch = std::get_if<cache_event>(&message))
            {
                index.on_event(*batch, now);
            }
            else
            {
                index.on_snapshot(std::get<cache_snapshot>(message), now);
            }
            check_index(index, engine);
            RC_ASSERT(index.incarnation() == newest);
            RC_ASSERT((!index.is_complete() || index.applied_sequence() >= highest));
        }
    }

    // A snapshot after a lost stream restores the engine's content.
    index.on_stream_lost(now);
    index.on_snapshot(engine.snapshot(), now);
    RC_ASSERT(index.is_complete());
    RC_ASSERT(index.size() == engine.current().size());
    check_index(index, engine);
}

} // namespace

/// Index of cached blocks and its lookups.
class cached_block_index_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(cached_block_index_test);
    CPPUNIT_TEST(index_equals_engine_under_loss_reorder_duplication_and_crash);
    CPPUNIT_TEST(gap_is_closed_by_late_batches_or_a_rate_limited_snapshot);
    CPPUNIT_TEST(lookups_narrow_the_depth_to_its_exact_value);
    CPPUNIT_TEST(lifetime_is_learned_within_bounds);
    CPPUNIT_TEST_SUITE_END();

public:
    void index_equals_engine_under_loss_reorder_duplication_and_crash()
    {
        CPPUNIT_ASSERT(rc::check("index equals the engine", run_lossy_stream));
    }

    void gap_is_closed_by_late_batches_or_a_rate_limited_snapshot()
    {
        const cached_block_index_settings settings;
        constexpr core::incarnation started{1};
        cached_block_index index(engine_id, settings);
        core::time_point now{std::chrono::hours(1)};
        const auto requests_after = [&](core::duration step) {
            now += step;
            index.on_timer(now);
            return index.take_snapshot_requests();
        };

        // A late batch closes the gap without a snapshot request.
        index.on_event({started, 1, {1}, {}}, now);
        index.on_event({started, 3, {3}, {}}, now);
        CPPUNIT_ASSERT(!index.is_complete());
        index.on_event({started, 2, {2}, {}}, now);
        CPPUNIT_ASSERT(index.is_complete() && index.size() == 3);
        CPPUNIT_ASSERT(!index.next_deadline() && requests_after(settings.m_gap_timeout).empty());

        // A gap that persists leads to a request, which is repeated if it gets no answer.
        index.on_event({started, 6, {6}, {}}, now);
        CPPUNIT_ASSERT(requests_after({}).empty());
        const auto requests = requests_after(settings.m_gap_timeout);
        CPPUNIT_ASSERT(requests.size() == 1 && requests[0].m_first_missing == 4);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             requests_after(settings.m_snapshot_retry_delay).size());
        index.on_snapshot({started, 5, {5}}, now);
        CPPUNIT_ASSERT(index.is_complete() && index.size() == 2);

        // The next snapshot is not requested within the snapshot interval.
        index.on_event({started, 9, {9}, {}}, now);
        CPPUNIT_ASSERT(requests_after(settings.m_snapshot_interval / 2).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             requests_after(settings.m_snapshot_interval / 2).size());
    }

    void lookups_narrow_the_depth_to_its_exact_value()
    {
        CPPUNIT_ASSERT(rc::check("lookups narrow the depth", [](std::uint64_t seed) {
            core::seeded_random random(seed);
            std::vector<std::uint64_t> hashes(1 + random.below(512));
            std::ranges::generate(hashes, random);
            const std::uint64_t depth = random.below(hashes.size() + 1);
            cached_block_index index(engine_id, {});
            const auto middle = hashes.begin() + static_cast<std::ptrdiff_t>(depth);
            index.on_snapshot({core::incarnation{3}, 5, {hashes.begin(), middle}}, {});

            lookup_request request{9, engine_id, core::incarnation{3}, 0, {}, {}};
            fill_initial_probe(hashes, request);
            RC_ASSERT(request.m_hashes.size() <= max_initial_hashes);
            lookup_reply reply = answer_lookup(request, index);
            for (int round = 0; reply.m_depth_lower < reply.m_depth_upper; ++round)
            {
                RC_ASSERT(round < 4);
                RC_ASSERT((reply.m_depth_lower <= depth && depth <= reply.m_depth_upper));
                lookup_request next{10, engine_id, core::incarnation{3}, 0, {}, {}};
                fill_refining_probe(hashes, {reply.m_depth_lower, reply.m_depth_upper}, next);
                RC_ASSERT(next.m_hashes.size() <= max_refining_hashes);
                reply = answer_lookup(next, index);
            }
            RC_ASSERT((reply.m_known && reply.m_depth_lower == depth));

            // A lookup for another incarnation is answered for the current one.
            request.m_incarnation = core::incarnation{2};
            request.m_depth_lower = 0;
            RC_ASSERT(answer_lookup(request, index).m_incarnation == core::incarnation{3});
            index.on_stream_lost({});
            reply = answer_lookup(request, index);
            RC_ASSERT((!reply.m_known && reply.m_depth_lower == 0 && reply.m_depth_upper == 0));
        }));
    }

    void lifetime_is_learned_within_bounds()
    {
        cached_block_index index(engine_id, {});
        core::time_point now{};
        std::uint64_t sequence = 0;
        const auto store_and_evict = [&](std::uint64_t block, core::duration after) {
            index.on_event({core::incarnation{1}, ++sequence, {block}, {}}, now);
            now += after;
            index.on_event({core::incarnation{1}, ++sequence, {}, {block}}, now);
        };
        CPPUNIT_ASSERT(index.block_lifetime() == std::chrono::milliseconds(0));
        for (std::uint64_t block = 0; block < 300; ++block)
        {
            store_and_evict(block, std::chrono::seconds(4));
        }
        CPPUNIT_ASSERT(index.block_lifetime() == std::chrono::seconds(4));
        for (std::uint64_t block = 0; block < 300; ++block)
        {
            store_and_evict(block, std::chrono::milliseconds(1));
        }
        CPPUNIT_ASSERT(index.block_lifetime() == std::chrono::seconds(1));
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(cached_block_index_test, "routing");
