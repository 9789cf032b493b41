#include "tarragontrail/wire/generated_messages.hpp"

#include "tarragontrail/wire/cbor_fields.hpp"

#include <array>

namespace tarragontrail::wire {
namespace {

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const hello& value)
{
    nlohmann::json fields = nlohmann::json::array();
    fields.push_back(1);
    put_field(fields, value.m_sender);
    put_field(fields, value.m_started);
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] hello& value)
{
    fields.get(value.m_sender);
    fields.get(value.m_started);
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const link_heartbeat& value)
{
    nlohmann::json fields = nlohmann::json::array();
    fields.push_back(2);
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] link_heartbeat& value)
{
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const lookup_request& value)
{
    nlohmann::json fields = nlohmann::json::array();
    fields.push_back(10);
    put_field(fields, value.m_lookup_id);
    put_field(fields, value.m_engine);
    put_field(fields, value.m_incarnation);
    put_field(fields, value.m_depth_lower);
    put_field(fields, value.m_depths);
    put_field(fields, value.m_hashes);
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] lookup_request& value)
{
    fields.get(value.m_lookup_id);
    fields.get(value.m_engine);
    fields.get(value.m_incarnation);
    fields.get(value.m_depth_lower);
    fields.get(value.m_depths);
    fields.get(value.m_hashes);
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const lookup_reply& value)
{
    nlohmann::json fields = nlohmann::json::array();
    put_field(fields, value.m_lookup_id);
    put_field(fields, value.m_engine);
    put_field(fields, value.m_incarnation);
    put_field(fields, value.m_depth_lower);
    put_field(fields, value.m_depth_upper);
    put_field(fields, value.m_known);
    put_field(fields, value.m_block_lifetime);
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] lookup_reply& value)
{
    fields.get(value.m_lookup_id);
    fields.get(value.m_engine);
    fields.get(value.m_incarnation);
    fields.get(value.m_depth_lower);
    fields.get(value.m_depth_upper);
    fields.get(value.m_known);
    fields.get(value.m_block_lifetime);
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const lookup_answer& value)
{
    nlohmann::json fields = nlohmann::json::array();
    fields.push_back(11);
    fields.push_back(to_fields(value.m_reply));
    put_field(fields, value.m_has_load);
    put_field(fields, value.m_load_incarnation);
    put_field(fields, value.m_queued_tokens);
    put_field(fields, value.m_running);
    put_field(fields, value.m_prefill_tokens_per_second);
    put_field(fields, value.m_decode_tokens_per_second);
    put_field(fields, value.m_load_age);
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] lookup_answer& value)
{
    from_fields(field_reader(fields.next(), 0), value.m_reply);
    fields.get(value.m_has_load);
    fields.get(value.m_load_incarnation);
    fields.get(value.m_queued_tokens);
    fields.get(value.m_running);
    fields.get(value.m_prefill_tokens_per_second);
    fields.get(value.m_decode_tokens_per_second);
    fields.get(value.m_load_age);
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const anchor_hint& value)
{
    nlohmann::json fields = nlohmann::json::array();
    fields.push_back(12);
    put_field(fields, value.m_group);
    put_field(fields, value.m_epoch);
    put_field(fields, value.m_samples);
    put_field(fields, value.m_depth);
    put_field(fields, value.m_proposer);
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] anchor_hint& value)
{
    fields.get(value.m_group);
    fields.get(value.m_epoch);
    fields.get(value.m_samples);
    fields.get(value.m_depth);
    fields.get(value.m_proposer);
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const loan_request& value)
{
    nlohmann::json fields = nlohmann::json::array();
    fields.push_back(20);
    put_field(fields, value.m_loan_id);
    put_field(fields, value.m_workspace);
    put_field(fields, value.m_amount);
    put_field(fields, value.m_view);
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] loan_request& value)
{
    fields.get(value.m_loan_id);
    fields.get(value.m_workspace);
    fields.get(value.m_amount);
    fields.get(value.m_view);
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const loan_reply& value)
{
    nlohmann::json fields = nlohmann::json::array();
    fields.push_back(21);
    put_field(fields, value.m_loan_id);
    put_field(fields, value.m_workspace);
    put_field(fields, value.m_granted);
    put_field(fields, value.m_amount);
    put_field(fields, value.m_left);
    put_field(fields, value.m_retry_after);
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] loan_reply& value)
{
    fields.get(value.m_loan_id);
    fields.get(value.m_workspace);
    fields.get(value.m_granted);
    fields.get(value.m_amount);
    fields.get(value.m_left);
    fields.get(value.m_retry_after);
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const loan_settle& value)
{
    nlohmann::json fields = nlohmann::json::array();
    fields.push_back(22);
    put_field(fields, value.m_loan_id);
    put_field(fields, value.m_workspace);
    put_field(fields, value.m_used);
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] loan_settle& value)
{
    fields.get(value.m_loan_id);
    fields.get(value.m_workspace);
    fields.get(value.m_used);
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const share_hint& value)
{
    nlohmann::json fields = nlohmann::json::array();
    fields.push_back(23);
    put_field(fields, value.m_workspace);
    put_field(fields, value.m_left);
    put_field(fields, value.m_limit_epoch);
    put_field(fields, value.m_view);
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] share_hint& value)
{
    fields.get(value.m_workspace);
    fields.get(value.m_left);
    fields.get(value.m_limit_epoch);
    fields.get(value.m_view);
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const domain_age& value)
{
    nlohmann::json fields = nlohmann::json::array();
    put_field(fields, value.m_domain);
    put_field(fields, value.m_age);
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] domain_age& value)
{
    fields.get(value.m_domain);
    fields.get(value.m_age);
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const freshness_word& value)
{
    nlohmann::json fields = nlohmann::json::array();
    put_field(fields, value.m_sender);
    put_field(fields, value.m_domain);
    put_field(fields, value.m_store_heard);
    put_field(fields, value.m_store_age);
    put_field(fields, value.m_head_revision);
    put_field(fields, value.m_withdrawals_hash);
    put_field(fields, value.m_applied_version);
    nlohmann::json domains = nlohmann::json::array();
    for (const domain_age& item : value.m_domains)
    {
        domains.push_back(to_fields(item));
    }
    fields.push_back(std::move(domains));
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] freshness_word& value)
{
    fields.get(value.m_sender);
    fields.get(value.m_domain);
    fields.get(value.m_store_heard);
    fields.get(value.m_store_age);
    fields.get(value.m_head_revision);
    fields.get(value.m_withdrawals_hash);
    fields.get(value.m_applied_version);
    for (const nlohmann::json& item : fields.next_array())
    {
        from_fields(field_reader(item, 0), value.m_domains.emplace_back());
    }
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const withdrawal& value)
{
    nlohmann::json fields = nlohmann::json::array();
    fields.push_back(30);
    put_field(fields, value.m_prefix_high);
    put_field(fields, value.m_prefix_low);
    put_field(fields, value.m_bundle_version);
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] withdrawal& value)
{
    fields.get(value.m_prefix_high);
    fields.get(value.m_prefix_low);
    fields.get(value.m_bundle_version);
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const state_request& value)
{
    nlohmann::json fields = nlohmann::json::array();
    fields.push_back(31);
    put_field(fields, value.m_sender);
    put_field(fields, value.m_sequence);
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] state_request& value)
{
    fields.get(value.m_sender);
    fields.get(value.m_sequence);
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const state_answer& value)
{
    nlohmann::json fields = nlohmann::json::array();
    fields.push_back(32);
    put_field(fields, value.m_sequence);
    fields.push_back(to_fields(value.m_word));
    put_field(fields, value.m_head_row);
    nlohmann::json withdrawals = nlohmann::json::array();
    for (const withdrawal& item : value.m_withdrawals)
    {
        withdrawals.push_back(to_fields(item));
    }
    fields.push_back(std::move(withdrawals));
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] state_answer& value)
{
    fields.get(value.m_sequence);
    from_fields(field_reader(fields.next(), 0), value.m_word);
    fields.get(value.m_head_row);
    for (const nlohmann::json& item : fields.next_array())
    {
        from_fields(field_reader(item, 0), value.m_withdrawals.emplace_back());
    }
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const bundle_request& value)
{
    nlohmann::json fields = nlohmann::json::array();
    fields.push_back(33);
    put_field(fields, value.m_sender);
    put_field(fields, value.m_object);
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] bundle_request& value)
{
    fields.get(value.m_sender);
    fields.get(value.m_object);
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const bundle_answer& value)
{
    nlohmann::json fields = nlohmann::json::array();
    fields.push_back(34);
    put_field(fields, value.m_sender);
    put_field(fields, value.m_object);
    put_field(fields, value.m_bytes);
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] bundle_answer& value)
{
    fields.get(value.m_sender);
    fields.get(value.m_object);
    fields.get(value.m_bytes);
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const member_word& value)
{
    nlohmann::json fields = nlohmann::json::array();
    put_field(fields, value.m_member);
    put_field(fields, value.m_incarnation);
    put_field(fields, value.m_refutation);
    put_field(fields, value.m_liveness);
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] member_word& value)
{
    fields.get(value.m_member);
    fields.get(value.m_incarnation);
    fields.get(value.m_refutation);
    fields.get(value.m_liveness);
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const gossip_item& value)
{
    nlohmann::json fields = nlohmann::json::array();
    put_field(fields, value.m_kind);
    put_field(fields, value.m_key);
    put_field(fields, value.m_order);
    put_field(fields, value.m_payload);
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] gossip_item& value)
{
    fields.get(value.m_kind);
    fields.get(value.m_key);
    fields.get(value.m_order);
    fields.get(value.m_payload);
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const ping& value)
{
    nlohmann::json fields = nlohmann::json::array();
    fields.push_back(40);
    put_field(fields, value.m_sender);
    put_field(fields, value.m_view);
    put_field(fields, value.m_sequence);
    nlohmann::json members = nlohmann::json::array();
    for (const member_word& item : value.m_members)
    {
        members.push_back(to_fields(item));
    }
    fields.push_back(std::move(members));
    nlohmann::json items = nlohmann::json::array();
    for (const gossip_item& item : value.m_items)
    {
        items.push_back(to_fields(item));
    }
    fields.push_back(std::move(items));
    fields.push_back(to_fields(value.m_freshness));
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] ping& value)
{
    fields.get(value.m_sender);
    fields.get(value.m_view);
    fields.get(value.m_sequence);
    for (const nlohmann::json& item : fields.next_array())
    {
        from_fields(field_reader(item, 0), value.m_members.emplace_back());
    }
    for (const nlohmann::json& item : fields.next_array())
    {
        from_fields(field_reader(item, 0), value.m_items.emplace_back());
    }
    from_fields(field_reader(fields.next(), 0), value.m_freshness);
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const ping_ack& value)
{
    nlohmann::json fields = nlohmann::json::array();
    fields.push_back(41);
    put_field(fields, value.m_sender);
    put_field(fields, value.m_subject);
    put_field(fields, value.m_view);
    put_field(fields, value.m_sequence);
    nlohmann::json members = nlohmann::json::array();
    for (const member_word& item : value.m_members)
    {
        members.push_back(to_fields(item));
    }
    fields.push_back(std::move(members));
    nlohmann::json items = nlohmann::json::array();
    for (const gossip_item& item : value.m_items)
    {
        items.push_back(to_fields(item));
    }
    fields.push_back(std::move(items));
    fields.push_back(to_fields(value.m_freshness));
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] ping_ack& value)
{
    fields.get(value.m_sender);
    fields.get(value.m_subject);
    fields.get(value.m_view);
    fields.get(value.m_sequence);
    for (const nlohmann::json& item : fields.next_array())
    {
        from_fields(field_reader(item, 0), value.m_members.emplace_back());
    }
    for (const nlohmann::json& item : fields.next_array())
    {
        from_fields(field_reader(item, 0), value.m_items.emplace_back());
    }
    from_fields(field_reader(fields.next(), 0), value.m_freshness);
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const ping_request& value)
{
    nlohmann::json fields = nlohmann::json::array();
    fields.push_back(42);
    put_field(fields, value.m_sender);
    put_field(fields, value.m_target);
    put_field(fields, value.m_view);
    put_field(fields, value.m_sequence);
    nlohmann::json members = nlohmann::json::array();
    for (const member_word& item : value.m_members)
    {
        members.push_back(to_fields(item));
    }
    fields.push_back(std::move(members));
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] ping_request& value)
{
    fields.get(value.m_sender);
    fields.get(value.m_target);
    fields.get(value.m_view);
    fields.get(value.m_sequence);
    for (const nlohmann::json& item : fields.next_array())
    {
        from_fields(field_reader(item, 0), value.m_members.emplace_back());
    }
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const view_request& value)
{
    nlohmann::json fields = nlohmann::json::array();
    fields.push_back(43);
    put_field(fields, value.m_sender);
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] view_request& value)
{
    fields.get(value.m_sender);
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const view_answer& value)
{
    nlohmann::json fields = nlohmann::json::array();
    fields.push_back(44);
    put_field(fields, value.m_sender);
    put_field(fields, value.m_revision);
    put_field(fields, value.m_row);
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] view_answer& value)
{
    fields.get(value.m_sender);
    fields.get(value.m_revision);
    fields.get(value.m_row);
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const crash_identity& value)
{
    nlohmann::json fields = nlohmann::json::array();
    put_field(fields, value.m_engine);
    put_field(fields, value.m_started);
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] crash_identity& value)
{
    fields.get(value.m_engine);
    fields.get(value.m_started);
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const crash_report& value)
{
    nlohmann::json fields = nlohmann::json::array();
    fields.push_back(50);
    put_field(fields, value.m_reporter);
    put_field(fields, value.m_engine);
    put_field(fields, value.m_started);
    put_field(fields, value.m_fingerprints);
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] crash_report& value)
{
    fields.get(value.m_reporter);
    fields.get(value.m_engine);
    fields.get(value.m_started);
    fields.get(value.m_fingerprints);
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const quarantine_notice& value)
{
    nlohmann::json fields = nlohmann::json::array();
    fields.push_back(51);
    put_field(fields, value.m_fingerprint);
    put_field(fields, value.m_duration);
    nlohmann::json crashes = nlohmann::json::array();
    for (const crash_identity& item : value.m_crashes)
    {
        crashes.push_back(to_fields(item));
    }
    fields.push_back(std::move(crashes));
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] quarantine_notice& value)
{
    fields.get(value.m_fingerprint);
    fields.get(value.m_duration);
    for (const nlohmann::json& item : fields.next_array())
    {
        from_fields(field_reader(item, 0), value.m_crashes.emplace_back());
    }
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const exoneration_notice& value)
{
    nlohmann::json fields = nlohmann::json::array();
    fields.push_back(52);
    put_field(fields, value.m_fingerprints);
    put_field(fields, value.m_by_operator);
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] exoneration_notice& value)
{
    fields.get(value.m_fingerprints);
    fields.get(value.m_by_operator);
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const part_crash_report& value)
{
    nlohmann::json fields = nlohmann::json::array();
    fields.push_back(53);
    put_field(fields, value.m_reporter);
    put_field(fields, value.m_engine);
    put_field(fields, value.m_started);
    put_field(fields, value.m_parts);
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] part_crash_report& value)
{
    fields.get(value.m_reporter);
    fields.get(value.m_engine);
    fields.get(value.m_started);
    fields.get(value.m_parts);
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const part_exoneration_notice& value)
{
    nlohmann::json fields = nlohmann::json::array();
    fields.push_back(54);
    put_field(fields, value.m_parts);
    put_field(fields, value.m_since_crashes);
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields,
                                  [[maybe_unused]] part_exoneration_notice& value)
{
    fields.get(value.m_parts);
    fields.get(value.m_since_crashes);
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const part_trial_notice& value)
{
    nlohmann::json fields = nlohmann::json::array();
    fields.push_back(55);
    put_field(fields, value.m_parts);
    put_field(fields, value.m_engine);
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] part_trial_notice& value)
{
    fields.get(value.m_parts);
    fields.get(value.m_engine);
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const part_quarantine_notice& value)
{
    nlohmann::json fields = nlohmann::json::array();
    fields.push_back(56);
    put_field(fields, value.m_parts);
    put_field(fields, value.m_duration);
    nlohmann::json crashes = nlohmann::json::array();
    for (const crash_identity& item : value.m_crashes)
    {
        crashes.push_back(to_fields(item));
    }
    fields.push_back(std::move(crashes));
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields,
                                  [[maybe_unused]] part_quarantine_notice& value)
{
    fields.get(value.m_parts);
    fields.get(value.m_duration);
    for (const nlohmann::json& item : fields.next_array())
    {
        from_fields(field_reader(item, 0), value.m_crashes.emplace_back());
    }
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const part_quarantine_entry& value)
{
    nlohmann::json fields = nlohmann::json::array();
    fields.push_back(57);
    put_field(fields, value.m_parts);
    put_field(fields, value.m_until_unix_ms);
    nlohmann::json crashes = nlohmann::json::array();
    for (const crash_identity& item : value.m_crashes)
    {
        crashes.push_back(to_fields(item));
    }
    fields.push_back(std::move(crashes));
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields,
                                  [[maybe_unused]] part_quarantine_entry& value)
{
    fields.get(value.m_parts);
    fields.get(value.m_until_unix_ms);
    for (const nlohmann::json& item : fields.next_array())
    {
        from_fields(field_reader(item, 0), value.m_crashes.emplace_back());
    }
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const request_quarantine_entry& value)
{
    nlohmann::json fields = nlohmann::json::array();
    fields.push_back(72);
    put_field(fields, value.m_fingerprint);
    put_field(fields, value.m_until_unix_ms);
    nlohmann::json crashes = nlohmann::json::array();
    for (const crash_identity& item : value.m_crashes)
    {
        crashes.push_back(to_fields(item));
    }
    fields.push_back(std::move(crashes));
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields,
                                  [[maybe_unused]] request_quarantine_entry& value)
{
    fields.get(value.m_fingerprint);
    fields.get(value.m_until_unix_ms);
    for (const nlohmann::json& item : fields.next_array())
    {
        from_fields(field_reader(item, 0), value.m_crashes.emplace_back());
    }
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const request_suspension_entry& value)
{
    nlohmann::json fields = nlohmann::json::array();
    fields.push_back(73);
    put_field(fields, value.m_fingerprint);
    put_field(fields, value.m_until_unix_ms);
    nlohmann::json crashes = nlohmann::json::array();
    for (const crash_identity& item : value.m_crashes)
    {
        crashes.push_back(to_fields(item));
    }
    fields.push_back(std::move(crashes));
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields,
                                  [[maybe_unused]] request_suspension_entry& value)
{
    fields.get(value.m_fingerprint);
    fields.get(value.m_until_unix_ms);
    for (const nlohmann::json& item : fields.next_array())
    {
        from_fields(field_reader(item, 0), value.m_crashes.emplace_back());
    }
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const crash_entry& value)
{
    nlohmann::json fields = nlohmann::json::array();
    fields.push_back(80);
    put_field(fields, value.m_engine);
    put_field(fields, value.m_started);
    put_field(fields, value.m_at);
    put_field(fields, value.m_fingerprints);
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] crash_entry& value)
{
    fields.get(value.m_engine);
    fields.get(value.m_started);
    fields.get(value.m_at);
    fields.get(value.m_fingerprints);
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const weights_naming& value)
{
    nlohmann::json fields = nlohmann::json::array();
    put_field(fields, value.m_version);
    put_field(fields, value.m_at);
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] weights_naming& value)
{
    fields.get(value.m_version);
    fields.get(value.m_at);
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const weights_naming_entry& value)
{
    nlohmann::json fields = nlohmann::json::array();
    fields.push_back(81);
    put_field(fields, value.m_model);
    nlohmann::json namings = nlohmann::json::array();
    for (const weights_naming& item : value.m_namings)
    {
        namings.push_back(to_fields(item));
    }
    fields.push_back(std::move(namings));
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] weights_naming_entry& value)
{
    fields.get(value.m_model);
    for (const nlohmann::json& item : fields.next_array())
    {
        from_fields(field_reader(item, 0), value.m_namings.emplace_back());
    }
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const workspace_demand& value)
{
    nlohmann::json fields = nlohmann::json::array();
    put_field(fields, value.m_workspace);
    put_field(fields, value.m_demand);
    put_field(fields, value.m_taken);
    put_field(fields, value.m_share);
    put_field(fields, value.m_reserved);
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] workspace_demand& value)
{
    fields.get(value.m_workspace);
    fields.get(value.m_demand);
    fields.get(value.m_taken);
    fields.get(value.m_share);
    fields.get(value.m_reserved);
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const upstream_pulse& value)
{
    nlohmann::json fields = nlohmann::json::array();
    put_field(fields, value.m_upstream);
    put_field(fields, value.m_in_flight);
    put_field(fields, value.m_tokens);
    put_field(fields, value.m_backlog);
    put_field(fields, value.m_served);
    put_field(fields, value.m_failed);
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] upstream_pulse& value)
{
    fields.get(value.m_upstream);
    fields.get(value.m_in_flight);
    fields.get(value.m_tokens);
    fields.get(value.m_backlog);
    fields.get(value.m_served);
    fields.get(value.m_failed);
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const member_state& value)
{
    nlohmann::json fields = nlohmann::json::array();
    put_field(fields, value.m_instance);
    put_field(fields, value.m_started);
    put_field(fields, value.m_ready);
    put_field(fields, value.m_leaving);
    put_field(fields, value.m_store_reached);
    put_field(fields, value.m_cut_off);
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] member_state& value)
{
    fields.get(value.m_instance);
    fields.get(value.m_started);
    fields.get(value.m_ready);
    fields.get(value.m_leaving);
    fields.get(value.m_store_reached);
    fields.get(value.m_cut_off);
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const store_version& value)
{
    nlohmann::json fields = nlohmann::json::array();
    put_field(fields, value.m_era);
    put_field(fields, value.m_number);
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] store_version& value)
{
    fields.get(value.m_era);
    fields.get(value.m_number);
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const table_position& value)
{
    nlohmann::json fields = nlohmann::json::array();
    fields.push_back(to_fields(value.m_newest_row));
    fields.push_back(to_fields(value.m_newest));
    fields.push_back(to_fields(value.m_complete));
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] table_position& value)
{
    from_fields(field_reader(fields.next(), 0), value.m_newest_row);
    from_fields(field_reader(fields.next(), 0), value.m_newest);
    from_fields(field_reader(fields.next(), 0), value.m_complete);
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const table_versions& value)
{
    nlohmann::json fields = nlohmann::json::array();
    fields.push_back(to_fields(value.m_operators));
    fields.push_back(to_fields(value.m_upstreams));
    fields.push_back(to_fields(value.m_fleet));
    put_field(fields, value.m_configuration);
    put_field(fields, value.m_confirmed);
    put_field(fields, value.m_store_time);
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] table_versions& value)
{
    from_fields(field_reader(fields.next(), 0), value.m_operators);
    from_fields(field_reader(fields.next(), 0), value.m_upstreams);
    from_fields(field_reader(fields.next(), 0), value.m_fleet);
    fields.get(value.m_configuration);
    fields.get(value.m_confirmed);
    fields.get(value.m_store_time);
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const upstream_limit& value)
{
    nlohmann::json fields = nlohmann::json::array();
    put_field(fields, value.m_upstream);
    put_field(fields, value.m_started);
    put_field(fields, value.m_per_second);
    put_field(fields, value.m_said_at);
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] upstream_limit& value)
{
    fields.get(value.m_upstream);
    fields.get(value.m_started);
    fields.get(value.m_per_second);
    fields.get(value.m_said_at);
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const instance_pulse& value)
{
    nlohmann::json fields = nlohmann::json::array();
    fields.push_back(60);
    fields.push_back(to_fields(value.m_state));
    fields.push_back(to_fields(value.m_versions));
    put_field(fields, value.m_since_order);
    nlohmann::json loads = nlohmann::json::array();
    for (const upstream_pulse& item : value.m_loads)
    {
        loads.push_back(to_fields(item));
    }
    fields.push_back(std::move(loads));
    nlohmann::json demands = nlohmann::json::array();
    for (const workspace_demand& item : value.m_demands)
    {
        demands.push_back(to_fields(item));
    }
    fields.push_back(std::move(demands));
    nlohmann::json limits = nlohmann::json::array();
    for (const upstream_limit& item : value.m_limits)
    {
        limits.push_back(to_fields(item));
    }
    fields.push_back(std::move(limits));
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] instance_pulse& value)
{
    from_fields(field_reader(fields.next(), 0), value.m_state);
    from_fields(field_reader(fields.next(), 0), value.m_versions);
    fields.get(value.m_since_order);
    for (const nlohmann::json& item : fields.next_array())
    {
        from_fields(field_reader(item, 0), value.m_loads.emplace_back());
    }
    for (const nlohmann::json& item : fields.next_array())
    {
        from_fields(field_reader(item, 0), value.m_demands.emplace_back());
    }
    for (const nlohmann::json& item : fields.next_array())
    {
        from_fields(field_reader(item, 0), value.m_limits.emplace_back());
    }
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const presence_request& value)
{
    nlohmann::json fields = nlohmann::json::array();
    fields.push_back(78);
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] presence_request& value)
{
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const presence_answer& value)
{
    nlohmann::json fields = nlohmann::json::array();
    fields.push_back(79);
    fields.push_back(to_fields(value.m_state));
    put_field(fields, value.m_since_order);
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] presence_answer& value)
{
    from_fields(field_reader(fields.next(), 0), value.m_state);
    fields.get(value.m_since_order);
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const cell_digest& value)
{
    nlohmann::json fields = nlohmann::json::array();
    fields.push_back(67);
    put_field(fields, value.m_cell);
    nlohmann::json members = nlohmann::json::array();
    for (const member_state& item : value.m_members)
    {
        members.push_back(to_fields(item));
    }
    fields.push_back(std::move(members));
    fields.push_back(to_fields(value.m_versions));
    put_field(fields, value.m_since_order);
    nlohmann::json loads = nlohmann::json::array();
    for (const upstream_pulse& item : value.m_loads)
    {
        loads.push_back(to_fields(item));
    }
    fields.push_back(std::move(loads));
    nlohmann::json demands = nlohmann::json::array();
    for (const workspace_demand& item : value.m_demands)
    {
        demands.push_back(to_fields(item));
    }
    fields.push_back(std::move(demands));
    nlohmann::json limits = nlohmann::json::array();
    for (const upstream_limit& item : value.m_limits)
    {
        limits.push_back(to_fields(item));
    }
    fields.push_back(std::move(limits));
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] cell_digest& value)
{
    fields.get(value.m_cell);
    for (const nlohmann::json& item : fields.next_array())
    {
        from_fields(field_reader(item, 0), value.m_members.emplace_back());
    }
    from_fields(field_reader(fields.next(), 0), value.m_versions);
    fields.get(value.m_since_order);
    for (const nlohmann::json& item : fields.next_array())
    {
        from_fields(field_reader(item, 0), value.m_loads.emplace_back());
    }
    for (const nlohmann::json& item : fields.next_array())
    {
        from_fields(field_reader(item, 0), value.m_demands.emplace_back());
    }
    for (const nlohmann::json& item : fields.next_array())
    {
        from_fields(field_reader(item, 0), value.m_limits.emplace_back());
    }
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const cell_demands& value)
{
    nlohmann::json fields = nlohmann::json::array();
    fields.push_back(75);
    put_field(fields, value.m_cell);
    nlohmann::json demands = nlohmann::json::array();
    for (const workspace_demand& item : value.m_demands)
    {
        demands.push_back(to_fields(item));
    }
    fields.push_back(std::move(demands));
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] cell_demands& value)
{
    fields.get(value.m_cell);
    for (const nlohmann::json& item : fields.next_array())
    {
        from_fields(field_reader(item, 0), value.m_demands.emplace_back());
    }
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const cell_relay& value)
{
    nlohmann::json fields = nlohmann::json::array();
    fields.push_back(76);
    put_field(fields, value.m_message);
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] cell_relay& value)
{
    fields.get(value.m_message);
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const part_notice& value)
{
    nlohmann::json fields = nlohmann::json::array();
    put_field(fields, value.m_part);
    put_field(fields, value.m_engine);
    put_field(fields, value.m_tokens);
    put_field(fields, value.m_work);
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] part_notice& value)
{
    fields.get(value.m_part);
    fields.get(value.m_engine);
    fields.get(value.m_tokens);
    fields.get(value.m_work);
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const part_notices& value)
{
    nlohmann::json fields = nlohmann::json::array();
    fields.push_back(61);
    put_field(fields, value.m_cell);
    nlohmann::json notices = nlohmann::json::array();
    for (const part_notice& item : value.m_notices)
    {
        notices.push_back(to_fields(item));
    }
    fields.push_back(std::move(notices));
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] part_notices& value)
{
    fields.get(value.m_cell);
    for (const nlohmann::json& item : fields.next_array())
    {
        from_fields(field_reader(item, 0), value.m_notices.emplace_back());
    }
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const weights_notice& value)
{
    nlohmann::json fields = nlohmann::json::array();
    fields.push_back(62);
    put_field(fields, value.m_engine);
    put_field(fields, value.m_model);
    put_field(fields, value.m_loading);
    put_field(fields, value.m_version);
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] weights_notice& value)
{
    fields.get(value.m_engine);
    fields.get(value.m_model);
    fields.get(value.m_loading);
    fields.get(value.m_version);
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const rows_request& value)
{
    nlohmann::json fields = nlohmann::json::array();
    fields.push_back(63);
    put_field(fields, value.m_table);
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] rows_request& value)
{
    fields.get(value.m_table);
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const table_row& value)
{
    nlohmann::json fields = nlohmann::json::array();
    put_field(fields, value.m_key);
    put_field(fields, value.m_value);
    fields.push_back(to_fields(value.m_version));
    put_field(fields, value.m_deleted);
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] table_row& value)
{
    fields.get(value.m_key);
    fields.get(value.m_value);
    from_fields(field_reader(fields.next(), 0), value.m_version);
    fields.get(value.m_deleted);
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const change_span& value)
{
    nlohmann::json fields = nlohmann::json::array();
    fields.push_back(to_fields(value.m_follows));
    fields.push_back(to_fields(value.m_up_to));
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] change_span& value)
{
    from_fields(field_reader(fields.next(), 0), value.m_follows);
    from_fields(field_reader(fields.next(), 0), value.m_up_to);
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const packed_rows& value)
{
    nlohmann::json fields = nlohmann::json::array();
    fields.push_back(71);
    nlohmann::json rows = nlohmann::json::array();
    for (const table_row& item : value.m_rows)
    {
        rows.push_back(to_fields(item));
    }
    fields.push_back(std::move(rows));
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] packed_rows& value)
{
    for (const nlohmann::json& item : fields.next_array())
    {
        from_fields(field_reader(item, 0), value.m_rows.emplace_back());
    }
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const rows_answer& value)
{
    nlohmann::json fields = nlohmann::json::array();
    fields.push_back(64);
    put_field(fields, value.m_table);
    fields.push_back(to_fields(value.m_version));
    put_field(fields, value.m_size);
    put_field(fields, value.m_packed);
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] rows_answer& value)
{
    fields.get(value.m_table);
    from_fields(field_reader(fields.next(), 0), value.m_version);
    fields.get(value.m_size);
    fields.get(value.m_packed);
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const rows_news& value)
{
    nlohmann::json fields = nlohmann::json::array();
    fields.push_back(68);
    put_field(fields, value.m_table);
    nlohmann::json rows = nlohmann::json::array();
    for (const table_row& item : value.m_rows)
    {
        rows.push_back(to_fields(item));
    }
    fields.push_back(std::move(rows));
    fields.push_back(to_fields(value.m_span));
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] rows_news& value)
{
    fields.get(value.m_table);
    for (const nlohmann::json& item : fields.next_array())
    {
        from_fields(field_reader(item, 0), value.m_rows.emplace_back());
    }
    from_fields(field_reader(fields.next(), 0), value.m_span);
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const member_entry& value)
{
    nlohmann::json fields = nlohmann::json::array();
    fields.push_back(65);
    put_field(fields, value.m_instance);
    put_field(fields, value.m_started);
    put_field(fields, value.m_failure_domain);
    put_field(fields, value.m_region);
    put_field(fields, value.m_caller_address);
    put_field(fields, value.m_peer_address);
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] member_entry& value)
{
    fields.get(value.m_instance);
    fields.get(value.m_started);
    fields.get(value.m_failure_domain);
    fields.get(value.m_region);
    fields.get(value.m_caller_address);
    fields.get(value.m_peer_address);
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const duty_row& value)
{
    nlohmann::json fields = nlohmann::json::array();
    put_field(fields, value.m_holder);
    put_field(fields, value.m_started);
    put_field(fields, value.m_sequence);
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] duty_row& value)
{
    fields.get(value.m_holder);
    fields.get(value.m_started);
    fields.get(value.m_sequence);
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const duty_entry& value)
{
    nlohmann::json fields = nlohmann::json::array();
    fields.push_back(66);
    fields.push_back(to_fields(value.m_row));
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] duty_entry& value)
{
    from_fields(field_reader(fields.next(), 0), value.m_row);
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const sent_order& value)
{
    nlohmann::json fields = nlohmann::json::array();
    put_field(fields, value.m_engine);
    put_field(fields, value.m_age);
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] sent_order& value)
{
    fields.get(value.m_engine);
    fields.get(value.m_age);
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const duty_release& value)
{
    nlohmann::json fields = nlohmann::json::array();
    fields.push_back(74);
    fields.push_back(to_fields(value.m_row));
    nlohmann::json orders = nlohmann::json::array();
    for (const sent_order& item : value.m_orders)
    {
        orders.push_back(to_fields(item));
    }
    fields.push_back(std::move(orders));
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] duty_release& value)
{
    from_fields(field_reader(fields.next(), 0), value.m_row);
    for (const nlohmann::json& item : fields.next_array())
    {
        from_fields(field_reader(item, 0), value.m_orders.emplace_back());
    }
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const duty_holding& value)
{
    nlohmann::json fields = nlohmann::json::array();
    fields.push_back(77);
    fields.push_back(to_fields(value.m_row));
    put_field(fields, value.m_written);
    nlohmann::json orders = nlohmann::json::array();
    for (const sent_order& item : value.m_orders)
    {
        orders.push_back(to_fields(item));
    }
    fields.push_back(std::move(orders));
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] duty_holding& value)
{
    from_fields(field_reader(fields.next(), 0), value.m_row);
    fields.get(value.m_written);
    for (const nlohmann::json& item : fields.next_array())
    {
        from_fields(field_reader(item, 0), value.m_orders.emplace_back());
    }
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const version_assignment& value)
{
    nlohmann::json fields = nlohmann::json::array();
    put_field(fields, value.m_slot);
    put_field(fields, value.m_version);
    put_field(fields, value.m_since);
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] version_assignment& value)
{
    fields.get(value.m_slot);
    fields.get(value.m_version);
    fields.get(value.m_since);
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const version_plan_entry& value)
{
    nlohmann::json fields = nlohmann::json::array();
    fields.push_back(69);
    put_field(fields, value.m_service);
    put_field(fields, value.m_number);
    nlohmann::json assignments = nlohmann::json::array();
    for (const version_assignment& item : value.m_assignments)
    {
        assignments.push_back(to_fields(item));
    }
    fields.push_back(std::move(assignments));
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] version_plan_entry& value)
{
    fields.get(value.m_service);
    fields.get(value.m_number);
    for (const nlohmann::json& item : fields.next_array())
    {
        from_fields(field_reader(item, 0), value.m_assignments.emplace_back());
    }
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const begun_stream& value)
{
    nlohmann::json fields = nlohmann::json::array();
    put_field(fields, value.m_stream);
    put_field(fields, value.m_version);
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] begun_stream& value)
{
    fields.get(value.m_stream);
    fields.get(value.m_version);
    fields.expect_end();
}

