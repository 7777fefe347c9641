"""A router fleet that shares paid-for model capacity between client accounts."""

__version__ = "0.1.0"
