"""Golden files: recorded sessions as text, compared with those of the current code.

``JACINTHSHED_WRITE_GOLDEN=1`` rewrites them; review the difference before committing.
"""

import os
from pathlib import Path

FOLDER = Path(__file__).parent.parent / "golden"
WRITE_VARIABLE = "JACINTHSHED_WRITE_GOLDEN"


def check_golden(name, lines):
    """Assert that ``lines`` equal the golden file ``name``."""
    text = "\n".join(lines) + "\n"
    path = FOLDER / name
    if os.environ.get(WRITE_VARIABLE):
        FOLDER.mkdir(exist_ok=True)
        path.write_text(text)
    assert path.read_text() == text
