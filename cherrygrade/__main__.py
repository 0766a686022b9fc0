"""`python -m cherrygrade`: the platform's dispatcher, or the command line."""

import sys

if sys.argv[1:] == ["platform"]:  # started often, on small machines: without the command line's libraries
    from cherrygrade.platform.process import main as run

    sys.exit(run())

from cherrygrade.cli import main

main()
