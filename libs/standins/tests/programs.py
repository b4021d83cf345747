"""Starts stand-in programs for process tests and talks to them."""

import contextlib
import json
import subprocess
import sys

import urllib3

_END_TIMEOUT_S = 10


class Program:
    def __init__(self, proc, address):
        self.proc = proc
        self.address = address
        self._pool = urllib3.PoolManager(retries=False, timeout=5.0)

    def call(self, method, path, body=None, headers=None, **options):
        data = None if body is None else json.dumps(body)
        url = f"http://{self.address}{path}"
        return self._pool.request(
            method, url, body=data, headers=headers, **options
        )

    def json(self, method, path, body=None):
        response = self.call(method, path, body)
        assert response.status == 200, response.data
        return response.json()

    def close(self):
        self._pool.clear()


@contextlib.contextmanager
def started(module, *options):
    name = f"dandelionlead.standins.{module}"
    proc = subprocess.Popen(
        [sys.executable, "-W", "ignore", "-m", name, *options],
        stdout=subprocess.PIPE,
        text=True,
    )
    program = None
    try:
        line = proc.stdout.readline().strip()
        program = Program(proc, line.removeprefix("listening address="))
        yield program
    finally:
        if program is not None:
            program.close()
        proc.kill()
        proc.wait(_END_TIMEOUT_S)
        proc.stdout.close()
