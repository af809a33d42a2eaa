"""function_router: the decisions of a router for functions that are loaded on demand."""

from function_router.decisions.router import Router

__all__ = ["Router", "__version__"]
__version__ = "0.2.0"
