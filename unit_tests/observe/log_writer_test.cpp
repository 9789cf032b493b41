#include "tarragontrail/observe/log_writer.hpp"

#include "tarragontrail/core/parse_number.hpp"
#include "tarragontrail/observe/log.hpp"

#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdio>
#include <memory>
#include <optional>
#include <sstream>
#include <thread>
#include <vector>

using namespace tarragontrail;

/// Log lines of several threads at once.
class log_writer_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(log_writer_test);
    CPPUNIT_TEST(lines_of_several_threads_are_whole_and_in_their_order);
    CPPUNIT_TEST(lines_that_do_not_fit_are_dropped_and_counted);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t thread_count = 4;
    static constexpr std::size_t lines_per_thread = 2'000;

    /// What has come out of the writer.
    struct outcome
    {
        std::vector<std::vector<std::uint64_t>> m_numbers; ///< Of each thread's lines.
        std::uint64_t m_dropped = 0;                       ///< As the writer counts.
        std::uint64_t m_told = 0;                          ///< As the log tells.
    };

    /// Value of a field of a line; none when it has no such field.
    static std::optional<std::uint64_t> number_in(const std::string& line, const std::string& field)
    {
        const std::size_t at = line.find(" " + field + "=");
        if (at == std::string::npos)
        {
            return std::nullopt;
        }
        const std::size_t begin = at + field.size() + 2;
        return core::parse_number(line.substr(begin, line.find(' ', begin) - begin));
    }

    static outcome write_from_threads(const observe::log_writer_settings& settings)
    {
        const std::unique_ptr<std::FILE, int (*)(std::FILE*)> file(std::tmpfile(), &std::fclose);
        outcome seen;
        {
            observe::log_writer writer(fileno(file.get()), settings);
            std::vector<std::thread> threads;
            for (std::size_t thread = 0; thread < thread_count; ++thread)
            {
                threads.emplace_back([thread] {
                    for (std::size_t i = 0; i < lines_per_thread; ++i)
                    {
                        observe::log("tried", {{"thread", thread}, {"number", i}});
                    }
                });
            }
            for (std::thread& thread : threads)
            {
                thread.join();
            }
            seen.m_dropped = writer.dropped();
        }
        std::string text;
        std::rewind(file.get());
        for (int letter = std::fgetc(file.get()); letter != EOF; letter = std::fgetc(file.get()))
        {
            text.push_back(static_cast<char>(letter));
        }
        seen.m_numbers.resize(thread_count);
        std::istringstream lines(text);
        for (std::string line; std::getline(lines, line);)
        {
            if (line.starts_with("event=log_lines_dropped "))
            {
                seen.m_told += number_in(line, "count").value();
                continue;
            }
            CPPUNIT_ASSERT_MESSAGE(line, line.starts_with("time="));
            CPPUNIT_ASSERT_MESSAGE(line, line.find("time=", 1) == std::string::npos);
            seen.m_numbers.at(number_in(line, "thread").value())
                .push_back(number_in(line, "number").value());
        }
        return seen;
    }

    static std::size_t lines_in(const outcome& seen)
    {
        std::size_t lines = 0;
        for (const auto& numbers : seen.m_numbers)
        {
            for (std::size_t i = 1; i < numbers.size(); ++i)
            {
                CPPUNIT_ASSERT(numbers[i - 1] < numbers[i]);
            }
            lines += numbers.size();
        }
        return lines;
    }

public:
    void lines_of_several_threads_are_whole_and_in_their_order()
    {
        observe::log_writer_settings settings;
        settings.m_ring_lines = thread_count * lines_per_thread;
        settings.m_interval = std::chrono::milliseconds(1);
        settings.m_bytes_per_second = std::uint64_t{1} << 40U;
        const outcome seen = write_from_threads(settings);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, seen.m_dropped);
        CPPUNIT_ASSERT_EQUAL(thread_count * lines_per_thread, lines_in(seen));
    }

    void lines_that_do_not_fit_are_dropped_and_counted()
    {
        observe::log_writer_settings settings;
        settings.m_ring_lines = 8;
        settings.m_interval = std::chrono::milliseconds(1);
        settings.m_bytes_per_second = std::uint64_t{1} << 40U;
        const outcome seen = write_from_threads(settings);
        CPPUNIT_ASSERT_EQUAL(seen.m_dropped, seen.m_told);
        CPPUNIT_ASSERT_EQUAL(thread_count * lines_per_thread, lines_in(seen) + seen.m_dropped);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(log_writer_test, "observe");
