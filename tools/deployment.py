"""Starts deployments of poplarshed on loopback, for the demo and for measurements."""
import json
import pathlib
import signal
import subprocess
import tempfile
import threading
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
START_LIMIT_S = 30
STOP_LIMIT_S = 20
OPERATOR_TOKEN = "demo-token"
CLUSTER_KEY = "a shared key for the demo only"


class Deployment:
    """The processes of the demo; each is ended by its process id."""

    def __init__(self, build):
        self.bin = pathlib.Path(build) / "bin"
        self.folder = tempfile.TemporaryDirectory(prefix="poplarshed-demo-")
        self.processes = []

    def start(self, program, *arguments):
        """Starts a program and returns the JSON line that it prints when it is ready."""
        process = subprocess.Popen(
            [str(self.bin / program), *map(str, arguments)], stdout=subprocess.PIPE, text=True)
        self.processes.append(process)
        for line in process.stdout:
            value = json.loads(line)
            if "level" not in value:  # a log line has one
                # Keeps the pipe empty, so that the process never waits for its log to be read.
                threading.Thread(target=process.stdout.read, daemon=True).start()
                return value
        raise RuntimeError(f"{program} did not start; exit code {process.wait()}")

    def write(self, name, content):
        path = pathlib.Path(self.folder.name) / name
        path.write_text(json.dumps(content, indent=2))
        return path

    def stop(self):
        """Ends the entry instances first, so that they can hand over while the platform still answers."""
        entries = [process for process in self.processes if process.args[0].endswith("poplarshed-entry")]
        others = [process for process in self.processes if process not in entries]
        for group in (entries, others):
            for process in group:
                process.send_signal(signal.SIGTERM)
            for process in group:
                try:
                    process.wait(timeout=STOP_LIMIT_S)
                except subprocess.TimeoutExpired:
                    process.kill()
        self.folder.cleanup()


def call(method, url, body=None, headers=None):
    """Returns status and JSON body of an HTTP call."""
    data = json.dumps(body).encode() if body is not None else (b"" if method == "POST" else None)
    request = urllib.request.Request(url, data=data, method=method, headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=30) as answer:
            return answer.status, answer.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()


def wait_until(condition, what):
    end = time.monotonic() + START_LIMIT_S
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.1)
    raise RuntimeError(f"{what} took longer than {START_LIMIT_S} s")


def is_ready(address):
    try:
        return call("GET", f"http://{address}/readyz")[0] == 200
    except OSError:
        return False


def roll_out(deployment, platform, bundle):
    """Proposes, signs off and rolls out a bundle, as two operators would."""
    ctl = deployment.bin / "poplarshedctl"
    file = deployment.write("bundle.json", bundle)
    common = [str(ctl), "--platform", platform, "config"]
    subprocess.run([*common, "propose", str(file), "--operator", "anita"], check=True, stdout=subprocess.DEVNULL)
    shown = subprocess.run([*common, "show", "1", "--output", "json"], check=True, stdout=subprocess.PIPE, text=True)
    digest = json.loads(shown.stdout)["digest"]
    subprocess.run([*common, "sign-off", "1", "--operator", "giorgio", "--digest", digest], check=True)
    subprocess.run([*common, "roll-out", "1", "--operator", "anita"], check=True)


def start_upstreams(deployment, platform, groups):
    """Starts stand-in runners and lists them at the platform. A group is (data centre, count, further arguments).
    Returns the control port of each group."""
    instances, controls = [], []
    for data_centre, count, arguments in groups:
        upstream = deployment.start("stand-in-upstream", "--runners", count, "--data-centre", data_centre, *arguments)
        controls.append(upstream["control"])
        instances += json.loads(call("GET", f"http://127.0.0.1:{upstream['control']}/instances")[1])["instances"]
    call("POST", f"http://127.0.0.1:{platform['control']}/instances?at_once", {"instances": instances})
    return controls


def start_entries(deployment, platform_address, data_centres, extra_settings=None):
    """Starts one entry instance for each name in `data_centres`. Returns pairs of data centre and HTTP address."""
    # Every instance has to know all data centres, also those without a seed address yet; nothing listens at port 1.
    peers = [{"address": "127.0.0.1:1", "data_centre": name} for name in sorted(set(data_centres))]
    entries = []
    for number, data_centre in enumerate(data_centres):
        settings = {
            "instance": {"address": "127.0.0.1", "data_centre": data_centre},
            "http": {"listen": "127.0.0.1:0"},
            "inner": {"listen": "127.0.0.1:0", "key": CLUSTER_KEY, "peers": peers},
            "platform": {"address": platform_address},
            "operator": {"token": OPERATOR_TOKEN},
            "log": {"level": "error"},
            **(extra_settings or {}),
        }
        ready = deployment.start("poplarshed-entry", "--settings", deployment.write(f"entry-{number}.json", settings))
        peers = [*peers, {"address": ready["inner"], "data_centre": data_centre}]
        entries.append((data_centre, ready["http"]))
    return entries


def wait_for_entries(entries):
    """Waits until every instance is ready, is in its view and has two registrars."""
    def settled(address):
        status = json.loads(status_of(address))
        return status["ready"] and status["member"] and not status["single_registrar"]

    wait_until(lambda: all(is_ready(address) and settled(address) for _, address in entries), "getting ready")


def status_of(address):
    return call("GET", f"http://{address}/v1/status", headers={"Authorization": f"Bearer {OPERATOR_TOKEN}"})[1]
