"""The folder of a run, and the paths of the files in it."""

from dataclasses import dataclass
from pathlib import Path


@dataclass(frozen=True, slots=True)
class RunFolder:
    """The paths of a run's records, logs and configuration files."""

    path: Path

    @property
    def plan(self) -> Path:
        """The path of the plan."""
        return self.path / "plan.json"

    @property
    def client_records(self) -> Path:
        """The path of the clients' records."""
        return self.path / "clients.jsonl"

    @property
    def proxy_records(self) -> Path:
        """The path of the proxy's records about the frames between routers and workers."""
        return self.path / "proxy.jsonl"

    @property
    def flood_records(self) -> list[Path]:
        """The paths of the records of the floods that have begun."""
        return sorted(self.path.glob("flood-*.jsonl"))

    def flood_record(self, number: int) -> Path:
        """Return the path of the records of a flood."""
        return self.path / f"flood-{number}.jsonl"

    def router_config(self, router: int) -> Path:
        """Return the path of a router's configuration file; the shim recognizes it by the end of the name."""
        return self.path / f"router-{router}-config.json"

    def router_log(self, router: int) -> Path:
        """Return the path of a router's log, to which all its incarnations append."""
        return self.path / f"router-{router}.log"

    def shim_control(self, router: int) -> Path:
        """Return the path of the control file of a router's shim."""
        return self.path / f"control-{router}"
