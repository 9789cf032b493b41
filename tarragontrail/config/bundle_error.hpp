#pragma once

#include "tarragontrail/core/error.hpp"

#include <string>

namespace tarragontrail::config {

/// A document is malformed, violates the schema or fails a cross-reference check.
class bundle_error : public core::error
{
public:
    /// `path` is the JSON pointer of the invalid value; empty for the whole document.
    bundle_error(std::string path, std::string reason);

    /// JSON pointer of the invalid value; empty for the whole document.
    const std::string& path() const noexcept { return m_path; }

    /// What is wrong with the value.
    const std::string& reason() const noexcept { return m_reason; }

private:
    std::string m_path;
    std::string m_reason;
};

} // namespace tarragontrail::config
