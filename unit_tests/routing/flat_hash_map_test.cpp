#include "tarragontrail/core/random.hpp"
#include "tarragontrail/routing/flat_hash_map.hpp"

#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <unordered_map>

using namespace tarragontrail;
using namespace tarragontrail::routing;

/// Open-addressing hash map.
class flat_hash_map_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(flat_hash_map_test);
    CPPUNIT_TEST(table_equals_reference);
    CPPUNIT_TEST(table_keeps_its_byte_budget);
    CPPUNIT_TEST_SUITE_END();

public:
    void table_equals_reference()
    {
        CPPUNIT_ASSERT(rc::check("table equals reference", [](std::uint64_t seed) {
            core::seeded_random random(seed);
            flat_hash_map<std::uint64_t> table;
            std::unordered_map<std::uint64_t, std::uint64_t> reference;
            for (int step = 0; step < 2000; ++step)
            {
                const std::uint64_t key = random.below(64 + seed % 512);
                const std::uint64_t value = random();
                if (random.below(2) == 0)
                {
                    RC_ASSERT(table.insert(key, value));
                    reference[key] = value;
                }
                else
                {
                    RC_ASSERT(table.erase(key) == (reference.erase(key) == 1));
                }
                const std::uint64_t probe = random.below(64 + seed % 512);
                const auto expected = reference.find(probe);
                const std::uint64_t* const found = table.find(probe);
                RC_ASSERT((found != nullptr) == (expected != reference.end()));
                RC_ASSERT((found == nullptr || *found == expected->second));
                RC_ASSERT(table.size() == reference.size());
            }
        }));
    }

    void table_keeps_its_byte_budget()
    {
        constexpr std::size_t budget = 8192;
        flat_hash_map<no_value> table(16, budget);
        std::size_t accepted = 0;
        for (std::uint64_t key = 0; key < 5000; ++key)
        {
            accepted += table.insert(key * key + 1) ? 1 : 0;
        }
        CPPUNIT_ASSERT(accepted == table.size() && accepted < 5000);
        CPPUNIT_ASSERT(table.bytes() <= budget);
        CPPUNIT_ASSERT(accepted * 16 >= budget);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(flat_hash_map_test, "routing");
