#include "tarragontrail/entry/call_request.hpp"
#include "tarragontrail/entry/platform_client.hpp"
#include "tarragontrail/entry/problem.hpp"
#include "tarragontrail/net/http_client.hpp"

#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>
#include <set>

using namespace tarragontrail;
using entry::problem_kind;
using nlohmann::json;

namespace {

constexpr const char* completions = "/v1/chat/completions";
constexpr const char* key = "tt-secret-1";
const std::string valid_body =
    R"({"model":"notary:clerk","max_tokens":7,"stream":true,)"
    R"("messages":[{"role":"user","content":[{"type":"text","text":"a"},{"text":"b"}]}]})";

net::http_request request_with(const std::string& body, const std::string& target = completions)
{
    net::http_request request = net::make_request(boost::beast::http::verb::post, target, body);
    request.set("Authorization", "Bearer " + std::string(key));
    return request;
}

/// Kind of the refusal of some work; nothing when it is not refused.
template <class Work>
std::optional<problem_kind> refusal_of(const Work& work)
{
    try
    {
        work();
    }
    catch (const entry::request_error& failure)
    {
        CPPUNIT_ASSERT(failure.told().m_execution == core::execution::not_run);
        return failure.told().m_kind;
    }
    return std::nullopt;
}

std::optional<problem_kind> completion_refusal(const net::http_request& request)
{
    return refusal_of([&] { entry::parse_completion(request, entry::completion_limits{}); });
}

std::optional<problem_kind> call_refusal(const net::http_request& request)
{
    return refusal_of([&] { entry::parse_call(request); });
}

void expect_malformed(const net::http_request& request, const std::string& told)
{
    CPPUNIT_ASSERT_MESSAGE(told, completion_refusal(request) == problem_kind::malformed_request);
}

/// Valid body with one member set to another value.
std::string changed(const char* name, const json& value)
{
    json body = json::parse(valid_body);
    body[name] = value;
    return body.dump();
}

/// Some bytes of a text replaced, removed or repeated.
std::string mutated(std::string text)
{
    const int changes = *rc::gen::inRange(1, 6);
    for (int i = 0; i < changes && !text.empty(); ++i)
    {
        const auto place = *rc::gen::inRange<std::size_t>(0, text.size());
        const int kind = *rc::gen::inRange(0, 3);
        if (kind == 0)
        {
            text[place] = *rc::gen::arbitrary<char>();
        }
        else if (kind == 1)
        {
            text.erase(place, *rc::gen::inRange<std::size_t>(1, 9));
        }
        else
        {
            text.insert(place, text.substr(place / 2, 9));
        }
    }
    return text;
}

} // namespace

/// Callers' requests as they are read, and the documents that refuse them.
class request_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_test);
    CPPUNIT_TEST(valid_requests_are_read);
    CPPUNIT_TEST(wrong_bodies_and_headers_are_malformed);
    CPPUNIT_TEST(key_outside_its_header_is_refused);
    CPPUNIT_TEST(escaped_key_in_a_completion_is_refused);
    CPPUNIT_TEST(deeply_nested_body_is_refused);
    CPPUNIT_TEST(random_input_is_read_or_refused);
    CPPUNIT_TEST(row_values_survive_the_way_through_text);
    CPPUNIT_TEST(problems_tell_status_and_execution);
    CPPUNIT_TEST_SUITE_END();

