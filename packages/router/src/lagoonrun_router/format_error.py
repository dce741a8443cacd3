"""The error of anything on the wire or in a file that is not as described."""

from lagoonrun_core import errors


class FormatError(errors.LagoonrunError):
    """A message, an entry of the store or a setting is not valid."""
