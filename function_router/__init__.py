"""A router that sends requests to workers, which start instances of functions on demand."""

from function_router.decisions.router import Router

__all__ = ["Router", "__version__"]
__version__ = "0.2.0"
