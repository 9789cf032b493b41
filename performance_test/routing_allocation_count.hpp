#pragma once

#include <cstdint>

/// Calls of operator new in this program since its start.
std::uint64_t count_allocations() noexcept;
