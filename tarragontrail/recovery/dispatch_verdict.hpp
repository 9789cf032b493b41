#pragma once

namespace tarragontrail::recovery {

/// Whether a request may be dispatched to an engine.
enum class dispatch_verdict
{
    allowed, ///< Dispatch the request.
    hold, ///< A suspect that is soon to be evaluated, or whose engine runs another suspect: wait,
          ///< or try another engine.
    quarantined, ///< Refuse the request.
};

} // namespace tarragontrail::recovery
