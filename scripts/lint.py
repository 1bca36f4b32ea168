#!/usr/bin/env python3
"""Runs clang-tidy over the project's sources in parallel and caches which sources passed.

Usage: lint.py BUILD_FOLDER [SOURCE...]

BUILD_FOLDER contains compile_commands.json. Without SOURCE, checks all sources of the project. A source that passed before is
skipped as long as nothing but comments has changed in its dependencies: itself, every header of the project that it includes,
the linter's configuration and version, and its compile command. The cache is ${XDG_CACHE_HOME:-~/.cache}/petrelrail-lint;
checkouts on one machine share it.

.clang-tidy-exceptions lists the accepted diagnostics, one `path check` a line. A line that no diagnostic needs any more is an
error, so that the list only shrinks. Exit status 0: no diagnostics.
"""
import concurrent.futures
import hashlib
import json
import os
import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
LINTER = os.environ.get("CLANG_TIDY", "clang-tidy-19")
CACHE = pathlib.Path(os.environ.get("XDG_CACHE_HOME", pathlib.Path.home() / ".cache")) / "petrelrail-lint"
EXCEPTIONS = ROOT / ".clang-tidy-exceptions"
INCLUDE = re.compile(r'^\s*#\s*include\s*"([^"]+)"', re.M)
COMMENT = re.compile(rb"(?m)(^|[ \t])//(?!.*NOLINT).*$")  # ignored by the linter
DIAGNOSTIC = re.compile(r"^(/[^:]+):(\d+):(\d+): (?:warning|error): (.*) \[([^\]]+)\]$")


class Sources:
    """The project's files and their includes."""

    def __init__(self):
        self.text = {}

    def read(self, path):
        if path not in self.text:
            self.text[path] = path.read_bytes() if path.is_file() else None
        return self.text[path]

    def closure(self, source, folders):
        """Returns the source and every file of the project that it includes, directly or indirectly."""
        seen, pending = set(), [source]
        while pending:
            path = pending.pop()
            content = self.read(path)
            if path in seen or content is None:
                continue
            seen.add(path)
            for name in INCLUDE.findall(content.decode(errors="replace")):
                pending += [folder / name for folder in [path.parent, *folders]]
        return sorted(seen)


def include_folders(command):
    words = command.split()
    folders = [word[2:] for word in words if word.startswith("-I") and len(word) > 2]
    return [pathlib.Path(folder) for folder in folders if folder.startswith(str(ROOT))]


def configuration_hash():
    """Returns a hash of the inputs that are the same for every source: linter version, configuration and this script."""
    parts = [subprocess.run([LINTER, "--version"], capture_output=True, check=True).stdout]
    for path in sorted([ROOT / ".clang-tidy", *ROOT.glob("*/.clang-tidy")]):
        parts += [str(path.relative_to(ROOT)).encode(), path.read_bytes()]
    parts.append(pathlib.Path(__file__).read_bytes())
    return hashlib.sha256(b"\0".join(parts)).hexdigest()


def cache_key(entry, sources, config):
    source = pathlib.Path(entry["file"])
    parts = [config, entry["command"].replace(str(ROOT), "").replace(entry["directory"], "")]
    for path in sources.closure(source, include_folders(entry["command"])):
        code = COMMENT.sub(b"", sources.read(path))
        parts += [str(path.relative_to(ROOT)), hashlib.sha256(code).hexdigest()]
    return hashlib.sha256("\0".join(parts).encode()).hexdigest()


def lint(build, entry):
    """Returns the diagnostics of one source as tuples (path, line, message, check)."""
    result = subprocess.run([LINTER, "--quiet", "-p", str(build), entry["file"]], capture_output=True, text=True)
    found = []
    for line in result.stdout.splitlines():
        if match := DIAGNOSTIC.match(line):
            path, line_number, _, message, checks = match.groups()
            check = checks.split(",")[0]
            found.append((os.path.relpath(os.path.realpath(path), ROOT), int(line_number), message, check))
    if result.returncode != 0 and not found:
        found.append((os.path.relpath(entry["file"], ROOT), 0, result.stderr.strip()[-400:], "clang-tidy"))
    return found


def read_exceptions():
    exceptions = set()
    if EXCEPTIONS.is_file():
        for line in EXCEPTIONS.read_text().splitlines():
            words = line.split("#")[0].split()
            if words:
                exceptions.add((words[0], words[1]))
    return exceptions


def main():
    if len(sys.argv) < 2:
        sys.exit(__doc__)
    build = pathlib.Path(sys.argv[1]).resolve()
    wanted = {(ROOT / name).resolve() for name in sys.argv[2:]}
    entries = {}
    for entry in json.loads((build / "compile_commands.json").read_text()):
        path = pathlib.Path(entry["file"]).resolve()
        if ROOT in path.parents and build not in path.parents and (not wanted or path in wanted):
            entries.setdefault(path, entry)
    CACHE.mkdir(parents=True, exist_ok=True)
    sources, config = Sources(), configuration_hash()
    allowed, diagnostics = read_exceptions(), set()
    pending = []
    used = set()
    for entry in entries.values():
        key = cache_key(entry, sources, config)
        passed = CACHE / key
        excused = {tuple(row) for row in json.loads(passed.read_text())} if passed.is_file() else None
        if excused is None or not excused <= allowed:
            pending.append((key, entry))
        else:
            used |= excused
    with concurrent.futures.ThreadPoolExecutor(max_workers=os.cpu_count()) as pool:
        for (key, _), found in zip(pending, pool.map(lambda item: lint(build, item[1]), pending)):
            excused = {(path, check) for path, _, _, check in found if (path, check) in allowed}
            used |= excused
            rejected = [d for d in found if (d[0], d[3]) not in allowed]
            diagnostics.update(rejected)
            if not rejected:
                (CACHE / key).write_text(json.dumps(sorted(excused)))
    for path, line_number, message, check in sorted(diagnostics):
        print(f"{path}:{line_number}: {message} [{check}]")
    unused = sorted(allowed - used) if not wanted else []
    for path, check in unused:
        print(f".clang-tidy-exceptions: '{path} {check}' is not needed any more")
    print(f"lint: {len(entries)} sources, {len(pending)} looked at, {len(diagnostics)} complaints, {len(allowed)} exceptions")
    return 1 if diagnostics or unused else 0


sys.exit(main())