[[maybe_unused]] nlohmann::json to_fields([[maybe_unused]] const streams_notice& value)
{
    nlohmann::json fields = nlohmann::json::array();
    fields.push_back(70);
    nlohmann::json streams = nlohmann::json::array();
    for (const begun_stream& item : value.m_streams)
    {
        streams.push_back(to_fields(item));
    }
    fields.push_back(std::move(streams));
    return fields;
}

[[maybe_unused]] void from_fields(field_reader fields, [[maybe_unused]] streams_notice& value)
{
    for (const nlohmann::json& item : fields.next_array())
    {
        from_fields(field_reader(item, 0), value.m_streams.emplace_back());
    }
    fields.expect_end();
}

template <class Message>
message read_message(const nlohmann::json& fields)
{
    Message value;
    from_fields(field_reader(fields, 1), value);
    return value;
}

} // namespace

const char* message_type_name(std::size_t type) noexcept
{
    static constexpr std::array<const char*, message_type_count> names{"hello",
                                                                       "link_heartbeat",
                                                                       "lookup_request",
                                                                       "lookup_answer",
                                                                       "anchor_hint",
                                                                       "loan_request",
                                                                       "loan_reply",
                                                                       "loan_settle",
                                                                       "share_hint",
                                                                       "withdrawal",
                                                                       "state_request",
                                                                       "state_answer",
                                                                       "bundle_request",
                                                                       "bundle_answer",
                                                                       "ping",
                                                                       "ping_ack",
                                                                       "ping_request",
                                                                       "view_request",
                                                                       "view_answer",
                                                                       "crash_report",
                                                                       "quarantine_notice",
                                                                       "exoneration_notice",
                                                                       "part_crash_report",
                                                                       "part_exoneration_notice",
                                                                       "part_trial_notice",
                                                                       "part_quarantine_notice",
                                                                       "part_quarantine_entry",
                                                                       "request_quarantine_entry",
                                                                       "request_suspension_entry",
                                                                       "crash_entry",
                                                                       "weights_naming_entry",
                                                                       "instance_pulse",
                                                                       "presence_request",
                                                                       "presence_answer",
                                                                       "cell_digest",
                                                                       "cell_demands",
                                                                       "cell_relay",
                                                                       "part_notices",
                                                                       "weights_notice",
                                                                       "rows_request",
                                                                       "packed_rows",
                                                                       "rows_answer",
                                                                       "rows_news",
                                                                       "member_entry",
                                                                       "duty_entry",
                                                                       "duty_release",
                                                                       "duty_holding",
                                                                       "version_plan_entry",
                                                                       "streams_notice"};
    return type < names.size() ? names[type] : "unknown";
}

