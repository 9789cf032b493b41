#pragma once

#include "tarragontrail/net/timer.hpp"
#include "tarragontrail/relay/platform_interface.hpp"

#include <boost/asio/io_context.hpp>
#include <functional>

namespace tarragontrail::relay {

/// Settings of table_follower.
struct table_follower_settings
{
    std::chrono::milliseconds m_max_wait{4'000}; ///< Longest time that one call waits for changes.
    std::chrono::milliseconds m_max_wait_after_failure{
        300}; ///< The same for the first call after a failure.
    std::chrono::milliseconds m_delay_after_changes{
        150}; ///< Pause after changes, so that calls stay few.
    std::chrono::milliseconds m_initial_backoff{300}; ///< Pause after a failure.
    std::chrono::milliseconds m_max_backoff{1'200};   ///< Pause after several failures.
};

/// Keeps a copy of one table of the store up to date.
///
/// Reads the table once, then waits for changes; reads it again when the store no longer has the
/// changes. Another instance's copy may be taken over meanwhile.
class table_follower
{
public:
    /// Told of changed rows, and whether the store itself told them.
    using change_handler = std::function<void(const std::vector<table_row>&, bool from_store)>;

    table_follower(boost::asio::io_context& context, table_store& store, followed_table table,
                   table_follower_settings settings, change_handler on_change);

    /// Begins to follow.
    void start();

    /// Follows the store, or leaves it to other instances; the first read is always made.
    void set_active(bool active);

    /// Takes over changed rows from an instance that follows the store.
    void apply_changes(const std::vector<table_row>& rows);

    /// Takes over another instance's copy.
    void replace_copy(const std::vector<table_row>& rows, std::uint64_t version);

    /// Copy of the table.
    const table_mirror& mirror() const noexcept { return m_mirror; }

    /// The store answered the last call.
    bool is_store_reachable() const noexcept { return m_consecutive_failures == 0; }

private:
    void read();
    void follow();
    void on_failure(const store_failure& failure);
    void on_success();
    void schedule(std::chrono::milliseconds delay, void (table_follower::*step)());

    table_store& m_store;                     ///< Store.
    followed_table m_table;                   ///< Table.
    table_follower_settings m_settings;       ///< Settings.
    change_handler m_on_change;               ///< Told of changed rows.
    table_mirror m_mirror;                    ///< Copy.
    net::timer m_timer;                       ///< Pause before the next call.
    std::uint64_t m_last_version = 0;         ///< Version to follow from.
    std::uint64_t m_consecutive_failures = 0; ///< Failed calls in a row.
    bool m_active = true;                     ///< This instance follows the store.
    bool m_call_pending = false;              ///< A call or a pause before one is under way.
};

} // namespace tarragontrail::relay
