"""Set-up of the tests that run gatewayd processes against a stand-in of the platform."""
import pathlib
import sys
import tempfile
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
from platform_standin import Platform  # noqa: E402


class GatewayCase(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory(prefix="orioledrum-test-", ignore_cleanup_errors=True)
        self.addCleanup(folder.cleanup)
        self.platform = Platform(folder.name)
        self.platform.__enter__()
        self.addCleanup(self.platform.__exit__)
