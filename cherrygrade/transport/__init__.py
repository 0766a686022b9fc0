"""Connections that carry frames over sockets; they decide nothing."""
