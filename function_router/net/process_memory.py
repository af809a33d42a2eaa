"""The resident memory of this process."""

import resource
from pathlib import Path

STATM = Path("/proc/self/statm")
RESIDENT_FIELD = 1  # of /proc/self/statm, in pages; see proc(5)


def resident_bytes() -> int | None:
    """Return the resident memory of this process in bytes; None if the system does not tell it now."""
    try:
        pages = int(STATM.read_text().split()[RESIDENT_FIELD])
    except (OSError, ValueError, IndexError):
        return None
    return pages * resource.getpagesize()
