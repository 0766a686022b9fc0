"""The scheduler in machine code: the same sources through mypyc, so the same decisions, sooner.

The compiled form is a package beside the environment's other packages, under a name of its own, and carries a
digest of the sources that it was made from. It is used only where that digest is the present sources': an
edited module runs as it reads until it is compiled again. Types that hosts share with the scheduler
(`scheduling/model.py`) are never compiled.
"""

from __future__ import annotations

import hashlib
import importlib
import os
import shutil
import subprocess
import sys
import sysconfig
import tempfile
from pathlib import Path

from cherrygrade.scheduling import scheduler

PACKAGE = "cherrygrade_compiled_scheduling"
SOURCE_PACKAGE = "cherrygrade.scheduling"
SOURCES = Path(str(scheduler.__file__)).resolve().parent
NOT_COMPILED = ("__init__.py", "model.py", "round_inputs.py", "start_settings.py")
"""Shared with hosts, or the hosts' side of the scheduler."""


def source_digest() -> str:
    """Of all modules of the package, as they read now."""
    digest = hashlib.blake2b(digest_size=12)
    for file in sorted(SOURCES.glob("*.py")):
        digest.update(file.name.encode() + b"\0" + file.read_bytes())
    return digest.hexdigest()


def scheduler_class() -> tuple[type[scheduler.Scheduler], bool]:
    """The scheduler's class, and whether it is the compiled one."""
    try:
        package = importlib.import_module(PACKAGE)
    except ImportError:
        return scheduler.Scheduler, False
    if getattr(package, "DIGEST", "") != source_digest():
        return scheduler.Scheduler, False
    module = importlib.import_module(f"{PACKAGE}.scheduler")
    made: type[scheduler.Scheduler] = module.Scheduler
    return made, True


def build() -> str:
    """Compile into this environment.

    Returns:
        What was done.

    Raises:
        RuntimeError: it cannot be compiled; the program runs the sources as they read.
    """
    if scheduler_class()[1]:
        return "the compiled module is of this source already"
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        modules = _lay_out(folder)
        _compile(folder, modules)
        _install(folder, Path(sysconfig.get_paths()["purelib"]))
    return "compiled into " + Path(sysconfig.get_paths()["purelib"]).name


def _lay_out(folder: Path) -> list[str]:
    """Copies of the sources that import each other under the compiled package's name; their paths."""
    package = folder / PACKAGE
    package.mkdir()
    (package / "__init__.py").write_text(f'DIGEST = "{source_digest()}"\n')
    compiled = [file for file in sorted(SOURCES.glob("*.py")) if file.name not in NOT_COMPILED]
    for file in compiled:
        text = file.read_text()
        for other in compiled:
            text = text.replace(f"from {SOURCE_PACKAGE}.{other.stem} ", f"from {PACKAGE}.{other.stem} ")
        (package / file.name).write_text(text)
    return [f"{PACKAGE}/{file.name}" for file in compiled]


def _compile(folder: Path, modules: list[str]) -> None:
    command = [sys.executable, "-c", "import sys; from mypyc.__main__ import main; main()", *modules]
    root = str(SOURCES.parent.parent)
    environment = {**os.environ, "PYTHONPATH": root, "MYPYPATH": root}
    done = subprocess.run(command, cwd=folder, capture_output=True, text=True, env=environment, check=False)
    if done.returncode or not [*folder.glob("*.so")]:
        raise RuntimeError(f"not compiled, it runs as it reads: {(done.stderr or done.stdout)[-2000:]}")


def _install(folder: Path, environment: Path) -> None:
    """Put what was built beside the environment's packages; the digest comes last."""
    target = environment / PACKAGE
    shutil.rmtree(target, ignore_errors=True)
    target.mkdir()
    for file in [*folder.glob("*.so"), *(folder / PACKAGE).glob("*.so")]:
        place = environment / file.relative_to(folder)
        new = place.with_name(f"{place.name}.new")
        shutil.copy2(file, new)
        new.replace(place)
    shutil.copy2(folder / PACKAGE / "__init__.py", target / "__init__.py")
