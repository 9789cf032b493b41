#include "tarragontrail/config/generated_relay_settings.hpp"

#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fstream>
#include <functional>
#include <regex>
#include <set>

using namespace tarragontrail;
using namespace tarragontrail::config;
using namespace std::chrono_literals;

namespace {

/// A setting that the deploy template fills with a number of the platform.
struct platform_number
{
    const char* m_name;
    const char* m_whole;
    const char* m_fraction;
    std::function<double(const relay_settings&)> m_value; ///< Milliseconds for durations.
    double m_rounded;                                     ///< What the fraction gives.
};

const std::vector<platform_number>& platform_numbers()
{
    static const std::vector<platform_number> all{
        {"lease", "3000", "2999.6", [](const relay_settings& s) { return s.m_lease.count(); },
         3000},
        {"grace_seconds", "8", "7.75", [](const relay_settings& s) { return s.m_grace_seconds; },
         7.75},
        {"drain", "2500", "2500.4", [](const relay_settings& s) { return s.m_drain.count(); },
         2500},
        {"weights_limit", "8000", "8e3",
         [](const relay_settings& s) { return s.m_weights_limit.count(); }, 8000},
        {"apply_limit", "2500", "3999.5",
         [](const relay_settings& s) { return s.m_apply_limit.count(); }, 4000},
        {"link_mbps", "1000", "12.5", [](const relay_settings& s) { return s.m_link_mbps; }, 12.5},
        {"retry_ratio", "1", "0.15", [](const relay_settings& s) { return s.m_retry_ratio; }, 0.15},
        {"retry_slack", "58", "33.1578947368421",
         [](const relay_settings& s) { return s.m_retry_slack; }, 33.1578947368421},
        {"retry_window_seconds", "10", "9.5",
         [](const relay_settings& s) { return s.m_retry_window_seconds; }, 9.5},
        {"memory_mb", "260", "259.5", [](const relay_settings& s) { return s.m_memory_mb; }, 259.5},
        {"descriptors", "4100", "4100.5", [](const relay_settings& s) { return s.m_descriptors; },
         4100.5},
    };
    return all;
}

relay_settings load(const std::vector<std::string>& flags)
{
    std::vector<std::string> words{"tarragontrail-relay"};
    words.insert(words.end(), flags.begin(), flags.end());
    std::vector<char*> pointers;
    pointers.reserve(words.size());
    for (std::string& word : words)
    {
        pointers.push_back(word.data());
    }
    int argc = static_cast<int>(pointers.size());
    char** argv = pointers.data();
    return load_relay_settings(argc, argv);
}

std::string flag(const std::string& name, const std::string& value)
{
    return "--" + name + "=" + value;
}

} // namespace

/// Settings that the platform fills in: its bounds are whole numbers, fractions, or true or false.
class platform_settings_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(platform_settings_test);
    CPPUNIT_TEST(every_number_of_the_template_is_covered);
    CPPUNIT_TEST(fractions_are_taken);
    CPPUNIT_TEST(wrong_value_names_setting_value_and_range);
    CPPUNIT_TEST_SUITE_END();

    /// Values of one test must not reach the next: flags are global.
    static void restore(const platform_number& number)
    {
        load({flag(number.m_name, number.m_whole)});
    }

public:
    void every_number_of_the_template_is_covered()
    {
        std::ifstream file(TARRAGONTRAIL_SOURCE_FOLDER "/deploy/relay.flags");
        const std::regex numeric(R"(--(\w+)=\{\{(bounds|limits)\..*\}\})");
        std::set<std::string> filled;
        std::smatch found;
        for (std::string line; std::getline(file, line);)
        {
            if (std::regex_match(line, found, numeric) && found[1] != "fencing")
            {
                filled.insert(found[1]);
            }
        }
        std::set<std::string> covered;
        for (const platform_number& number : platform_numbers())
        {
            covered.insert(number.m_name);
        }
        CPPUNIT_ASSERT(!filled.empty());
        CPPUNIT_ASSERT(filled == covered);
    }

    void fractions_are_taken()
    {
        for (const platform_number& number : platform_numbers())
        {
            const relay_settings settings = load({flag(number.m_name, number.m_fraction)});
            CPPUNIT_ASSERT_DOUBLES_EQUAL_MESSAGE(number.m_name, number.m_rounded,
                                                 number.m_value(settings), 1e-9);
            restore(number);
        }
        CPPUNIT_ASSERT(!load({flag("fencing", "false")}).m_fencing);
        CPPUNIT_ASSERT(load({flag("fencing", "true")}).m_fencing);
    }

    void wrong_value_names_setting_value_and_range()
    {
        for (const platform_number& number : platform_numbers())
        {
            for (const std::string value : {"soon", "-1", "nan", "1e300", "2500x"})
            {
                try
                {
                    load({flag(number.m_name, value)});
                    CPPUNIT_FAIL(flag(number.m_name, value) + " was taken");
                }
                catch (const setting_error& failure)
                {
                    const std::string text = failure.what();
                    CPPUNIT_ASSERT_EQUAL(std::string(number.m_name), failure.setting());
                    CPPUNIT_ASSERT_MESSAGE(text, text.find("between") != std::string::npos);
                    // Numbers may be written in another form than they were given.
                    CPPUNIT_ASSERT_MESSAGE(text, text.find("value '") != std::string::npos);
                }
                restore(number);
            }
        }
        CPPUNIT_ASSERT_THROW(load({flag("fencing", "perhaps")}), setting_error);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(platform_settings_test, "config");
