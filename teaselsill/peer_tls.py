"""TLS between peers: both sides show certificates of one authority."""

import ssl

from teaselsill import settings


def make_client_context(section: settings.TlsSection | None) -> ssl.SSLContext | None:
    """Returns the context that a process connects to peers with, or none."""
    if section is None:
        return None
    context = ssl.create_default_context(cafile=section.authority or None)
    context.check_hostname = False
    context.load_cert_chain(section.certificate, section.key)
    return context


def make_server_context(section: settings.TlsSection | None) -> ssl.SSLContext | None:
    """Returns the context that a process accepts peers with, or none."""
    if section is None:
        return None
    context = ssl.create_default_context(
        ssl.Purpose.CLIENT_AUTH, cafile=section.authority or None
    )
    context.verify_mode = ssl.CERT_REQUIRED
    context.load_cert_chain(section.certificate, section.key)
    return context
