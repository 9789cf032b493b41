#pragma once

#include "tarragontrail/idempotency/table_operations.hpp"
#include "tarragontrail/membership/view_change.hpp"
#include "tarragontrail/net/duty.hpp"
#include "tarragontrail/net/http_client.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace tarragontrail::entry {

/// Outcome of one call to the platform; nothing stands for a call without a usable reply.
template <class Reply>
using platform_handler = std::function<void(std::optional<Reply>)>;

/// Row of a table, found by listing it.
struct platform_row
{
    std::string m_key;           ///< Key.
    std::string m_value;         ///< Value.
    std::uint64_t m_version = 0; ///< Version.
};

/// Counts of calls to the platform, for metrics.
struct platform_counts
{
    std::atomic<std::uint64_t> m_reads{0};    ///< Rows and versions read.
    std::atomic<std::uint64_t> m_writes{0};   ///< Transactions and single writes.
    std::atomic<std::uint64_t> m_objects{0};  ///< Objects read and stored.
    std::atomic<std::uint64_t> m_failures{0}; ///< Calls without a usable reply.
};

/// The platform's table, object store and instance list over HTTP, on a thread of its own.
///
/// Calls may be made from the home duty's thread; handlers run there.
class platform_client
{
public:
    platform_client(net::duty& platform, net::duty& home, const net::tcp::endpoint& endpoint,
                    std::chrono::milliseconds timeout);

    /// Reads a row, or its version alone.
    void read(const std::string& table, const std::string& key, bool version_only,
              platform_handler<idempotency::read_result> handler);

    /// Reads all rows of a table.
    void list_rows(const std::string& table, platform_handler<std::vector<platform_row>> handler);

    /// Writes rows in one transaction.
    void write(const std::vector<idempotency::conditional_write>& writes,
               platform_handler<idempotency::write_result> handler);

    /// Stores an object; the reply is always true.
    void put_object(const std::string& name, std::string bytes, platform_handler<bool> handler);

    /// Fetches an object; a missing one counts as no reply.
    void get_object(const std::string& name, platform_handler<std::string> handler);

    /// Reads the list of live and leaving instances.
    void list_instances(platform_handler<std::vector<membership::listed_instance>> handler);

    /// Counts since the start.
    const platform_counts& counts() const noexcept { return m_counts; }

private:
    /// Makes one call; `parse` turns a response into the reply or nothing.
    template <class Reply, class Parse>
    void call(net::http_request request, Parse parse, platform_handler<Reply> handler);

    net::duty& m_platform;              ///< Thread of the calls.
    net::duty& m_home;                  ///< Thread of the handlers.
    net::tcp::endpoint m_endpoint;      ///< Platform's address.
    net::call_settings m_call_settings; ///< Deadlines.
    net::http_client m_client;          ///< Connections; used on the platform's thread.
    platform_counts m_counts;           ///< For metrics.
};

/// Text of bytes for JSON: each byte becomes the code point of the same number.
std::string text_of_bytes(const std::string& bytes);

/// Bytes of such a text; throws wire::decode_error on other code points.
std::string bytes_of_text(const std::string& text);

} // namespace tarragontrail::entry
