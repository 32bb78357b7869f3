"""The built-in integration: configuration service and default HTTP headers."""

from ..adapters.native import native_adapter
from ..bundle.signing import TrustedOperators, signed_bundle_opener
from ..configuration_service.publication import service_publication
from ..settings.model import NodeSettings
from .integration import Integration


def builtin_integration(
    settings: NodeSettings, trusted: TrustedOperators
) -> Integration:
    """Return the integration that reads the configuration service of ``settings``."""
    opener = signed_bundle_opener(trusted)
    return Integration(service_publication(settings.platform, opener), native_adapter())
