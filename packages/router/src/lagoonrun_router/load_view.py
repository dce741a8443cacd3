"""The load of the adaptive pools, as operators see it."""

from typing import Any

from lagoonrun_router import adaptive_load, load_ledger, upstreams


class LoadView:
    """Describes the adaptive pools as one entry VM knows them.

    Parameters
    ----------
    load
        State of the adaptive pools.
    directory, ledger
        The upstreams and their known loads.
    """

    def __init__(
        self,
        *,
        load: adaptive_load.AdaptiveLoad,
        directory: upstreams.UpstreamDirectory,
        ledger: load_ledger.LoadLedger,
    ) -> None:
        self._load = load
        self._directory = directory
        self._ledger = ledger

    def as_json(self, *, now: float) -> dict[str, Any]:
        """Return speeds, shares, room and invitations."""
        return {
            "upstreams": self._upstreams(now),
            "shares": self._shares(now),
            "room": self._rooms(),
            "invitations": self._invitations(now),
        }

    def _upstreams(self, now: float) -> list[dict[str, Any]]:
        rows = []
        for one in self._directory.registrations:
            if one.pool not in self._load.adaptive_pools:
                continue
            estimate = self._load.speeds.estimate(one.id, now=now)
            age = estimate.age_seconds
            rows.append(
                {
                    "upstream": one.id,
                    "pool": one.pool,
                    "tokens_per_second": round(estimate.tokens_per_second, 1),
                    "relative_speed": round(estimate.relative_speed, 3),
                    "slowness": round(estimate.slowness, 3),
                    "service_seconds": estimate.service_seconds,
                    "age_seconds": None if age is None else round(age, 2),
                    "samples": estimate.samples,
                    "running": self._ledger.load_of(one.id, now=now).running,
                }
            )
        return rows

    def _shares(self, now: float) -> list[dict[str, Any]]:
        return [
            {
                "pool": row.key.pool,
                "tier": row.key.tier,
                "organisation": row.organisation or "(others)",
                "asked": round(row.asked, 1),
                "admitted": round(row.admitted, 1),
                "weight": self._load.weight_of(row.organisation),
            }
            for row in self._load.shares.known_rows(now=now)
        ]

    def _rooms(self) -> list[dict[str, Any]]:
        return [
            {
                "pool": pool,
                "tier": room.tier,
                "tokens": round(room.tokens),
                "open": room.open,
                "wait_seconds": round(room.wait_seconds, 3),
            }
            for pool, rooms in self._load.latest_rooms().items()
            for room in rooms
        ]

    def _invitations(self, now: float) -> list[dict[str, Any]]:
        rows: dict[tuple[str, int], dict[str, Any]] = {}
        for one in self._load.schedule.outstanding(now=now):
            row = rows.setdefault(
                (one.pool, one.tier),
                {"pool": one.pool, "tier": one.tier, "count": 0, "tokens": 0.0},
            )
            row["count"] += 1
            row["tokens"] += one.tokens
        return list(rows.values())
