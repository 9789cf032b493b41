#pragma once

#include "tarragontrail/core/error.hpp"

#include <string>

namespace tarragontrail::config {

/// A bundle breaks the schema or a cross check.
class bundle_error : public core::error
{
public:
    /// `path` is the JSON pointer of the value at fault.
    bundle_error(std::string path, std::string reason);

    /// JSON pointer of the value at fault; empty for the whole document.
    const std::string& path() const noexcept { return m_path; }

    /// What is wrong with it.
    const std::string& reason() const noexcept { return m_reason; }

private:
    std::string m_path;   ///< JSON pointer of the value at fault.
    std::string m_reason; ///< What is wrong with it.
};

} // namespace tarragontrail::config
