#include "tarragontrail/config/bundle_error.hpp"
#include "tarragontrail/config/rollout_report.hpp"
#include "unit_tests/config/fake_operator.hpp"
#include "unit_tests/config/sample_bundle.hpp"

#include <algorithm>
#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <memory>
#include <rapidcheck.h>
#include <vector>

using namespace tarragontrail;
using namespace std::chrono_literals;
using config::approval_refusal;

namespace {

/// Platform and operators, with the rollout of version 1 complete.
struct approval_fixture
{
    explicit approval_fixture(std::uint64_t seed, std::size_t operators = 1)
        : m_events(seed), m_platform(m_events)
    {
        for (std::size_t i = 0; i < operators; ++i)
        {
            m_operators.push_back(std::make_unique<test::fake_operator>(m_events, m_platform));
        }
        m_current = std::make_shared<const config::bundle>(test::sample_bundle(2, 1));
        const std::string draft =
            m_operators[0]->submit_and_approve(config::serialize(*m_current), nullptr);
        m_operators[0]->wait(m_operators[0]->core().start_rollout(draft, nullptr, m_events.now()));
    }

    config::head_row head() const
    {
        return config::parse_head_row(m_platform.m_rows.at("bundle/head").m_value);
    }

    /// Document of a version 2 that is distinct for each mark.
    std::string next_text(std::uint32_t mark) const
    {
        config::bundle next = *m_current;
        next.m_version = 2;
        next.m_limits.m_queued_requests = mark + 1;
        next.m_rollout = {{{"domain-0"}}, {{"domain-1"}}};
        return config::serialize(next);
    }

    test::event_queue m_events;
    test::fake_platform m_platform;
    /// Operators with one workflow each.
    std::vector<std::unique_ptr<test::fake_operator>> m_operators;
    std::shared_ptr<const config::bundle> m_current; ///< Version 1.
};

/// Whether the answer agrees with whether the command took effect; an unknown outcome always does.
bool is_consistent(const test::fake_operator::answer& answer, bool took_effect)
{
    if (!answer.m_refusal)
    {
        return took_effect;
    }
    return *answer.m_refusal == approval_refusal::outcome_unknown || !took_effect;
}

/// Loses replies and makes the table service fail at random while commands are pending.
void inject_table_faults(approval_fixture& at)
{
    at.m_platform.m_reply_loss_rate = *rc::gen::element(0.0, 0.3, 0.7);
    const auto outage = std::chrono::seconds(*rc::gen::inRange(0, 25));
    at.m_events.run_for(at.m_events.random_duration(100ms));
    at.m_platform.m_table_up = *rc::gen::arbitrary<bool>();
    at.m_events.run_for(outage);
    at.m_platform.m_table_up = true;
    at.m_events.run_for(60s);
}

} // namespace

/// Approval workflow with one and with several concurrent operators, lost replies and outages.
class approval_workflow_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(approval_workflow_test);
    CPPUNIT_TEST(author_reviewer_and_signer_must_differ);
    CPPUNIT_TEST(rollout_moves_step_by_step);
    CPPUNIT_TEST(one_of_concurrent_rollouts_wins_and_answers_are_consistent);
    CPPUNIT_TEST(one_of_concurrent_signers_wins_and_answers_are_consistent);
    CPPUNIT_TEST_SUITE_END();

