#include "tarragontrail/config/bundle_delta.hpp"
#include "tarragontrail/config/bundle_error.hpp"
#include "tarragontrail/config/key_table.hpp"
#include "unit_tests/config/sample_bundle.hpp"

#include <algorithm>
#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace tarragontrail;
using namespace std::chrono_literals;
using config::bundle;
using config::key_verdict;
using nlohmann::json;

namespace {

/// Bundle with a random subset of thirty workspaces; no key number is used in two workspaces.
bundle random_bundle(std::uint64_t version)
{
    bundle made = test::sample_bundle(0, version);
    made.m_limits.m_output_tokens = *rc::gen::inRange(1U, 100U);
    for (std::size_t i = 0; i < 30; ++i)
    {
        if (*rc::gen::arbitrary<bool>())
        {
            continue;
        }
        config::workspace each = test::sample_bundle(i + 1).m_workspaces.back();
        each.m_tokens_per_second = *rc::gen::inRange(1U, 5U);
        each.m_first_key = static_cast<std::uint32_t>(made.m_keys.size());
        each.m_key_count = *rc::gen::inRange<std::uint16_t>(0, 4);
        for (std::uint32_t key = 0; key < each.m_key_count; ++key)
        {
            const auto owner = static_cast<std::uint32_t>(made.m_workspaces.size());
            const auto state =
                *rc::gen::element(config::key_state::active, config::key_state::withdrawn);
            made.m_keys.push_back(
                {config::sha256(test::sample_key(i * 10 + key)), key, owner, state});
        }
        made.m_workspaces.push_back(each);
    }
    return made;
}

/// Path of the error in a sample document with one value replaced; "accepted" if there is none.
std::string error_path(const char* pointer, const json& value)
{
    json document = json::parse(config::serialize(test::sample_bundle(3)));
    document[json::json_pointer(pointer)] = value;
    try
    {
        config::parse_bundle(document.dump());
    }
    catch (const config::bundle_error& error)
    {
        return error.path();
    }
    return "accepted";
}

void assert_rejected(const char* pointer, const json& value)
{
    CPPUNIT_ASSERT_EQUAL(std::string(pointer), error_path(pointer, value));
}

config::freshness_word status_from(const char* domain,
                                   std::optional<std::chrono::milliseconds> table_age)
{
    config::freshness_word status;
    status.m_domain = core::id_of<core::failure_domain_id>(domain);
    status.m_store_heard = table_age.has_value();
    status.m_store_age = table_age.value_or(0ms);
    return status;
}

} // namespace

/// Bundle documents, deltas, keys and their freshness.
class bundle_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(bundle_test);
    CPPUNIT_TEST(invalid_values_are_rejected_with_their_path);
    CPPUNIT_TEST(documents_and_deltas_lead_to_the_same_bundle);
    CPPUNIT_TEST(corrupted_document_throws_only_bundle_error);
    CPPUNIT_TEST(successor_may_not_reactivate_a_key);
    CPPUNIT_TEST(keys_follow_bundle_and_withdrawals);
    CPPUNIT_TEST(freshness_needs_table_or_every_domain);
    CPPUNIT_TEST_SUITE_END();

