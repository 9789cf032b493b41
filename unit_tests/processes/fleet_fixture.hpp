#pragma once

#include "unit_tests/processes/process_fleet.hpp"

#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <nlohmann/json.hpp>

namespace tarragontrail::test {

using call_headers = std::map<std::string, std::string>;

/// Headers with a caller's key or an operator's token.
call_headers bearer(const std::string& token);

/// The answer is a stream that came whole, in order and without an error.
bool is_complete(const process_answer& answer);

/// Status and end of an answer, for messages.
std::string seen(const process_answer& answer);

/// Callers' and operators' calls to the sample fleet `small`.
class fleet_fixture : public CppUnit::TestFixture
{
public:
    void tearDown() override { m_fleet.reset(); }

protected:
    using clock_type = std::chrono::steady_clock;
    using answers = std::vector<std::shared_ptr<process_answer>>;

    static constexpr const char* completions = "/v1/chat/completions";
    static constexpr std::size_t instances = 3;

    /// Starts the fleet, until every entry has answered a completion.
    void begin(const std::vector<std::string>& flags = {});

    /// One completion.
    process_answer complete(std::size_t entry, const std::string& body, const call_headers& caller);

    /// One completion; retried when it is refused for its rate or for the moment.
    process_answer ask(std::size_t entry, const std::string& body, const call_headers& caller);

    /// Starts a completion.
    std::shared_ptr<process_answer> start(std::size_t entry, const std::string& body,
                                          const call_headers& caller);

    /// Lets calls run until all of these have ended.
    void finish(const answers& started);

    nlohmann::json stats(const std::string& address);
    void faults(const std::string& address, const std::string& body);

    /// An operator's call, which must be taken.
    nlohmann::json administer(const std::string& method, std::size_t entry, const std::string& path,
                              const std::string& name, const std::string& body = {});

    std::uint64_t version(std::size_t entry);
    std::uint64_t output_limit(std::size_t entry);

    /// Path of a draft of the next bundle with another output limit, submitted, reviewed and
    /// signed off by three operators.
    std::string signed_draft(const std::vector<std::string>& operators, std::uint64_t limit);

    const call_headers m_court = bearer("tt-court-1");       ///< Caller of one workspace.
    const call_headers m_ministry = bearer("tt-ministry-1"); ///< Caller of another one.
    std::unique_ptr<process_fleet> m_fleet;                  ///< Processes.
};

} // namespace tarragontrail::test
