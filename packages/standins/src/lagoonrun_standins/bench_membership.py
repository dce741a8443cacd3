"""Measure the cost of membership for one entry VM at several fleet sizes.

All members of a fleet run in this process over an in-memory network with a
simulated clock. Every datagram is encoded, sealed, opened and decoded as on a
socket; its size includes 28 bytes of IP and UDP headers. Processor time is
the mean over all members and excludes system calls. Run as
`python -m lagoonrun_standins.bench_membership`.
"""

import collections
import dataclasses
import heapq
import itertools
import json
import random
import time
from collections.abc import Callable, Iterable, Sequence

from absl import app, flags

from lagoonrun_core import clock as clocks
from lagoonrun_core import types
from lagoonrun_membership import gossip, outbox
from lagoonrun_membership import timing as timings
from lagoonrun_protocol import codec, datagrams, hub, messages

_SIZES = flags.DEFINE_list(
    "sizes", ["8", "32", "64", "128", "510"], "Entry VMs of each fleet."
)
_DOMAIN_SIZE = flags.DEFINE_integer(
    "domain_size", 17, "Entry VMs per failure domain, above four domains."
)
_CALM_SECONDS = flags.DEFINE_float(
    "calm_seconds", 20.0, "Simulated length of the calm phase."
)
_EVENT_SECONDS = flags.DEFINE_float(
    "event_seconds", 30.0, "Most simulated seconds after each event."
)
_SHARDS_PER_DOMAIN = flags.DEFINE_integer(
    "shards_per_domain", 2, "Shards with a summary each second."
)
_COLD_START = flags.DEFINE_bool(
    "cold_start", False, "Start all members at once and have them join first."
)
_SEED = flags.DEFINE_integer("seed", 1, "Seed of all random choices.")

_SEEDS_OF_A_MEMBER = 3
_MINIMUM_DOMAINS = 4
_HEADER_BYTES = 28
_LATENCY_SECONDS = 0.002
_PORT = 9000
_KEY = b"key of the bench"
_DIGEST = "0123456789abcdef" * 4


@dataclasses.dataclass(kw_only=True)
class _Traffic:
    """Traffic of one member in one phase."""

    sent_bytes: int = 0
    received_bytes: int = 0
    sent_datagrams: int = 0
    bytes_by_second: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )


class _Member:
    """One entry VM: its protocol, datagram sealer and datagram opener."""

    def __init__(
        self, *, own: messages.MemberUpdate, protocol: gossip.GossipProtocol
    ) -> None:
        self.protocol = protocol
        self.sealer = datagrams.DatagramSealer(
            key=_KEY, sender=own.entry_vm, incarnation=own.incarnation
        )
        self.opener = datagrams.DatagramOpener(key=_KEY)
        self.traffic = _Traffic()


