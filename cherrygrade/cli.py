"""The command line, `cherrygrade`. Exit codes are in docs/running.md.

0: success; 1: a rule or a limit was broken; 2: settings or arguments are wrong, and nothing was started;
70: the scheduler crashed; 75: the process was ended while RPCs were open.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path
from typing import Annotated, Literal

from cyclopts import App, Parameter

from cherrygrade.records.load import RecordError, checked_value, read_site, read_vertex
from cherrygrade.records.settings_digest import settings_digest
from cherrygrade.settings import SiteSettings, StartReference

Form = Literal["json", "console", "none"]
Given = Annotated[tuple[str, ...], Parameter(name="--with", consume_multiple=False, negative="")]

# Configuration texts are parsed in a thread beside the event loop. With the interpreter's default switch
# interval of 5 ms, each wake-up of the loop would wait that long while a text is parsed.
SWITCH_INTERVAL_S = 0.0005

app = App(name="cherrygrade", help="A storage gateway: schedules reads and writes over storage nodes.")
standin = App(name="standin", help="Stand-ins for storage nodes and the register.")
lab = App(name="lab", help="Scenarios, load and audit on loopback sockets.")
fleet = App(name="fleet", help="The fleet of dispatchers: its members and their states.")
config = App(name="config", help="The fleet's configuration, laid over each dispatcher's own settings file.")
app.command(fleet)
fleet.command(config)
app.command(standin)
app.command(lab)


def origin_of(site: SiteSettings) -> StartReference:
    """Return what identifies this start of a dispatcher in the fleet.

    The digest is of the settings in the dispatcher's own file: the fleet's configuration, which is laid over
    them, has a version number of its own.
    """
    from importlib.metadata import PackageNotFoundError, version

    try:
        program_version = version("cherrygrade")
    except PackageNotFoundError:
        program_version = "?"
    return StartReference(int(time.time() * 1000.0), program_version, settings_digest(site))


def _site(file: Path, given: tuple[str, ...]) -> SiteSettings:
    """Read the settings, or print their faults and exit with code 2."""
    try:
        return read_site(file, "\n".join(given))
    except RecordError as error:
        for fault in error.faults:
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
        Record text that is added to the file's; may be repeated.
    log
        Form of the log on standard error.
    """
    site = _site(file, given)
    from cherrygrade.compiled import scheduler_class
    from cherrygrade.gateway.lifecycle import serve as run
    from cherrygrade.gateway.memory_returns import MemoryReturns
    from cherrygrade.gateway.process import Gateway
    from cherrygrade.logs import make_log
    from cherrygrade.peers.process_memory import ProcessMemory

    overlay = None
    if site.fleet is not None and site.fleet.council is not None:
        from cherrygrade.gateway.overlay import Overlay

        overlay = Overlay(file, given, site)
        sys.setswitchinterval(SWITCH_INTERVAL_S)

    async def main() -> int:
        make, compiled = scheduler_class()
        write_log = make_log(log, dispatcher=site.place.name)
        write_log("module", compiled=compiled)
        gateway = Gateway(
            site.place,
            site.trade,
            site.bearings,
            site.bounds,
            site.lines,
            write_log,
            make,
            site.cuts,
            site.pace,
            site.words.places,
            site.fleet,
            origin_of(site),
            overlay,
        )
        process_memory = ProcessMemory()
        process_memory.limit_retained_blocks()
        MemoryReturns(process_memory, site.pace.room, write_log).start()
        return await run(gateway, lambda port: print(f"listening {port}", flush=True))

    try:
        return asyncio.run(main())
    except OSError as error:
        print(f"{site.place.listen}: {error}", file=sys.stderr)
        return 2


@app.command
def check(file: Path, *, given: Given = ()) -> int:
    """Check the settings in FILE and print every fault with its line."""
    site = _site(file, given)
    print(f"{file}: valid; {len(site.trade.workloads)} workloads, {len(site.trade.volumes)} volumes")
    return 0


