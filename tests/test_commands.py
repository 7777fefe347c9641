import contextlib
import http.server
import io
import json
import pathlib
import subprocess
import sys
import tempfile
import threading
import unittest
import unittest.mock

from teaselsill import commands, instances, log, operations, registry

EMPTY = {"client_accounts": [], "services": []}
PLATFORM = ["--log", "http://log", "--instances", "http://list"]


class AdminPageHandler(http.server.BaseHTTPRequestHandler):
    """Responds to `/version` as the admin port of an instance does."""

    def do_GET(self):
        body = json.dumps({"version": self.server.version}).encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *arguments):
        pass


class CommandTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.log = log.MemoryLog()
        self.instance_list = instances.MemoryInstanceList()
        plugin_by_kind = {
            registry.Kind.LOG: lambda url: self.log,
            registry.Kind.INSTANCES: lambda url: self.instance_list,
        }
        patch = unittest.mock.patch.object(
            operations, "_load_plugin", plugin_by_kind.__getitem__
        )
        patch.start()
        self.addCleanup(patch.stop)

    def write(self, document):
        path = self.folder / "file.json"
        path.write_text(json.dumps(document))
        return str(path)

    def start_instance(self, name, version):
        server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), AdminPageHandler)
        server.version = version
        thread = threading.Thread(target=server.serve_forever)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(server.server_close)
        self.addCleanup(server.shutdown)
        self.list_instance(name, server.server_port)

    def list_instance(self, name, port, state=instances.InstanceState.LIVE):
        self.instance_list.by_id[name] = instances.Instance(
            name,
            instances.Role.ROUTER,
            "oslo-a",
            "127.0.0.1",
            admin_port=port,
            state=state,
        )

    def run_command(self, *arguments):
        """Returns the exit status, stdout and stderr of a command."""
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            try:
                status = commands.main(list(arguments))
            except SystemExit as error:
                status = error.code
        return status, out.getvalue(), err.getvalue()

    def publish(self, based_on, document=EMPTY):
        path = self.write(document)
        return self.run_command(
            "config", "publish", path, "--based-on", based_on, "--wait", "0.1",
            "--publisher", "ida", *PLATFORM,
        )  # fmt: skip

    def test_check_prints_every_fault_with_file_and_path(self):
        path = self.write({"services": 3, "surplus": 1})
        status, _, err = self.run_command("config", "check", path)
        self.assertEqual(1, status)
        paths = [line.split(": ")[:2] for line in err.splitlines()]
        expected = [[path, n] for n in ("client_accounts", "services", "surplus")]
        self.assertEqual(expected, paths)

    def test_settings_check_prints_every_fault(self):
        path = self.write({"instance": 3})
        status, _, err = self.run_command("settings", "check", "agent", path)
        self.assertEqual(1, status)
        self.assertIn(f"{path}: instance: ", err)
        self.assertIn(f"{path}: upstream_url: Field required", err)

    def test_publish_prints_which_instances_confirmed(self):
        self.start_instance("r1", 0)
        self.start_instance("r2", -1)
        self.list_instance("r3", 1)
        self.list_instance("r4", 1, instances.InstanceState.LEAVING)
        status, out, _ = self.publish("-1")
        self.assertEqual(0, status)
        self.assertIn("accepted as version 0\nconfirmed by 1 of 3\n", out)
        self.assertIn("not confirmed: r2 (on version -1)", out)
        self.assertIn("not confirmed: r3 (", out)
        self.assertNotIn("r4", out)

    def test_publish_prints_the_version_if_the_instance_list_is_down(self):
        self.instance_list.down = True
        status, out, err = self.publish("-1")
        self.assertEqual((0, "accepted as version 0\n"), (status, out))
        self.assertIn("confirmations unknown", err)

    def test_conflict_exits_1_and_prints_the_version_in_force(self):
        self.publish("-1")
        status, _, err = self.publish("-1")
        self.assertEqual(1, status)
        self.assertIn("version 0 is in force, published by ida", err)

    def test_show_and_history(self):
        self.publish("-1")
        status, out, err = self.run_command("config", "show", "--log", "http://log")
        self.assertEqual((0, EMPTY), (status, json.loads(out)))
        self.assertIn("version 0", err)
        _, out, _ = self.run_command("config", "history", "--log", "http://log")
        self.assertRegex(
            out, r"^0\t\S+Z\tida\tpublish id \S+\tbased on -1\taccepted\n$"
        )

    def test_status_exits_1_if_an_instance_does_not_respond(self):
        self.start_instance("r1", 4)
        arguments = ("config", "status", "--instances", "http://list")
        self.assertEqual((0, "version 4: r1\n", ""), self.run_command(*arguments))
        self.list_instance("r2", 1)
        status, out, _ = self.run_command(*arguments)
        self.assertEqual(1, status)
        self.assertIn("no answer: r2", out)

    def test_log_down_exits_1(self):
        self.log.down = True
        status, _, err = self.publish("-1")
        self.assertEqual(1, status)
        self.assertIn("nothing was published", err)

    def test_errors_are_printed_without_traceback(self):
        for arguments in (
            ["router", "--settings", str(self.folder / "none")],
            ["config", "check", str(self.folder)],
            ["settings", "check", "nobody", "x"],
            ["config", "show", "--log", "no address"],
            ["config", "status", "--instances", "http://127.0.0.1:1"],
        ):
            result = subprocess.run(
                [sys.executable, "-c",
                 "import sys; from teaselsill import commands;"
                 "sys.exit(commands.main(sys.argv[1:]))", *arguments],
                capture_output=True, text=True, timeout=30, check=False,
            )  # fmt: skip
            self.assertEqual(1, result.returncode, result.stderr)
            self.assertNotIn("Traceback", result.stderr)
            self.assertTrue(result.stderr.strip())
