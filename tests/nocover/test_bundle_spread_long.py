"""The state machine of bundle distribution, run for longer than in tests/cover."""

from hypothesis import settings

from tests.cover.test_bundle_spread import BundleSpread


class LongBundleSpread(BundleSpread):
    pass


TestLongBundleSpread = LongBundleSpread.TestCase
TestLongBundleSpread.settings = settings(max_examples=1_500, stateful_step_count=80)
