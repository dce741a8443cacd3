"""End-to-end tests of one entry VM, from the caller to the upstream."""

import asyncio
import dataclasses
import json

import pytest

from lagoonrun_standins import engine_reply


def chat(**fields) -> bytes:
    body = {
        "model": "catalogue-1",
        "messages": [{"role": "user", "content": "Which volumes?"}],
        "max_tokens": 5,
    }
    return json.dumps(body | fields).encode()


def outcome_of(answer) -> str | None:
    return answer.head.headers.get("lagoonrun-outcome")


async def test_streamed_chat_is_relayed_whole(small_deployment):
    answer = await small_deployment.ask(
        "/v1/chat/completions", body=chat(stream=True)
    )
    assert answer.status == 200
    assert answer.body.endswith(b"data: [DONE]\n\n")


async def test_whole_chat_says_that_it_is_complete(small_deployment):
    answer = await small_deployment.ask("/v1/chat/completions", body=chat())
    assert (answer.status, outcome_of(answer)) == (200, "complete")
    assert answer.json()["usage"]["completion_tokens"] == 5


@pytest.mark.parametrize("method", ["GET", "PUT", "DELETE"])
async def test_plain_service_gets_any_method(small_deployment, method):
    answer = await small_deployment.ask("/lookups/page/7?x=1", method=method)
    assert (answer.status, outcome_of(answer)) == (200, "complete")
    assert answer.json()["method"] == method
    assert answer.json()["path"] == "/lookups/page/7"
    assert answer.json()["query"] == "x=1"


@pytest.mark.parametrize(
    ("path", "body", "status", "field"),
    [
        ("/elsewhere", b"", 404, "path"),
        ("/lookups/%2e%2e/admin", b"", 400, "path"),
        ("/private/page", b"", 404, "path"),
        ("/v1/chat/completions", b"{", 400, "body"),
        ("/v1/chat/completions", b"[]", 400, "body"),
        ("/v1/chat/completions", chat(model="other"), 404, "model"),
        ("/v1/chat/completions", chat(model=3), 400, "model"),
        ("/v1/chat/completions", chat(stream="yes"), 400, "stream"),
        ("/v1/chat/completions", chat(messages="hi"), 400, "messages"),
    ],
)
async def test_bad_request_is_told_its_field(
    small_deployment, path, body, status, field
):
    answer = await small_deployment.ask(path, body=body)
    assert (answer.status, outcome_of(answer)) == (status, "not-run")
    assert answer.json()["error"]["field"] == field


async def test_unknown_key_is_refused_before_its_body(small_deployment):
    answer = await small_deployment.ask("/lookups", organisation="nobody")
    assert (answer.status, outcome_of(answer)) == (401, "not-run")
    assert answer.head.headers["www-authenticate"] == "Bearer"


async def test_idempotency_key_runs_once(small_deployment):
    headers = (("Idempotency-Key", "spill-3"),)
    first = await small_deployment.ask("/warnings/spill", headers=headers)
    second = await small_deployment.ask("/warnings/spill", headers=headers)
    assert (first.status, second.status) == (200, 409)
    # The first outcome may not be recorded yet, but is never "not-run".
    assert outcome_of(second) in ("complete", "unknown")
    assert small_deployment.portal.runs.by_idempotency_key["spill-3"] == 1


@pytest.mark.parametrize("key", ["", "k" * 256])
async def test_unusable_idempotency_key_is_refused(small_deployment, key):
    answer = await small_deployment.ask(
        "/warnings/spill", headers=(("Idempotency-Key", key),)
    )
    assert answer.status == 400


async def test_decision_is_explained_without_the_prompt(small_deployment):
    answer = await small_deployment.ask("/v1/chat/completions", body=chat())
    request_id = answer.head.headers["lagoonrun-request-id"]
    explained = await small_deployment.ask_admin(f"/explain/{request_id}")
    assert explained.json()["decisions"][0]["upstream"] == "writer-1"
    assert b"Which volumes?" not in explained.body


