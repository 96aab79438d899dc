import pytest

from crocusrouter import settings

_FILE = {
    "NAME": "front-1",
    "IP": "10.0.0.1",
    "LISTEN": "10.0.0.1:8521",
    "READY_LISTEN": "10.0.0.1:8523",
    "MESH_PORT": "7000",
    "STORE_ADDRESS": "10.0.0.9:8524",
    "SOMETHING_NEW": "x",
}


def _write(tmp_path, monkeypatch, **changes):
    lines = [
        f"CROCUSROUTER_{name}={value}"
        for name, value in (_FILE | changes).items()
        if value is not None
    ]
    path = tmp_path / "entry.env"
    path.write_text("\n".join(lines))
    monkeypatch.setenv(settings.FILE_VARIABLE, str(path))


def test_file_of_the_platform(tmp_path, monkeypatch):
    _write(tmp_path, monkeypatch)
    loaded = settings.load_entry_settings({})
    assert loaded.name == "front-1"
    assert loaded.mesh_port == 7000


def test_variable_goes_before_the_file(tmp_path, monkeypatch):
    _write(tmp_path, monkeypatch)
    monkeypatch.setenv("CROCUSROUTER_MESH_PORT", "7005")
    assert settings.load_entry_settings({}).mesh_port == 7005


@pytest.mark.parametrize(
    ("change", "named"),
    [
        ({"LISTEN": "front:80"}, "listen"),
        ({"MESH_PORT": "0"}, "mesh_port"),
        ({"STORE_ADDRESS": None}, "store_address"),
        ({"GRACE_S": "-1"}, "grace_s"),
        ({"NAME": "front liege 1"}, "name"),
    ],
)
def test_wrong_setting_is_named_with_its_remedy(
    change, named, tmp_path, monkeypatch
):
    _write(tmp_path, monkeypatch, **change)
    with pytest.raises(settings.WrongSettingsError) as caught:
        settings.load_entry_settings({})
    assert named in str(caught.value)
    assert f"CROCUSROUTER_{named.upper()}" in str(caught.value)
