"""The YANG module and its schema."""

import os
import subprocess
import sys

from mulleinrelay.management.yang_model import MODULE_FOLDER, YangModel


def test_model_passes_lint_and_its_schema_has_keys_and_state():
    pyang = os.path.join(os.path.dirname(sys.executable), "pyang")
    module = f"{MODULE_FOLDER}/mulleinrelay-fleet.yang"
    result = subprocess.run(
        [pyang, "--lint", "-p", MODULE_FOLDER, module], capture_output=True, text=True
    )
    assert (result.returncode, result.stdout + result.stderr) == (0, "")
    fleet = YangModel().schema.children["fleet"]
    assert fleet.children["boxes"].is_state
    assert fleet.children["drains"].children["drain"].keys == ("box",)
