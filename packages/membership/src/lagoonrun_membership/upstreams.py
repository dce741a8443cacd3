"""The upstreams that are leaving: no I/O, no clock.

The platform's list, an upstream's own report and updates from peers are
applied alike. Within one incarnation, *leaving* from any source wins and is
never revoked: the list lags, so it may still show the upstream as live. Only a
higher incarnation, that of a new process of the upstream, can end it.
"""

import collections
import dataclasses

from lagoonrun_core import types
from lagoonrun_membership import digests, sizes
from lagoonrun_protocol import messages

_MAXIMUM_UPSTREAMS = 8192


@dataclasses.dataclass(kw_only=True)
class _Record:
    incarnation: types.Incarnation
    leaving: bool


class UpstreamTable:
    """Newest incarnation of each upstream, and whether it is leaving."""

    def __init__(self) -> None:
        self._records_by_id: collections.OrderedDict[
            types.UpstreamId, _Record
        ] = collections.OrderedDict()
        self._leaving: dict[types.UpstreamId, None] = {}
        self._cursor = 0
        self._digest = 0
        self._news: dict[types.UpstreamId, None] = {}
        self._changed: dict[types.UpstreamId, None] = {}

    @property
    def digest(self) -> int:
        """Digest of the leaving upstreams."""
        return self._digest

    def is_leaving(self, upstream: types.UpstreamId) -> bool:
        """Return whether the upstream is leaving and gets no new requests."""
        return upstream in self._leaving

    def wire_update(
        self, upstream: types.UpstreamId
    ) -> messages.UpstreamUpdate:
        """Return the record of an upstream as sent to other members."""
        record = self._records_by_id[upstream]
        return messages.UpstreamUpdate(
            upstream=upstream,
            incarnation=record.incarnation,
            leaving=record.leaving,
        )

    def page(self, *, size: int) -> list[messages.UpstreamUpdate]:
        """Return the next leaving upstreams, in rotation, up to `size` bytes."""
        leaving = tuple(self._leaving)
        page = []
        for _ in leaving:
            position = (self._cursor + 1) % len(leaving)
            update = self.wire_update(leaving[position])
            size -= sizes.of_upstream(update)
            if size < 0:
                break
            self._cursor = position
            page.append(update)
        return page

    def apply(self, update: messages.UpstreamUpdate) -> None:
        """Apply an update about an upstream from any source."""
        record = self._records_by_id.get(update.upstream)
        if record is None:
            record = self._add_record(update)
        if update.incarnation < record.incarnation:
            # The sender missed the upstream's new incarnation; send it again.
            if update.leaving and not record.leaving:
                self._news[update.upstream] = None
            return
        is_newer = update.incarnation > record.incarnation
        was_leaving = record.leaving
        if not is_newer and (was_leaving or not update.leaving):
            return
        self._toggle_digest(update.upstream, record)
        record.incarnation = update.incarnation
        record.leaving = update.leaving
        self._toggle_digest(update.upstream, record)
        if record.leaving != was_leaving:
            self._record_change(update.upstream, record)

    def pop_news(self) -> tuple[types.UpstreamId, ...]:
        """Return and clear the upstreams with updates to be sent."""
        news = tuple(self._news)
        self._news.clear()
        return news

    def pop_changed(self) -> tuple[messages.UpstreamUpdate, ...]:
        """Return and clear upstreams that started or stopped leaving."""
        changed = tuple(
            self.wire_update(upstream) for upstream in self._changed
        )
        self._changed.clear()
        return changed

    def _add_record(self, update: messages.UpstreamUpdate) -> _Record:
        record = _Record(incarnation=update.incarnation, leaving=False)
        self._records_by_id[update.upstream] = record
        # Ids of replaced upstreams accumulate over months. The oldest ones
        # that are not leaving are dropped first, since they carry no state.
        if len(self._records_by_id) > _MAXIMUM_UPSTREAMS:
            self._forget_oldest()
        return record

    def _forget_oldest(self) -> None:
        oldest = next(
            (u for u, r in self._records_by_id.items() if not r.leaving),
            next(iter(self._records_by_id)),
        )
        record = self._records_by_id.pop(oldest)
        self._toggle_digest(oldest, record)
        self._leaving.pop(oldest, None)
        self._news.pop(oldest, None)
        self._changed.pop(oldest, None)

    def _record_change(
        self, upstream: types.UpstreamId, record: _Record
    ) -> None:
        if record.leaving:
            self._leaving[upstream] = None
        else:
            del self._leaving[upstream]
        self._news[upstream] = None
        self._changed[upstream] = None

    def _toggle_digest(
        self, upstream: types.UpstreamId, record: _Record
    ) -> None:
        if record.leaving:
            self._digest ^= digests.entry_hash(upstream, record.incarnation)
