import json

import pytest
import trio
from typer import testing

import crocusrouter
from crocusrouter.cli import main
from standins import world as worlds

_RUNNER = testing.CliRunner()
_CUSTOMER_OPTIONS = ("--key", worlds.CUSTOMER_KEY)
_OPERATOR_OPTIONS = ("--key", worlds.OPERATOR_KEY)


async def _run(world, *arguments):
    """Run a command against the world's entry, in a thread."""
    url = f"http://127.0.0.1:{world.entries['e1'].port}"
    return await trio.to_thread.run_sync(
        lambda: _RUNNER.invoke(main.app, [*arguments, "--entry", url])
    )


def test_version():
    assert _RUNNER.invoke(main.app, ["version"]).stdout.strip() == (
        crocusrouter.__version__
    )


@pytest.mark.parametrize(
    "arguments",
    [
        ("serve",),
        ("template", "apply"),
        ("template", "get"),
        ("template", "list"),
        ("template", "check"),
        ("template", "diff"),
        ("template", "history"),
        ("template", "restore"),
        ("job", "submit"),
        ("job", "status"),
        ("job", "list"),
        ("job", "cancel"),
        ("job", "explain"),
        ("data-centre", "list"),
        ("data-centre", "close"),
        ("data-centre", "open"),
        ("status",),
        ("version",),
    ],
)
def test_every_command_has_an_example(arguments):
    result = _RUNNER.invoke(main.app, [*arguments, "--help"])
    assert result.exit_code == 0
    assert "Example: crocusrouter" in result.stdout


def test_wrong_settings_exit_with_2_before_a_port_opens(monkeypatch):
    import trio

    monkeypatch.setattr(trio, "run", lambda *_: pytest.fail("started"))
    result = _RUNNER.invoke(main.app, ["serve", "--name", "Upper"])
    assert result.exit_code == 2
    assert "Set --name or CROCUSROUTER_NAME" in result.stderr


def test_port_in_use_is_reported():
    import socket

    with socket.socket() as bound_socket:
        bound_socket.bind(("127.0.0.1", 0))
        bound_socket.listen()
        address = f"127.0.0.1:{bound_socket.getsockname()[1]}"
        arguments = [
            "--name=e1",
            "--data-centre=dc",
            f"--mesh-listen={address}",
        ]
        arguments += [f"--listen={address}", "--store-url=http://127.0.0.1:1"]
        arguments += [
            "--vms-url=http://127.0.0.1:1",
            "--mesh-secret=secretsecret",
        ]
        arguments += ["--operator-key=secretsecret"]
        result = _RUNNER.invoke(main.app, ["serve", *arguments])
    assert result.exit_code == 1
    assert f"can't listen on {address}" in result.stderr


async def test_templates_through_the_command_line(tmp_path):
    path = tmp_path / "a.json"
    path.write_text(json.dumps(worlds.build_template()))
    other = tmp_path / "b.json"
    other.write_text(json.dumps(worlds.build_template() | {"max_jobs": 5}))
    wrong = tmp_path / "c.json"
    wrong.write_text('{"customer": "a", "surprise": 1}')
    cases = [
        (("template", "get", "a"), 4, ""),
        (("template", "check", str(path)), 0, "passes all checks"),
        (("template", "apply", str(path), "--wait"), 0, "a is at revision 1"),
        (("template", "list"), 0, "a         1"),
        (("template", "get", "a"), 0, '"customer":"a"'),
        (("template", "diff", str(other)), 0, "max_jobs"),
        (("template", "apply", str(other), "--if-match", "9"), 5, ""),
        (("template", "apply", str(other), "--if-match", "1"), 0, "revision 2"),
        (("template", "check", str(wrong)), 2, ""),
        (("template", "history", "a"), 0, "max_jobs"),
        (("template", "restore", "a", "9"), 4, ""),
        (("template", "restore", "a", "1"), 0, "revision 3"),
        (("template", "diff", str(path)), 0, "FIELD  IN FORCE  FILE\n"),
        (("template", "history", "nobody"), 4, ""),
    ]
    async with worlds.open_world(runners=0) as world:
        for arguments, exit_code, expected_output in cases:
            result = await _run(world, *arguments, *_OPERATOR_OPTIONS)
            assert result.exit_code == exit_code, (arguments, result.output)
            assert expected_output in result.stdout


async def test_jobs_through_the_command_line():
    async with worlds.open_world(runners=0) as world:
        await world.put_template()
        await world.wait_owned()
        result = await _run(
            world, "job", "submit", "tag", "--json", *_CUSTOMER_OPTIONS
        )
        job_id = json.loads(result.stdout)["id"]
        cases = [
            (("job", "status", job_id, "--wait"), 0, "done"),
            (("job", "list"), 0, job_id),
            (("job", "explain", job_id), 0, "accepted"),
            (("job", "cancel", job_id), 0, "done"),
            (("job", "status", "dc.0"), 4, ""),
            (("job", "submit", "nothing"), 4, ""),
            (("job", "submit", "tag", "--accelerators", "99"), 3, ""),
            (("job", "submit", "tag", "--payload", "{"), 2, ""),
        ]
        for arguments, exit_code, expected_output in cases:
            result = await _run(world, *arguments, *_CUSTOMER_OPTIONS)
            assert result.exit_code == exit_code, (arguments, result.output)
            assert expected_output in result.stdout


async def test_status_shows_entry_owner_and_counts():
    async with worlds.open_world(runners=0) as world:
        await world.put_template()
        await world.wait_owned()
        result = await _run(world, "status", *_OPERATOR_OPTIONS)
        assert result.exit_code == 0
        assert "dc           e1     1" in result.stdout


async def test_wrong_key_is_refused():
    async with worlds.open_world(runners=0, workers=0) as world:
        result = await _run(world, "status", "--key", "wrong")
        assert result.exit_code == 3
        assert "bearer key" in result.stderr


def test_unreachable_entry(monkeypatch, capsys):
    arguments = ["crocusrouter", "status", "--entry", "http://127.0.0.1:1"]
    monkeypatch.setattr("sys.argv", arguments)
    with pytest.raises(SystemExit) as caught:
        main.main()
    assert caught.value.code == 6
    assert "Check --entry" in capsys.readouterr().err
