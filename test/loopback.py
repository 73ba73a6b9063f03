"""The loopback address of this test process.

Each has its own within 127.0.0.0/8, so that a port found free can't be taken by another test that runs
at the same time.
"""
import os

_PID = os.getpid()
HOST = f"127.{1 + (_PID >> 16) % 200}.{(_PID >> 8) % 256}.{_PID % 256}"
