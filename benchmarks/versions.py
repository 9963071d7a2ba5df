"""Earlier versions of this program, with which benchmarks compare the present one."""

import io
import os
import subprocess
import tarfile

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


def unpack(version: str, folder: str) -> str:
    """Extract the package of an earlier version into a folder, and return the folder.

    Args:
        version: Git revision.
        folder: Target folder; it is created if it does not exist.

    Raises:
        OSError: If Git is not installed, or the folder cannot be written.
        CalledProcessError: If the repository does not contain the version.
    """
    command = ["git", "archive", version, "mulleinrelay"]
    archived = subprocess.run(command, cwd=ROOT, capture_output=True, check=True)
    with tarfile.open(fileobj=io.BytesIO(archived.stdout)) as archive:
        archive.extractall(folder, filter="data")
    return folder
