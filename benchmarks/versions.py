"""Earlier versions of our own, to be set beside this one."""

import io
import os
import subprocess
import tarfile

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


def unpack(version: str, folder: str) -> str:
    """The package as it was at that version, in this folder. Raises OSError or CalledProcessError
    where the history is not at hand.
    """
    command = ["git", "archive", version, "mulleinrelay"]
    held = subprocess.run(command, cwd=ROOT, capture_output=True, check=True)
    with tarfile.open(fileobj=io.BytesIO(held.stdout)) as archive:
        archive.extractall(folder, filter="data")
    return folder
