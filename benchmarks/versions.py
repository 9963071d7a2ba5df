"""Earlier versions of this program, for comparison with the present one."""

import io
import os
import subprocess
import tarfile

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


def unpack(version: str, folder: str) -> str:
    """Write the package as it was at that version into a folder; returns the folder.

    Raises:
        OSError: Git isn't installed, or the folder can't be written.
        CalledProcessError: The history doesn't have the version.
    """
    command = ["git", "archive", version, "mulleinrelay"]
    archived = subprocess.run(command, cwd=ROOT, capture_output=True, check=True)
    with tarfile.open(fileobj=io.BytesIO(archived.stdout)) as archive:
        archive.extractall(folder, filter="data")
    return folder
