"""Long randomised runs of a whole deployment with failures; see `python -m soak`."""
