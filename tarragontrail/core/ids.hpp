#pragma once

#include <cstdint>
#include <functional>
#include <string_view>

namespace tarragontrail::core {

/// Entry instance, identified by the 64-bit hash of its name.
enum class instance_id : std::uint64_t
{
};

/// Workspace, identified by the 64-bit hash of its name.
enum class workspace_id : std::uint64_t
{
};

/// Upstream (engine or plain service), identified by the 64-bit hash of its name.
enum class upstream_id : std::uint64_t
{
};

/// Model, identified by the 64-bit hash of its name.
enum class model_id : std::uint64_t
{
};

/// Adapter of a model; zero stands for the model without an adapter.
enum class adapter_id : std::uint64_t
{
};

/// Failure domain, identified by the 64-bit hash of its name.
enum class failure_domain_id : std::uint64_t
{
};

/// Region, identified by the 64-bit hash of its name.
enum class region_id : std::uint64_t
{
};

/// Request of a caller, unique over all instances and restarts.
enum class request_id : std::uint64_t
{
};

/// Number of an agreed membership view; incremented by each change.
enum class view_number : std::uint64_t
{
};

/// Number of starts of a process; state of a lower incarnation is obsolete.
enum class incarnation : std::uint64_t
{
};

/// Hash of a name, used as its identifier.
std::uint64_t hash_name(std::string_view name) noexcept;

/// Identifier of a name, for example `id_of<workspace_id>("notices")`.
template <class Id>
Id id_of(std::string_view name) noexcept
{
    return Id{hash_name(name)};
}

/// Integer value of an identifier.
template <class Id>
constexpr std::uint64_t value_of(Id id) noexcept
{
    return static_cast<std::uint64_t>(id);
}

} // namespace tarragontrail::core
