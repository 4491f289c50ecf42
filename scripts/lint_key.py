"""Prints a key for each given source file: a hash of the file, the project headers it reaches and the lint settings."""
import hashlib
import pathlib
import re
import sys

INCLUDE = re.compile(rb'#include "([^"]+)"')
ROOTS = (pathlib.Path("src"), pathlib.Path("test"))


def closure(path: pathlib.Path, seen: dict[pathlib.Path, bytes]) -> None:
    """Adds a file and all project headers that it reaches to `seen`."""
    if path in seen or not path.is_file():
        return
    seen[path] = path.read_bytes()
    for name in INCLUDE.findall(seen[path]):
        for root in ROOTS:
            closure(root / name.decode(), seen)


def key(path: pathlib.Path) -> str:
    """Hashes all that decides a file's lint result."""
    seen: dict[pathlib.Path, bytes] = {}
    closure(path, seen)
    digest = hashlib.sha256(pathlib.Path(".clang-tidy").read_bytes())
    for name in sorted(seen):
        digest.update(str(name).encode() + b"\0" + seen[name])
    return digest.hexdigest()[:40]


for argument in sys.argv[1:]:
    print(key(pathlib.Path(argument)), argument)
