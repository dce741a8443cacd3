"""Fixtures: small valid declarations and their draft."""

import pytest

from lagoonrun_config import declarations, draft

KEY_DIGEST = "ab" * 32

SMALL = f"""
[profiles.lookup]
tier = 1
target_seconds = 0.5
limit_seconds = 2.0

[profiles.summary]
tier = 3
target_seconds = 60
limit_seconds = 600
idempotent = false

[organisations.house-a]
key_digests = ["{KEY_DIGEST}"]

[services.page-lookups]
kind = "plain"
pool = "portal"
profile = "lookup"
path_prefix = "/portal/lookups"

[services.volume-summaries]
kind = "model"
pool = "writers"
profile = "summary"
models = ["summariser"]
organisations = ["house-a"]

[[pools.portal.upstreams]]
id = "portal-1"
domain = "tunis-a"
address = "10.0.1.1"
port = 9000

[pools.writers]
port = 9100

[[pools.writers.upstreams]]
id = "writer-1"
domain = "tunis-a"
address = "10.0.2.1"

[[pools.writers.upstreams]]
id = "writer-2"
domain = "tunis-b"
address = "10.0.2.2"
slots = 8

[[placements]]
pool = "writers"
domain = "tunis-a"
model = "summariser"
count = 1
"""


@pytest.fixture
def small_text() -> str:
    return SMALL


@pytest.fixture
def parse():
    def parse_texts(
        *texts: str,
    ) -> draft.Draft | declarations.InvalidDeclarations:
        return declarations.parse_declarations(
            [
                declarations.DeclarationFile(name=f"{index}.toml", text=text)
                for index, text in enumerate(texts)
            ]
        )

    return parse_texts


@pytest.fixture
def small_draft(parse, small_text) -> draft.Draft:
    return parse(small_text)
