#include "tarragontrail/load/load_report.hpp"
#include "tarragontrail/load/request_plan.hpp"
#include "tarragontrail/load/token_allowance.hpp"

#include <algorithm>
#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <rapidcheck.h>

using namespace tarragontrail;
using load::answer_fault;

namespace {

/// Lines of a streamed answer: one chunk a token, the last chunk, the end marker.
std::vector<std::string> stream_lines(const load::answer_text& answer, std::uint64_t first = 0)
{
    std::vector<std::string> lines;
    for (std::uint64_t i = first; i < answer.size(); ++i)
    {
        lines.push_back(R"(data: {"id":"r","choices":[{"delta":{"content":")" + answer.token(i) +
                        R"("},"finish_reason":null}]})");
    }
    lines.emplace_back(
        R"(data: {"id":"r","choices":[{"delta":{},"finish_reason":"stop"}],"usage":{"prompt_tokens":9}})");
    lines.emplace_back("data: [DONE]");
    return lines;
}

answer_fault verdict_of(const load::answer_text& expected, const std::vector<std::string>& lines)
{
    load::answer_check check(expected);
    for (const std::string& line : lines)
    {
        check.on_bytes(line + "\n\n");
    }
    return check.verdict();
}

load::plan_settings plan_settings(std::uint64_t seed)
{
    load::plan_settings settings;
    settings.m_seed = seed;
    settings.m_workspaces = 4;
    settings.m_service_fraction = 0.2;
    settings.m_duration = std::chrono::seconds(100);
    return settings;
}

std::vector<load::planned_request> without_workspace(const load::request_plan& plan,
                                                     std::size_t workspace)
{
    std::vector<load::planned_request> kept;
    for (const auto& request : plan.requests())
    {
        if (request.m_workspace != workspace)
        {
            kept.push_back(request);
        }
    }
    return kept;
}

} // namespace

/// Request list, answer check, percentiles and allowance of the load tool.
class load_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(load_test);
    CPPUNIT_TEST(same_seed_gives_the_same_requests);
    CPPUNIT_TEST(excess_leaves_other_workspaces_alone);
    CPPUNIT_TEST(hot_bundles_shift);
    CPPUNIT_TEST(damaged_answers_are_told_apart);
    CPPUNIT_TEST(answer_survives_any_split_and_resume);
    CPPUNIT_TEST(percentile_is_the_nearest_rank);
    CPPUNIT_TEST(conforming_requests_stay_within_rate_and_burst);
    CPPUNIT_TEST(worst_workspace_is_found_and_unsound_run_told);
    CPPUNIT_TEST_SUITE_END();

