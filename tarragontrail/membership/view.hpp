#pragma once

#include "tarragontrail/core/error.hpp"
#include "tarragontrail/core/ids.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace tarragontrail::membership {

/// A view's text is malformed.
class view_error : public core::error
{
public:
    using core::error::error;
};

/// State of a member in the agreed view.
enum class member_state : std::uint8_t
{
    live,     ///< Owns shards and is given to callers.
    draining, ///< Finishes its requests; owns nothing new.
};

/// TCP ports of a member.
struct member_ports
{
    std::uint16_t m_caller = 0; ///< For callers.
    std::uint16_t m_peer = 0;   ///< For other instances.
    std::uint16_t m_admin = 0;  ///< For operators.

    bool operator==(const member_ports&) const = default;
};

/// One entry instance in the agreed view.
struct member
{
    std::string m_name;                        ///< Unique name.
    core::instance_id m_id{};                  ///< Hash of the name.
    std::string m_region;                      ///< Region's name.
    std::string m_failure_domain;              ///< Failure domain's name.
    core::region_id m_region_id{};             ///< Hash of the region's name.
    core::failure_domain_id m_domain_id{};     ///< Hash of the failure domain's name.
    std::string m_address;                     ///< Numeric address.
    member_ports m_ports;                      ///< Ports.
    core::incarnation m_incarnation{};         ///< Start of the process that this entry stands for.
    member_state m_state = member_state::live; ///< State.

    bool operator==(const member&) const = default;
};

/// Fills the hashes of a member's names.
member make_member(member named);

/// Agreed set of instances; shard owners are a pure function of it.
class view
{
public:
    view() = default;

    /// Sorts the members by id; throws view_error when two have the same.
    view(core::view_number number, std::vector<member> members);

    /// Number of this view.
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

    /// Up to `count` homes of a key, best score first, with the best of each region among them.
    std::vector<const member*> homes_of(std::uint64_t key, std::size_t count) const;

    /// Bytes held, heap included.
    std::size_t memory_bytes() const noexcept;

private:
    core::view_number m_number{};  ///< Number of this view.
    std::vector<member> m_members; ///< Sorted by id.
};

/// Compact text of a view for its row.
std::string serialise(const view& from);

/// Reads a row's text; throws view_error when it is malformed.
view parse_view(std::string_view text);

} // namespace tarragontrail::membership
