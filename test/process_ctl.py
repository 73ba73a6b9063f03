"""Tests of sycamorespanctl on the platform stand-in: edits, conflicts, keys, lost answers, outage."""
import json
import pathlib
import socket
import subprocess
import sys
import tempfile
import time
import unittest
import urllib.request

BUILD = pathlib.Path(sys.argv.pop(1)).resolve()
ROOT = pathlib.Path(__file__).resolve().parent.parent
LISTS = ROOT / "examples" / "brandon-hollow" / "lists.yaml"
COMMAND_TIMEOUT_SECONDS = 60
IN_FORCE_TIMEOUT_SECONDS = 5

SUCCESS, FAILURE, USAGE, CONFLICT, NOT_IN_FORCE = 0, 1, 2, 3, 5


class CtlTest(unittest.TestCase):
    def setUp(self):
        self.platform = subprocess.Popen(
            [BUILD / "standins" / "platform" / "standin-platform", "--listen", "127.0.0.1:0"],
            stdout=subprocess.PIPE, text=True)
        self.addCleanup(self.stop_platform)
        self.url = "http://" + self.platform.stdout.readline().split()[-1]
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.settings = pathlib.Path(self.folder.name) / "ctl.yaml"
        self.settings.write_text(f"platform: {self.url}\nrequest_timeout_ms: 300\n"
                                 "agents: ['127.0.0.1:1']\n", encoding="utf-8")

    def stop_platform(self):
        self.platform.kill()
        self.platform.wait()
        self.platform.stdout.close()

    def run_ctl(self, *arguments):
        return subprocess.run(
            [BUILD / "programs" / "sycamorespanctl" / "sycamorespanctl", "--settings",
             self.settings, *map(str, arguments)],
            capture_output=True, text=True, check=False, timeout=COMMAND_TIMEOUT_SECONDS)

    def run_ctl_json(self, expected, *arguments):
        result = self.run_ctl("--json", *arguments)
        self.assertEqual(result.returncode, expected, result.stdout + result.stderr)
        return json.loads(result.stdout)

    def set_faults(self, **faults):
        request = urllib.request.Request(self.url + "/v1/faults", json.dumps(faults).encode(),
                                         method="PUT")
        urllib.request.urlopen(request, timeout=5).close()

    def changed_lists(self, before, after):
        path = pathlib.Path(self.folder.name) / "lists.yaml"
        text = LISTS.read_text(encoding="utf-8")
        self.assertIn(before, text)
        path.write_text(text.replace(before, after), encoding="utf-8")
        return path

    def test_losing_edit_is_told_what_changed(self):
        self.assertEqual(self.run_ctl_json(SUCCESS, "init", LISTS)["version"], 1)
        self.run_ctl_json(CONFLICT, "init", LISTS)
        first_edit = self.changed_lists("burst: 400", "burst: 410")
        preview = self.run_ctl_json(SUCCESS, "edit", first_edit, "--dry-run")
        changes = [{"path": "/lists/plans/online/burst", "before": "400.0", "after": "410.0"}]
        self.assertEqual(preview["changes"], changes)
        accepted = self.run_ctl_json(SUCCESS, "edit", first_edit, "--expect-version", 1)
        self.assertEqual((accepted["version"], accepted["changes"]), (2, changes))
        conflicting_edit = self.changed_lists("burst: 200", "burst: 250")
        conflict = self.run_ctl_json(CONFLICT, "edit", conflicting_edit, "--expect-version", 1)
        self.assertEqual(conflict["changes"], changes)
        self.assertEqual(self.run_ctl_json(SUCCESS, "show", "lists")["version"], 2)

    def test_key_is_shown_once_and_only_its_hash_is_stored(self):
        self.run_ctl_json(SUCCESS, "init", LISTS)
        granted = self.run_ctl_json(SUCCESS, "key", "grant", "shop-regina")
        secret = granted["secret"].split(".")[1]
        body = urllib.request.urlopen(
            self.url + "/v1/objects/" + self.configuration_object_name(), timeout=5).read()
        self.assertNotIn(secret, body.decode())
        listed = self.run_ctl("key", "list").stdout
        self.assertEqual(listed, f"shop-regina {granted['key']}\n")
        self.run_ctl_json(SUCCESS, "key", "withdraw", "shop-regina", granted["key"])
        self.assertEqual(self.run_ctl_json(SUCCESS, "key", "list")["keys"], {})
        self.run_ctl_json(FAILURE, "key", "withdraw", "shop-regina", granted["key"])
        self.run_ctl_json(FAILURE, "key", "grant", "nobody")

    def configuration_object_name(self):
        body = {"compare": [], "success": [{"get": {"key": "configuration"}}], "failure": []}
        request = urllib.request.Request(self.url + "/v1/transactions", json.dumps(body).encode())
        answer = json.load(urllib.request.urlopen(request, timeout=5))
        return json.loads(answer["results"][0]["rows"][0]["value"])["object"]

    def test_edit_whose_answers_are_lost_is_accepted_once(self):
        self.run_ctl_json(SUCCESS, "init", LISTS)
        self.set_faults(lose_answers=2)
        self.assertEqual(self.run_ctl_json(SUCCESS, "key", "grant", "shop-regina")["version"], 2)
        self.assertEqual(len(self.run_ctl_json(SUCCESS, "key", "list")["keys"]["shop-regina"]), 1)

    def test_edit_during_an_outage_is_not_run(self):
        self.run_ctl_json(SUCCESS, "init", LISTS)
        self.set_faults(outage=True)
        self.assertEqual(self.run_ctl_json(FAILURE, "key", "grant", "shop-regina")["result"], "not_run")
        self.set_faults(outage=False)
        self.assertEqual(self.run_ctl_json(SUCCESS, "key", "list")["version"], 1)

    def test_errors_name_file_line_and_field(self):
        lists = self.changed_lists("burst: 400", "burst: many")
        result = self.run_ctl("edit", lists)
        self.assertEqual(result.returncode, USAGE)
        self.assertIn(f"{lists}:30: plans.online.burst: must be a number", result.stderr)
        self.assertEqual(self.run_ctl("edit").returncode, USAGE)
        self.assertEqual(self.run_ctl("--colour").returncode, USAGE)

    def start_agent(self):
        """Starts an agent on free ports; returns its admin address and its process."""
        with socket.socket() as listen, socket.socket() as admin:
            for probe in (listen, admin):
                probe.bind(("127.0.0.1", 0))
            listen_port, admin_port = listen.getsockname()[1], admin.getsockname()[1]
        settings = pathlib.Path(self.folder.name) / "agent.yaml"
        settings.write_text(
            f"instance: i1\ndata_centre: regina\nlisten: '127.0.0.1:{listen_port}'\n"
            f"admin: '127.0.0.1:{admin_port}'\nplatform: {self.url}\nbackend_password: none\n",
            encoding="utf-8")
        agent = subprocess.Popen(
            [BUILD / "programs" / "agent" / "sycamorespan-agent", "--settings", settings],
            stderr=subprocess.DEVNULL)
        self.addCleanup(agent.wait)
        self.addCleanup(agent.kill)
        return f"127.0.0.1:{admin_port}", agent

    def test_accepted_version_is_in_force_within_the_bound_and_drain_ends_the_agent(self):
        self.run_ctl_json(SUCCESS, "init", LISTS)
        admin, agent = self.start_agent()
        self.settings.write_text(f"platform: {self.url}\nagents: ['{admin}']\n", encoding="utf-8")
        self.wait_until_in_force()
        self.run_ctl_json(SUCCESS, "key", "grant", "shop-regina")
        self.wait_until_in_force()
        self.assertEqual(self.run_ctl_json(SUCCESS, "state", admin)["configuration_version"], 2)
        self.run_ctl_json(SUCCESS, "drain", admin)
        self.assertEqual(agent.wait(timeout=IN_FORCE_TIMEOUT_SECONDS), 0)

    def wait_until_in_force(self):
        deadline = time.monotonic() + IN_FORCE_TIMEOUT_SECONDS
        while self.run_ctl("in-force").returncode != SUCCESS:
            self.assertLess(time.monotonic(), deadline)
            time.sleep(0.05)

    def test_in_force_and_state_report_unreachable_processes(self):
        self.run_ctl_json(SUCCESS, "init", LISTS)
        report = self.run_ctl_json(NOT_IN_FORCE, "in-force")
        self.assertEqual(report["processes"],
                         [{"address": "127.0.0.1:1", "answered": False, "version": 0}])
        self.run_ctl_json(FAILURE, "state", "127.0.0.1:1")
        self.run_ctl_json(USAGE, "state", "nowhere")


if __name__ == "__main__":
    unittest.main()
