"""Time of day of each relay process, which can be stepped; monotonic clocks stay as they are."""
import os
import pathlib
import shutil
import struct
import subprocess

SOURCE = pathlib.Path(__file__).resolve().parent / "clock_offset.c"


def build_library(folder):
    """Compiles what is preloaded; its path."""
    compiler = shutil.which("cc")
    if compiler is None:
        raise RuntimeError("clock-steps needs a C compiler named cc")
    library = folder / "clock_offset.so"
    subprocess.run([compiler, "-O2", "-shared", "-fPIC", "-o", str(library), str(SOURCE)], check=True)
    return library.resolve()


class Clock:
    """Offset of one machine's time of day; it outlives the processes there."""

    def __init__(self, folder, name, library):
        self.path, self.library = (folder / f"{name}.clock").resolve(), library
        self.offset_s = 0.0
        self.path.write_bytes(struct.pack("=q", 0))

    def step(self, seconds):
        self.offset_s += seconds
        file = os.open(self.path, os.O_WRONLY)
        try:
            os.pwrite(file, struct.pack("=q", int(self.offset_s * 1e9)), 0)
        finally:
            os.close(file)

    def environment(self):
        return {**os.environ, "LD_PRELOAD": str(self.library), "SOAK_CLOCK_FILE": str(self.path)}
