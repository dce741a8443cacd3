"""Immutable heads of HTTP requests and responses."""

import dataclasses
from collections.abc import Iterable, Iterator


class Headers:
    """Immutable ordered headers with case-insensitive names.

    Parameters
    ----------
    pairs
        Names and values in wire order; names are kept as given.
    """

    __slots__ = ("_pairs",)

    def __init__(self, *, pairs: Iterable[tuple[str, str]] = ()) -> None:
        self._pairs = tuple(pairs)

    def get(self, name: str, default: str | None = None) -> str | None:
        """Return the first value of `name`, or `default`."""
        wanted = name.lower()
        for candidate, value in self._pairs:
            if candidate.lower() == wanted:
                return value
        return default

    def get_all(self, name: str) -> tuple[str, ...]:
        """Return all values of `name` in wire order."""
        wanted = name.lower()
        return tuple(
            value for known, value in self._pairs if known.lower() == wanted
        )

    def with_added(self, name: str, value: str) -> "Headers":
        """Return a copy that ends with one more header."""
        return Headers(pairs=(*self._pairs, (name, value)))

    def without(self, names: Iterable[str]) -> "Headers":
        """Return a copy that has none of `names`."""
        dropped = {name.lower() for name in names}
        return Headers(
            pairs=(
                pair for pair in self._pairs if pair[0].lower() not in dropped
            )
        )

    def __iter__(self) -> Iterator[tuple[str, str]]:
        return iter(self._pairs)

    def __len__(self) -> int:
        return len(self._pairs)

    def __contains__(self, name: object) -> bool:
        return isinstance(name, str) and self.get(name) is not None

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, Headers):
            return NotImplemented
        return self._pairs == other._pairs

    def __hash__(self) -> int:
        return hash(self._pairs)

    def __repr__(self) -> str:
        return f"Headers(pairs={self._pairs!r})"


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestHead:
    """Request line and headers.

    Parameters
    ----------
    method
        Method as sent, such as `POST`.
    target
        Request target as sent: path and query.
    headers
        All headers, hop-by-hop ones included.
    """

    method: str
    target: str
    headers: Headers = Headers()  # noqa: RUF009 - immutable


@dataclasses.dataclass(frozen=True, kw_only=True)
class ResponseHead:
    """Status and headers of a response."""

    status: int
    headers: Headers = Headers()  # noqa: RUF009 - immutable