public:
    void invalid_values_are_rejected_with_their_path()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("accepted"), error_path("/version", 1));
        assert_rejected("/version", 0);
        assert_rejected("/workspaces/1/tokens_per_second", 0);
        assert_rejected("/workspaces/1/tokens_per_second", 1.5);
        assert_rejected("/workspaces/2/priority", 10);
        assert_rejected("/workspaces/2/name", "workspace-00001");
        assert_rejected("/workspaces/0/name", "with space");
        assert_rejected("/workspaces/0/keys/0/sha256", std::string(64, 'G'));
        assert_rejected("/workspaces/0/keys/0/sha256", std::string(63, 'a'));
        assert_rejected("/workspaces/1/keys/0/sha256",
                        config::to_hex(config::sha256(test::sample_key(0))));
        assert_rejected("/workspaces/0/keys/0/state", "lost");
        assert_rejected("/regions/1/name", "region-0");
        assert_rejected("/regions/1/failure_domains/0", "domain-0");
        assert_rejected("/upstreams/0/region", "elsewhere");
        assert_rejected("/upstreams/0/failure_domain", "domain-1");
        assert_rejected("/upstreams/0/model", "unknown");
        assert_rejected("/upstreams/0/address", "engine.example");
        assert_rejected("/upstreams/1/name", "engine-1");
        assert_rejected("/service_routes/0/upstreams/0", "engine-1");
        assert_rejected("/service_routes/0/path_prefix", "orders");
        assert_rejected("/open_routes/0", "v1");
        assert_rejected("/limits/queued_requests", 0);
        CPPUNIT_ASSERT_EQUAL(std::string("/rollout/0/failure_domains/0"),
                             error_path("/rollout", {{{"failure_domains", {"nowhere"}}}}));
        CPPUNIT_ASSERT_EQUAL(std::string(""), error_path("/surplus", 1));
    }

    void documents_and_deltas_lead_to_the_same_bundle()
    {
        CPPUNIT_ASSERT(rc::check("document and delta round trips", [] {
            const bundle base = random_bundle(4);
            const bundle next = random_bundle(5);
            const std::string text = config::serialize(next);
            RC_ASSERT(config::serialize(config::parse_bundle(text)) == text);
            const std::string delta = config::make_delta(base, next);
            RC_ASSERT(config::serialize(config::apply_delta(base, delta)) == text);
            RC_ASSERT_THROWS_AS(config::apply_delta(next, delta), config::bundle_error);
        }));
    }

    void corrupted_document_throws_only_bundle_error()
    {
        const std::string text = config::serialize(test::sample_bundle(3));
        CPPUNIT_ASSERT(rc::check("a corrupted byte never throws another exception", [&] {
            std::string corrupted = text;
            corrupted[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
            corrupted.resize(*rc::gen::element(text.size(), text.size() / 2));
            try
            {
                config::parse_bundle(corrupted);
            }
            catch (const config::bundle_error&)
            {}
        }));
    }

    void successor_may_not_reactivate_a_key()
    {
        bundle current = test::sample_bundle(3);
        current.m_keys[1].m_state = config::key_state::withdrawn;
        bundle next = current;
        CPPUNIT_ASSERT_THROW(config::check_successor(current, next), config::bundle_error);
        next.m_version = 2;
        config::check_successor(current, next);
        next.m_keys[1].m_state = config::key_state::active;
        CPPUNIT_ASSERT_THROW(config::check_successor(current, next), config::bundle_error);
    }

    void keys_follow_bundle_and_withdrawals()
    {
        CPPUNIT_ASSERT(rc::check("verdicts match a reference model", [] {
            const core::time_point now{1h};
            config::key_table table{config::key_freshness_settings{}};
            table.freshness().on_table_confirmed(now);
            std::map<std::size_t, bool> withdrawn;
            bundle current = test::sample_bundle(20, 1);
            table.apply(std::make_shared<const bundle>(current));
            for (int step = 0; step < 30; ++step)
            {
                const auto key = *rc::gen::inRange<std::size_t>(0, 25);
                const config::sha256_digest digest = config::sha256(test::sample_key(key));
                if (*rc::gen::arbitrary<bool>())
                {
                    table.withdraw(table.make_withdrawal(config::prefix_of(digest)));
                    withdrawn[key] = true;
                    continue;
                }
                // A later bundle that was drafted before some of the withdrawals includes only the
                // others.
                ++current.m_version;
                for (config::key_entry& entry : current.m_keys)
                {
                    const bool listed = withdrawn[entry.m_workspace] && *rc::gen::arbitrary<bool>();
                    entry.m_state = listed ? config::key_state::withdrawn : entry.m_state;
                }
                table.apply(std::make_shared<const bundle>(current));
                for (std::size_t i = 0; i < 25; ++i)
                {
                    const config::key_check_result check =
                        table.check(config::sha256(test::sample_key(i)), now);
                    const key_verdict expected = withdrawn[i] ? key_verdict::withdrawn
                                                 : i < 20     ? key_verdict::accepted
                                                              : key_verdict::unknown_key;
                    RC_ASSERT(check.m_verdict == expected);
                    RC_ASSERT((expected != key_verdict::accepted || check.m_workspace_index == i));
                }
            }
            const core::time_point late = now + 11s;
            RC_ASSERT(table.check(config::sha256("other"), late).m_verdict ==
                      key_verdict::stale_state);
        }));
    }

    void freshness_needs_table_or_every_domain()
    {
        const core::time_point now{1h};
        config::key_freshness freshness{config::key_freshness_settings{}};
        CPPUNIT_ASSERT(freshness.state(now) == config::freshness_state::stale);
        const auto own = core::id_of<core::failure_domain_id>("own");
        freshness.set_domains(
            {core::id_of<core::failure_domain_id>("a"), core::id_of<core::failure_domain_id>("b")},
            own);

        // A table confirmation passed on by a peer counts from its age, not from its arrival.
        freshness.on_peer_freshness(status_from("a", 9000ms), now);
        CPPUNIT_ASSERT(freshness.state(now + 1s) == config::freshness_state::table_confirmed);
        CPPUNIT_ASSERT(freshness.state(now + 2s) == config::freshness_state::stale);

        // Without the table service, every listed domain must have confirmed.
        freshness.on_peer_freshness(status_from("a", std::nullopt), now + 5s);
        CPPUNIT_ASSERT(freshness.state(now + 5s) == config::freshness_state::stale);
        freshness.on_peer_freshness(status_from("b", std::nullopt), now + 5s);
        CPPUNIT_ASSERT(freshness.state(now + 15s) == config::freshness_state::peers_confirmed);
        CPPUNIT_ASSERT(freshness.state(now + 16s) == config::freshness_state::stale);

        // A domain without listed instances is not required.
        freshness.set_domains({core::id_of<core::failure_domain_id>("a"), own}, own);
        freshness.on_peer_freshness(status_from("a", std::nullopt), now + 20s);
        CPPUNIT_ASSERT(freshness.state(now + 25s) == config::freshness_state::peers_confirmed);

        // In a fleet of one domain, another instance of that domain must have confirmed.
        freshness.set_domains({own}, own);
        CPPUNIT_ASSERT(freshness.state(now + 25s) == config::freshness_state::stale);
        freshness.on_peer_freshness(status_from("own", std::nullopt), now + 25s);
        CPPUNIT_ASSERT(freshness.state(now + 25s) == config::freshness_state::peers_confirmed);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(bundle_test, "config");
