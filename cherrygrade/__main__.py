"""`python -m cherrygrade`: the platform's dispatcher with the argument `platform`, else the command line."""

import sys

# The platform's dispatcher is started often and on small machines, so it does not load the libraries of the
# command line.
if sys.argv[1:] == ["platform"]:
    # OpenSSL takes 4 to 5 MiB. The platform has no TLS, and the standard library does without these modules.
    sys.modules.update({"ssl": None, "_ssl": None, "_hashlib": None})  # type: ignore[dict-item]

    from cherrygrade.platform.process import main as run

    sys.exit(run())

from cherrygrade.cli import main

main()
