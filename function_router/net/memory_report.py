"""Log lines about the memory in use: periodically, and when a share of the budget fills up."""

from collections.abc import Callable

from function_router.config import MEBIBYTE
from function_router.net.memory_budget import MemoryBudget, MemoryShare
from function_router.net.process_memory import resident_bytes

# Fractions of a share that are logged when the share reaches them.
LOGGED_FRACTIONS = (0.5, 0.75, 0.9, 1.0)
# A share that has fallen by this fraction below one of them is logged when it reaches it again.
HYSTERESIS = 0.25
# Stores below this size are not named in the periodic line.
MIN_NAMED_BYTES = 100 * 1024


class MemoryReport:
    """Describes the memory in use, and notices when a share fills up."""

    def __init__(
        self, budget: MemoryBudget, describe_functions: Callable[[], str], log: Callable[[str], None]
    ) -> None:
        """Create a report.

        Args:
            budget: The budget with its shares.
            describe_functions: Returns how full the function table of the decision module is.
            log: Called with the text of each line.
        """
        self._budget = budget
        self._describe_functions = describe_functions
        self._log = log
        self._logged_fractions = dict.fromkeys(budget.shares, 0.0)
        self._peaks = dict.fromkeys(budget.shares, 0)  # since the last periodic line

    def check_shares(self) -> None:
        """Log each share that has reached a higher one of the logged fractions since the last check."""
        for share in self._budget.shares:
            self._check_share(share)

    def _check_share(self, share: MemoryShare) -> None:
        used = share.peak_bytes / share.capacity_bytes
        self._peaks[share] = max(self._peaks[share], share.peak_bytes)
        share.restart_peak()
        reached = max((fraction for fraction in LOGGED_FRACTIONS if used >= fraction), default=0.0)
        logged = self._logged_fractions[share]
        if reached > logged:
            self._log(
                f"memory share {100 * reached:.0f} % full: {_describe(share, share.capacity_bytes * used)}"
            )
        if reached > logged or used < logged - HYSTERESIS:
            self._logged_fractions[share] = reached

    def log_usage(self) -> None:
        """Log the resident memory, the largest stores at their peaks since the last call, and the budget."""
        self.check_shares()
        resident = resident_bytes()
        resident_text = "unknown" if resident is None else f"{resident / MEBIBYTE:.1f}"
        limit_mb = self._budget.resident_bytes / MEBIBYTE
        used_mb = sum(share.used_bytes for share in self._budget.shares) / MEBIBYTE
        total_mb = sum(share.capacity_bytes for share in self._budget.shares) / MEBIBYTE
        largest = sorted(self._peaks, key=lambda share: -self._peaks[share])
        named = [
            _describe(share, self._peaks[share]) for share in largest if self._peaks[share] >= MIN_NAMED_BYTES
        ]
        self._log(
            f"memory: resident {resident_text} of {limit_mb:.0f} MB; "
            f"counted {used_mb:.1f} of {total_mb:.1f} MB; "
            f"peaks: {', '.join(named) or 'none'}; {self._describe_functions()}"
        )
        for share in self._peaks:
            self._peaks[share] = share.used_bytes


def _describe(share: MemoryShare, size_bytes: float) -> str:
    return f"{share.owner} {size_bytes / MEBIBYTE:.1f} of {share.capacity_bytes / MEBIBYTE:.1f} MB"
