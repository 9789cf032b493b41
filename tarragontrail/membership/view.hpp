#pragma once

#include "tarragontrail/core/error.hpp"
#include "tarragontrail/core/ids.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace tarragontrail::membership {

/// The text of a view is malformed.
class view_error : public core::error
{
public:
    using core::error::error;
};

/// State of a member in the view.
enum class member_state : std::uint8_t
{
    live,     ///< Owns shards and is offered to callers.
    draining, ///< Finishes its requests; owns no shards.
};

/// TCP ports of a member.
struct member_ports
{
    std::uint16_t m_caller = 0; ///< For callers.
    std::uint16_t m_peer = 0;   ///< For other instances.
    std::uint16_t m_admin = 0;  ///< For operators.

    bool operator==(const member_ports&) const = default;
};

/// An entry instance in the view.
struct member
{
    std::string m_name;                    ///< Unique in the fleet.
    core::instance_id m_id{};              ///< Hash of m_name.
    std::string m_region;                  ///< Name of the region.
    std::string m_failure_domain;          ///< Name of the failure domain.
    core::region_id m_region_id{};         ///< Hash of m_region.
    core::failure_domain_id m_domain_id{}; ///< Hash of m_failure_domain.
    std::string m_address;                 ///< Numeric IP address.
    member_ports m_ports;
    core::incarnation m_incarnation{}; ///< Start of the process; zero while unknown.
    member_state m_state = member_state::live;

    bool operator==(const member&) const = default;
};

/// Returns the member with the ids set to the hashes of its names.
member make_member(member named);

/// Set of instances that the fleet has agreed on; shard owners are a pure function of it.
class view
{
public:
    view() = default;

    /// Throws view_error when two members have the same id.
    view(core::view_number number, std::vector<member> members);

    /// Grows by one with each change of the view.
    core::view_number number() const noexcept { return m_number; }

    /// Members, sorted by id.
    const std::vector<member>& members() const noexcept { return m_members; }

    /// Member with this id, or null.
    const member* find(core::instance_id id) const noexcept;

    /// Owner of a shard: the live member with the highest rendezvous score in the preferred
    /// region, or in any region when that has none; null when no member is live.
    const member* owner_of(std::uint64_t shard, core::region_id preferred) const noexcept;

    /// Owner of a shard over all regions; null when no member is live.
    const member* owner_of(std::uint64_t shard) const noexcept;

    /// Up to `count` homes of a key, highest rendezvous score first; they include the best of each
    /// region as far as `count` allows.
    std::vector<const member*> homes_of(std::uint64_t key, std::size_t count) const;

    /// Memory used, heap included, in bytes.
    std::size_t memory_bytes() const noexcept;

private:
    core::view_number m_number{};  ///< Grows by one with each change of the view.
    std::vector<member> m_members; ///< Sorted by id.
};

/// Compact JSON text of a view for its row in the table service.
std::string serialise(const view& from);

/// Parses the text of a row; throws view_error when it is malformed.
view parse_view(std::string_view text);

} // namespace tarragontrail::membership