public:
    void author_reviewer_and_signer_must_differ()
    {
        approval_fixture at(1);
        test::fake_operator& session = *at.m_operators[0];
        config::approval_workflow& core = session.core();
        const auto refusal = [&](config::command_id command) {
            return session.wait(command).m_refusal;
        };
        const std::string draft =
            session.wait(core.submit("ann", at.next_text(1), at.m_current, at.m_events.now()))
                .m_draft->m_name;
        CPPUNIT_ASSERT(refusal(core.sign_off(draft, "ben", at.m_events.now())) ==
                       approval_refusal::wrong_state);
        CPPUNIT_ASSERT(refusal(core.review(draft, "ann", at.m_events.now())) ==
                       approval_refusal::same_operator);
        CPPUNIT_ASSERT(!refusal(core.review(draft, "ben", at.m_events.now())));
        CPPUNIT_ASSERT(refusal(core.sign_off(draft, "ann", at.m_events.now())) ==
                       approval_refusal::same_operator);
        CPPUNIT_ASSERT(refusal(core.sign_off(draft, "ben", at.m_events.now())) ==
                       approval_refusal::same_operator);
        CPPUNIT_ASSERT(refusal(core.start_rollout(draft, at.m_current, at.m_events.now())) ==
                       approval_refusal::wrong_state);
        CPPUNIT_ASSERT(!refusal(core.sign_off(draft, "cas", at.m_events.now())));
        CPPUNIT_ASSERT(!refusal(core.start_rollout(draft, at.m_current, at.m_events.now())));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, at.head().m_current.m_version);
        CPPUNIT_ASSERT(refusal(core.status("missing", at.m_events.now())) ==
                       approval_refusal::no_such_draft);
        CPPUNIT_ASSERT_THROW(core.submit("ann", "{}", at.m_current, at.m_events.now()),
                             config::bundle_error);
    }

    void rollout_moves_step_by_step()
    {
        approval_fixture at(2);
        test::fake_operator& session = *at.m_operators[0];
        const std::string draft = session.submit_and_approve(at.next_text(1), at.m_current);
        session.wait(session.core().start_rollout(draft, at.m_current, at.m_events.now()));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, at.head().target_for("domain-0").m_version);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, at.head().target_for("domain-1").m_version);
        CPPUNIT_ASSERT(
            session.wait(session.core().advance_rollout(2, 1, at.m_events.now())).m_refusal ==
            approval_refusal::stale_step);

        // Only the instance in a failure domain of the current step that applies the old version
        // lags.
        config::rollout_report report;
        report.record_version(core::instance_id{1}, 1);
        report.record_version(core::instance_id{2}, 1);
        const std::vector<config::instance_version> members{{core::instance_id{1}, "domain-0", 0},
                                                            {core::instance_id{2}, "domain-1", 0}};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, report.lagging(at.head(), members).size());
        CPPUNIT_ASSERT(report.lagging(at.head(), members)[0].m_instance == core::instance_id{1});
        report.record_version(core::instance_id{1}, 2);
        CPPUNIT_ASSERT(report.lagging(at.head(), members).empty());
        CPPUNIT_ASSERT(
            !session.wait(session.core().advance_rollout(2, 0, at.m_events.now())).m_refusal);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, at.head().target_for("domain-1").m_version);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, at.head().target_for("domain-2").m_version);
        CPPUNIT_ASSERT(
            !session.wait(session.core().advance_rollout(2, 1, at.m_events.now())).m_refusal);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, at.head().target_for("domain-2").m_version);
        CPPUNIT_ASSERT(
            session.wait(session.core().advance_rollout(2, 2, at.m_events.now())).m_refusal ==
            approval_refusal::stale_step);
    }

    void one_of_concurrent_rollouts_wins_and_answers_are_consistent()
    {
        CPPUNIT_ASSERT(rc::check("concurrent rollouts", [] {
            const auto count = *rc::gen::inRange<std::size_t>(2, 6);
            approval_fixture at(*rc::gen::arbitrary<std::uint64_t>(), count);
            std::vector<std::string> drafts;
            std::vector<config::command_id> rolls;
            for (std::size_t i = 0; i < count; ++i)
            {
                drafts.push_back(at.m_operators[i]->submit_and_approve(
                    at.next_text(static_cast<std::uint32_t>(i)), at.m_current));
            }
            for (std::size_t i = 0; i < count; ++i)
            {
                rolls.push_back(at.m_operators[i]->core().start_rollout(drafts[i], at.m_current,
                                                                        at.m_events.now()));
            }
            inject_table_faults(at);
            RC_ASSERT(at.head().m_current.m_version <= 2U);
            std::size_t won = 0;
            for (std::size_t i = 0; i < count; ++i)
            {
                const auto answer = at.m_operators[i]->find(rolls[i]);
                RC_ASSERT(answer.has_value());
                const std::string own =
                    config::object_name("bundle", at.next_text(static_cast<std::uint32_t>(i)));
                RC_ASSERT(is_consistent(*answer, at.head().m_current.m_object == own));
                won += answer->m_refusal ? 0 : 1;
            }
            RC_ASSERT(won <= 1U);
        }));
    }

    void one_of_concurrent_signers_wins_and_answers_are_consistent()
    {
        CPPUNIT_ASSERT(rc::check("concurrent signers", [] {
            const auto count = *rc::gen::inRange<std::size_t>(2, 6);
            approval_fixture at(*rc::gen::arbitrary<std::uint64_t>(), count);
            test::fake_operator& first = *at.m_operators[0];
            const std::string draft =
                first
                    .wait(first.core().submit("ann", at.next_text(1), at.m_current,
                                              at.m_events.now()))
                    .m_draft->m_name;
            first.wait(first.core().review(draft, "ben", at.m_events.now()));
            std::vector<config::command_id> signs;
            for (std::size_t i = 0; i < count; ++i)
            {
                signs.push_back(at.m_operators[i]->core().sign_off(
                    draft, fmt::format("signer-{}", i), at.m_events.now()));
            }
            inject_table_faults(at);
            const config::draft_row row =
                config::parse_draft_row(at.m_platform.m_rows.at("bundle/draft/" + draft).m_value);
            for (std::size_t i = 0; i < count; ++i)
            {
                const auto answer = at.m_operators[i]->find(signs[i]);
                RC_ASSERT(answer.has_value());
                RC_ASSERT(is_consistent(*answer, row.m_signer == fmt::format("signer-{}", i)));
            }
        }));
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(approval_workflow_test, "config");
