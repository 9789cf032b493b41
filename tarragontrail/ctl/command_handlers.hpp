#pragma once

#include "tarragontrail/ctl/command.hpp"

namespace tarragontrail::ctl {

// State of the fleet.
command_result show_status(command_context& context, command_arguments arguments);
command_result show_fleet(command_context& context, command_arguments arguments);
command_result list_quarantines(command_context& context, command_arguments arguments);
command_result clear_quarantine(command_context& context, command_arguments arguments);

// Life of a bundle.
command_result get_bundle(command_context& context, command_arguments arguments);
command_result check_bundle_file(command_context& context, command_arguments arguments);
command_result submit_bundle_file(command_context& context, command_arguments arguments);
command_result review_draft(command_context& context, command_arguments arguments);
command_result sign_off_draft(command_context& context, command_arguments arguments);
command_result roll_draft(command_context& context, command_arguments arguments);
command_result advance_rollout(command_context& context, command_arguments arguments);
command_result show_bundle_status(command_context& context, command_arguments arguments);
command_result watch_rollout(command_context& context, command_arguments arguments);

// Keys.
command_result issue_workspace_key(command_context& context, command_arguments arguments);
command_result withdraw_key(command_context& context, command_arguments arguments);

// Edits of the bundle, submitted as drafts.
command_result edit_workspace_add(command_context& context, command_arguments arguments);
command_result edit_workspace_add_key(command_context& context, command_arguments arguments);
command_result edit_workspace_set_rate(command_context& context, command_arguments arguments);
command_result edit_workspace_remove(command_context& context, command_arguments arguments);
command_result edit_route_open(command_context& context, command_arguments arguments);
command_result edit_route_close(command_context& context, command_arguments arguments);
command_result edit_upstream_add(command_context& context, command_arguments arguments);
command_result edit_upstream_drain(command_context& context, command_arguments arguments);
command_result edit_upstream_ready(command_context& context, command_arguments arguments);
command_result edit_upstream_remove(command_context& context, command_arguments arguments);

} // namespace tarragontrail::ctl