@app.command
def show(file: Path, *, given: Given = (), as_json: Annotated[bool, Parameter(name="--json")] = False) -> int:
    """Show all settings with the file and line that each comes from."""
    try:
        vertex = read_vertex(file, "site.rec", "\n".join(given))
        value = checked_value(vertex)
    except RecordError as error:
        print(error, file=sys.stderr)
        return 2
    if as_json:
        print(json.dumps(value, indent=2))
        return 0
    for path, one, at, default in vertex.leaves():
        print(f"{path} = {json.dumps(one)}  // {'default, ' if default else ''}{at}")
    return 0


@app.command
def compile() -> int:
    """Compile the scheduler: it makes the same decisions in less time. Needs a C compiler."""
    from cherrygrade.compiled import build

    try:
        print(build())
    except RuntimeError as error:
        print(error, file=sys.stderr)
        return 1
    return 0


@fleet.command(name="status")
def fleet_status(
    place: str = "127.0.0.1:7500", *, as_json: Annotated[bool, Parameter(name="--json")] = False
) -> int:
    """Show the fleet as the dispatcher at PLACE (its fleet.place) sees it.

    Exit code 0: all members of record are alive, and known alike here; 1: they are not; 3: no answer.
    """
    from cherrygrade.fleet.runtime.status_view import show_status

    return show_status(place, as_json)


@fleet.command(name="watch")
def fleet_watch(place: str = "127.0.0.1:7500", *, every_s: float = 1.0, times: int = 0) -> int:
    """Show the fleet every EVERY_S seconds, TIMES times or until interrupted."""
    from cherrygrade.fleet.runtime.status_view import watch_status

    return watch_status(place, every_s, times)


@fleet.command(name="found")
def fleet_found(file: Path, *, given: Given = ()) -> int:
    """Create the empty store of the voter whose settings are FILE, once, when the council is founded.

    Run this for each voter of fleet.council.voters before any of them starts. Do not run it again for a voter
    that lost its store: start that voter with an empty folder, and the others bring it up to date.
    """
    from cherrygrade.errors import OperatorError
    from cherrygrade.fleet.runtime.voter_store import create_founding_store

    site = _site(file, given)
    try:
        if site.fleet is None or site.fleet.council is None:
            raise OperatorError(
                f"{file} has no fleet.council", "Nothing was created.", "Name its voters there."
            )
        council = site.fleet.council
        create_founding_store(Path(council.folder), site.fleet.name, site.place.name, council.voters)
    except OperatorError as error:
        print(error, file=sys.stderr)
        return 2
    print(f"{site.place.name} votes, with {', '.join(council.voters)}")
    return 0


At = Annotated[str, Parameter(name="--at")]


@config.command(name="put")
def config_put(file: Path, *, at: At = "127.0.0.1:7500") -> int:
    """Make the record text in FILE the fleet's configuration, laid over each dispatcher's own file.

    Exit code 0: agreed, the number of the version is printed; 1: refused, the reason is printed; 2: FILE or
    arguments are wrong, and nothing was sent; 3: no dispatcher answers at AT (its fleet.place), or no
    majority of the council does.
    """
    from cherrygrade.fleet.runtime.operator_commands import put_config

    return put_config(file, at)


@config.command(name="show")
def config_show(number: int = 0, *, at: At = "127.0.0.1:7500") -> int:
    """Show the stored versions, newest last, and the one in force at AT; with NUMBER, the text of that one.

    Exit code 0: the council has confirmed it; 1: version NUMBER is not stored; 2: arguments are wrong; 3: no
    dispatcher answers at AT, or no majority of the council does (what is in force at AT is shown then too).
    """
    from cherrygrade.fleet.runtime.operator_commands import show_config

    return show_config(number, at)


@config.command(name="wait")
def config_wait(number: int, *, at: At = "127.0.0.1:7500", within_s: float = 60.0) -> int:
    """Wait until version NUMBER, or a later one, is in force at all living members and settled.

    Members that do not have it are listed with the reason. Exit code 0: it is in force; 1: not within
    WITHIN_S seconds; 2: arguments are wrong; 3: no dispatcher answers at AT.
    """
    from cherrygrade.fleet.runtime.operator_commands import wait_for_version

    return wait_for_version(number, at, within_s)


