#include "tarragontrail/config/bundle.hpp"
#include "tarragontrail/config/bundle_error.hpp"
#include "tarragontrail/config/draft_row.hpp"
#include "tarragontrail/config/head_row.hpp"
#include "unit_tests/config/sample_bundle.hpp"

#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

using namespace tarragontrail;
using nlohmann::json;

namespace {

constexpr std::size_t depth = 60'000;

std::string deep_list()
{
    return std::string(depth, '[') + std::string(depth, ']');
}

/// Text of a document with the value at a JSON pointer replaced by other text.
std::string with(const std::string& document, const std::string& pointer, const std::string& text)
{
    json tree = json::parse(document);
    tree[json::json_pointer(pointer)] = "PLACE";
    std::string written = tree.dump();
    const std::string place = "\"PLACE\"";
    return written.replace(written.find(place), place.size(), text);
}

std::string head_text()
{
    config::head_row row;
    row.m_current = {7, "bundle/a", 6, "change/a"};
    row.m_previous = {6, "bundle/b", 0, ""};
    row.m_steps = {{{"domain-0"}}, {{"domain-1"}}};
    row.m_withdrawals = {{1, 2, 3}};
    row.m_history.add(5, 6);
    return config::serialize_head_row(row);
}

std::string draft_text()
{
    config::draft_row row;
    row.m_name = "d";
    row.m_ref = {7, "bundle/a", 6, "change/a"};
    row.m_steps = {{{"domain-0"}}};
    row.m_history.add(5, 6);
    return config::serialize_draft_row(row);
}

template <class Read>
void expect_refused(const std::string& text, const std::string& name, Read read)
{
    try
    {
        read(text);
    }
    catch (const config::bundle_error& failure)
    {
        CPPUNIT_ASSERT_MESSAGE(name, failure.reason().size() < 1'000);
        return;
    }
    CPPUNIT_FAIL(name + " was read");
}

} // namespace

/// Rows and documents of the configuration that no instance writes.
class odd_rows_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(odd_rows_test);
    CPPUNIT_TEST(impossible_values_of_a_head_row_are_refused);
    CPPUNIT_TEST(impossible_values_of_a_draft_row_are_refused);
    CPPUNIT_TEST(deep_rows_are_refused_wherever_they_nest);
    CPPUNIT_TEST(deep_bundles_are_refused_wherever_they_nest);
    CPPUNIT_TEST_SUITE_END();

public:
    void impossible_values_of_a_head_row_are_refused()
    {
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7},
                             config::parse_head_row(head_text()).m_current.m_version);
        for (const char* pointer : {"/current/version", "/previous/base", "/step",
                                    "/withdrawals/0/1", "/trail/0/0", "/trail/0/1"})
        {
            for (const char* odd : {"-1", "1.5", "1e300", "true", R"("1")", "null", "[]", "{}"})
            {
                expect_refused(with(head_text(), pointer, odd), fmt::format("{} {}", pointer, odd),
                               config::parse_head_row);
            }
        }
        for (const char* pointer : {"/current", "/current/object", "/steps", "/steps/0",
                                    "/steps/0/0", "/withdrawals", "/withdrawals/0", "/trail"})
        {
            for (const char* odd : {"1", "true", "null", R"({"a":1})"})
            {
                expect_refused(with(head_text(), pointer, odd), fmt::format("{} {}", pointer, odd),
                               config::parse_head_row);
            }
        }
        for (const char* odd : {"", "{", "[]", "1", "null", "{}"})
        {
            expect_refused(odd, odd, config::parse_head_row);
        }
    }

    void impossible_values_of_a_draft_row_are_refused()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("d"), config::parse_draft_row(draft_text()).m_name);
        for (const char* pointer :
             {"/name", "/state", "/author", "/ref", "/ref/version", "/steps", "/trail/0/1"})
        {
            for (const char* odd : {"1.5", "-1", "true", "null", R"([[7]])"})
            {
                expect_refused(with(draft_text(), pointer, odd), fmt::format("{} {}", pointer, odd),
                               config::parse_draft_row);
            }
        }
    }

    void deep_rows_are_refused_wherever_they_nest()
    {
        for (const char* pointer : {"/x", "/current/object", "/steps/0", "/step", "/trail/0"})
        {
            expect_refused(with(head_text(), pointer, deep_list()), pointer,
                           config::parse_head_row);
        }
        for (const char* pointer : {"/x", "/state", "/name", "/steps", "/ref"})
        {
            expect_refused(with(draft_text(), pointer, deep_list()), pointer,
                           config::parse_draft_row);
        }
    }

    void deep_bundles_are_refused_wherever_they_nest()
    {
        const std::string text = config::serialize(test::sample_bundle(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, config::parse_bundle(text).m_workspaces.size());
        const std::string twice = "[" + deep_list() + "," + deep_list() + "]";
        for (const char* pointer :
             {"/x", "/version", "/open_routes", "/models/0/adapters", "/upstreams/0/kind",
              "/upstreams/0/adapters", "/regions/0/failure_domains", "/workspaces/0/keys",
              "/workspaces/0/name", "/limits", "/rollout"})
        {
            for (const std::string& deep : {deep_list(), twice})
            {
                expect_refused(with(text, pointer, deep), pointer, config::parse_bundle);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(odd_rows_test, "config");
