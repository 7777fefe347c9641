"""Small stand-ins for the systems that teaselsill meets: for tests and demos only."""
