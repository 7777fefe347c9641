"""Randomised endurance runs of a whole deployment with injected failures.

The runs are started with `python -m soak`.
"""
