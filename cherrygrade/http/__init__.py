"""HTTP/1.1 as bytes: what is read and what is written, free of I/O. Bounded, and strict about framing."""
