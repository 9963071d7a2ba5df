"""Certificates of the server and the clients, and roles by the names in them."""

import datetime

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
from helpers import wait_for
from managed_director import ManagedDirector, drain_path

from mulleinrelay.management.gnmi_client import GnmiCallError
from mulleinrelay.management.paths import parse_path

RATE_LIMIT = parse_path("/fleet/assignment/tenant[name=acme]/limits/rate")
TLS_CONFIG = """
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


def new_certificate(name, issuer=None):
    """Create a certificate and its key.

    The certificate is signed by the issuer (its certificate and key) or, without one, self-signed.
    """
    key = ec.generate_private_key(ec.SECP256R1())
    now = datetime.datetime.now(datetime.UTC)
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
    builder = (
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
    return builder.sign(issuer[1] if issuer else key, hashes.SHA256()), key


def write_certificate(folder, name, certificate_and_key):
    certificate, key = certificate_and_key
    (folder / f"{name}.pem").write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    (folder / f"{name}.key").write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return certificate_and_key


def write_all_certificates(folder):
    authority = write_certificate(folder, "ca", new_certificate("authority"))
    for name in ("server", "on-call", "boss", "reader", "nobody"):
        write_certificate(folder, name, new_certificate(name, authority))


def connection_options(folder, name, authority="ca"):
    return {
        "ca": str(folder / f"{authority}.pem"),
        "certificate": str(folder / f"{name}.pem"),
        "key": str(folder / f"{name}.key"),
        "server_name": "server",
        "timeout_s": 5.0,
    }


@pytest.mark.parametrize(
    ("name", "reads", "drains", "configures"),
    [
        ("boss", True, True, True),
        ("on-call", True, True, False),
        ("reader", True, False, False),
        ("nobody", False, False, False),
    ],
)
def test_role_of_a_caller_follows_from_its_certificate(name, reads, drains, configures, tmp_path):
    write_all_certificates(tmp_path)
    with ManagedDirector(tmp_path, TLS_CONFIG, cells=True) as director:
        target = director.target(**connection_options(tmp_path, name))
        for is_allowed, act in (
            (reads, lambda: target.get(parse_path("/fleet/boxes"))),
            (drains, lambda: target.set(updates=[(drain_path("s-02"), {})])),
            (configures, lambda: target.set(updates=[(RATE_LIMIT, "5")])),
            (configures, lambda: target.set(extension_values={"rollback": 1})),
        ):
            if is_allowed:
                act()
                continue
            with pytest.raises(GnmiCallError) as error:
                act()
            assert error.value.code == "PERMISSION_DENIED"
            assert name in str(error.value)
        with pytest.raises(GnmiCallError) as error:
            director.target(timeout_s=2.0).get(parse_path("/fleet/boxes"))  # without TLS
        assert error.value.code in ("UNAVAILABLE", "DEADLINE_EXCEEDED")


def test_certificates_are_reloaded_without_a_restart(tmp_path):
    write_all_certificates(tmp_path)
    with ManagedDirector(tmp_path, TLS_CONFIG) as director:
        director.target(**connection_options(tmp_path, "reader")).get(parse_path("/fleet/boxes"))
        other_authority = write_certificate(tmp_path, "other", new_certificate("other authority"))
        write_certificate(tmp_path, "new-reader", new_certificate("reader", other_authority))
        # The files are replaced one by one, and ca.pem is invalid for a time. The director must
        # load them once they match.
        (tmp_path / "ca.pem").write_bytes(b"no certificate")
        (tmp_path / "old.pem").write_bytes((tmp_path / "other.pem").read_bytes())
        write_certificate(tmp_path, "server", new_certificate("server", other_authority))
        (tmp_path / "ca.pem").write_bytes((tmp_path / "other.pem").read_bytes())
        boxes = director.target(**connection_options(tmp_path, "new-reader", "other")).get(
            parse_path("/fleet/boxes")
        )
        assert boxes
        assert wait_for(
            lambda: any("certificates reloaded" in str(fields) for fields in director.log.fields)
        )
