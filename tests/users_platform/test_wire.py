"""Requests and responses on the wire, decoded and encoded."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lagoonrun_http import messages
from lagoonrun_router import declarations, format_error, load_report
from lagoonrun_standins.router_samples import make_call, make_registration
from lagoonrun_users_platform import wire

DIALECT = wire.PlatformDialect()
BASE = [("Host", "Ask.example:80"), ("X-Request-Id", "r-1")]


def head(*more, base=BASE):
    return messages.RequestHead(
        method="POST",
        target="/ask/1?x=y",
        headers=messages.Headers(pairs=[*base, *more]),
    )


def answer(status=200, **more):
    pairs = [(name.replace("_", "-"), value) for name, value in more.items()]
    return messages.ResponseHead(
        status=status, headers=messages.Headers(pairs=pairs)
    )


def test_attributes_are_read():
    attributes = DIALECT.read_attributes(
        head(
            ("Authorization", "Bearer abc"),
            ("X-Deadline-Ms", "8000"),
            ("X-Prompt-Prefix", "5c1e:800, 91bd:410,e440:250"),
            ("X-Token-Usage", "1460,80"),
            ("Last-Event-Id", "4"),
            ("Resumes", "r-0"),
        )
    )
    assert attributes.request_id == "r-1"
    assert attributes.resumes_request == "r-0"
    assert attributes.host == "ask.example"
    assert attributes.key == "abc"
    assert attributes.patience_seconds == 8.0
    assert [part.tokens for part in attributes.prompt] == [800, 410, 250]
    assert attributes.prompt_tokens == 1460
    assert attributes.resumes_after == "4"


def test_two_resumed_requests_are_none():
    """Guards against a stream that is taken for another one's continuation."""
    attributes = DIALECT.read_attributes(
        head(("Last-Event-Id", "4"), ("Resumes", "r-0"), ("Resumes", "r-9"))
    )
    assert attributes.resumes_request == ""


def test_plain_request_has_no_prompt():
    attributes = DIALECT.read_attributes(head())
    assert (attributes.prompt, attributes.prompt_tokens) == ((), 0)
    assert attributes.key is None
    assert attributes.patience_seconds is None


@pytest.mark.parametrize(
    "base",
    [
        [("Host", "a")],
        [("X-Request-Id", "r")],
        [*BASE, ("X-Request-Id", "r-2")],
        [("Host", "a"), ("X-Request-Id", "")],
    ],
)
def test_request_needs_one_id_and_one_host(base):
    with pytest.raises(format_error.FormatError):
        DIALECT.read_attributes(head(base=base))


@given(st.text(max_size=60))
def test_malformed_prompt_headers_never_fail(text):
    attributes = DIALECT.read_attributes(
        head(("X-Prompt-Prefix", text), ("X-Token-Usage", text))
    )
    assert attributes.prompt_tokens >= 0


@pytest.mark.parametrize("stated", ["0,10", "3", "9" * 5000])
def test_stated_tokens_are_no_fewer_than_those_of_the_parts(stated):
    """Guards against an exchange that fails because of what a caller states.

    The parts then left a negative number of tokens, with which the entry VM
    could not report its load to its peers any more.
    """
    attributes = DIALECT.read_attributes(
        head(("X-Prompt-Prefix", "ab:100,cd:50"), ("X-Token-Usage", stated))
    )
    assert attributes.prompt_tokens == 150


def upstream_head(*more, **changes):
    options = {"remaining_seconds": 1.2345, "resume_after": "", "urgency": 0}
    options.update(
        {key: changes.pop(key) for key in options.keys() & changes.keys()}
    )
    call = make_call(head=head(*more), **changes)
    return DIALECT.upstream_head(
        call, upstream=make_registration("i-7"), **options
    )


def test_request_is_forwarded_unchanged_except_for_router_headers():
    sent = upstream_head(("X-Model", "m"), ("Odd", "1"))
    assert (sent.method, sent.target) == ("POST", "/ask/1?x=y")
    assert sent.headers.get("X-Model") == "m"
    assert sent.headers.get("Odd") == "1"
    assert sent.headers.get("X-Expected-Instance") == "i-7"
    assert sent.headers.get("X-Deadline-Ms") == "1234"


