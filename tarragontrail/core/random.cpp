#include "tarragontrail/core/random.hpp"

namespace tarragontrail::core {

std::uint64_t seeded_random::operator()() noexcept
{
    m_state += 0x9e3779b97f4a7c15ULL;
    std::uint64_t word = m_state;
    word = (word ^ (word >> 30)) * 0xbf58476d1ce4e5b9ULL;
    word = (word ^ (word >> 27)) * 0x94d049bb133111ebULL;
    return word ^ (word >> 31);
}

double seeded_random::unit() noexcept
{
    constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53
    return static_cast<double>((*this)() >> 11) * scale;
}

} // namespace tarragontrail::core
