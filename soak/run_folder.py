"""The folder of a run: where each process keeps its files."""

from dataclasses import dataclass
from pathlib import Path


@dataclass(frozen=True, slots=True)
class RunFolder:
    """The paths of one run's records, logs and configuration files."""

    path: Path

    @property
    def plan(self) -> Path:
        """The plan that was drawn."""
        return self.path / "plan.json"

    @property
    def client_records(self) -> Path:
        """What the clients observed."""
        return self.path / "clients.jsonl"

    @property
    def proxy_records(self) -> Path:
        """What the proxy observed between routers and workers."""
        return self.path / "proxy.jsonl"

    def router_config(self, router: int) -> Path:
        """The configuration file of a router; the shim recognizes it by the end of its name."""
        return self.path / f"router-{router}-config.json"

    def router_log(self, router: int) -> Path:
        """The log of a router, across its incarnations."""
        return self.path / f"router-{router}.log"

    def shim_control(self, router: int) -> Path:
        """The control file of a router's shim."""
        return self.path / f"control-{router}"
