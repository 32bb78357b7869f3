"""The machine of ``tests/cover/test_fence_machine.py``, with longer histories."""

from hypothesis import settings

from ..cover.test_fence_machine import FenceMachine

TestFenceMachineLong = FenceMachine.TestCase
TestFenceMachineLong.settings = settings(max_examples=8_000, stateful_step_count=70)
