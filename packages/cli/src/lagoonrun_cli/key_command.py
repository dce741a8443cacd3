"""`keys`: generates bearer keys for organisations, and admin tokens."""

import hashlib
import secrets

from lagoonrun_cli import command, exit_codes, reports
from lagoonrun_cli import context as contexts

_KEY_BYTES = 32


async def _keys(
    context: contexts.Context, invocation: command.Invocation
) -> reports.Report:
    del context, invocation
    key = secrets.token_urlsafe(_KEY_BYTES)
    digest = hashlib.sha256(key.encode()).hexdigest()
    return reports.Report(
        code=exit_codes.ExitCode.DONE,
        fields={"key": key, "digest": digest},
        sections=(
            reports.Text(text=f"key     {key}"),
            reports.Text(text=f"digest  {digest}"),
        ),
        next_command="give the key to its holder, and put the digest into "
        "key_digests of the organisation or admin_token_digest of the "
        "settings; the key is kept nowhere",
    )


KEYS = command.Command(
    name="keys",
    usage="",
    summary="Make a bearer key and its digest.",
    description="The key goes to its holder and the digest into the "
    "declarations; lagoonrun keeps digests only. The same serves for the "
    "admin token of the daemons' settings.",
    run=_keys,
)