def test_callers_cannot_set_router_headers():
    """A caller sets headers by which the router controls upstreams.

    If they were forwarded, a caller could act as another organisation, hold
    cache memory, or read what another request left there.
    """
    forged = [
        "Authorization",
        "X-Tenant-Id",
        "X-Expected-Instance",
        "X-Request-Priority",
        "X-Pin-Ms",
        "X-Kv-Hold",
        "X-Kv-Backup",
        "Kv-From",
        "Kv-Fetch",
        "Last-Event-Id",
    ]
    sent = upstream_head(*((name, "forged") for name in forged))
    assert "forged" not in [value for _, value in sent.headers]


def test_organisation_and_priority_are_set_by_the_router():
    house = declarations.RankedOrganisation(id="house", key_digests=())
    engine = declarations.Pool(
        name="p",
        maximum_connections=1,
        engine=declarations.Engine(slots=1, cache_tokens=1),
    )
    sent = upstream_head(
        ("X-Tenant-Id", "other"), organisation=house, pool=engine, urgency=2
    )
    assert sent.headers.get_all("X-Tenant-Id") == ("house",)
    assert sent.headers.get_all("X-Request-Priority") == ("2",)


def test_resumed_stream_names_its_last_event():
    sent = upstream_head(resume_after="9")
    assert sent.headers.get("Last-Event-Id") == "9"


def test_deadline_is_positive_and_never_extended():
    sent = upstream_head(remaining_seconds=0.0)
    assert sent.headers.get("X-Deadline-Ms") == "1"


def test_responses_are_distinguished():
    assert DIALECT.says_not_run(answer(503, X_Not_Executed="1"))
    assert not DIALECT.says_not_run(answer(503))
    assert DIALECT.is_misdirected(answer(421))
    assert DIALECT.is_genuine(answer(X_Server_Signature="a.b"))
    assert not DIALECT.is_genuine(answer())


@pytest.mark.parametrize(
    ("texts", "limit"),
    [
        ((), None),
        (("1.6",), 1.6),
        (("0",), 0.0),
        (("12",), 12.0),
        ((" 2.5 ",), 2.5),
        (("3", "1.5"), 1.5),
        (("3", "soon"), 3.0),
    ],
)
def test_limit_of_an_upstream_is_read(texts, limit):
    notice = DIALECT.read_notice(limited(*texts))
    assert notice.requests_per_second == limit


@pytest.mark.parametrize(
    "text", ["-1", "nan", "inf", "1e9", "1,6", "", "9" * 20, "١", "1 2"]
)
def test_malformed_limit_is_ignored_and_reported(text):
    """Guards against an upstream's header that stops its pool."""
    notice = DIALECT.read_notice(limited(text))
    assert notice.requests_per_second is None
    assert notice.unreadable == (f"Server-Limit: {text}",)


def limited(*texts):
    return messages.ResponseHead(
        status=200,
        headers=messages.Headers(
            pairs=[("Server-Limit", text) for text in texts]
        ),
    )


def test_upstream_that_leaves_says_so():
    assert DIALECT.read_notice(answer(Server_Leaving="1")).leaving
    assert DIALECT.read_notice(answer(503, Server_Leaving="1")).leaving
    assert not DIALECT.read_notice(answer()).leaving


@pytest.mark.parametrize("text", ["0", "true", "", "11"])
def test_other_values_do_not_say_that_an_upstream_leaves(text):
    notice = DIALECT.read_notice(answer(Server_Leaving=text))
    assert not notice.leaving
    assert notice.unreadable == (f"Server-Leaving: {text}",)


@pytest.mark.parametrize(
    ("status", "text", "rest"),
    [
        (503, "3", 3.0),
        (503, "0.25", 0.25),
        (429, "2", 2.0),
        (503, "0", 0.0),
        (200, "3", None),
        (500, "3", None),
        (503, None, None),
    ],
)
def test_rest_of_an_upstream_is_read(status, text, rest):
    more = {} if text is None else {"Retry_After": text}
    assert DIALECT.read_notice(answer(status, **more)).rest_seconds == rest