class Fleet:
    """Simulates all members and the datagrams between them.

    Parameters
    ----------
    size
        Number of members.
    domains
        Number of failure domains; members are spread evenly over them.
    seed
        Seed of the random number generator.
    timing
        Protocol timing of all members.
    seeds
        Number of members that are seeds for all members to join through.
    """

    def __init__(
        self,
        *,
        size: int,
        domains: int,
        seed: int,
        timing: timings.Timing | None = None,
        seeds: int = _SEEDS_OF_A_MEMBER,
    ) -> None:
        self.clock = clocks.ManualClock()
        self._rng = random.Random(seed)
        self._sequence = itertools.count()
        self._in_flight: list[tuple[float, int, str, str, bytes]] = []
        self._wakeups: list[tuple[float, int, str]] = []
        self._wakeup_at_by_id: dict[str, float] = {}
        self.processor_seconds = 0.0
        names = [f"entry-vm-{n:03d}" for n in range(size)]
        self._seeds = names[:seeds]
        self._timing = timing or timings.Timing()
        self.members_by_id: dict[str, _Member] = {}
        for n, name in enumerate(names):
            self.start(name, f"domain-{n % domains:02d}")

    def start(self, name: str, domain: str) -> None:
        """Start a member that knows only the seeds."""
        self.members_by_id[name] = self._new_member(name, domain)
        self._schedule(name)

    def introduce_all(self) -> None:
        """Make all members known to each other, as in a long-running fleet."""
        updates = [m.protocol.members.own for m in self.members_by_id.values()]
        for member in self.members_by_id.values():
            for update in updates:
                member.protocol.members.apply(update, direct=True, now=self.now)
            member.protocol.members.pop_news()
            member.protocol.members.pop_changed()

    def _new_member(self, name: str, domain: str) -> _Member:
        own = messages.MemberUpdate(
            entry_vm=types.EntryVmId(name),
            domain=types.FailureDomain(domain),
            incarnation=types.Incarnation(1_700_000_000_000),
            state=messages.MemberState.ALIVE,
            peer_host=name,
            peer_port=_PORT,
            admin_port=_PORT + 1,
            revision=types.Revision(1),
            digest=_DIGEST,
        )
        seeds = [hub.PeerAddress(host=seed, port=_PORT) for seed in self._seeds]
        protocol = gossip.GossipProtocol(
            own=own,
            seeds=seeds,
            timing=self._timing,
            rng=random.Random(self._rng.random()),
            now=self.now + self._rng.random(),
        )
        return _Member(own=own, protocol=protocol)

    @property
    def now(self) -> float:
        """Simulated monotonic time."""
        return self.clock.monotonic()

    def remove(self, names: Iterable[str]) -> None:
        """Remove members without any announcement, as in a crash."""
        for name in names:
            del self.members_by_id[name]

    def reset_counts(self) -> None:
        """Reset the counters of traffic and processor time."""
        self.processor_seconds = 0.0
        for member in self.members_by_id.values():
            member.traffic = _Traffic()

    def act(
        self,
        name: str,
        call: Callable[[gossip.GossipProtocol], list[outbox.OutgoingDatagram]],
    ) -> None:
        """Run `call` on a member's protocol; send the resulting datagrams."""
        member = self.members_by_id[name]
        started = time.process_time()
        sealed = [
            (item.address.host, member.sealer.seal(codec.encode(item.message)))
            for item in call(member.protocol)
        ]
        self.processor_seconds += time.process_time() - started
        for receiver, data in sealed:
            self._send(name, receiver, data)

    def run(self, seconds: float, *, until: Callable[[], bool] | None) -> float:
        """Simulate until `until` holds or time is up; return the seconds."""
        started = self.now
        end = started + seconds
        next_check_at = started
        while self.now < end:
            if until is not None and self.now >= next_check_at:
                if until():
                    break
                next_check_at = self.now + 0.1
            self._step(end)
        return self.now - started

    def _step(self, end: float) -> None:
        next_at = min(
            self._in_flight[0][0] if self._in_flight else end,
            self._wakeups[0][0] if self._wakeups else end,
            end,
        )
        self.clock.advance(max(0.0, next_at - self.now))
        while self._in_flight and self._in_flight[0][0] <= self.now:
            _, _, sender, receiver, data = heapq.heappop(self._in_flight)
            self._deliver(sender, receiver, data)
        while self._wakeups and self._wakeups[0][0] <= self.now:
            at, _, name = heapq.heappop(self._wakeups)
            self._tick(name, at)

    def _tick(self, name: str, at: float) -> None:
        if self._wakeup_at_by_id.get(name) != at:
            return
        member = self.members_by_id.get(name)
        if member is None:
            return
        if member.protocol.next_wakeup() <= self.now:
            self.act(name, lambda protocol: protocol.tick(now=self.now))
        self._schedule(name)

    def _schedule(self, name: str) -> None:
        at = self.members_by_id[name].protocol.next_wakeup()
        self._wakeup_at_by_id[name] = at
        heapq.heappush(self._wakeups, (at, next(self._sequence), name))

    def _send(self, sender: str, receiver: str, data: bytes) -> None:
        size = len(data) + _HEADER_BYTES
        traffic = self.members_by_id[sender].traffic
        traffic.sent_bytes += size
        traffic.sent_datagrams += 1
        traffic.bytes_by_second[int(self.now)] += size
        at = self.now + _LATENCY_SECONDS
        item = (at, next(self._sequence), sender, receiver, data)
        heapq.heappush(self._in_flight, item)

    def _deliver(self, sender: str, receiver: str, data: bytes) -> None:
        member = self.members_by_id.get(receiver)
        if member is None:
            return
        size = len(data) + _HEADER_BYTES
        member.traffic.received_bytes += size
        member.traffic.bytes_by_second[int(self.now)] += size
        address = hub.PeerAddress(host=sender, port=_PORT)

        def receive(
            protocol: gossip.GossipProtocol,
        ) -> list[outbox.OutgoingDatagram]:
            datagram = member.opener.open(data)
            message = codec.decode(datagram.body)
            return protocol.receive(
                message,
                sender=datagram.sender,
                address=address,
                now=self.now,
            )

        self.act(receiver, receive)
        if member.protocol.next_wakeup() < self._wakeup_at_by_id[receiver]:
            self._schedule(receiver)


