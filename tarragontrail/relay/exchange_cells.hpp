#pragma once

#include "tarragontrail/core/ids.hpp"
#include "tarragontrail/relay/fleet_member.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tarragontrail::relay {

/// Settings of exchange_cells.
struct exchange_cells_settings
{
    /// A region, and in a larger region a failure domain, of at most this many instances is one
    /// cell.
    std::size_t m_max_size = 24;
    /// Larger failure domains are split into cells of about this size.
    std::size_t m_split_size = 16;
};

/// Instances that exchange state directly; the rest of the fleet learns the sums over them.
struct exchange_cell
{
    std::string m_name;
    std::string m_region;
    std::vector<core::instance_id> m_members; ///< In ascending order.
};

/// Partition of the fleet into cells, the same at all instances that know the same members.
///
/// Load pattern: hundreds of instances. In a mesh, messages grow with the square of their number;
/// with cells, an instance talks to its cell and to one instance of each other cell. Cells keep to
/// failure domains, as traffic between these is billed.
class exchange_cells
{
public:
    /// Tells whether an instance can be reached.
    using is_alive_function = std::function<bool(core::instance_id)>;

    explicit exchange_cells(core::instance_id self, exchange_cells_settings settings = {})
        : m_self(self), m_settings(settings)
    {}

    /// Sets all members of the fleet, this instance included.
    void set_members(const std::map<core::instance_id, fleet_member>& members);

    /// Cell of this instance; empty before the members are set.
    const exchange_cell& own() const noexcept { return m_own; }

    /// All other cells by name.
    const std::map<std::string, exchange_cell>& others() const noexcept { return m_others; }

    bool is_in_own(core::instance_id instance) const;

    /// Instance that speaks for this cell; this one when no other is alive.
    core::instance_id speaker(const is_alive_function& is_alive) const;

    /// Instance of another cell that passes messages of this cell on there: each sending cell has
    /// another one, so that the work is spread. Nothing when none is alive.
    std::optional<core::instance_id> receiver_in(const exchange_cell& cell,
                                                 const is_alive_function& is_alive) const;

private:
    core::instance_id m_self;
    exchange_cells_settings m_settings;
    exchange_cell m_own;
    std::map<std::string, exchange_cell> m_others;
};

} // namespace tarragontrail::relay
