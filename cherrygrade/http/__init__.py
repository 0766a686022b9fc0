"""Reads and encodes HTTP/1.1 messages; free of I/O, bounded in memory, and strict about framing."""
