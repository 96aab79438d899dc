import pytest

from crocusrouter import settings

_FILE_SETTINGS = {
    "NAME": "front-1",
    "IP": "10.0.0.1",
    "LISTEN": "10.0.0.1:8521",
    "READY_LISTEN": "10.0.0.1:8523",
    "MESH_PORT": "7000",
    "STORE_ADDRESS": "10.0.0.9:8524",
    "SOMETHING_NEW": "x",
}


def _write_settings_file(tmp_path, monkeypatch, **changes):
    lines = [
        f"CROCUSROUTER_{name}={value}"
        for name, value in (_FILE_SETTINGS | changes).items()
        if value is not None
    ]
    path = tmp_path / "entry.env"
    path.write_text("\n".join(lines))
    monkeypatch.setenv(settings.SETTINGS_FILE_VARIABLE, str(path))


def test_settings_load_from_the_platform_file(tmp_path, monkeypatch):
    _write_settings_file(tmp_path, monkeypatch)
    loaded_settings = settings.load_entry_settings({})
    assert loaded_settings.name == "front-1"
    assert loaded_settings.mesh_port == 7000


def test_environment_overrides_the_file(tmp_path, monkeypatch):
    _write_settings_file(tmp_path, monkeypatch)
    monkeypatch.setenv("CROCUSROUTER_MESH_PORT", "7005")
    assert settings.load_entry_settings({}).mesh_port == 7005


@pytest.mark.parametrize(
    ("change", "field"),
    [
        ({"LISTEN": "front:80"}, "listen"),
        ({"MESH_PORT": "0"}, "mesh_port"),
        ({"STORE_ADDRESS": None}, "store_address"),
        ({"GRACE_S": "-1"}, "grace_s"),
        ({"NAME": "front liege 1"}, "name"),
    ],
)
def test_wrong_setting_is_named_with_its_remedy(
    change, field, tmp_path, monkeypatch
):
    _write_settings_file(tmp_path, monkeypatch, **change)
    with pytest.raises(settings.WrongSettingsError) as caught:
        settings.load_entry_settings({})
    assert field in str(caught.value)
    assert f"CROCUSROUTER_{field.upper()}" in str(caught.value)
