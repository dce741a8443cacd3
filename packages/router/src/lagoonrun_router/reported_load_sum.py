"""The sum of the loads at one upstream that other entry VMs report."""

from lagoonrun_router import loads


class ReportedLoadSum:
    """Sum of the reported loads at one upstream.

    Updated with each report: with thirty reporters and 45 candidates, computing
    the sum in each routing decision took most of the decision's time.
    """

    def __init__(self) -> None:
        self.reporter_count = 0
        self._waiting_by_tier: list[float] = []
        self._running = 0
        self._sensitive = 0.0
        self._held_tokens = 0.0
        self._overdue = 0
        self._running_by_tier: list[int] = []

    def add(self, load: loads.Load) -> None:
        """Add a reported load."""
        self.reporter_count += 1
        self._change(load, 1)

    def subtract(self, load: loads.Load) -> None:
        """Subtract a load that was added before."""
        self.reporter_count -= 1
        self._change(load, -1)

    def _change(self, load: loads.Load, sign: int) -> None:
        missing = len(load.waiting_by_tier) - len(self._waiting_by_tier)
        self._waiting_by_tier.extend([0.0] * missing)
        for index, tokens in enumerate(load.waiting_by_tier):
            self._waiting_by_tier[index] += sign * tokens
        self._running += sign * load.running
        self._sensitive += sign * load.sensitive
        self._held_tokens += sign * load.held_tokens
        self._overdue += sign * load.overdue
        missing = len(load.running_by_tier) - len(self._running_by_tier)
        self._running_by_tier.extend([0] * missing)
        for index, running in enumerate(load.running_by_tier):
            self._running_by_tier[index] += sign * running

    def load(self) -> loads.Load:
        """Return the sum.

        Adding and subtracting fractions may leave a rounding error of about
        1e-12, which is clamped to be non-negative.
        """
        return loads.Load(
            waiting_by_tier=tuple(self._waiting_by_tier),
            running=self._running,
            sensitive=max(0.0, self._sensitive),
            held_tokens=self._held_tokens,
            overdue=self._overdue,
            running_by_tier=tuple(self._running_by_tier),
        )
