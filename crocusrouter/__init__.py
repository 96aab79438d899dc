"""Schedule multi-accelerator jobs under guarantees and route requests."""

__all__ = ["__version__"]

__version__ = "0.1.0"
