#include "platform/base64.hpp"
#include "platform/caller_codec.hpp"
#include "platform/document_decoder.hpp"
#include "tarragontrail/net/http_client.hpp"

#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace tarragontrail;
using namespace std::chrono_literals;
namespace http = boost::beast::http;

namespace {

net::http_request sample_request()
{
    net::http_request message = net::make_request(http::verb::post, "/a/b?c=d", "body");
    message.set("Host", "one.example");
    message.set("X-Request-Id", "r1");
    message.set("X-Request-Deadline-Ms", "3000");
    message.set("X-Model", "m");
    message.set("X-Token-Usage", "1460,80");
    message.set("X-Prompt-Prefix", "5c1e07a2:800, 91bd3f06:410,e4402b7d:250");
    message.set("Authorization", "Token secret");
    return message;
}

relay::upstream_record sample_upstream()
{
    relay::upstream_record record;
    record.m_name = "i-1";
    return record;
}

net::http_response head(unsigned status)
{
    net::http_response answer;
    answer.result(status);
    answer.set("X-Request-Id", "r1");
    return answer;
}

} // namespace

/// Translation between the platform's messages and the project's types.
class codec_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(codec_test);
    CPPUNIT_TEST(request_is_read);
    CPPUNIT_TEST(headers_of_our_own_are_never_the_callers);
    CPPUNIT_TEST(headers_of_one_connection_are_dropped);
    CPPUNIT_TEST(request_without_id_or_host_is_refused);
    CPPUNIT_TEST(unreadable_parts_share_nothing);
    CPPUNIT_TEST(answer_of_another_request_is_foreign);
    CPPUNIT_TEST(unsigned_success_is_foreign);
    CPPUNIT_TEST(rejections_are_told_apart);
    CPPUNIT_TEST(only_truly_unrun_requests_get_a_promise);
    CPPUNIT_TEST(base64_round_trip);
    CPPUNIT_TEST(unreadable_rows_are_refused);
    CPPUNIT_TEST(upstream_row_is_read);
    CPPUNIT_TEST(configuration_is_read);
    CPPUNIT_TEST_SUITE_END();

    platform::caller_codec m_codec;
    platform::document_decoder m_documents{{{"d1", "r1"}}};

    relay::upstream_record read_upstream(const std::string& value) const
    {
        return m_documents.read_upstream_row({"i-1", value, 1, false});
    }

