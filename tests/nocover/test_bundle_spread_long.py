"""The bundle machine for longer than the fast suite can afford."""

from hypothesis import settings

from tests.cover.test_bundle_spread import BundleSpread


class LongBundleSpread(BundleSpread):
    pass


TestLongBundleSpread = LongBundleSpread.TestCase
TestLongBundleSpread.settings = settings(max_examples=1_500, stateful_step_count=80)
