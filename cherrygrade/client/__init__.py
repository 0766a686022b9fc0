"""The asyncio client library for the native protocol."""

from cherrygrade.client.library import Answer, Client, Errored, Ok, Rejected

__all__ = ["Answer", "Client", "Errored", "Ok", "Rejected"]