public:
    void same_seed_gives_the_same_requests()
    {
        const load::request_plan one(plan_settings(3));
        const load::request_plan same(plan_settings(3));
        const load::request_plan other(plan_settings(4));
        CPPUNIT_ASSERT(one.requests().size() > 100);
        CPPUNIT_ASSERT(one.requests() == same.requests());
        CPPUNIT_ASSERT(one.requests() != other.requests());
        const auto& request = one.requests().front();
        const std::string prompt = load::prompt_text(one.messages_of(request));
        CPPUNIT_ASSERT_EQUAL(prompt, load::prompt_text(same.messages_of(request)));
        CPPUNIT_ASSERT(prompt.size() > plan_settings(3).m_bundle_pieces * load::block_bytes);
    }

    void excess_leaves_other_workspaces_alone()
    {
        load::plan_settings settings = plan_settings(3);
        const load::request_plan fair(settings);
        settings.m_excess_workspace = 1;
        settings.m_excess_factor = 5;
        const load::request_plan excess(settings);
        CPPUNIT_ASSERT(excess.requests().size() > fair.requests().size());
        CPPUNIT_ASSERT(without_workspace(fair, 1) == without_workspace(excess, 1));
    }

    void hot_bundles_shift()
    {
        load::plan_settings settings = plan_settings(3);
        settings.m_rate_per_s = 50;
        settings.m_shift_interval = std::chrono::seconds(50);
        const load::request_plan plan(settings);
        std::map<bool, std::map<std::size_t, int>> uses;
        for (const auto& request : plan.requests())
        {
            ++uses[request.m_at < settings.m_shift_interval][request.m_bundle];
        }
        const auto hottest = [](const std::map<std::size_t, int>& counts) {
            return std::max_element(
                       counts.begin(), counts.end(),
                       [](const auto& a, const auto& b) { return a.second < b.second; })
                ->first;
        };
        CPPUNIT_ASSERT(hottest(uses[true]) != hottest(uses[false]));
    }

    void damaged_answers_are_told_apart()
    {
        CPPUNIT_ASSERT(rc::check("damage", [] {
            const auto size = *rc::gen::inRange<std::uint64_t>(3, 40);
            const load::answer_text answer(*rc::gen::arbitrary<std::string>(), "", size);
            const std::vector<std::string> whole = stream_lines(answer);
            RC_ASSERT(verdict_of(answer, whole) == answer_fault::none);

            // Cut anywhere: the end marker or some tokens are missing.
            const auto kept = *rc::gen::inRange<std::size_t>(0, whole.size());
            RC_ASSERT(verdict_of(answer, {whole.begin(), whole.begin() + kept}) ==
                      answer_fault::cut);

            // One token lost or doubled after the first.
            const auto at = *rc::gen::inRange<std::size_t>(1, size - 1);
            auto lost = whole;
            lost.erase(lost.begin() + static_cast<std::ptrdiff_t>(at));
            RC_ASSERT(verdict_of(answer, lost) != answer_fault::none);
            auto doubled = whole;
            doubled.insert(doubled.begin() + static_cast<std::ptrdiff_t>(at), whole[at]);
            RC_ASSERT(verdict_of(answer, doubled) == answer_fault::out_of_order);

            // An engine's own error object.
            auto failed = whole;
            failed.insert(failed.begin() + static_cast<std::ptrdiff_t>(at),
                          R"(data: {"error":{"message":"busy"}})");
            RC_ASSERT(verdict_of(answer, failed) == answer_fault::reported);

            // Answer of another prompt.
            const load::answer_text other("another prompt" + std::to_string(size), "", size);
            RC_ASSERT(verdict_of(other, whole) == answer_fault::crossed);
        }));
    }

    void answer_survives_any_split_and_resume()
    {
        CPPUNIT_ASSERT(rc::check("split", [] {
            const load::answer_text answer("prompt", "", 30);
            std::string bytes;
            for (const std::string& line : stream_lines(answer))
            {
                bytes += line + "\n\n";
            }
            load::answer_check check(answer);
            // A connection breaks anywhere; a failure is reported between two events.
            const bool reported = *rc::gen::arbitrary<bool>();
            auto lost_at = *rc::gen::inRange<std::size_t>(0, bytes.size());
            lost_at = reported ? bytes.find("\n\n", lost_at == 0 ? 0 : lost_at - 1) + 2 : lost_at;
            for (std::size_t start = 0; start < lost_at;)
            {
                const auto length = *rc::gen::inRange<std::size_t>(1, 200);
                check.on_bytes(std::string_view(bytes).substr(
                    start, std::min<std::size_t>(length, lost_at - start)));
                start += length;
            }
            RC_PRE(check.tokens() < answer.size());
            RC_ASSERT(check.verdict() == answer_fault::cut);
            if (reported)
            {
                check.on_bytes("event: error\ndata: {\"title\":\"stream_broken\"}\n\n");
                RC_ASSERT(check.verdict() == answer_fault::reported);
                RC_ASSERT(check.reported() == "stream_broken");
            }
            check.on_stream_lost();
            for (const std::string& line : stream_lines(answer, check.tokens()))
            {
                check.on_bytes(line + "\n\n");
            }
            RC_ASSERT(check.verdict() == answer_fault::none);
        }));
    }

    void percentile_is_the_nearest_rank()
    {
        using std::chrono::milliseconds;
        std::vector<core::duration> hundred;
        for (int i = 100; i > 0; --i)
        {
            hundred.emplace_back(milliseconds(i));
        }
        CPPUNIT_ASSERT(load::percentile(hundred, 50) == milliseconds(50));
        CPPUNIT_ASSERT(load::percentile(hundred, 99) == milliseconds(99));
        CPPUNIT_ASSERT(load::percentile({}, 99) == milliseconds(0));
        CPPUNIT_ASSERT(rc::check("share at or below", [] {
            const auto numbers =
                *rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000)));
            const auto percent = *rc::gen::inRange(1, 101);
            std::vector<core::duration> values;
            values.reserve(numbers.size());
            for (const int number : numbers)
            {
                values.emplace_back(milliseconds(number));
            }
            const auto found = load::percentile(values, percent);
            const auto below = std::count_if(values.begin(), values.end(),
                                             [&](auto value) { return value < found; });
            const auto upto = std::count_if(values.begin(), values.end(),
                                            [&](auto value) { return value <= found; });
            const auto size = static_cast<std::ptrdiff_t>(values.size());
            RC_ASSERT(upto * 100 >= percent * size);
            RC_ASSERT(below * 100 < percent * size);
        }));
    }

    void conforming_requests_stay_within_rate_and_burst()
    {
        CPPUNIT_ASSERT(rc::check("allowance", [] {
            constexpr double rate = 100;
            constexpr double burst = 500;
            core::time_point now{};
            load::token_allowance allowance(rate, burst, now);
            std::vector<std::pair<core::time_point, std::uint64_t>> conforming;
            for (int i = 0; i < 40; ++i)
            {
                now += std::chrono::milliseconds(*rc::gen::inRange(0, 3000));
                const auto charge = *rc::gen::inRange<std::uint64_t>(1, 600);
                if (allowance.take(charge, now))
                {
                    conforming.emplace_back(now, charge);
                    continue;
                }
                allowance.refund(charge, now);
            }
            for (std::size_t first = 0; first < conforming.size(); ++first)
            {
                double sum = 0;
                for (std::size_t i = first; i < conforming.size(); ++i)
                {
                    sum += static_cast<double>(conforming[i].second);
                    const std::chrono::duration<double> window =
                        conforming[i].first - conforming[first].first;
                    RC_ASSERT(sum <= burst + rate * window.count() + 1e-6);
                }
            }
        }));
    }

    void worst_workspace_is_found_and_unsound_run_told()
    {
        load::load_report report({"a", "b"});
        load::request_outcome outcome;
        outcome.m_ok = true;
        outcome.m_demand_tokens = 100;
        outcome.m_first_token = std::chrono::milliseconds(10);
        report.add(outcome);
        outcome.m_workspace = 1;
        report.add(outcome);
        outcome.m_ok = false;
        outcome.m_failure = "connection_lost";
        report.add(outcome);
        CPPUNIT_ASSERT_EQUAL(std::string("b"),
                             report.to_json()["worst_workspace"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(0.5, report.to_json()["workspaces"]["b"]["goodput"].get<double>());
        CPPUNIT_ASSERT(report.is_sound());
        outcome.m_failure = to_string(answer_fault::crossed);
        report.add(outcome);
        CPPUNIT_ASSERT(!report.is_sound());
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(load_test, "load");
