"""Stand-ins for the systems around teaselsill, for tests and demos only."""
