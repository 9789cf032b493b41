#!/usr/bin/env python3
"""Remembers which sources the linter has passed, by the content of all files that they include.

Usage: lint_passed.py pending BUILD SOURCE...   prints the sources that have to be checked
       lint_passed.py record BUILD              these have passed
"""
import hashlib
import json
import pathlib
import subprocess
import sys


def included_files(build):
    """Files that each compiled source includes, itself among them, as the last build noted them."""
    listing = subprocess.run(["ninja", "-C", str(build), "-t", "deps"], capture_output=True, text=True, check=False)
    found = {}
    for block in listing.stdout.split("\n\n"):
        lines = [line.strip() for line in block.splitlines()]
        if len(lines) > 1 and lines[0].endswith("(VALID)"):
            found[lines[1]] = lines[1:]
    return found


def file_state(path, root):
    """Content of a file of this repository; size and time of one of the system."""
    if root in path.parents:
        return hashlib.sha256(path.read_bytes()).hexdigest()
    state = path.stat()
    return f"{state.st_size} {state.st_mtime_ns}"


def keys_of(build, sources):
    """Key of each source whose included files are known."""
    root = pathlib.Path.cwd()
    linter = subprocess.run(["clang-tidy", "--version"], capture_output=True, text=True, check=True).stdout
    common = linter + (root / ".clang-tidy").read_text() + (root / "CMakeLists.txt").read_text()
    included, states, keys = included_files(build), {}, {}
    for source in sources:
        files = included.get(str(root / source))
        try:
            for name in files or ():
                if name not in states:
                    states[name] = file_state(pathlib.Path(name), root)
        except OSError:
            continue  # A file that is gone: the build has to tell what the source includes now.
        if files:
            text = common + "".join(f"{name} {states[name]}\n" for name in files)
            keys[source] = hashlib.sha256(text.encode()).hexdigest()
    return keys


def main():
    action, build = sys.argv[1], pathlib.Path(sys.argv[2])
    passed_path, pending_path = build / "lint_passed.json", build / "lint_pending.json"
    passed = json.loads(passed_path.read_text()) if passed_path.exists() else {}
    if action == "record":
        passed.update(json.loads(pending_path.read_text()))
        passed_path.write_text(json.dumps(passed))
        return
    keys = keys_of(build, sys.argv[3:])
    pending = [source for source in sys.argv[3:] if source not in keys or passed.get(source) != keys[source]]
    # The keys of now: a source that changes during the check has another one afterwards.
    pending_path.write_text(json.dumps({source: keys[source] for source in pending if source in keys}))
    for source in pending:
        print(source)


if __name__ == "__main__":
    main()
