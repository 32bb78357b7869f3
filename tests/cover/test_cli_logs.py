import json

from jacinthshed.internal.cli.app import run


def log_line(event, request_id, time_s, **fields):
    return json.dumps(
        {"event": event, "request_id": request_id, "time_s": time_s, **fields}
    )


def test_explain_sorts_the_lines_of_a_request_from_all_files(tmp_path, capsys):
    entry, target = tmp_path / "entry.log", tmp_path / "target.log"
    entry.write_text(
        "\n".join(
            [
                log_line("routing", "r1", 100.0, host="10.0.0.2"),
                log_line("routing", "r10", 100.0, host="10.0.0.3"),
                "not JSON at all: r1",
                log_line("request_ended", "r1", 100.5, reason="shed"),
            ]
        )
    )
    target.write_text("0.1 side-1 " + log_line("admission", "r1", 100.2, waiting=3))
    assert run(["logs", "explain", "r1", str(entry), str(target)]) == 0
    printed = capsys.readouterr().out.splitlines()
    assert [text.split("  ")[-2] for text in printed] == [
        "routing",
        "admission",
        "request_ended",
    ]
    assert (
        printed[1].strip() == "+200.0 ms  target.log 0.1 side-1  admission  waiting=3"
    )


def test_below_includes_nested_requests(tmp_path, capsys):
    log = tmp_path / "n.log"
    log.write_text(
        log_line("routing", "r1", 1.0) + "\n" + log_line("routing", "r1.a", 2.0)
    )
    assert run(["logs", "explain", "r1", str(log)]) == 0
    assert len(capsys.readouterr().out.splitlines()) == 1
    assert run(["logs", "explain", "r1", str(log), "--below"]) == 0
    assert len(capsys.readouterr().out.splitlines()) == 2


def test_missing_lines_and_files_are_reported(tmp_path, capsys):
    log = tmp_path / "n.log"
    log.write_text(log_line("routing", "r1", 1.0))
    assert run(["logs", "explain", "r2", str(log)]) == 1
    assert "no line about r2" in capsys.readouterr().err
    assert run(["logs", "explain", "r2", str(tmp_path / "none")]) == 1
    assert "none" in capsys.readouterr().err
