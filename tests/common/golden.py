"""Golden files: whole sessions as text, compared with what was recorded before.

``JACINTHSHED_WRITE_GOLDEN=1`` records them anew; read the difference before committing.
"""

import os
from pathlib import Path

FOLDER = Path(__file__).parent.parent / "golden"
WRITE_VARIABLE = "JACINTHSHED_WRITE_GOLDEN"


def check_golden(name, lines):
    """Compare ``lines`` with the golden file ``name``."""
    text = "\n".join(lines) + "\n"
    path = FOLDER / name
    if os.environ.get(WRITE_VARIABLE):
        FOLDER.mkdir(exist_ok=True)
        path.write_text(text)
    assert path.read_text() == text