std::string encode(const message& value)
{
    const nlohmann::json fields =
        std::visit([](const auto& item) { return to_fields(item); }, value);
    std::string bytes;
    nlohmann::json::to_cbor(fields, bytes);
    return bytes;
}

message decode(const std::string& bytes)
{
    const nlohmann::json fields = parse_cbor(bytes);
    switch (read_tag(fields))
    {
    case 1:
        return read_message<hello>(fields);
    case 2:
        return read_message<link_heartbeat>(fields);
    case 10:
        return read_message<lookup_request>(fields);
    case 11:
        return read_message<lookup_answer>(fields);
    case 12:
        return read_message<anchor_hint>(fields);
    case 20:
        return read_message<loan_request>(fields);
    case 21:
        return read_message<loan_reply>(fields);
    case 22:
        return read_message<loan_settle>(fields);
    case 23:
        return read_message<share_hint>(fields);
    case 30:
        return read_message<withdrawal>(fields);
    case 31:
        return read_message<state_request>(fields);
    case 32:
        return read_message<state_answer>(fields);
    case 33:
        return read_message<bundle_request>(fields);
    case 34:
        return read_message<bundle_answer>(fields);
    case 40:
        return read_message<ping>(fields);
    case 41:
        return read_message<ping_ack>(fields);
    case 42:
        return read_message<ping_request>(fields);
    case 43:
        return read_message<view_request>(fields);
    case 44:
        return read_message<view_answer>(fields);
    case 50:
        return read_message<crash_report>(fields);
    case 51:
        return read_message<quarantine_notice>(fields);
    case 52:
        return read_message<exoneration_notice>(fields);
    case 53:
        return read_message<part_crash_report>(fields);
    case 54:
        return read_message<part_exoneration_notice>(fields);
    case 55:
        return read_message<part_trial_notice>(fields);
    case 56:
        return read_message<part_quarantine_notice>(fields);
    case 57:
        return read_message<part_quarantine_entry>(fields);
    case 72:
        return read_message<request_quarantine_entry>(fields);
    case 73:
        return read_message<request_suspension_entry>(fields);
    case 80:
        return read_message<crash_entry>(fields);
    case 81:
        return read_message<weights_naming_entry>(fields);
    case 60:
        return read_message<instance_pulse>(fields);
    case 78:
        return read_message<presence_request>(fields);
    case 79:
        return read_message<presence_answer>(fields);
    case 67:
        return read_message<cell_digest>(fields);
    case 75:
        return read_message<cell_demands>(fields);
    case 76:
        return read_message<cell_relay>(fields);
    case 61:
        return read_message<part_notices>(fields);
    case 62:
        return read_message<weights_notice>(fields);
    case 63:
        return read_message<rows_request>(fields);
    case 71:
        return read_message<packed_rows>(fields);
    case 64:
        return read_message<rows_answer>(fields);
    case 68:
        return read_message<rows_news>(fields);
    case 65:
        return read_message<member_entry>(fields);
    case 66:
        return read_message<duty_entry>(fields);
    case 74:
        return read_message<duty_release>(fields);
    case 77:
        return read_message<duty_holding>(fields);
    case 69:
        return read_message<version_plan_entry>(fields);
    case 70:
        return read_message<streams_notice>(fields);
    default:
        throw decode_error("unknown message tag");
    }
}

} // namespace tarragontrail::wire
