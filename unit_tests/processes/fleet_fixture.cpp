#include "unit_tests/processes/fleet_fixture.hpp"

#include <algorithm>

namespace tarragontrail::test {

using namespace std::chrono_literals;
using nlohmann::json;

call_headers bearer(const std::string& token)
{
    return {{"Authorization", "Bearer " + token}};
}

bool is_complete(const process_answer& answer)
{
    const streamed_text text = read_stream(answer.m_body);
    return answer.m_status == 200 && answer.m_whole && text.m_has_end && text.m_in_order &&
           text.m_error.empty();
}

std::string seen(const process_answer& answer)
{
    const std::size_t tail = answer.m_body.size() > 400 ? answer.m_body.size() - 400 : 0;
    return std::to_string(answer.m_status) +
           (answer.m_whole ? " whole " : " cut (" + answer.m_failure + ") ") +
           answer.m_body.substr(tail);
}

void fleet_fixture::begin(const std::vector<std::string>& flags)
{
    m_fleet = std::make_unique<process_fleet>("small", flags);
    const std::string body = completion_body("warm", 1, 2);
    for (std::size_t i = 0; i < instances; ++i)
    {
        const auto answer = ask(i, body, m_court);
        CPPUNIT_ASSERT_MESSAGE(seen(answer), is_complete(answer));
    }
}

process_answer fleet_fixture::complete(std::size_t entry, const std::string& body,
                                       const call_headers& caller)
{
    return m_fleet->call("POST", m_fleet->entry(entry), completions, body, caller);
}

process_answer fleet_fixture::ask(std::size_t entry, const std::string& body,
                                  const call_headers& caller)
{
    process_answer answer;
    for (int i = 0; i < 40; ++i)
    {
        answer = complete(entry, body, caller);
        if (answer.m_status != 429 && answer.m_status != 503)
        {
            break;
        }
        m_fleet->run_for(250ms);
    }
    return answer;
}

std::shared_ptr<process_answer> fleet_fixture::start(std::size_t entry, const std::string& body,
                                                     const call_headers& caller)
{
    return m_fleet->start("POST", m_fleet->entry(entry), completions, body, caller);
}

void fleet_fixture::finish(const answers& started)
{
    m_fleet->run_until([&] {
        return std::all_of(started.begin(), started.end(),
                           [](const auto& each) { return each->m_ended; });
    });
}

json fleet_fixture::stats(const std::string& address)
{
    return json::parse(m_fleet->call("GET", address, "/stats").m_body);
}

void fleet_fixture::faults(const std::string& address, const std::string& body)
{
    CPPUNIT_ASSERT_EQUAL(200U, m_fleet->call("POST", address, "/faults", body).m_status);
}

json fleet_fixture::administer(const std::string& method, std::size_t entry,
                               const std::string& path, const std::string& name,
                               const std::string& body)
{
    const auto answer =
        m_fleet->call(method, m_fleet->admin(entry), path, body, bearer("op-" + name));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(path + " " + answer.m_body, 200U, answer.m_status);
    return json::parse(answer.m_body);
}

std::uint64_t fleet_fixture::version(std::size_t entry)
{
    return administer("GET", entry, "/admin/v1/status", "alice").at("bundle_version");
}

std::uint64_t fleet_fixture::output_limit(std::size_t entry)
{
    const json bundle = administer("GET", entry, "/admin/v1/bundle", "alice");
    return bundle.at("limits").at("output_tokens");
}

std::string fleet_fixture::signed_draft(const std::vector<std::string>& operators,
                                        std::uint64_t limit)
{
    json bundle = administer("GET", 0, "/admin/v1/bundle", "alice");
    bundle["version"] = bundle.at("version").get<std::uint64_t>() + 1;
    bundle["limits"]["output_tokens"] = limit;
    const json draft = administer("POST", 0, "/admin/v1/drafts", operators.at(0), bundle.dump());
    std::string path = "/admin/v1/drafts/" + draft.at("draft").at("name").get<std::string>();
    administer("POST", 0, path + "/review", operators.at(1), "{}");
    administer("POST", 0, path + "/sign_off", operators.at(2), "{}");
    return path;
}

} // namespace tarragontrail::test
