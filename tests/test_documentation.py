"""Tests of the README and the pages under docs/."""

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_readme_example_runs(capsys):
    code = re.search(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.DOTALL).group(1)

    exec(compile(code, "README.md", "exec"), {})

    assert "SendRequest(request_id='r1'" in capsys.readouterr().out