@pytest.mark.parametrize(
    "text", ["-3", "nan", "Wed, 21 Oct 2026 07:28:00 GMT", "soon"]
)
def test_unreadable_rest_is_a_short_one_and_reported(text):
    """Guards against a header that has no effect, or stops its upstream."""
    notice = DIALECT.read_notice(answer(503, Retry_After=text))
    assert notice.rest_seconds == 1.0
    assert notice.unreadable == (f"Retry-After: {text}",)


def loaded(*texts, status=200):
    return messages.ResponseHead(
        status=status,
        headers=messages.Headers(
            pairs=[("X-Server-Load", text) for text in texts]
        ),
    )


def report(running, waiting, slots, slowness=None):
    return load_report.LoadReport(
        running=running, waiting=waiting, slots=slots, slowness=slowness
    )


@pytest.mark.parametrize(
    ("texts", "load"),
    [
        ((), None),
        (("3,1,4",), report(3, 1, 4)),
        (("3,1,4,250",), report(3, 1, 4, 2.5)),
        (("0,0,0,1",), report(0, 0, 0, 0.01)),
        ((" 3, 1 ,4,\t100 ",), report(3, 1, 4, 1.0)),
        (("3,1,4,soon", "2,0,4,90"), report(2, 0, 4, 0.9)),
        (("3,1,4,100", "2,0,4,250"), report(2, 0, 4, 2.5)),
        (("3,1,4", "2,5,4"), report(2, 5, 4)),
    ],
)
def test_load_of_an_upstream_is_read(texts, load):
    """Guards against a misread load, and against the faster of two loads."""
    assert DIALECT.read_notice(loaded(*texts)).load == load


def test_load_is_read_from_refusals():
    """Guards against ignoring the load of upstreams that refuse requests."""
    notice = DIALECT.read_notice(loaded("4,9,4,300", status=503))
    assert notice.load == report(4, 9, 4, 3.0)


@pytest.mark.parametrize(
    "text",
    [
        "",
        "3",
        "3,1",
        "3,1,4,",
        "3,1,4,0",
        "3,1,4,100,5",
        "3,1,-4",
        "+3,1,4",
        "3,1,4.0",
        "3,1,4,nan",
        "3,1,4,1e3",
        "3,,4",
        "3 1 4",
        "٣,1,4",
        "3,1," + "9" * 20,
    ],
)
def test_malformed_load_is_ignored_and_reported(text):
    """Guards against a malformed load that is taken for a measurement."""
    notice = DIALECT.read_notice(loaded(text))
    assert notice.load is None
    assert notice.unreadable == (f"X-Server-Load: {text}",)


@given(st.text(max_size=40))
def test_malformed_loads_never_fail(text):
    """Guards against an upstream's header that fails its requests."""
    notice = DIALECT.read_notice(loaded(text))
    assert (notice.load is None) == bool(notice.unreadable)


@pytest.mark.parametrize(
    ("text", "expected"), [("3", 3.0), ("0", 0.0), (" 2.5 ", 2.5)]
)
def test_brittle_upstream_names_the_refusals_that_it_bears(text, expected):
    """Guards against a warning of brittle upstreams that is not read."""
    notice = DIALECT.read_notice(answer(Server_Brittle=text))
    assert notice.refusals_per_second == expected
    assert not notice.refused
    assert DIALECT.read_notice(answer()).refusals_per_second is None


def test_unreadable_warning_of_a_brittle_upstream_is_reported():
    """Guards against a malformed header that changes anything unnoticed."""
    notice = DIALECT.read_notice(answer(Server_Brittle="some"))
    assert notice.refusals_per_second is None
    assert notice.unreadable == ("Server-Brittle: some",)


@pytest.mark.parametrize("status", [429, 503])
def test_only_a_rejection_that_did_not_run_is_a_refusal(status):
    """Guards against failed runs that count as refusals for lack of room."""
    assert DIALECT.read_notice(answer(status, X_Not_Executed="1")).refused
    assert not DIALECT.read_notice(answer(status)).refused
    assert not DIALECT.read_notice(answer(421, X_Not_Executed="1")).refused
