"""Connections that carry frames over sockets."""