public:
    void valid_requests_are_read()
    {
        net::http_request request = request_with(valid_body, "/v1/chat/completions?a=b");
        request.set("Last-Event-ID", "31");
        request.set("X-Request-Timeout-Ms", "18446744073709551615");
        const auto parsed = entry::parse_completion(request, {});
        CPPUNIT_ASSERT_EQUAL(std::string(completions), parsed.m_path);
        CPPUNIT_ASSERT_EQUAL(std::string("notary"), parsed.m_model);
        CPPUNIT_ASSERT_EQUAL(std::string("clerk"), parsed.m_adapter);
        CPPUNIT_ASSERT_EQUAL(std::string("user\nab\n"), parsed.m_prompt);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, parsed.m_max_output_tokens);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{31}, parsed.m_resume_from);
        CPPUNIT_ASSERT(parsed.m_stream && parsed.m_caller.m_digest == config::sha256(key));
        CPPUNIT_ASSERT(parsed.m_timeout == std::chrono::hours(1));

        // A call keeps its bytes, and its fingerprint tells method, target and body apart.
        std::set<std::uint64_t> fingerprints;
        for (const char* body : {"", "{}", "\xFF"})
        {
            for (const char* target : {"/orders", "/orders?x=1"})
            {
                const auto call = entry::parse_call(request_with(body, target));
                CPPUNIT_ASSERT_EQUAL(std::string(body), call.m_body);
                CPPUNIT_ASSERT_EQUAL(std::string("/orders"), call.m_path);
                fingerprints.insert(call.m_fingerprint);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, fingerprints.size());
        CPPUNIT_ASSERT(!entry::identify_caller({}).m_digest);
    }

    void wrong_bodies_and_headers_are_malformed()
    {
        const std::vector<std::string> bodies{
            "",
            "{",
            "null",
            "[]",
            "3",
            "\"text\"",
            "{}",
            "{\"model\":\"notary\"}",
            "\xFF{}",
            R"({"model":"notary","messages":[{"role":"user","content":"\ud800"}]})",
            valid_body + "x",
            valid_body.substr(0, valid_body.size() - 1)};
        for (const std::string& body : bodies)
        {
            expect_malformed(request_with(body), body);
        }

        const std::vector<std::pair<const char*, json>> members{
            {"model", 3},         {"model", nullptr},  {"model", json::array()},
            {"max_tokens", 0},    {"max_tokens", -1},  {"max_tokens", 8193},
            {"max_tokens", 1.5},  {"max_tokens", "9"}, {"max_tokens", nullptr},
            {"max_tokens", 1e30}, {"stream", 1},       {"stream", nullptr},
            {"messages", {}},     {"messages", "a"},   {"messages", json::array()}};
        for (const auto& [name, value] : members)
        {
            expect_malformed(request_with(changed(name, value)), name + value.dump());
        }

        const std::vector<json> messages{
            3,
            nullptr,
            json::object(),
            {{"role", "user"}},
            {{"content", "a"}},
            {{"role", 1}, {"content", "a"}},
            {{"role", "user"}, {"content", 1}},
            {{"role", "user"}, {"content", json::array({1})}},
            {{"role", "user"}, {"content", json::array({{{"text", 1}}})}}};
        for (const json& message : messages)
        {
            expect_malformed(request_with(changed("messages", json::array({message}))),
                             message.dump());
        }

        for (const char* name : {"Last-Event-ID", "X-Request-Timeout-Ms"})
        {
            for (const char* value : {"-1", "x", "1x", "1.5", "18446744073709551616"})
            {
                net::http_request request = request_with(valid_body);
                request.set(name, value);
                expect_malformed(request, std::string(name) + value);
            }
        }
        net::http_request call = request_with("", "/orders");
        call.set("Idempotency-Key", std::string(255, 'k'));
        CPPUNIT_ASSERT(!call_refusal(call));
        call.set("Idempotency-Key", std::string(256, 'k'));
        CPPUNIT_ASSERT(call_refusal(call) == problem_kind::malformed_request);
    }

    void key_outside_its_header_is_refused()
    {
        std::vector<net::http_request> requests{
            request_with(changed("user", key)), request_with(std::string("not JSON ") + key),
            request_with(valid_body, "/v1/chat/completions?k=" + std::string(key)),
            request_with(valid_body, "/orders/" + std::string(key))};
        for (const char* name : {"Idempotency-Key", "Cookie", "Accept", "X-Request-Id"})
        {
            requests.push_back(request_with(valid_body));
            requests.back().set(name, "a" + std::string(key) + "b");
        }
        for (net::http_request& request : requests)
        {
            CPPUNIT_ASSERT(completion_refusal(request) == problem_kind::key_in_request);
            CPPUNIT_ASSERT(call_refusal(request) == problem_kind::key_in_request);

            // The other header that carries keys is watched alike.
            request.erase("Authorization");
            request.set("X-Api-Key", key);
            CPPUNIT_ASSERT(call_refusal(request) == problem_kind::key_in_request);
        }
    }

    void escaped_key_in_a_completion_is_refused()
    {
        // The body is written anew for the engine, which undoes escapes.
        std::string body = changed("user", "KEY");
        body.replace(body.find("KEY"), 3, "\\u0074t-secret-1");
        CPPUNIT_ASSERT(completion_refusal(request_with(body)) == problem_kind::key_in_request);
    }

    void deeply_nested_body_is_refused()
    {
        // A body is written anew for the engine, which takes stack for each level.
        constexpr std::size_t levels = 100000;
        std::string body = changed("user", "NEST");
        body.replace(body.find("\"NEST\""), 6, std::string(levels, '[') + std::string(levels, ']'));
        expect_malformed(request_with(body), "nested");
    }

    void random_input_is_read_or_refused()
    {
        const bool passed = rc::check("random bytes never end in another error", [] {
            const auto bytes = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
            const auto header = *rc::gen::container<std::string>(rc::gen::inRange('\x21', '\x7e'));
            net::http_request request = request_with(bytes);
            request.set("Last-Event-ID", header);
            request.set("X-Request-Timeout-Ms", header);
            completion_refusal(request);
            call_refusal(request);
            request.set("Authorization", header);
            entry::key_of(request);
        });
        CPPUNIT_ASSERT(passed);

        const bool mutations = rc::check("mutated bodies never end in another error", [] {
            const std::string body = mutated(valid_body);
            const auto refused = completion_refusal(request_with(body));
            RC_ASSERT(!refused || refused == problem_kind::malformed_request);
            RC_ASSERT(json::accept(body) || refused);
        });
        CPPUNIT_ASSERT(mutations);
    }

    void row_values_survive_the_way_through_text()
    {
        const bool passed = rc::check("bytes come back, text is JSON", [] {
            const auto bytes = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
            const std::string text = entry::text_of_bytes(bytes);
            RC_ASSERT(entry::bytes_of_text(json::parse(json(text).dump())) == bytes);
        });
        CPPUNIT_ASSERT(passed);
    }

    void problems_tell_status_and_execution()
    {
        std::set<std::string> names;
        for (int i = 0; i <= static_cast<int>(problem_kind::conflict); ++i)
        {
            const auto kind = static_cast<problem_kind>(i);
            names.insert(entry::to_string(kind));
            const entry::problem told{kind, core::execution::unknown, "\xFF\"",
                                      std::chrono::milliseconds(1001)};
            const auto response = entry::problem_response(told);
            const json document = json::parse(response.body());
            CPPUNIT_ASSERT_EQUAL(entry::status_of(kind), response.result_int());
            CPPUNIT_ASSERT(response.result_int() >= 400 && response.result_int() < 600);
            CPPUNIT_ASSERT_EQUAL(response.result_int(), document.at("status").get<unsigned>());
            CPPUNIT_ASSERT_EQUAL(std::string(entry::to_string(kind)),
                                 document.at("title").get<std::string>());
            CPPUNIT_ASSERT(document.at("execution") == core::to_string(core::execution::unknown));
            CPPUNIT_ASSERT_EQUAL(std::string("2"), net::header_value(response, "Retry-After"));
            CPPUNIT_ASSERT_EQUAL(std::string("application/problem+json"),
                                 net::header_value(response, "Content-Type"));
        }
        CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(problem_kind::conflict) + 1, names.size());
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(request_test, "entry");
