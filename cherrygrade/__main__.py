"""`python -m cherrygrade`: the platform's dispatcher with the argument `platform`, else the command line."""

import sys

# The platform's dispatcher is started often and on small machines, so it does not load the libraries of the
# command line.
if sys.argv[1:] == ["platform"]:
    from cherrygrade.platform.process import main as run

    sys.exit(run())

from cherrygrade.cli import main

main()
