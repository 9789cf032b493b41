#include "unit_tests/crowds/crowd_fixture.hpp"

#include <algorithm>
#include <cppunit/TestAssert.h>
#include <csignal>
#include <fmt/format.h>
#include <sys/resource.h>

namespace tarragontrail::test {
namespace {

/// Time for which a crowd is watched; it is longer than the header time-out.
constexpr std::chrono::seconds crowd_time{6};
constexpr std::chrono::milliseconds look_interval{20};
constexpr std::size_t bytes_per_megabyte = 1'000'000;

/// Whether the process has not ended; one that has ended may wait for its parent.
bool is_alive(pid_t process)
{
    return read_usage(process).m_resident_bytes > 0;
}

} // namespace

void crowd_fixture::setUp()
{
    // Each client of a crowd is a descriptor of this process.
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

void crowd_fixture::expect_survival(const net::tcp::endpoint& endpoint, std::size_t clients,
                                    const crowd::script_maker& script)
{
    crowd all;
    all.add(endpoint, clients, script);
    expect_survival(all);
}

void crowd_fixture::expect_survival(crowd& clients)
{
    const auto is_within_machine = [this](const process_usage& usage) {
        return usage.memory_bytes() <= m_machine_memory_bytes &&
               usage.m_peak_bytes <= m_machine_memory_bytes &&
               usage.m_descriptors <= machine_descriptors;
    };
    process_usage most;
    const auto look = [&] {
        note_usage(most);
        return is_alive(process()) && is_within_machine(most);
    };
    clients.start();
    const auto end = std::chrono::steady_clock::now() + crowd_time;
    while (std::chrono::steady_clock::now() < end && look())
    {
        std::this_thread::sleep_for(look_interval);
    }
    const bool answers_beside = look() && answers_request();
    look();
    const std::uint64_t connections = clients.connections();
    clients.stop();
    const std::string seen = fmt::format(
        "memory {} MB, of it unread {} MB, peak of the process {} MB, descriptors {}, "
        "connections of the crowd {}, its bytes {} MB",
        most.memory_bytes() / bytes_per_megabyte, most.m_unread_bytes / bytes_per_megabyte,
        most.m_peak_bytes / bytes_per_megabyte, most.m_descriptors, connections,
        clients.sent_bytes() / bytes_per_megabyte);
    fmt::print("crowd: {}\n", seen);
    CPPUNIT_ASSERT_MESSAGE("the process has ended; " + seen, is_alive(process()));
    CPPUNIT_ASSERT_MESSAGE(seen, is_within_machine(most));
    CPPUNIT_ASSERT_MESSAGE("no answer beside the crowd; " + seen, answers_beside);
    CPPUNIT_ASSERT_MESSAGE("no answer after the crowd; " + seen, answers_request());
    CPPUNIT_ASSERT_MESSAGE("the process has ended", is_alive(process()));
}

/// Keeps the most that was seen.
void crowd_fixture::note_usage(process_usage& most) const
{
    const process_usage now = read_usage(process());
    if (now.memory_bytes() > most.memory_bytes())
    {
        most.m_resident_bytes = now.m_resident_bytes;
        most.m_unread_bytes = now.m_unread_bytes;
    }
    most.m_peak_bytes = std::max(most.m_peak_bytes, now.m_peak_bytes);
    most.m_descriptors = std::max(most.m_descriptors, now.m_descriptors);
}

} // namespace tarragontrail::test