@config.command(name="back")
def config_back(number: int, *, at: At = "127.0.0.1:7500") -> int:
    """Make the text of version NUMBER a new version. Exit codes are those of put."""
    from cherrygrade.fleet.runtime.operator_commands import put_version_again

    return put_version_again(number, at)


@standin.command(name="receiver")
def standin_receiver(record: Path, *, listen: str = "127.0.0.1:0", numbered: bool = True) -> None:
    """Carry out the orders of lease holders and record them; --no-numbered: do not check their numbers."""
    from cherrygrade.standin.receiver import run_receiver

    asyncio.run(run_receiver(listen, record, numbered))


@standin.command(name="node")
def standin_node(
    *,
    listen: str = "127.0.0.1:0",
    control: str = "127.0.0.1:0",
    build: str = "{}",
    seed: int = 0,
    record: Path | None = None,
) -> None:
    """Run a stand-in of a storage node; prints its port and its control port.

    Parameters
    ----------
    build
        Properties of the machine, as JSON: cores, unit_ms, queue, put_off, cold_share, warm_ms and more.
    record
        File to which the messages on its sockets are written.
    """
    import msgspec

    from cherrygrade.lab.rig.roles import run_node
    from cherrygrade.standin.node import Build

    try:
        made = msgspec.convert(json.loads(build), Build, strict=False)
    except (ValueError, msgspec.ValidationError) as error:
        print(f"--build: {error}", file=sys.stderr)
        sys.exit(2)
    asyncio.run(run_node(listen, control, made, seed, record))


@standin.command(name="register")
def standin_register(
    *, listen: str = "127.0.0.1:0", control: str = "127.0.0.1:0", record: Path | None = None
) -> None:
    """Run a stand-in of the register; prints its port and its control port."""
    from cherrygrade.lab.rig.roles import run_register

    asyncio.run(run_register(listen, control, record))


@standin.command(name="ways")
def standin_ways(
    *, count: int, port: int, bound: int, fleet: str = "lab", seed: int = 0, record: Path | None = None
) -> None:
    """Run the network between dispatchers, with its failures; prints its control port."""
    from cherrygrade.lab.rig.roles import run_ways

    asyncio.run(run_ways(count, port, bound, fleet, seed, record))


@standin.command(name="platform")
def standin_platform(
    *, discovery: str = "127.0.0.1:8500", nodes: int = 3, indent: int | None = None, hush_s: float = 0.0
) -> None:
    """Run the platform's discovery and some storage nodes, for trials of `python -m cherrygrade platform`.

    INDENT: discovery sends its lists as JSON with this indentation. HUSH_S: at this interval all watches fall
    silent while a node drains; the number of attempts that still reach it, although its draining counts as
    announced, is printed.
    """
    from cherrygrade.standin.web import run_platform

    asyncio.run(run_platform(discovery, nodes, indent, hush_s))


@lab.command(name="run")
def lab_run(
    scenario: Path,
    *,
    folder: Path = Path("build/lab"),
    seed: int | None = None,
    given: Given = (),
    quiet: bool = False,
) -> int:
    """Play a scenario on loopback with real processes, audit it and show the result.

    Exit code 0 only if no rule was broken. Records, logs and report.json stay in FOLDER.
    """
    from rich.console import Console
    from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn

    from cherrygrade.lab.rig.run import play

    text = "\n".join([*given, *([f"seed: {seed}"] if seed is not None else [])])
    columns = (TextColumn("{task.description:10}"), BarColumn(), TimeElapsedColumn())
    with Progress(*columns, console=Console(stderr=True), disable=quiet) as progress:
        bar = progress.add_task("processes", total=1.0)
        try:
            play(
                scenario,
                folder,
                text,
                told=lambda phase, part: progress.update(bar, description=phase, completed=part),
            )
        except RecordError as error:
            print(error, file=sys.stderr)
            return 2
        progress.update(bar, description="audit", completed=1.0)
    return lab_audit(scenario, folder, given=(text,) if text else ())


