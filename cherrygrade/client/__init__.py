"""The client library for our native protocol, on asyncio."""

from cherrygrade.client.library import Answer, Client, Errored, Ok, Rejected

__all__ = ["Answer", "Client", "Errored", "Ok", "Rejected"]
