import pytest

from crocusrouter import settings

_VALID_SETTINGS = {
    "name": "e1",
    "data_centre": "liege",
    "listen": "127.0.0.1:8080",
    "mesh_listen": "127.0.0.1:8081",
    "store_url": "http://127.0.0.1:9000",
    "vms_url": "http://127.0.0.1:9001",
    "mesh_secret": "secret-secret",
    "operator_key": "operator-key",
}


def test_valid_settings_load():
    assert settings.load_serve_settings(_VALID_SETTINGS).task_lease_s == 6.0


def test_flags_override_the_environment(monkeypatch):
    monkeypatch.setenv("CROCUSROUTER_NAME", "from-env")
    monkeypatch.setenv("CROCUSROUTER_HEARTBEAT_S", "0.5")
    loaded_settings = settings.load_serve_settings(_VALID_SETTINGS)
    assert (loaded_settings.name, loaded_settings.heartbeat_s) == ("e1", 0.5)


@pytest.mark.parametrize(
    ("field", "value", "expected_text"),
    [
        ("name", "Upper", "'Upper'"),
        ("listen", "localhost:80", "must be an IP address and a port"),
        ("listen", "127.0.0.1:0", "the port must be from 1 to 65535"),
        ("store_url", "ftp://x", "'ftp://x'"),
        ("mesh_secret", "short", "at least 8"),
        ("owner_ttl_s", "-1", "greater than 0"),
        ("owner_ttl_s", "5", "twice owner_ttl_s"),
        ("task_lease_s", "soon", "'soon'"),
        ("surprise", "1", "Extra inputs"),
    ],
)
def test_wrong_setting_names_itself_and_the_remedy(field, value, expected_text):
    with pytest.raises(settings.WrongSettingsError) as caught:
        settings.load_serve_settings(_VALID_SETTINGS | {field: value})
    message = str(caught.value)
    assert expected_text in message
    if "twice" not in expected_text:
        assert f"--{field.replace('_', '-')}" in message
        assert f"CROCUSROUTER_{field.upper()}" in message


def test_missing_settings_are_all_named():
    with pytest.raises(settings.WrongSettingsError) as caught:
        settings.load_serve_settings({})
    assert len(str(caught.value).splitlines()) == len(_VALID_SETTINGS)
