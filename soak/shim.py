"""Compiles `shim.c` and writes its control file, which selects failing system calls and a clock step."""

import subprocess
from dataclasses import astuple, dataclass
from pathlib import Path
from struct import Struct

SOURCE = Path(__file__).with_name("shim.c")
CONTROL_VARIABLE = "SOAK_SHIM_CONTROL"


@dataclass
class ShimControl:
    """The faults that the shim injects: the fields of `struct control` in shim.c, in the same order.

    Attributes:
        offset_before_s: Offset of the wall clock before the step.
        offset_after_s: Offset of the wall clock from the step on.
        step_at_unix_s: Unix time of the step, by the machine's wall clock.
        accept_failures: Like all fields after it, the share of calls that fail, from 0 to 1; shim.c documents
            which calls fail, and how.
    """

    offset_before_s: float = 0.0
    offset_after_s: float = 0.0
    step_at_unix_s: float = 0.0
    accept_failures: float = 0.0
    socket_failures: float = 0.0
    connect_failures: float = 0.0
    interrupted_calls: float = 0.0
    short_transfers: float = 0.0
    buffer_failures: float = 0.0
    broken_connections: float = 0.0
    register_failures: float = 0.0
    open_failures: float = 0.0

    def write(self, path: Path) -> None:
        """Overwrite the control file in place, as the shim has it mapped."""
        values = astuple(self)
        data = Struct(f"@{len(values)}d").pack(*values)
        with path.open("r+b" if path.exists() else "wb") as file:
            file.write(data)


def build_shim(folder: Path) -> Path:
    """Compile the shim with the machine's C compiler, and return the path of the library.

    Raises:
        subprocess.CalledProcessError: The compiler failed.
    """
    library = folder / "shim.so"
    subprocess.run(
        ["cc", "-shared", "-fPIC", "-O2", "-o", str(library), str(SOURCE), "-ldl"],
        check=True,
        capture_output=True,
    )
    return library
