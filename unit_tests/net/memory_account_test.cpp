#include "tarragontrail/net/memory_account.hpp"

#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <vector>

using namespace tarragontrail;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t limit_bytes = 1'000'000;

/// Holder of one claim that gives back all of it.
class holder : public net::memory_holder
{
public:
    explicit holder(const std::shared_ptr<net::memory_account>& account) : m_claim(account, this) {}

    bool may_release_memory() const override { return m_may_release; }

    void release_memory() override
    {
        ++m_releases;
        m_claim.resize(0);
    }

    net::memory_claim m_claim;
    bool m_may_release = true;
    int m_releases = 0;
};

} // namespace

/// Memory that is shared by claims. The clock is paused.
class memory_account_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(memory_account_test);
    CPPUNIT_TEST(claim_is_given_back_with_its_owner);
    CPPUNIT_TEST(largest_claim_that_is_held_longest_yields);
    CPPUNIT_TEST(claim_yields_to_no_larger_one_of_its_age);
    CPPUNIT_TEST(claim_that_may_not_be_released_stays);
    CPPUNIT_TEST(large_claims_leave_room_for_small_ones);
    CPPUNIT_TEST(holder_that_yields_may_claim_a_little);
    CPPUNIT_TEST(sum_never_exceeds_the_limit);
    CPPUNIT_TEST_SUITE_END();

    std::shared_ptr<net::memory_account> m_account;

public:
    void setUp() override
    {
        core::runtime_clock::pause();
        m_account = std::make_shared<net::memory_account>(limit_bytes);
    }

    void tearDown() override { core::runtime_clock::resume(); }

    void claim_is_given_back_with_its_owner()
    {
        {
            net::memory_claim claim(m_account);
            CPPUNIT_ASSERT(claim.resize(5'000));
            CPPUNIT_ASSERT_EQUAL(std::size_t{5'000}, m_account->held_bytes());
            CPPUNIT_ASSERT(claim.resize(2'000));
            CPPUNIT_ASSERT_EQUAL(std::size_t{2'000}, m_account->held_bytes());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_account->held_bytes());
    }

    void largest_claim_that_is_held_longest_yields()
    {
        holder small(m_account);
        holder large(m_account);
        core::runtime_clock::advance(1s);
        holder late(m_account);
        CPPUNIT_ASSERT(small.m_claim.resize(100'000));
        CPPUNIT_ASSERT(large.m_claim.resize(300'000));
        CPPUNIT_ASSERT(late.m_claim.resize(340'000));
        core::runtime_clock::advance(1s);
        net::memory_claim next(m_account);
        CPPUNIT_ASSERT(next.resize(200'000));
        CPPUNIT_ASSERT_EQUAL(1, large.m_releases);
        CPPUNIT_ASSERT_EQUAL(0, small.m_releases + late.m_releases);
    }

    void claim_yields_to_no_larger_one_of_its_age()
    {
        holder first(m_account);
        holder second(m_account);
        CPPUNIT_ASSERT(first.m_claim.resize(400'000));
        core::runtime_clock::advance(1s);
        CPPUNIT_ASSERT(!second.m_claim.resize(700'000));
        CPPUNIT_ASSERT_EQUAL(0, first.m_releases);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, second.m_claim.bytes());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_account->refused());
    }

    void claim_that_may_not_be_released_stays()
    {
        holder first(m_account);
        first.m_may_release = false;
        CPPUNIT_ASSERT(first.m_claim.resize(700'000));
        core::runtime_clock::advance(10s);
        holder second(m_account);
        CPPUNIT_ASSERT(!second.m_claim.resize(200'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{700'000}, m_account->held_bytes());
    }

    void large_claims_leave_room_for_small_ones()
    {
        std::vector<std::unique_ptr<net::memory_claim>> large;
        do
        {
            large.push_back(std::make_unique<net::memory_claim>(m_account));
        } while (large.back()->resize(100'000));
        net::memory_claim small(m_account);
        CPPUNIT_ASSERT(small.resize(net::memory_account::small_claim_bytes));
    }

    void holder_that_yields_may_claim_a_little()
    {
        /// Keeps the words of a refusal.
        class talkative : public holder
        {
        public:
            using holder::holder;

            void release_memory() override
            {
                m_claim.resize(0);
                CPPUNIT_ASSERT(m_claim.resize(300));
            }
        };
        talkative first(m_account);
        CPPUNIT_ASSERT(first.m_claim.resize(700'000));
        core::runtime_clock::advance(1s);
        net::memory_claim second(m_account);
        CPPUNIT_ASSERT(second.resize(700'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{700'300}, m_account->held_bytes());
    }

    void sum_never_exceeds_the_limit()
    {
        const bool holds = rc::check("sum", [] {
            const auto account = std::make_shared<net::memory_account>(limit_bytes);
            std::vector<std::unique_ptr<holder>> holders;
            for (int i = 0; i < 8; ++i)
            {
                holders.push_back(std::make_unique<holder>(account));
                holders.back()->m_may_release = i % 2 == 0;
            }
            const auto steps =
                *rc::gen::container<std::vector<std::pair<std::size_t, std::size_t>>>(
                    rc::gen::pair(rc::gen::inRange<std::size_t>(0, 8),
                                  rc::gen::inRange<std::size_t>(0, 400'000)));
            for (const auto& [number, bytes] : steps)
            {
                core::runtime_clock::advance(1ms);
                holder& chosen = *holders.at(number);
                const std::size_t before = chosen.m_claim.bytes();
                const bool has_room = chosen.m_claim.resize(bytes);
                RC_ASSERT(chosen.m_claim.bytes() == (has_room ? bytes : before));
                std::size_t sum = 0;
                for (const auto& each : holders)
                {
                    sum += each->m_claim.bytes();
                }
                RC_ASSERT(account->held_bytes() == sum);
                RC_ASSERT(sum <= limit_bytes);
            }
        });
        CPPUNIT_ASSERT(holds);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(memory_account_test, "net");
