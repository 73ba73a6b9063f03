"""The loopback address of this test process.

Each test process uses its own address in 127.0.0.0/8, so that a free port that it has found is not taken
by another test that runs at the same time.
"""
import os

_PID = os.getpid()
HOST = f"127.{1 + (_PID >> 16) % 200}.{(_PID >> 8) % 256}.{_PID % 256}"
