#include "tarragontrail/core/hash.hpp"
#include "tarragontrail/relay/instance_registry.hpp"
#include "tarragontrail/relay/upstream_reach.hpp"

#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

using namespace tarragontrail;
using namespace tarragontrail::relay;
using namespace std::chrono_literals;

namespace {

fleet_member member(std::uint64_t number, const std::string& domain, const std::string& region)
{
    return {core::instance_id{number},
            core::incarnation{1},
            domain,
            region,
            fmt::format("10.0.0.{}:80", number),
            fmt::format("10.0.0.{}:90", number)};
}

} // namespace

/// Services that an instance cannot reach, and who serves their requests instead.
class upstream_reach_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(upstream_reach_test);
    CPPUNIT_TEST(failures_of_several_upstreams_in_a_row_cut_a_service_off);
    CPPUNIT_TEST(one_upstream_that_fails_again_and_again_does_not);
    CPPUNIT_TEST(response_of_any_upstream_ends_it);
    CPPUNIT_TEST(directory_names_instances_that_reach_all_services);
    CPPUNIT_TEST(directory_names_all_where_none_reaches_them);
    CPPUNIT_TEST(near_peer_that_reaches_the_service_is_preferred);
    CPPUNIT_TEST_SUITE_END();

public:
    void failures_of_several_upstreams_in_a_row_cut_a_service_off()
    {
        upstream_reach reach;
        reach.on_failure("s", core::upstream_id{1}, 9);
        reach.on_failure("s", core::upstream_id{2}, 9);
        CPPUNIT_ASSERT(!reach.is_cut_off("s"));
        reach.on_failure("s", core::upstream_id{3}, 9);
        CPPUNIT_ASSERT(reach.is_cut_off("s"));
        CPPUNIT_ASSERT(!reach.is_cut_off("t"));
        reach.on_failure("t", core::upstream_id{4}, 1);
        CPPUNIT_ASSERT(reach.is_cut_off("t"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, reach.cut_off_hashes().size());
    }

    void one_upstream_that_fails_again_and_again_does_not()
    {
        upstream_reach reach;
        for (int i = 0; i < 10; ++i)
        {
            reach.on_failure("s", core::upstream_id{1}, 9);
        }
        CPPUNIT_ASSERT(!reach.is_cut_off("s"));
    }

    void response_of_any_upstream_ends_it()
    {
        upstream_reach reach;
        for (std::uint64_t i = 1; i <= 3; ++i)
        {
            reach.on_failure("s", core::upstream_id{i}, 9);
        }
        reach.on_response("s");
        CPPUNIT_ASSERT(!reach.is_cut_off("s"));
        reach.on_failure("s", core::upstream_id{4}, 9);
        CPPUNIT_ASSERT(!reach.is_cut_off("s"));
    }

    void directory_names_instances_that_reach_all_services()
    {
        instance_registry registry = fleet();
        cut_off(registry, 2);
        const auto named = registry.addresses_for({"d1", "r1"}, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, named.size());
        CPPUNIT_ASSERT(std::find(named.begin(), named.end(), "10.0.0.2:80") == named.end());
    }

    void directory_names_all_where_none_reaches_them()
    {
        instance_registry registry = fleet();
        for (std::uint64_t number = 2; number <= 4; ++number)
        {
            cut_off(registry, number);
        }
        registry.set_own_status({core::incarnation{1}, true, false, true, {m_service}}, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, registry.addresses_for({"d1", "r1"}, m_now).size());
    }

    void near_peer_that_reaches_the_service_is_preferred()
    {
        instance_registry registry = fleet();
        const auto peer = [&](const std::vector<core::instance_id>& tried) {
            return registry.peer_reaching(m_service, tried, 0, m_now);
        };
        CPPUNIT_ASSERT(peer({}) == core::instance_id{2});
        CPPUNIT_ASSERT(peer({core::instance_id{2}}) == core::instance_id{3});
        cut_off(registry, 2);
        CPPUNIT_ASSERT(peer({}) == core::instance_id{3});
        CPPUNIT_ASSERT(peer({core::instance_id{3}}) == core::instance_id{4});
        cut_off(registry, 3);
        cut_off(registry, 4);
        CPPUNIT_ASSERT(!peer({}));
        CPPUNIT_ASSERT(registry.peer_reaching(m_service + 1, {}, 0, m_now));
    }

private:
    /// Instances 1, this one, and 2 in one failure domain, 3 in another, 4 in another region.
    instance_registry fleet()
    {
        instance_registry registry(member(1, "d1", "r1"));
        registry.apply(member(2, "d1", "r1"));
        registry.apply(member(3, "d2", "r1"));
        registry.apply(member(4, "d3", "r2"));
        registry.set_own_status({core::incarnation{1}, true, false, true}, m_now);
        for (std::uint64_t number = 2; number <= 4; ++number)
        {
            registry.on_status(core::instance_id{number}, {core::incarnation{1}, true, false, true},
                               m_now);
        }
        return registry;
    }

    void cut_off(instance_registry& registry, std::uint64_t number) const
    {
        registry.on_status(core::instance_id{number},
                           {core::incarnation{1}, true, false, true, {m_service}}, m_now);
    }

    std::uint64_t m_service = core::hash_name("s");
    core::time_point m_now{1h};
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(upstream_reach_test, "relay");
