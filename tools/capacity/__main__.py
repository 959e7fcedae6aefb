"""Measures and writes docs/CAPACITY.md: `python -m tools.capacity --page docs/CAPACITY.md`."""

from __future__ import annotations

import argparse
import os
import time

from pathlib import Path

import msgspec

from tools.capacity.gather import Measured
from tools.capacity.gather import gather
from tools.capacity.gather import hot_path
from tools.capacity.page import sections
from tools.figures import write_section


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--page", type=Path, help="replace the generated sections of this page")
    parser.add_argument("--out", type=Path, help="write what was measured as JSON")
    parser.add_argument(
        "--again",
        type=Path,
        metavar="FILE",
        help="take this earlier JSON and measure only the query path and the streams again",
    )
    args = parser.parse_args()
    began = time.monotonic()
    before = os.getloadavg()[0]
    if args.again is None:
        found = gather()
    else:
        found = hot_path(msgspec.json.decode(args.again.read_bytes(), type=Measured))
    if args.out is not None:
        args.out.write_bytes(msgspec.json.format(msgspec.json.encode(found), indent=1) + b"\n")
    what = "All" if args.again is None else "The query path and the streams"
    note = (
        f"{what} measured {time.strftime('%d %b %Y %H:%M', time.gmtime())} UTC in "
        f"{time.monotonic() - began:.0f} s; load average of the machine {before:.1f} before and "
        f"{os.getloadavg()[0]:.1f} after, {os.cpu_count()} cores."
    )
    for name, text in {"run": note, **sections(found)}.items():
        if args.page is not None:
            write_section(args.page, name, text)
        else:
            print(f"## {name}\n\n{text}\n")


if __name__ == "__main__":
    main()
