#pragma once

#include "tarragontrail/config/setting_checks.hpp"
#include "tarragontrail/observe/log.hpp"

#include <cstdlib>
#include <exception>
#include <malloc.h>

namespace tarragontrail::programs {

/// Exit codes beside EXIT_SUCCESS.
constexpr int exit_bad_setting = 2;
constexpr int exit_cannot_start = 3;
constexpr int exit_cut_requests = 4;

/// Smallest allocation that has pages of its own, which go back to the system with it.
constexpr int own_pages_from_bytes = 128 * 1024;

/// Runs an entry instance and turns its outcome into an exit code; `run` returns false when the
/// drain cut requests.
template <class Run>
int run_instance(Run run)
{
    // By default the bound grows with the blocks that are freed, and large bodies then leave holes
    // in the heap that stay resident.
    mallopt(M_MMAP_THRESHOLD, own_pages_from_bytes);
    try
    {
        return run() ? EXIT_SUCCESS : exit_cut_requests;
    }
    catch (const config::setting_error& failure)
    {
        observe::log("setting_error", {{"setting", failure.setting()}, {"reason", failure.what()}});
        return exit_bad_setting;
    }
    catch (const std::exception& failure)
    {
        observe::log("start_failed", {{"reason", failure.what()}});
        return exit_cannot_start;
    }
}

} // namespace tarragontrail::programs
