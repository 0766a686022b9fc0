"""A dispatcher of the platform: its configuration, the clients' door, links to nodes, discovery, life.

HTTP/1.1 in and out. The module decides; nothing here does.
"""
