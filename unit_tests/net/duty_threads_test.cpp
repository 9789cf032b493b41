#include "tarragontrail/net/duty.hpp"

#include <boost/asio/post.hpp>
#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <latch>
#include <thread>
#include <vector>

using namespace tarragontrail;

/// Work that several threads hand to one duty at once.
class duty_threads_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(duty_threads_test);
    CPPUNIT_TEST(work_of_several_threads_runs_once_and_in_their_order);
    CPPUNIT_TEST(answers_return_to_the_duty_that_asked_in_order);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t thread_count = 4;
    static constexpr std::size_t tasks_per_thread = 5'000;
    static constexpr std::size_t ring_capacity = 64;

    static std::vector<std::size_t> all_in_order()
    {
        std::vector<std::size_t> numbers(tasks_per_thread);
        for (std::size_t i = 0; i < numbers.size(); ++i)
        {
            numbers[i] = i;
        }
        return numbers;
    }

public:
    void work_of_several_threads_runs_once_and_in_their_order()
    {
        // Written by the duty's thread alone, and read here behind the last task.
        std::vector<std::vector<std::size_t>> run(thread_count);
        std::latch all_run(thread_count * tasks_per_thread);
        net::duty duty("sink", ring_capacity);
        duty.start();
        std::vector<std::thread> threads;
        for (std::size_t thread = 0; thread < thread_count; ++thread)
        {
            threads.emplace_back([&, thread] {
                for (std::size_t i = 0; i < tasks_per_thread; ++i)
                {
                    while (!duty.try_post([&, thread, i] {
                        run[thread].push_back(i);
                        all_run.count_down();
                    }))
                    {
                        std::this_thread::yield();
                    }
                }
            });
        }
        for (std::thread& thread : threads)
        {
            thread.join();
        }
        // A task that is lost keeps the test here until its timeout.
        all_run.wait();
        duty.stop();
        for (const auto& numbers : run)
        {
            CPPUNIT_ASSERT(numbers == all_in_order());
        }
    }

    void answers_return_to_the_duty_that_asked_in_order()
    {
        std::vector<std::size_t> answered;
        std::latch all_answered(tasks_per_thread);
        net::duty home("home", ring_capacity);
        net::duty calls("calls", ring_capacity);
        home.start();
        calls.start();
        for (std::size_t i = 0; i < tasks_per_thread; ++i)
        {
            while (!home.try_post([&, i] {
                boost::asio::post(calls.context(), [&, i] {
                    while (!home.try_post([&, i] {
                        answered.push_back(i);
                        all_answered.count_down();
                    }))
                    {
                        std::this_thread::yield();
                    }
                });
            }))
            {
                std::this_thread::yield();
            }
        }
        all_answered.wait();
        calls.stop();
        home.stop();
        CPPUNIT_ASSERT(answered == all_in_order());
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(duty_threads_test, "net");
