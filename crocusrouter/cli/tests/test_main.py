import json

import pytest
import trio
from typer import testing

import crocusrouter
from crocusrouter.cli import main
from standins import world as worlds

_RUNNER = testing.CliRunner()
_KEY = ("--key", worlds.CUSTOMER_KEY)
_STAFF = ("--key", worlds.OPERATOR_KEY)


async def _run(world, *words):
    """Run a command against the world's entry, in a thread."""
    url = f"http://127.0.0.1:{world.entries['e1'].port}"
    return await trio.to_thread.run_sync(
        lambda: _RUNNER.invoke(main.app, [*words, "--entry", url])
    )


def test_version():
    assert _RUNNER.invoke(main.app, ["version"]).stdout.strip() == (
        crocusrouter.__version__
    )


@pytest.mark.parametrize(
    "words",
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
        ("status",),
        ("version",),
    ],
)
def test_every_command_has_an_example(words):
    shown = _RUNNER.invoke(main.app, [*words, "--help"])
    assert shown.exit_code == 0
    assert "Example: crocusrouter" in shown.stdout


def test_wrong_settings_exit_with_2_before_a_port_opens(monkeypatch):
    import trio

    monkeypatch.setattr(trio, "run", lambda *_: pytest.fail("started"))
    done = _RUNNER.invoke(main.app, ["serve", "--name", "Upper"])
    assert done.exit_code == 2
    assert "Set --name or CROCUSROUTER_NAME" in done.stderr


def test_port_in_use_is_named():
    import socket

    with socket.socket() as busy:
        busy.bind(("127.0.0.1", 0))
        busy.listen()
        address = f"127.0.0.1:{busy.getsockname()[1]}"
        words = ["--name=e1", "--data-centre=dc", f"--mesh-listen={address}"]
        words += [f"--listen={address}", "--store-url=http://127.0.0.1:1"]
        words += ["--vms-url=http://127.0.0.1:1", "--mesh-secret=secretsecret"]
        words += ["--operator-key=secretsecret"]
        done = _RUNNER.invoke(main.app, ["serve", *words])
    assert done.exit_code == 1
    assert f"can't listen on {address}" in done.stderr


async def test_templates_through_the_command_line(tmp_path):
    path = tmp_path / "a.json"
    path.write_text(json.dumps(worlds.build_template()))
    other = tmp_path / "b.json"
    other.write_text(json.dumps(worlds.build_template() | {"max_jobs": 5}))
    wrong = tmp_path / "c.json"
    wrong.write_text('{"customer": "a", "surprise": 1}')
    table = [
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
        for words, code, said in table:
            done = await _run(world, *words, *_STAFF)
            assert done.exit_code == code, (words, done.output)
            assert said in done.stdout


async def test_jobs_through_the_command_line():
    async with worlds.open_world(runners=0) as world:
        await world.put_template()
        await world.wait_owned()
        done = await _run(world, "job", "submit", "tag", "--json", *_KEY)
        job_id = json.loads(done.stdout)["id"]
        table = [
            (("job", "status", job_id, "--wait"), 0, "done"),
            (("job", "list"), 0, job_id),
            (("job", "explain", job_id), 0, "accepted"),
            (("job", "cancel", job_id), 0, "done"),
            (("job", "status", "dc.0"), 4, ""),
            (("job", "submit", "nothing"), 4, ""),
            (("job", "submit", "tag", "--accelerators", "99"), 3, ""),
            (("job", "submit", "tag", "--payload", "{"), 2, ""),
        ]
        for words, code, said in table:
            done = await _run(world, *words, *_KEY)
            assert done.exit_code == code, (words, done.output)
            assert said in done.stdout


async def test_status_shows_entry_owner_and_counts():
    async with worlds.open_world(runners=0) as world:
        await world.put_template()
        await world.wait_owned()
        done = await _run(world, "status", *_STAFF)
        assert done.exit_code == 0
        assert "dc           e1     1" in done.stdout


async def test_wrong_key_is_refused():
    async with worlds.open_world(runners=0, workers=0) as world:
        done = await _run(world, "status", "--key", "wrong")
        assert done.exit_code == 3
        assert "bearer key" in done.stderr


def test_unreachable_entry(monkeypatch, capsys):
    words = ["crocusrouter", "status", "--entry", "http://127.0.0.1:1"]
    monkeypatch.setattr("sys.argv", words)
    with pytest.raises(SystemExit) as caught:
        main.main()
    assert caught.value.code == 6
    assert "Check --entry" in capsys.readouterr().err