public:
    void request_is_read()
    {
        const relay::caller_request request = m_codec.decode(sample_request());
        CPPUNIT_ASSERT_EQUAL(std::string("r1"), request.m_id);
        CPPUNIT_ASSERT_EQUAL(std::string("/a/b"), request.m_path);
        CPPUNIT_ASSERT_EQUAL(std::string("secret"), request.m_key);
        CPPUNIT_ASSERT(request.m_deadline == 3s);
        CPPUNIT_ASSERT(request.m_charged_tokens == 1'540);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, request.m_prompt->m_parts.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{410}, request.m_prompt->m_parts[1].m_tokens);
    }

    void headers_of_our_own_are_never_the_callers()
    {
        net::http_request message = sample_request();
        for (const char* name : {"X-Tenant", "X-Expect-Instance", "X-Cache-Salt", "X-Kv-Fetch-From",
                                 "X-Kv-Save-To", "X-Kv-Backup", "Kv-From", "X-Hold", "X-Pin-Ms",
                                 "X-Request-Priority", "X-Expect-Version"})
        {
            message.set(name, "forged");
        }
        relay::upstream_request_metadata send;
        const relay::upstream_record upstream = sample_upstream();
        send.m_upstream = &upstream;
        send.m_time_left = 900ms;
        const net::http_request sent = m_codec.encode(m_codec.decode(message), send);
        for (const auto& field : sent)
        {
            CPPUNIT_ASSERT(field.value() != "forged");
            CPPUNIT_ASSERT(field.value().find("secret") == std::string::npos);
        }
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), net::header_value(sent, "X-Expect-Instance"));
        CPPUNIT_ASSERT_EQUAL(std::string("900"), net::header_value(sent, "X-Request-Deadline-Ms"));
        CPPUNIT_ASSERT_EQUAL(std::string("5c1e07a2:800, 91bd3f06:410,e4402b7d:250"),
                             net::header_value(sent, "X-Prompt-Prefix"));
        CPPUNIT_ASSERT_EQUAL(std::string("body"), sent.body());
    }

    void headers_of_one_connection_are_dropped()
    {
        net::http_request message = sample_request();
        message.set("Connection", "close, X-Hop");
        message.set("X-Hop", "1");
        message.set("Transfer-Encoding", "chunked");
        message.set("X-Other", "2");
        const relay::caller_request request = m_codec.decode(message);
        CPPUNIT_ASSERT(request.m_message.count("X-Hop") == 0);
        CPPUNIT_ASSERT(request.m_message.count("Connection") == 0);
        CPPUNIT_ASSERT(request.m_message.count("Transfer-Encoding") == 0);
        CPPUNIT_ASSERT(request.m_message.count("X-Other") == 1);
    }

    void request_without_id_or_host_is_refused()
    {
        net::http_request without_id = sample_request();
        without_id.erase("X-Request-Id");
        CPPUNIT_ASSERT_THROW(m_codec.decode(without_id), relay::request_error);
        net::http_request without_host = sample_request();
        without_host.erase("Host");
        CPPUNIT_ASSERT_THROW(m_codec.decode(without_host), relay::request_error);
    }

    void unreadable_parts_share_nothing()
    {
        net::http_request message = sample_request();
        message.set("X-Prompt-Prefix", "5c1e07a2:800,91bd3f06,e4:x");
        CPPUNIT_ASSERT(m_codec.decode(message).m_prompt->m_parts.empty());
    }

    void answer_of_another_request_is_foreign()
    {
        const relay::caller_request request = m_codec.decode(sample_request());
        net::http_response other = head(503);
        other.set("X-Request-Id", "r2");
        other.set("X-Not-Executed", "1");
        const relay::response_metadata read = m_codec.parse_head(other, request, sample_upstream());
        CPPUNIT_ASSERT(!read.m_authentic && !read.m_not_executed);
    }

    void unsigned_success_is_foreign()
    {
        const relay::caller_request request = m_codec.decode(sample_request());
        CPPUNIT_ASSERT(!m_codec.parse_head(head(200), request, sample_upstream()).m_authentic);
        net::http_response signed_head = head(200);
        signed_head.set("X-Response-Seal", "s");
        signed_head.set("Content-Type", "text/event-stream");
        signed_head.set("X-Weight-Versions", "4");
        const relay::response_metadata read =
            m_codec.parse_head(signed_head, request, sample_upstream());
        CPPUNIT_ASSERT(read.m_authentic && read.m_is_event_stream);
        CPPUNIT_ASSERT(read.m_version == placement::weights_version{4});
    }

    void rejections_are_told_apart()
    {
        const relay::caller_request request = m_codec.decode(sample_request());
        net::http_response shed = head(503);
        CPPUNIT_ASSERT(!m_codec.parse_head(shed, request, sample_upstream()).m_not_executed);
        shed.set("X-Not-Executed", "1");
        CPPUNIT_ASSERT(m_codec.parse_head(shed, request, sample_upstream()).m_not_executed);
        net::http_response moved = head(421);
        moved.set("X-Instance-Id", "i-2");
        CPPUNIT_ASSERT(m_codec.parse_head(moved, request, sample_upstream()).m_wrong_upstream);
        moved.set("X-Instance-Id", "i-1");
        const relay::response_metadata read = m_codec.parse_head(moved, request, sample_upstream());
        CPPUNIT_ASSERT(read.m_misdirected && !read.m_wrong_upstream);
    }

    void only_truly_unrun_requests_get_a_promise()
    {
        using relay::refusal_reason;
        for (const refusal_reason reason :
             {refusal_reason::malformed, refusal_reason::no_route, refusal_reason::unknown_key,
              refusal_reason::not_ready, refusal_reason::over_limit, refusal_reason::overloaded,
              refusal_reason::no_upstream, refusal_reason::quarantined,
              refusal_reason::not_run_in_time, refusal_reason::outcome_unknown,
              refusal_reason::timed_out})
        {
            const net::http_response answer = m_codec.encode(relay::refusal{reason, 250ms, "r1"});
            const unsigned status = answer.result_int();
            const bool promises = status == 429 || status == 503 || status == 408 || status == 421;
            CPPUNIT_ASSERT_EQUAL(relay::guarantees_not_executed(reason), promises);
            CPPUNIT_ASSERT_EQUAL(promises, answer.count("Retry-After") == 1);
        }
    }

    void base64_round_trip()
    {
        CPPUNIT_ASSERT(rc::check("base64", [](const std::string& bytes) {
            RC_ASSERT(platform::from_base64(platform::to_base64(bytes)) == bytes);
        }));
        CPPUNIT_ASSERT_THROW(platform::from_base64("a$b="), relay::document_error);
    }

    void unreadable_rows_are_refused()
    {
        for (
            const char* value :
            {"", "{", "[]", "{}", R"({"service":1})",
             R"({"service":"s","address":"nowhere","zone":"d1","version":"v1","slots":2,"state":"ready"})",
             R"({"service":"s","address":"10.0.0.1:80","zone":"d1","version":"v1","slots":2,"state":"odd"})",
             R"({"service":"s","address":"10.0.0.1:80","zone":"d1","version":"v1","slots":"x","state":"ready"})"})
        {
            CPPUNIT_ASSERT_THROW(read_upstream(value), relay::document_error);
        }
        CPPUNIT_ASSERT_THROW(
            m_documents.read_operator_row({"config", R"({"version":1})", 1, false}),
            relay::document_error);
    }

    void upstream_row_is_read()
    {
        const relay::upstream_record record = read_upstream(
            R"({"service":"s","address":"10.0.0.1:80","zone":"d1","version":"v1","slots":16,"state":"draining",)"
            R"("born":77,"models":[{"name":"m","version":3}],"sequence":9})");
        CPPUNIT_ASSERT(record.m_leaving);
        CPPUNIT_ASSERT_EQUAL(std::string("r1"), record.m_region);
        CPPUNIT_ASSERT(record.m_started == core::incarnation{77});
        CPPUNIT_ASSERT(record.m_models.front().m_version == placement::weights_version{3});
    }

    void configuration_is_read()
    {
        const relay::operator_document document = m_documents.read_operator_row(
            {"config",
             R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/a/","kind":"stream",)"
             R"("timeout-ms":6000,"target-latency-ms":600,"priority":1,"traffic-split":)"
             R"([{"service":"s","weight":90},{"service":"t","weight":10}],"max-attempts":2,)"
             R"("resumable":true}],"services":[{"name":"s","engine":{"kv-capacity-tokens":5}},)"
             R"({"name":"w","kv-store-addr":"10.0.0.9:86","zone":"d1"}],"limits":)"
             R"({"max-body-bytes":99},"tenants":[{"name":"c","api-keys":["k"],"unit":"tokens",)"
             R"("rate-per-s":10,"burst":20,"isolated":true}]})",
             {1, 4},
             false});
        const auto& config = std::get<relay::relay_config>(document);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, config.m_version);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, config.m_routes.front().m_targets.size());
        CPPUNIT_ASSERT(config.m_routes.front().m_kind == relay::request_kind::stream);
        CPPUNIT_ASSERT(config.m_routes.front().m_resumable);
        CPPUNIT_ASSERT(config.m_services.front().m_engine && config.m_services.back().m_store);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{99}, config.m_limits.m_body_bytes);
        CPPUNIT_ASSERT(config.m_workspaces.front().m_isolated);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(codec_test, "platform");
