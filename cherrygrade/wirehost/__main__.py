"""`python -m cherrygrade.wirehost`: reads batches on standard input, replies on standard output."""

from __future__ import annotations

import sys

from cherrygrade.wirehost.host import Host, MalformedLineError


def main() -> int:
    host = Host(sys.stdout)
    try:
        for line in sys.stdin:
            host.read(line.rstrip("\r\n"))
    except MalformedLineError as trouble:
        print(f"wirehost: {trouble}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
