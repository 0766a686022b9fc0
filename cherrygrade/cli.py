"""`cherrygrade`: the command line. Exit codes are in docs/running.md.

0 as asked; 1 a rule or a bar was not held; 2 settings or arguments are wrong, nothing was started;
70 the module broke; 75 cut short with RPCs still held.
"""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path
from typing import Annotated, Literal

from cyclopts import App, Parameter

from cherrygrade.records.load import RecordError, plain, read_site, read_vertex
from cherrygrade.site import Site

Form = Literal["json", "console", "none"]
Given = Annotated[tuple[str, ...], Parameter(name="--with", consume_multiple=False, negative="")]

app = App(name="cherrygrade", help="A storage gateway: schedules reads and writes over storage nodes.")
standin = App(name="standin", help="Stand-ins for storage nodes and the register.")
lab = App(name="lab", help="Scenarios, load and audit on loopback sockets.")
app.command(standin)
app.command(lab)


def _site(file: Path, given: tuple[str, ...]) -> Site:
    try:
        return read_site(file, "\n".join(given))
    except RecordError as trouble:
        for fault in trouble.faults:
            print(fault, file=sys.stderr)
        sys.exit(2)


@app.command
def serve(file: Path, *, given: Given = (), log: Form = "json") -> int:
    """Run a dispatcher with the settings in FILE until SIGTERM.

    Parameters
    ----------
    file
        Settings, as typed records (docs/records.md).
    given
        More record text, as if it stood in the file; may be repeated.
    log
        Form of the log on standard error.
    """
    site = _site(file, given)
    from cherrygrade.gateway.process import Gateway
    from cherrygrade.gateway.process import serve as run
    from cherrygrade.logs import make_log

    async def main() -> int:
        gateway = Gateway(
            site.place,
            site.trade,
            site.bearings,
            site.bounds,
            site.lines,
            make_log(log, dispatcher=site.place.name),
        )
        return await run(gateway, lambda port: print(f"listening {port}", flush=True))

    try:
        return asyncio.run(main())
    except OSError as trouble:
        print(f"{site.place.listen}: {trouble}", file=sys.stderr)
        return 2


@app.command
def check(file: Path, *, given: Given = ()) -> int:
    """Hold the settings in FILE against what they must be; tells every error with its place."""
    site = _site(file, given)
    print(f"{file}: right; {len(site.trade.workloads)} workloads, {len(site.trade.volumes)} volumes")
    return 0


@app.command
def show(file: Path, *, given: Given = (), as_json: Annotated[bool, Parameter(name="--json")] = False) -> int:
    """Show the values in force and where each comes from."""
    try:
        vertex = read_vertex(file, "site.rec", "\n".join(given))
        value = plain(vertex)
    except RecordError as trouble:
        print(trouble, file=sys.stderr)
        return 2
    if as_json:
        print(json.dumps(value, indent=2))
        return 0
    for path, one, at, default in vertex.leaves():
        print(f"{path} = {json.dumps(one)}  // {'default, ' if default else ''}{at}")
    return 0


def main() -> None:
    app()


if __name__ == "__main__":
    main()