class _Bench:
    """Runs the phases of one fleet; prints one JSON line for each."""

    def __init__(self, *, size: int) -> None:
        per_domain = _DOMAIN_SIZE.value
        self._domains = min(
            size, max(_MINIMUM_DOMAINS, round(size / per_domain))
        )
        self._size = size
        self._next_summaries_at = 0.0
        self._fleet = Fleet(size=size, domains=self._domains, seed=_SEED.value)

    def run(self) -> None:
        """Run all phases."""
        seconds = _EVENT_SECONDS.value
        if _COLD_START.value:
            self._phase("cold start", seconds * 2, until=self._all_known)
        else:
            self._fleet.introduce_all()
        self._phase("calm", _CALM_SECONDS.value, until=None)
        self._phase(
            "calm with summaries",
            _CALM_SECONDS.value,
            until=self._announce_shards,
        )
        self._announce_revision()
        self._phase("new revision", seconds, until=self._all_have_revision)
        self._announce_upstream()
        self._phase("leaving upstream", seconds, until=self._upstream_known)
        self._phase("settled", seconds, until=None)
        self._fleet.start("entry-vm-new", "domain-00")
        self._size += 1
        self._phase("one joins", seconds, until=self._all_known)
        self._kill(["entry-vm-new"])
        self._phase("one killed", seconds, until=self._dead_known)
        self._kill(self._domain_of(self._names()[0]))
        self._phase("one domain killed", seconds * 2, until=self._dead_known)

    def _phase(
        self, phase: str, seconds: float, *, until: Callable[[], bool] | None
    ) -> None:
        fleet = self._fleet
        fleet.reset_counts()
        took = fleet.run(seconds, until=until)
        traffics = [m.traffic for m in fleet.members_by_id.values()]
        count = len(traffics)
        per_second = max(took, 1.0) * count
        sent = sum(t.sent_bytes for t in traffics)
        received = sum(t.received_bytes for t in traffics)
        number = sum(t.sent_datagrams for t in traffics)
        peak = max(max(t.bytes_by_second.values(), default=0) for t in traffics)
        result = {
            "members": self._size,
            "domains": self._domains,
            "phase": phase,
            "simulated_seconds": round(took, 1),
            "reached": took < seconds if until is not None else None,
            "sent_bytes_per_second": round(sent / per_second),
            "received_bytes_per_second": round(received / per_second),
            "busiest_member_second_bytes": peak,
            "sent_datagrams_per_second": round(number / per_second, 2),
            "core_percent": round(
                100 * fleet.processor_seconds / per_second, 3
            ),
            "us_per_datagram": round(
                1e6 * fleet.processor_seconds / max(1, number)
            ),
        }
        result.update(self._summary_freshness())
        print(json.dumps(result), flush=True)

    def _summary_freshness(self) -> dict[str, float]:
        """Return the remote summaries per member and their mean age."""
        now = self._fleet.now
        own_and_others = [p.shards.by_shard(now) for p in self._protocols()]
        own = [len(p.shards.own(now)) for p in self._protocols()]
        ages = [
            summary.age_seconds
            for by_shard in own_and_others
            for summary in by_shard.values()
        ]
        if not ages:
            return {}
        known = len(ages) - sum(own)
        return {
            "remote_summaries_per_member": round(known / len(own), 1),
            "mean_summary_age_seconds": round(sum(ages) / len(ages), 2),
        }

    def _names(self) -> list[str]:
        return sorted(self._fleet.members_by_id)

    def _protocols(self) -> list[gossip.GossipProtocol]:
        return [m.protocol for m in self._fleet.members_by_id.values()]

    def _all_known(self) -> bool:
        return all(len(p.members) == self._size for p in self._protocols())

    def _announce_shards(self) -> bool:
        """Have one member per domain announce shard summaries every second."""
        if self._fleet.now < self._next_summaries_at:
            return False
        self._next_summaries_at = self._fleet.now + 1.0
        firsts = self._names()[: self._domains]
        for name in firsts:
            protocol = self._fleet.members_by_id[name].protocol
            domain = protocol.members.own.domain
            summaries = [
                messages.ShardSummary(
                    shard=types.ShardId(f"pool-{n}@{domain}/0"),
                    dispatcher=types.EntryVmId(name),
                    free=7,
                    lowest_waiting_tier=types.Tier(3),
                    lowest_running_tier=types.Tier(4),
                    wait_seconds=0.731,
                )
                for n in range(_SHARDS_PER_DOMAIN.value)
            ]
            protocol.shards.announce(summaries, now=self._fleet.now)
        return False

    def _announce_revision(self) -> None:
        name = self._names()[0]
        self._fleet.act(name, self._adopt_revision)

    def _adopt_revision(
        self, protocol: gossip.GossipProtocol
    ) -> list[outbox.OutgoingDatagram]:
        return protocol.announce_configuration(
            types.Revision(2), _DIGEST, now=self._fleet.now
        )

    def _all_have_revision(self) -> bool:
        """Adopt received revisions on each member, as its daemon would."""
        for name, member in self._fleet.members_by_id.items():
            if member.protocol.pop_configurations() and (
                member.protocol.members.own.revision < 2
            ):
                self._fleet.act(name, self._adopt_revision)
        return all(p.members.own.revision == 2 for p in self._protocols())

    def _announce_upstream(self) -> None:
        update = messages.UpstreamUpdate(
            upstream=types.UpstreamId("runner-7"),
            incarnation=types.Incarnation(3),
            leaving=True,
        )
        self._fleet.act(
            self._names()[0],
            lambda protocol: protocol.announce_upstream(
                update, now=self._fleet.now
            ),
        )

    def _upstream_known(self) -> bool:
        return all(
            p.upstreams.is_leaving(types.UpstreamId("runner-7"))
            for p in self._protocols()
        )

    def _domain_of(self, name: str) -> list[str]:
        domain = self._fleet.members_by_id[name].protocol.members.own.domain
        return [
            other
            for other, member in self._fleet.members_by_id.items()
            if member.protocol.members.own.domain == domain
        ]

    def _kill(self, names: Sequence[str]) -> None:
        self._killed = set(names)
        self._fleet.remove(names)

    def _dead_known(self) -> bool:
        return all(
            p.members.is_dead(types.EntryVmId(name))
            for p in self._protocols()
            for name in self._killed
        )


def main(argv: Sequence[str]) -> None:
    """Measure each fleet size in turn."""
    del argv
    for size in _SIZES.value:
        _Bench(size=int(size)).run()


if __name__ == "__main__":
    app.run(main)