async def test_admin_answers(small_deployment):
    assert (await small_deployment.ask_admin("/healthz")).status == 200
    assert (await small_deployment.ask_admin("/readyz")).status == 200
    metrics = await small_deployment.ask_admin("/metrics")
    assert b"lagoonrun_configuration_revision 1.0" in metrics.body
    assert (await small_deployment.ask_admin("/nothing")).status == 404
    status = await small_deployment.ask_admin("/status")
    assert status.json()["revision"] == 1


async def test_services_of_others_look_like_none(small_deployment):
    """An organisation guesses the path of another's service.

    The response must be the same as for a service that does not exist, so that
    it does not reveal which services others have.
    """
    private = await small_deployment.ask("/private/page")
    absent = await small_deployment.ask("/absent/page")
    assert private.body.replace(b"private", b"absent") == absent.body
    answer = await small_deployment.ask("/private/page", organisation="rival")
    assert answer.status == 200


async def test_caller_explains_only_its_own_requests(small_deployment):
    """An organisation queries the explanation of another's request.

    It must get the same response as for an unknown id. The owner of the request
    gets the decision without queues, candidates and upstreams.
    """
    answer = await small_deployment.ask("/lookups/page/7", method="GET")
    request_id = answer.head.headers["lagoonrun-request-id"]
    path = f"/lagoonrun/explain/{request_id}"
    own = await small_deployment.ask(path, method="GET")
    assert own.status == 200
    assert own.json()["ending"]["outcome"] == "complete"
    assert own.json()["decisions"][0]["verdict"] == "grant"
    assert b"portal-1" not in own.body
    rival = await small_deployment.ask(path, method="GET", organisation="rival")
    absent = await small_deployment.ask(
        "/lagoonrun/explain/absent", method="GET", organisation="rival"
    )
    assert (rival.status, absent.status) == (404, 404)
    assert rival.body.replace(request_id.encode(), b"absent") == absent.body
    stranger = await small_deployment.ask(
        path, method="GET", organisation="nobody"
    )
    assert stranger.status == 401


async def test_an_upstream_that_leaves_while_connecting_gets_nothing(
    small_deployment, monkeypatch
):
    """A leaving upstream must not get a request whose permit was valid.

    It starts to leave after the permit was checked, while the connection to it
    is being opened.
    """
    daemon = small_deployment.daemon
    open_connection = daemon.client._open

    async def open_slowly(endpoint):
        connection = await open_connection(endpoint)
        monkeypatch.setattr(
            daemon.members, "upstream_is_leaving", lambda _: True
        )
        return connection

    monkeypatch.setattr(daemon.client, "_open", open_slowly)
    answer = await small_deployment.ask(
        "/warnings/spill", headers=(("Idempotency-Key", "spill-4"),)
    )
    assert outcome_of(answer) == "not-run"
    assert not small_deployment.portal.runs.by_idempotency_key["spill-4"]


async def test_stalled_stream_does_not_stay_open(small_deployment, monkeypatch):
    """An engine stalls in the middle of a stream with an open connection.

    The caller would wait with a truncated response until the connection
    breaks. After an idle timeout the stream must count as lost: another engine
    resumes it, or it ends with an error event.
    """
    client = small_deployment.daemon.client
    limits = dataclasses.replace(client._limits, body_idle_seconds=0.3)
    monkeypatch.setattr(client, "_limits", limits)
    writer = small_deployment.writer
    begun = asyncio.Event()
    emit = engine_reply.Reply.emit

    def emit_and_signal(reply, index):
        emit(reply, index)
        if index == 5:
            begun.set()

    monkeypatch.setattr(engine_reply.Reply, "emit", emit_and_signal)
    asked = asyncio.create_task(
        small_deployment.ask(
            "/v1/chat/completions", body=chat(stream=True, max_tokens=4000)
        )
    )
    async with asyncio.timeout(10):
        await begun.wait()
        writer.control({"frozen": True})
        answer = await asked
    writer.control({"frozen": False})
    assert answer.status == 200
    assert b"event: error" in answer.body
    assert b"[DONE]" not in answer.body
