#pragma once

#include "tarragontrail/core/error.hpp"
#include "tarragontrail/placement/weights_rollout.hpp"
#include "tarragontrail/relay/relay_config.hpp"
#include "tarragontrail/relay/table_mirror.hpp"
#include "tarragontrail/relay/upstream_record.hpp"

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace tarragontrail::relay {

/// Tables of the platform's store that an instance follows.
enum class followed_table : std::uint64_t
{
    operators = 0, ///< Configuration and named weights, written by operators.
    upstreams = 1, ///< One row an upstream, written by it.
    fleet = 2,     ///< Instances and duties, written by instances.
};

/// Number of followed tables.
inline constexpr std::size_t followed_table_count = 3;

/// Text of a table for logs.
const char* to_string(followed_table table) noexcept;

/// A call to the store gave no usable answer.
struct store_failure
{
    std::string m_cause;         ///< For logs.
    bool m_history_lost = false; ///< Changes since the version asked for are not kept any more.
};

/// Rows of a table.
struct table_rows
{
    std::vector<table_row> m_rows; ///< All rows, or those that changed.
    std::uint64_t m_version = 0;   ///< Version that they are as of.
};

/// Answer to a read of a table.
using table_result = std::variant<table_rows, store_failure>;

/// How a conditional write ended.
struct row_write_result
{
    /// Ways to end.
    enum class outcome
    {
        applied,  ///< The row has the new value.
        conflict, ///< The row had another version.
        refused,  ///< The store did nothing.
        unknown,  ///< No answer: it may have been applied, or may be later.
    };

    outcome m_outcome = outcome::unknown; ///< How it ended.
    std::uint64_t m_version = 0;          ///< Version of the row, when it was applied.
};

/// The platform's store; called on the home thread, handlers run there too.
class table_store
{
public:
    virtual ~table_store() = default;

    /// Reads a whole table.
    virtual void read(followed_table table, std::function<void(table_result)> handler) = 0;

    /// Waits for changes after a version, at most as long as said; no rows when there were none.
    virtual void follow(followed_table table, std::uint64_t after, std::chrono::milliseconds wait,
                        std::function<void(table_result)> handler) = 0;

    /// Writes a row of the fleet's table, on condition of its version where one is given.
    virtual void write(const std::string& key, const std::string& value,
                       std::optional<std::uint64_t> expected_version,
                       std::function<void(row_write_result)> handler) = 0;
};

/// A part entered or left a cache.
struct cache_event
{
    bool m_added = false;       ///< It entered.
    std::string m_salt;         ///< Salt that it is found under.
    std::uint64_t m_part = 0;   ///< Hash of the identity that callers name.
    std::uint64_t m_tokens = 0; ///< Tokens of it that are held.
};

/// News of a cache.
struct cache_events
{
    std::uint64_t m_epoch = 0;         ///< Start of the cache; grows when it starts anew.
    std::uint64_t m_next = 0;          ///< Where the next news begin.
    std::vector<cache_event> m_events; ///< In order; a few are missing.
};

/// Reports and orders of engines; called on the home thread, handlers run there too.
class engine_control
{
public:
    virtual ~engine_control() = default;

    /// Reads an engine's report; nothing when it does not answer.
    virtual void
    read_report(const upstream_record& engine, const std::string& model,
                std::function<void(std::optional<placement::engine_report>)> handler) = 0;

    /// Waits for news of a cache, at most as long as said; nothing when it does not answer.
    virtual void follow_cache(const net::tcp::endpoint& cache, std::uint64_t since,
                              std::chrono::milliseconds wait,
                              std::function<void(std::optional<cache_events>)> handler) = 0;

    /// Orders an engine to take weights.
    virtual void order(const upstream_record& engine, const placement::order_weights& order,
                       std::uint64_t fence,
                       std::function<void(placement::order_answer)> handler) = 0;
};

/// A document of the store cannot be read.
class document_error : public core::error
{
public:
    using core::error::error;
};

/// Weights that operators named for a model.
struct target_weights
{
    std::string m_model;                    ///< Model.
    placement::weights_version m_version{}; ///< Version.
};

/// Row of the operators' table: a configuration, named weights, or nothing that is used here.
using operator_document = std::variant<std::monostate, relay_config, target_weights>;

/// Reads the documents that the store keeps; every member throws document_error.
class document_reader
{
public:
    virtual ~document_reader() = default;

    /// Reads a row of the operators' table.
    virtual operator_document read_operator_row(const table_row& row) const = 0;

    /// Reads a row of the upstreams' table.
    virtual upstream_record read_upstream_row(const table_row& row) const = 0;
};

} // namespace tarragontrail::relay
