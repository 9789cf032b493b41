#pragma once

#include "tarragontrail/core/error.hpp"
#include "tarragontrail/core/ids.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace tarragontrail::wire {

/// Bytes received from a peer are not a known message.
class decode_error : public core::error
{
public:
    using core::error::error;
};

/// First message on a link: names the sender.
struct hello
{
    core::instance_id m_sender{};  ///< Sending instance.
    core::incarnation m_started{}; ///< Sender's incarnation.

    bool operator==(const hello&) const = default;
};

/// Shows that a link is alive; carries nothing.
struct link_heartbeat
{

    bool operator==(const link_heartbeat&) const = default;
};

/// Any message between entry instances.
using message = std::variant<hello, link_heartbeat>;

/// CBOR bytes of a message.
std::string encode(const message& value);

/// Message in CBOR bytes; throws decode_error on anything else.
message decode(const std::string& bytes);

} // namespace tarragontrail::wire
