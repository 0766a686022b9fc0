"""The purposes of a stream to a dispatcher; a stream's `Hello` names one as its role."""

from __future__ import annotations

from typing import Final

MEMBER: Final = "member"  # exchanges complete membership tables
COUNCIL: Final = "council"  # messages between voters, and members' requests to voters
CONFIG: Final = "config"  # fetches the content of a version of the configuration
OPERATOR: Final = "operator"  # commands of `cherrygrade fleet config`
STATUS: Final = "person"  # queries of `cherrygrade fleet status`