@lab.command(name="fleet")
def lab_fleet(
    scenario: Path,
    *,
    seed: int = 1,
    dispatchers: int | None = None,
    report: Path = Path("build/fleet"),
    given: Given = (),
) -> int:
    """Play a scenario of a fleet of dispatchers: real processes, connected through a network with failures.

    Exit code 0 only if every promise held, judged by the records, the process table and the network.
    """
    more = [f"seed: {seed}", *([f"dispatchers: {dispatchers}"] if dispatchers is not None else [])]
    text = "\n".join([*given, *more])
    from cherrygrade.lab.rig.run import play

    try:
        play(scenario, report, text)
    except RecordError as error:
        print(error, file=sys.stderr)
        return 2
    return lab_audit(scenario, report, given=(text,))


@lab.command(name="explore")
def lab_explore(
    model: Literal["members", "voters", "leases", "config"] = "members",
    *,
    accusations: int = 1,
    crashes: int = 1,
    restarts: int = 1,
    leaves: bool = False,
    stands: int = 1,
    proposals: int = 1,
    most: int = 1_000_000,
) -> int:
    """Explore all states of a model within bounds.

    The models are three members, three voters of the council, a lease, and a version of the configuration
    that moves quotas; the last one has a list of bounds of its own. Exit code 0 only if no state breaks a
    promise and all states were explored.
    """
    from cherrygrade.lab.exploration import config, holders, members, voters
    from cherrygrade.lab.exploration.explore import Found, explore

    found: Found[members.Now] | Found[voters.Now] | Found[holders.Now] | Found[config.Now]
    if model == "config":
        is_complete = True
        for within in config.WHOLE:
            found = explore(config.Config(within), most)
            print(f"{within}: {found}", flush=True)
            is_complete = is_complete and found.whole and not found.breach
        return 0 if is_complete else 1
    if model == "members":
        bounds = members.Bounds(accusations, crashes, restarts, leaves)
        found = explore(members.Members(bounds), most)
    elif model == "voters":
        found = explore(voters.Voters(voters.Bounds(stands, proposals, crashes)), most)
    else:
        found = explore(holders.Holders(holders.Bounds(crashes=crashes, restarts=restarts)), most)
    print(found)
    return 0 if found.whole and not found.breach else 1


@lab.command(name="many")
def lab_many(*, members: int = 1000, dead: int = 1, seed: int = 1, lost: float = 0.05) -> int:
    """Simulate the failure of members in a large fleet: the real decisions and messages, without sockets."""
    import gc

    from cherrygrade.lab.virtual.many import death
    from cherrygrade.virtual.datagrams import DatagramConditions

    gc.disable()  # millions of objects and no reference cycles
    found = death(members, seed, DatagramConditions(loss_probability=lost, jitter_ms=2.0), dead)
    print(
        f"{members} members, {dead} dead: known to the first after {found.first_ms:.0f} ms, "
        f"to half after {found.median_ms:.0f}, to the last after {found.last_ms:.0f}; "
        f"{found.rest_bytes:.0f} bytes a second each at rest, {found.most_bytes:.0f} at most"
    )
    return 0 if found.last_ms < float("inf") and not found.wrongly_dead else 1


@lab.command(name="scale")
def lab_scale(
    scenario: Path = Path("scenarios/scale.rec"),
    *,
    dispatchers: int | None = None,
    real: int | None = None,
    nodes: int | None = None,
    seed: int | None = None,
    report: Path | None = None,
    quick: bool = False,
    folder: Path | None = None,
    given: Given = (),
) -> int:
    """Measure a large fleet, most of it members without traffic, at rest and with each fault.

    Exit code 0: measured, and every promise held; 1: a promise was broken; 2: settings or arguments are
    wrong, or the run exceeds its limits; 3: not measured.

    Parameters
    ----------
    real
        Number of dispatchers that are real processes of the program.
    quick
        Run each part for a shorter time.
    folder
        Folder in which the records stay; without it they are removed.
    """
    from cherrygrade.errors import OperatorError
    from cherrygrade.lab.scale import report as reports
    from cherrygrade.lab.scale.run import play, read_scale

    options = {"dispatchers": dispatchers, "real": real, "nodes": nodes, "seed": seed}
    chosen = {name: value for name, value in options.items() if value is not None}
    text = "\n".join([*given, *(f"{name}: {value}" for name, value in chosen.items())])
    command = " ".join(["cherrygrade lab scale", *([] if scenario.name == "scale.rec" else [scenario.name])])
    command += "".join(f" --{name} {value}" for name, value in chosen.items()) + (" --quick" if quick else "")
    command += "".join(f" --with '{one}'" for one in given)
    try:
        scale = read_scale(scenario, text)
        made = play(scale, command, quick, folder, lambda text: print(text, file=sys.stderr, flush=True))
    except (RecordError, OperatorError) as error:
        print(error, file=sys.stderr)
        return 2
    if report is not None:
        reports.write(made, report)
    return reports.show(made)


