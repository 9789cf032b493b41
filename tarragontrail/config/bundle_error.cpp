#include "tarragontrail/config/bundle_error.hpp"

#include <fmt/core.h>
#include <utility>

namespace tarragontrail::config {

bundle_error::bundle_error(std::string path, std::string reason)
    : error(fmt::format("{}: {}", path.empty() ? "bundle" : path, reason)), m_path(std::move(path)),
      m_reason(std::move(reason))
{}

} // namespace tarragontrail::config
