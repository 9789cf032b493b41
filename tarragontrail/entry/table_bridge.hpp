#pragma once

#include "tarragontrail/config/platform_calls.hpp"
#include "tarragontrail/entry/control_service.hpp"

namespace tarragontrail::entry {

// Carry a core's table actions to the platform and the replies back to the core. The cores of
// `config` and `membership` share one set of reply types, those of `idempotency` and `placement`
// another.

/// Carries out a read for a core with config's reply types.
template <class Core>
void bridge_read(const control_context& context, Core& core, const config::table_read& call)
{
    const auto operation = call.m_operation;
    const auto pump = context.m_pump;
    context.m_platform.read(
        call.m_table, call.m_key, call.m_version_only,
        [&core, operation, pump](const std::optional<idempotency::read_result>& row) {
            const core::time_point now = core::runtime_clock::now();
            if (row)
            {
                core.on_table_read({operation, row->m_found, row->m_value, row->m_version}, now);
            }
            else
            {
                core.on_table_failed(operation, now);
            }
            pump();
        });
}

/// Carries out a write for a core with config's reply types.
template <class Core>
void bridge_write(const control_context& context, Core& core, const config::table_write& call)
{
    const auto operation = call.m_operation;
    const auto pump = context.m_pump;
    context.m_platform.write(
        {{call.m_table, call.m_key, call.m_expected_version, call.m_value}},
        [&core, operation, pump](const std::optional<idempotency::write_result>& result) {
            const core::time_point now = core::runtime_clock::now();
            if (!result)
            {
                core.on_table_failed(operation, now);
            }
            else if (result->m_ok)
            {
                core.on_table_written({operation, true, result->m_versions.front(), {}}, now);
            }
            else
            {
                const auto& current = result->m_current;
                core.on_table_written({operation, false, current.m_version, current.m_value}, now);
            }
            pump();
        });
}

/// Carries out a read for a core with idempotency's reply types.
template <class Core>
void bridge_read(const control_context& context, Core& core, const idempotency::table_read& call)
{
    const std::uint64_t operation = call.m_operation;
    const auto pump = context.m_pump;
    context.m_platform.read(
        call.m_table, call.m_key, false,
        [&core, operation, pump](const std::optional<idempotency::read_result>& row) {
            const core::time_point now = core::runtime_clock::now();
            if (row)
            {
                core.on_table_read(operation, *row, now);
            }
            else
            {
                core.on_table_failed(operation, now);
            }
            pump();
        });
}

/// Carries out a transaction for a core with idempotency's reply types.
template <class Core>
void bridge_write(const control_context& context, Core& core, const idempotency::table_write& call)
{
    const std::uint64_t operation = call.m_operation;
    const auto pump = context.m_pump;
    context.m_platform.write(
        call.m_writes,
        [&core, operation, pump](const std::optional<idempotency::write_result>& result) {
            const core::time_point now = core::runtime_clock::now();
            if (result)
            {
                core.on_table_written(operation, *result, now);
            }
            else
            {
                core.on_table_failed(operation, now);
            }
            pump();
        });
}

} // namespace tarragontrail::entry
