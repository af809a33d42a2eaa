"""The actions that are decided but not returned yet."""

from function_router.decisions.actions import Action


class Outbox:
    """Collects actions in the order in which they are decided."""

    __slots__ = ("_actions",)

    def __init__(self) -> None:
        self._actions: list[Action] = []

    def add(self, action: Action) -> None:
        """Append an action."""
        self._actions.append(action)

    def take(self) -> list[Action]:
        """Remove and return all actions."""
        decided = self._actions
        self._actions = []
        return decided
