"""Rendezvous hashing: all routers rank the same members for a key in the same order."""

import hashlib

RANK_BYTES = 8


def find_rank(key: str, member: str) -> int:
    """Returns the rank of a member for a key; the highest wins."""
    text = f"{key}/{member}".encode()
    digest = hashlib.blake2b(text, digest_size=RANK_BYTES).digest()
    return int.from_bytes(digest, "big")
