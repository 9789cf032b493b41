#pragma once

#include "tarragontrail/core/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>
#include <set>

namespace tarragontrail::net {

/// Owner of a claim that can give its memory back before its work is done.
class memory_holder
{
public:
    virtual ~memory_holder() = default;

    /// Whether nothing but a client's bytes is lost when the memory is given back now.
    virtual bool may_release_memory() const = 0;

    /// Gives back what the claim does not need to tell the client so.
    virtual void release_memory() = 0;
};

class memory_claim;

/// Memory that connections hold for their clients, bounded over all of them; used on one thread.
///
/// When there is not enough, the claim with the largest product of size and age that may be given
/// back yields: clients that hold much for long make room for those that hold little or hold it
/// briefly.
class memory_account
{
public:
    /// `limit_bytes` is the sum over all claims at most.
    explicit memory_account(std::size_t limit_bytes) : m_limit_bytes(limit_bytes) {}

    /// Account without a bound.
    static std::shared_ptr<memory_account> unlimited()
    {
        return std::make_shared<memory_account>(std::numeric_limits<std::size_t>::max());
    }

    std::size_t limit_bytes() const noexcept { return m_limit_bytes; }
    std::size_t held_bytes() const noexcept { return m_held_bytes; }

    /// Claims that yielded, and claims that were refused, since the start.
    std::uint64_t yielded() const noexcept { return m_yielded; }
    std::uint64_t refused() const noexcept { return m_refused; }

    /// Larger claims leave a quarter of the account to the others, so that many large requests do
    /// not keep out small ones.
    static constexpr std::size_t small_claim_bytes = std::size_t{64} * 1024;

private:
    friend class memory_claim;

    bool resize(memory_claim& claim, std::size_t bytes);
    bool make_room(const memory_claim& claim, std::size_t bytes);
    std::size_t limit_of(std::size_t bytes) const noexcept;

    std::size_t m_limit_bytes;
    std::size_t m_held_bytes = 0;
    std::uint64_t m_yielded = 0;
    std::uint64_t m_refused = 0;
    bool m_is_making_room = false;
    std::set<memory_claim*> m_claims; ///< All that are not empty.
};

/// Part of a memory_account; given back when it is destroyed.
class memory_claim
{
public:
    /// `holder` is asked to give memory back and outlives the claim; with null it never is.
    explicit memory_claim(std::shared_ptr<memory_account> account, memory_holder* holder = nullptr)
        : m_account(std::move(account)), m_holder(holder)
    {}
    ~memory_claim() { m_account->resize(*this, 0); }
    memory_claim(const memory_claim&) = delete;
    memory_claim& operator=(const memory_claim&) = delete;

    /// Changes the size; returns false, with the size unchanged, when there is no room for more.
    bool resize(std::size_t bytes) { return m_account->resize(*this, bytes); }

    std::size_t bytes() const noexcept { return m_bytes; }

    /// Sets the time from which the age of the claim counts.
    void set_start(core::time_point start) noexcept { m_start = start; }
    core::time_point start() const noexcept { return m_start; }

private:
    friend class memory_account;

    std::shared_ptr<memory_account> m_account;
    memory_holder* m_holder;
    std::size_t m_bytes = 0;
    core::time_point m_start = core::runtime_clock::now();
};

} // namespace tarragontrail::net
