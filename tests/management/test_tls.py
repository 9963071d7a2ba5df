"""Certificates, roles by their names, and troubles in the middle of a change."""

import datetime
import threading

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
from helpers import wait_for
from manage import Managed

from mulleinrelay import director as director_module
from mulleinrelay.management.gnmi_client import CallError
from mulleinrelay.management.paths import parse

DRAIN = parse("/fleet/drains/drain[box=s-02]")
LIMIT = parse("/fleet/assignment/tenant[name=acme]/limits/rate")
OWN = """
[management]
enabled = yes
listen = 127.0.0.1:0
certificate = server.pem
key = server.key
clients_ca = ca.pem
[roles]
on-call = drain
boss = configure
reader = read
"""


@pytest.fixture(autouse=True)
def short_drains(monkeypatch):
    monkeypatch.setattr(director_module, "NEW_CALLS_S", 0.0)


def certificate(name, issuer=None):
    """(certificate, key), signed by an issuer of that form or by itself."""
    key, now = ec.generate_private_key(ec.SECP256R1()), datetime.datetime.now(datetime.UTC)
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
    made = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .public_key(key.public_key())
        .issuer_name(issuer[0].subject if issuer else subject)
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(1))
        .not_valid_after(now + datetime.timedelta(1))
        .add_extension(x509.BasicConstraints(issuer is None, None), True)
        .add_extension(x509.SubjectAlternativeName([x509.DNSName(name)]), False)
    )
    return made.sign(issuer[1] if issuer else key, hashes.SHA256()), key


def put(folder, name, held):
    (folder / f"{name}.pem").write_bytes(held[0].public_bytes(serialization.Encoding.PEM))
    (folder / f"{name}.key").write_bytes(
        held[1].private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return held


def prepared(folder):
    authority = put(folder, "ca", certificate("authority"))
    for name in ("server", "on-call", "boss", "reader", "nobody"):
        put(folder, name, certificate(name, authority))


def access(folder, name, authority="ca"):
    return {
        "ca": str(folder / f"{authority}.pem"),
        "certificate": str(folder / f"{name}.pem"),
        "key": str(folder / f"{name}.key"),
        "name": "server",
        "seconds": 5.0,
    }


@pytest.mark.parametrize(
    "name, reads, drains, configures",
    [
        ("boss", True, True, True),
        ("on-call", True, True, False),
        ("reader", True, False, False),
        ("nobody", False, False, False),
    ],
)
def test_roles_by_the_names_of_certificates(name, reads, drains, configures, tmp_path):
    prepared(tmp_path)
    with Managed(tmp_path, OWN, cells=True) as director:
        target = director.target(**access(tmp_path, name))
        for may, deed in (
            (reads, lambda: target.get(parse("/fleet/boxes"))),
            (drains, lambda: target.set(updates=[(DRAIN, {})])),
            (configures, lambda: target.set(updates=[(LIMIT, "5")])),
            (configures, lambda: target.set(extra={"rollback": 1})),
        ):
            if may:
                deed()
                continue
            with pytest.raises(CallError) as why:
                deed()
            assert why.value.code == "PERMISSION_DENIED" and name in str(why.value)
        with pytest.raises(CallError) as why:
            director.target(seconds=2.0).get(parse("/fleet/boxes"))  # in the clear
        assert why.value.code in ("UNAVAILABLE", "DEADLINE_EXCEEDED")


def test_certificates_are_read_again_without_a_restart(tmp_path):
    prepared(tmp_path)
    with Managed(tmp_path, OWN) as director:
        director.target(**access(tmp_path, "reader")).get(parse("/fleet/boxes"))
        other = put(tmp_path, "other", certificate("other authority"))
        put(tmp_path, "new-reader", certificate("reader", other))
        (tmp_path / "ca.pem").write_bytes(b"no certificate")  # half of a renewal: the old ones hold
        (tmp_path / "old.pem").write_bytes((tmp_path / "other.pem").read_bytes())
        put(tmp_path, "server", certificate("server", other))
        (tmp_path / "ca.pem").write_bytes((tmp_path / "other.pem").read_bytes())
        found = director.target(**access(tmp_path, "new-reader", "other")).get(
            parse("/fleet/boxes")
        )
        assert found and wait_for(
            lambda: any("read again" in str(one) for one in director.sink.figures)
        )


def test_sighup_and_clients_that_leave_in_the_middle_leave_whole_changes(tmp_path):
    with Managed(tmp_path, cells=True) as director:
        ended = threading.Event()

        def hang_up():
            while not ended.is_set():
                director.service.reload(director.start)

        disturber = threading.Thread(target=hang_up)
        disturber.start()
        try:
            hasty, target = director.target(seconds=0.004), director.target()
            for number in range(1, 40):
                both = [
                    (parse("/fleet/drains/drain[box=zz]/reason"), str(number)),
                    (LIMIT, str(number)),
                ]
                try:
                    (hasty if number % 2 else target).set(updates=both)
                except CallError as wrong:
                    assert wrong.code == "DEADLINE_EXCEEDED" and number % 2
                with director.manager.lock:
                    fleet = director.manager.store.running.tree["fleet"]
                    drains = fleet.get("drains", {}).get("drain", [{"reason": "0"}])
                    acme = next(
                        one for one in fleet["assignment"]["tenant"] if one["name"] == "acme"
                    )
                    assert float(drains[0]["reason"]) == float(acme["limits"]["rate"])
        finally:
            ended.set()
            disturber.join()


def test_a_list_that_is_late_does_not_undo_a_drain(tmp_path):
    with Managed(tmp_path) as director:
        director.target().set(updates=[(DRAIN, {})])
        for number in (2, 3):  # what the list said before it knew
            director.tell(number, "s-02")
            assert director.ready() == ["s-01", "s-03"]
        director.tell(4, "s-02", state="DRAINING")
        director.tell(5, "s-02", state="DELETED")
        director.tell(6, "s-02", port=9)  # another machine under its name
        assert director.ready() == ["s-01", "s-02", "s-03"]
