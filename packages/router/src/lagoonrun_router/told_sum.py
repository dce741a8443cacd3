"""The work at one upstream by all that tell of it."""

from lagoonrun_router import loads


class ToldSum:
    """Work at one upstream by all that tell of it.

    Kept up to date with each message: with thirty tellers and 45 candidates,
    adding up for each decision took most of its time.
    """

    def __init__(self) -> None:
        self.tellers = 0
        self._waiting_by_tier: list[float] = []
        self._running = 0
        self._sensitive = 0.0
        self._held_tokens = 0.0
        self._overdue = 0

    def add(self, load: loads.Load) -> None:
        """Add what somebody tells."""
        self.tellers += 1
        self._change(load, 1)

    def take_back(self, load: loads.Load) -> None:
        """Leave out what somebody told before."""
        self.tellers -= 1
        self._change(load, -1)

    def _change(self, load: loads.Load, sign: int) -> None:
        missing = len(load.waiting_by_tier) - len(self._waiting_by_tier)
        self._waiting_by_tier.extend([0.0] * missing)
        for place, tokens in enumerate(load.waiting_by_tier):
            self._waiting_by_tier[place] += sign * tokens
        self._running += sign * load.running
        self._sensitive += sign * load.sensitive
        self._held_tokens += sign * load.held_tokens
        self._overdue += sign * load.overdue

    def load(self) -> loads.Load:
        """Return the sum.

        Fractions that were added and taken back may leave a rest of some
        1e-12, which is kept from being negative.
        """
        return loads.Load(
            waiting_by_tier=tuple(self._waiting_by_tier),
            running=self._running,
            sensitive=max(0.0, self._sensitive),
            held_tokens=self._held_tokens,
            overdue=self._overdue,
        )
