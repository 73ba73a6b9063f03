"""Tests of the platform stand-in: transactions, objects, the instance list and its lag, faults."""

import http.client
import sys
import time
import unittest

from running_programs import TIMEOUT_SECONDS, Platform


def put(key, value):
    return {"put": {"key": key, "value": value}}


def get(key):
    return {"get": {"key": key}}


class PlatformTest(unittest.TestCase):
    build = None

    def setUp(self):
        self.platform = Platform(self.build)

    def tearDown(self):
        self.assertEqual(self.platform.stop(), 0)

    def value(self, key):
        rows = self.platform.transaction([get(key)])["results"][0]["rows"]
        return rows[0]["value"] if rows else None

    def test_compare_and_set(self):
        first = self.platform.transaction([put("k", "a")], [{"key": "k", "revision": 0}])
        self.assertTrue(first["succeeded"])
        second = self.platform.transaction([put("k", "b")], [{"key": "k", "revision": 0}], [get("k")])
        self.assertFalse(second["succeeded"])
        self.assertEqual(second["results"], [
            {"rows": [{"key": "k", "value": "a", "revision": first["revision"]}]}])
        third = self.platform.transaction(
            [put("k", "c"), put("l", "d")], [{"key": "k", "revision": first["revision"]}])
        self.assertTrue(third["succeeded"])
        self.assertGreater(third["revision"], first["revision"])

    def test_list_and_delete(self):
        self.platform.transaction([put("a/1", "x"), put("a/2", "y"), put("b", "z")])
        listed = self.platform.transaction([{"list": {"prefix": "a/"}}])
        self.assertEqual([row["key"] for row in listed["results"][0]["rows"]], ["a/1", "a/2"])
        self.platform.transaction([{"delete": {"key": "a/1"}}])
        self.assertIsNone(self.value("a/1"))
        again = self.platform.transaction([put("a/1", "x")], [{"key": "a/1", "revision": 0}])
        self.assertTrue(again["succeeded"])

    def test_objects(self):
        self.assertEqual(self.platform.request("GET", "/v1/objects/o")[0], 404)
        body = bytes(range(256)) * 1000
        self.assertEqual(self.platform.request("PUT", "/v1/objects/o", body)[0], 200)
        self.assertEqual(self.platform.request("GET", "/v1/objects/o"), (200, body))

    def test_bad_requests(self):
        for body in (b"", b"{", b"[]", b'{"success":[{"steal":{}}]}', b'{"compare":[{"key":1}]}'):
            self.assertEqual(self.platform.request("POST", "/v1/transactions", body)[0], 400, body)
        self.assertEqual(self.platform.request("GET", "/v1/other")[0], 404)

    def test_request_refused_in_an_outage_has_no_effect(self):
        self.platform.set_faults(outage=True)
        self.assertEqual(
            self.platform.request("POST", "/v1/transactions", {"success": [put("k", "a")]})[0], 503)
        self.platform.set_faults(outage=False)
        self.assertIsNone(self.value("k"))

    def test_change_with_lost_answer_takes_effect(self):
        self.platform.set_faults(lose_answers=1)
        self.assertIsNone(self.value("k"))
        with self.assertRaises((http.client.HTTPException, OSError)):
            self.platform.request("POST", "/v1/transactions", {"success": [put("k", "a")]})
        self.assertEqual(self.value("k"), "a")
        self.platform.transaction([put("k", "b")])

    def test_delay(self):
        self.platform.set_faults(delay_ms=200)
        start = time.monotonic()
        self.value("k")
        self.assertGreaterEqual(time.monotonic() - start, 0.2)

    def test_frozen_request_is_run_when_the_freeze_ends(self):
        self.platform.set_faults(freeze=True)
        with self.assertRaises(OSError):
            self.platform.request(
                "POST", "/v1/transactions", {"success": [put("k", "a")]}, timeout=0.3)
        self.platform.set_faults(freeze=False)
        self.assertEqual(self.value("k"), "a")

    def test_instance_list_lags(self):
        entry = {"instance": "i1", "data_centre": "regina", "address": "127.0.0.1:7101",
                 "state": "live"}
        self.platform.set_faults(instance_list_lag_ms=400)
        start = time.monotonic()
        self.assertEqual(self.platform.request("PUT", "/v1/instances/i1", entry)[0], 200)
        self.assertEqual(self.platform.request_json("GET", "/v1/instances")[1], {"instances": []})
        while self.platform.request_json("GET", "/v1/instances")[1] != {"instances": [entry]}:
            self.assertLess(time.monotonic() - start, TIMEOUT_SECONDS)
            time.sleep(0.02)
        self.assertGreaterEqual(time.monotonic() - start, 0.4)
        self.platform.set_faults(instance_list_lag_ms=0)
        self.platform.request("DELETE", "/v1/instances/i1")
        self.assertEqual(self.platform.request_json("GET", "/v1/instances")[1], {"instances": []})

    def test_counters(self):
        self.platform.transaction([put("k", "a")])
        self.value("k")
        counters = self.platform.request_json("GET", "/v1/counters")[1]
        self.assertEqual((counters["reads"], counters["writes"]), (1, 1))


if __name__ == "__main__":
    PlatformTest.build = sys.argv.pop(1)
    unittest.main()
