#pragma once

#include "unit_tests/crowds/crowd.hpp"
#include "unit_tests/crowds/process_usage.hpp"

#include <cppunit/TestFixture.h>

namespace tarragontrail::test {

/// Crowds at a process of the system, which lives, stays within what its machine has, and answers
/// ordinary requests beside them and afterwards.
class crowd_fixture : public CppUnit::TestFixture
{
public:
    void setUp() override;

protected:
    /// What the platform gives a process: memory in bytes and descriptors.
    std::size_t m_machine_memory_bytes = 260'000'000;
    static constexpr std::size_t machine_descriptors = 4'100;

    virtual pid_t process() const = 0;

    /// One ordinary request, sent again while it is refused; false when it never was answered.
    virtual bool answers_request() = 0;

    /// Lets a crowd do its work. One that takes more than the machine has is stopped, so that this
    /// machine keeps its own.
    void expect_survival(crowd& clients);

    void expect_survival(const net::tcp::endpoint& endpoint, std::size_t clients,
                         const crowd::script_maker& script);

private:
    void note_usage(process_usage& most) const;
};

} // namespace tarragontrail::test
