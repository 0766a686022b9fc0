"""Stand-ins of the second review: storage servers, discovery, clients and the platform, on loopback."""
