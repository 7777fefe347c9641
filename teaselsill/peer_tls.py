"""Mutual TLS between peers, with certificates issued by one authority."""

import ssl

from teaselsill import certificates, settings


def make_client_context(
    section: settings.PeerTlsSection | None,
) -> ssl.SSLContext | None:
    """Returns the context for connections to peers, or None without TLS settings.

    Host names are not checked, since peers authenticate by the shared secret when a
    link is opened.

    Raises:
        CertificateError: A file cannot be loaded.
    """
    if section is None:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    return _load(context, section)


def make_server_context(
    section: settings.PeerTlsSection | None,
) -> ssl.SSLContext | None:
    """Returns the context for accepting peers, or None without TLS settings.

    Raises:
        CertificateError: A file cannot be loaded.
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