@lab.command(name="spread")
def lab_spread(*, members: int = 580, changes: int = 200, seed: int = 1, lost: float = 0.05) -> int:
    """Simulate changes of the configuration in a fleet of two regions that are 80 ms apart."""
    from cherrygrade.lab.virtual.spread import Ways, spread

    found = spread(members, seed, changes, Ways(lost=lost))
    print(f"{members} members, {lost:.0%} lost: {found}")
    return 0 if found.last_ms[-1] < 6000.0 else 1


@lab.command(name="audit")
def lab_audit(scenario: Path, folder: Path, *, given: Given = ()) -> int:
    """Audit a scenario run from its records. Exit code 0 only if no rule was broken."""
    from rich.console import Console

    from cherrygrade.lab.audits.audit import judge
    from cherrygrade.lab.rig import report
    from cherrygrade.lab.rig.scenario import read_scenario

    read = read_scenario(scenario, "\n".join(given))
    verdicts, evidence = judge(read, folder)
    if read.fleet:
        from cherrygrade.lab.audits import fleetaudit

        verdicts += fleetaudit.judge(folder)
        figures = ", ".join(f"{name} {value:.0f}" for name, value in fleetaudit.figures(folder).items())
        print(f"fleet: {figures}")
    report.write(evidence, verdicts, folder)
    report.show(evidence, verdicts, Console(width=112))
    print(f"records, logs and report.json: {folder}")
    return 1 if any(one.broken for one in verdicts) else 0


@lab.command(name="load")
def lab_load(
    scenario: Path, *addresses: str, index: int = 0, folder: Path = Path("build/lab"), given: Given = ()
) -> None:
    """Run one load process of a scenario: prints 'ready' and waits for 'go TIME' on standard input."""
    from cherrygrade.lab.rig.load import load

    asyncio.run(load(scenario, "\n".join(given), index, list(addresses), folder))


@lab.command(name="from-day")
def lab_from_day(day: Path, *, out: Path | None = None) -> int:
    """Convert a day file of the bench into a scenario for real dispatchers; lists what it lost."""
    from cherrygrade.lab.rig.fromday import convert_day, text_of

    try:
        record, not_converted = convert_day(json.loads(day.read_text()))
    except (OSError, ValueError) as error:
        print(f"{day}: {error}", file=sys.stderr)
        return 2
    for one in not_converted:
        print(f"not converted: {one}", file=sys.stderr)
    text = text_of(record, not_converted)
    if out is None:
        print(text, end="")
    else:
        out.write_text(text)
    return 0


@lab.command(name="selfcheck")
def lab_selfcheck(
    *ways: int, scenario: Path = Path("scenarios/selfcheck.rec"), folder: Path = Path("build/selfcheck")
) -> int:
    """Check the audit: play a scenario with a correct dispatcher and with ones that break one rule each.

    The rules are the seven of the gateway, or the promises of a fleet (scenarios/fleet-selfcheck.rec). Exit
    code 0 only if the audit finds the broken rule of each faulty dispatcher, and no fault of the correct one.
    """
    from cherrygrade.lab.audits.broken import FLEET_WAYS, WAYS
    from cherrygrade.lab.audits.selfcheck import check, describe
    from cherrygrade.lab.rig.scenario import read_scenario

    all_ways = (0, *(FLEET_WAYS if read_scenario(scenario).fleet else WAYS))
    is_right = check(scenario, folder, ways or all_ways, lambda *found: print(describe(*found), flush=True))
    return 0 if is_right else 1


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
