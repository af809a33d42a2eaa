"""The memory of other processes."""

import re
from pathlib import Path

KIBIBYTES_PER_MEBIBYTE = 1024
_PEAK = re.compile(r"^VmHWM:\s+(\d+) kB$", re.MULTILINE)


def peak_memory_mb(pid: int) -> float | None:
    """Return the maximum of a process's resident memory in MiB; None if the process has ended."""
    try:
        match = _PEAK.search(Path(f"/proc/{pid}/status").read_text())
    except OSError:
        return None
    return int(match[1]) / KIBIBYTES_PER_MEBIBYTE if match else None
