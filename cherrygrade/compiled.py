"""Compiles the scheduler with mypyc: the same sources make the same decisions in less time.

The compiled modules are installed into the environment as a package of their own, with a digest of the
sources, the compiler's flags and the kind of machine that they were made from. They are used only if that
digest matches the present ones; after an edit the sources are interpreted until they are compiled again. The
types that hosts share with the scheduler (`scheduling/model.py`) are never compiled.
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
"""Name of the package of compiled modules."""

SOURCE_PACKAGE = "cherrygrade.scheduling"
"""Name of the package that is compiled."""

SOURCES = Path(str(scheduler.__file__)).resolve().parent
"""Folder of the package that is compiled."""

COMPILER_FLAGS = "-ffp-contract=off"
"""Flags of the C compiler: a fused multiplication and addition rounds once, the interpreter rounds twice."""

NOT_COMPILED = ("__init__.py", "model.py", "round_inputs.py", "start_settings.py")
"""Modules that are not compiled, since hosts use their types or run them themselves."""


def source_digest() -> str:
    """Return a digest of all modules of the source package, the compiler's flags and the kind of machine."""
    digest = hashlib.blake2b(digest_size=12)
    digest.update(f"{COMPILER_FLAGS}\0{sysconfig.get_platform()}\0".encode())
    for file in sorted(SOURCES.glob("*.py")):
        digest.update(file.name.encode() + b"\0" + file.read_bytes())
    return digest.hexdigest()


def scheduler_class() -> tuple[type[scheduler.Scheduler], bool]:
    """Return the class of the scheduler, and whether it is the compiled one."""
    try:
        package = importlib.import_module(PACKAGE)
    except ImportError:
        return scheduler.Scheduler, False
    if getattr(package, "DIGEST", "") != source_digest():
        return scheduler.Scheduler, False
    module = importlib.import_module(f"{PACKAGE}.scheduler")
    compiled_class: type[scheduler.Scheduler] = module.Scheduler
    return compiled_class, True


def build() -> str:
    """Compile the scheduler and install the result into this environment.

    Returns:
        A message for the operator that says what was done.

    Raises:
        RuntimeError: The scheduler cannot be compiled; the program goes on interpreting the sources.
    """
    if scheduler_class()[1]:
        return "the compiled scheduler is up to date with its sources"
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        modules = _copy_sources(folder)
        _compile(folder, modules)
        _install(folder, Path(sysconfig.get_paths()["purelib"]))
    return "compiled scheduler installed into " + Path(sysconfig.get_paths()["purelib"]).name


def _copy_sources(folder: Path) -> list[str]:
    """Copy the sources, with imports of each other changed to the compiled package; return their paths."""
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
    flags = f"{os.environ.get('CFLAGS', '')} {COMPILER_FLAGS}".strip()  # the last of contrary flags holds
    environment = {**os.environ, "PYTHONPATH": root, "MYPYPATH": root, "CFLAGS": flags}
    done = subprocess.run(command, cwd=folder, capture_output=True, text=True, env=environment, check=False)
    if done.returncode or not [*folder.glob("*.so")]:
        raise RuntimeError(
            "compiling the scheduler failed, its sources are interpreted instead: "
            f"{(done.stderr or done.stdout)[-2000:]}"
        )


def _install(folder: Path, environment: Path) -> None:
    """Install what was built into the environment.

    The module with the digest is written last, so that an incomplete installation is not used.
    """
    target = environment / PACKAGE
    shutil.rmtree(target, ignore_errors=True)
    target.mkdir()
    for file in [*folder.glob("*.so"), *(folder / PACKAGE).glob("*.so")]:
        installed = environment / file.relative_to(folder)
        new = installed.with_name(f"{installed.name}.new")
        shutil.copy2(file, new)
        new.replace(installed)
    shutil.copy2(folder / PACKAGE / "__init__.py", target / "__init__.py")
