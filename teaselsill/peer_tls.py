"""TLS between peers: both sides show certificates of one authority."""

import ssl

from teaselsill import certificates, settings


def make_client_context(
    section: settings.PeerTlsSection | None,
) -> ssl.SSLContext | None:
    """Returns the context that a process connects to peers with, or none.

    Host names are not checked: a peer is who proves the shared secret.

    Raises:
        CertificateError: A file cannot be used.
    """
    if section is None:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    return _load(context, section)


def make_server_context(
    section: settings.PeerTlsSection | None,
) -> ssl.SSLContext | None:
    """Returns the context that a process accepts peers with, or none.

    Raises:
        CertificateError: A file cannot be used.
    """
    if section is None:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.verify_mode = ssl.CERT_REQUIRED
    return _load(context, section)


def _load(context: ssl.SSLContext, section: settings.PeerTlsSection) -> ssl.SSLContext:
    certificates.load_authority(context, section.authority)
    certificates.load_chain(context, section)
    return context
