"""`python -m cherrygrade.lab.capacity`: from the repository's root; see script/capacity."""

from __future__ import annotations

import sys
from pathlib import Path

from cherrygrade.lab.capacity.page import main

if __name__ == "__main__":
    sys.exit(main(Path.cwd(), "--check" in sys.argv[1:]))
