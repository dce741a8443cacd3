"""All subcommands, in the order of the help text."""

from lagoonrun_cli import (
    blocked_requests_command,
    change_commands,
    check_commands,
    drain_command,
    explain_command,
    explain_log_command,
    key_command,
    load_command,
    overrides_command,
    profile_command,
    revision_commands,
    status_command,
)

COMMANDS = (
    check_commands.VALIDATE,
    check_commands.DIFF,
    change_commands.APPLY,
    change_commands.SETTLE,
    revision_commands.GET,
    revision_commands.HISTORY,
    change_commands.ROLLBACK,
    profile_command.PROFILE,
    drain_command.DRAIN,
    status_command.STATUS,
    explain_command.EXPLAIN,
    explain_log_command.EXPLAIN_LOG,
    blocked_requests_command.BLOCKED_REQUESTS,
    overrides_command.OVERRIDES,
    load_command.LOAD,
    key_command.KEYS,
)

COMMANDS_BY_NAME = {command.name: command for command in COMMANDS}
