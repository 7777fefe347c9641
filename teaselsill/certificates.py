"""Loads the certificate files named in the settings into TLS contexts."""

import ssl

from teaselsill import errors, settings


class CertificateError(errors.TeaselsillError):
    """A certificate file cannot be loaded."""


def load_chain(context: ssl.SSLContext, section: settings.TlsSection) -> None:
    """Loads a certificate chain and its private key.

    Raises:
        CertificateError: A file is missing or malformed, or the key does not match the
            certificate.
    """
    try:
        context.load_cert_chain(section.certificate, section.key)
    except (OSError, ValueError) as error:
        files = f"{section.certificate}, {section.key}"
        raise CertificateError(f"{files}: {_describe(error)}") from error


def load_authority(context: ssl.SSLContext, path: str) -> None:
    """Loads the certificate of the authority that issues the certificates of peers.

    Raises:
        CertificateError: The file is missing or malformed.
    """
    try:
        context.load_verify_locations(cafile=path)
    except (OSError, ValueError) as error:
        raise CertificateError(f"{path}: {_describe(error)}") from error


def _describe(error: Exception) -> str:
    return getattr(error, "strerror", None) or str(error)
