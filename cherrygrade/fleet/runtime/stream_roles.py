"""What a stream to a dispatcher is for: the role that its `Hello` names."""

from __future__ import annotations

from typing import Final

MEMBER: Final = "member"  # exchanges whole membership tables
COUNCIL: Final = "council"  # messages between voters, and requests of members to them
CONFIG: Final = "config"  # fetches the content of a configuration
OPERATOR: Final = "operator"  # `cherrygrade fleet config`
STATUS: Final = "person"  # `cherrygrade fleet status`
