#include "tarragontrail/relay/exchange_cells.hpp"

#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <set>

using namespace tarragontrail;
using namespace tarragontrail::relay;

namespace {

using member_map = std::map<core::instance_id, fleet_member>;

/// Instances spread evenly over failure domains, the first half of which is in one region.
member_map make_fleet(std::size_t count, std::size_t domains)
{
    member_map members;
    for (std::size_t i = 0; i < count; ++i)
    {
        fleet_member member;
        member.m_instance = core::instance_id{1'000 + 7 * i};
        const std::size_t domain = i % domains;
        member.m_failure_domain = "domain-" + std::to_string(domain);
        member.m_region = domain < (domains + 1) / 2 ? "one" : "two";
        members[member.m_instance] = member;
    }
    return members;
}

exchange_cells cells_of(core::instance_id self, const member_map& members)
{
    exchange_cells cells(self);
    cells.set_members(members);
    return cells;
}

bool everyone(core::instance_id /*instance*/)
{
    return true;
}

} // namespace

/// Partition of the fleet for the exchange of state.
class exchange_cells_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(exchange_cells_test);
    CPPUNIT_TEST(small_region_is_one_cell);
    CPPUNIT_TEST(all_instances_agree);
    CPPUNIT_TEST(connections_of_an_instance_hardly_grow_with_the_fleet);
    CPPUNIT_TEST(cells_keep_to_failure_domains);
    CPPUNIT_TEST(forwarding_is_spread_over_a_cell);
    CPPUNIT_TEST(dead_speaker_and_receiver_are_replaced);
    CPPUNIT_TEST_SUITE_END();

public:
    void small_region_is_one_cell()
    {
        const member_map members = make_fleet(9, 3);
        const exchange_cells cells = cells_of(members.begin()->first, members);
        CPPUNIT_ASSERT_EQUAL(std::string("one"), cells.own().m_name);
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, cells.own().m_members.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cells.others().size());
    }

    void all_instances_agree()
    {
        const member_map members = make_fleet(295, 6);
        std::map<std::string, std::vector<core::instance_id>> seen;
        for (const auto& [instance, member] : members)
        {
            const exchange_cells cells = cells_of(instance, members);
            CPPUNIT_ASSERT(cells.is_in_own(instance));
            const auto known = seen.try_emplace(cells.own().m_name, cells.own().m_members).first;
            CPPUNIT_ASSERT(known->second == cells.own().m_members);
            std::size_t total = cells.own().m_members.size();
            for (const auto& [name, cell] : cells.others())
            {
                total += cell.m_members.size();
            }
            CPPUNIT_ASSERT_EQUAL(members.size(), total);
        }
    }

    /// Whoever an instance sends to: its cell, and one instance of each other one.
    void connections_of_an_instance_hardly_grow_with_the_fleet()
    {
        for (const std::size_t count : {60U, 100U, 300U, 380U, 1'000U})
        {
            const member_map members = make_fleet(count, 6);
            for (const auto& [instance, member] : members)
            {
                const exchange_cells cells = cells_of(instance, members);
                CPPUNIT_ASSERT(cells.own().m_members.size() <= 40);
                CPPUNIT_ASSERT(cells.others().size() < 100);
            }
        }
    }

    void cells_keep_to_failure_domains()
    {
        const member_map members = make_fleet(295, 6);
        const exchange_cells cells = cells_of(members.begin()->first, members);
        std::set<std::string> domains;
        for (const core::instance_id each : cells.own().m_members)
        {
            domains.insert(members.at(each).m_failure_domain);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, domains.size());
    }

    /// No instance passes on the messages of all other cells.
    void forwarding_is_spread_over_a_cell()
    {
        const member_map members = make_fleet(295, 6);
        std::map<std::string, core::instance_id> one_of_cell;
        for (const auto& [instance, member] : members)
        {
            one_of_cell.try_emplace(cells_of(instance, members).own().m_name, instance);
        }
        std::map<core::instance_id, std::size_t> senders;
        for (const auto& [name, instance] : one_of_cell)
        {
            const exchange_cells cells = cells_of(instance, members);
            for (const auto& [other, cell] : cells.others())
            {
                ++senders[*cells.receiver_in(cell, everyone)];
            }
        }
        for (const auto& [instance, count] : senders)
        {
            CPPUNIT_ASSERT(count <= one_of_cell.size() / 2);
        }
    }

    void dead_speaker_and_receiver_are_replaced()
    {
        const member_map members = make_fleet(80, 6);
        const exchange_cells cells = cells_of(members.begin()->first, members);
        const core::instance_id speaker = cells.speaker(everyone);
        const auto without = [](core::instance_id dead) {
            return [dead](core::instance_id instance) { return instance != dead; };
        };
        CPPUNIT_ASSERT(cells.is_in_own(speaker));
        CPPUNIT_ASSERT(cells.speaker(without(speaker)) != speaker);
        const exchange_cell& other = cells.others().begin()->second;
        const auto receiver = cells.receiver_in(other, everyone);
        CPPUNIT_ASSERT(receiver.has_value());
        CPPUNIT_ASSERT(cells.receiver_in(other, without(*receiver)) != receiver);
        CPPUNIT_ASSERT(!cells.receiver_in(other, [](core::instance_id) { return false; }));
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(exchange_cells_test, "relay");
