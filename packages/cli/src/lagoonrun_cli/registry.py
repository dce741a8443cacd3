"""All subcommands, in the order in which the help lists them."""

from lagoonrun_cli import change_commands, key_command, revision_commands

COMMANDS = (
    change_commands.VALIDATE,
    change_commands.DIFF,
    change_commands.APPLY,
    change_commands.SETTLE,
    revision_commands.GET,
    revision_commands.HISTORY,
    change_commands.ROLLBACK,
    key_command.KEYS,
)

COMMANDS_BY_NAME = {command.name: command for command in COMMANDS}
