"""A small fleet on loopback addresses, with stand-ins for clients, replicas, the platform's list and the operator."""
import atexit
import concurrent.futures
import json
import os
import random
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
ZONES = ["zone-a", "zone-b", "zone-c"]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
T0 = time.monotonic()
FLEETS = []


class CannotRun(Exception):
    """The case could not be set up; says nothing of the rule."""


class Record:
    """What was sent, answered and run, one line each, in record.txt of the case's folder."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.file.write("%8.3f %s\n" % (time.monotonic() - T0, text))
            self.file.flush()


# ---- HTTP over plain sockets -------------------------------------------------------------------------------------

class Closed(Exception):
    """The connection ended before the message was whole."""


class Wire:
    """A socket with a buffer, reading HTTP/1.1 messages."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""

    def more(self):
        try:
            data = self.sock.recv(65536)
        except (ConnectionError, socket.timeout) as error:
            raise Closed(type(error).__name__) from error
        if not data:
            raise Closed("end of stream")
        self.buffer += data

    def line(self):
        while b"\r\n" not in self.buffer:
            self.more()
        line, self.buffer = self.buffer.split(b"\r\n", 1)
        return line

    def exactly(self, count):
        while len(self.buffer) < count:
            self.more()
        data, self.buffer = self.buffer[:count], self.buffer[count:]
        return data

    def head(self):
        first = self.line().decode("latin-1")
        fields = {}
        while True:
            line = self.line().decode("latin-1")
            if not line:
                return first, fields
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()

    def body_pieces(self, fields, until_close=False):
        if fields.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int(self.line().split(b";")[0], 16)
                if size == 0:
                    while self.line():
                        pass
                    return
                yield self.exactly(size)
                self.exactly(2)
        elif "content-length" in fields:
            yield self.exactly(int(fields["content-length"]))
        elif until_close:
            while True:
                if self.buffer:
                    data, self.buffer = self.buffer, b""
                    yield data
                try:
                    self.more()
                except Closed as closed:
                    if str(closed) == "end of stream":
                        return
                    raise

    def body(self, fields, until_close=False):
        return b"".join(self.body_pieces(fields, until_close))


class Answer:
    """What a client got. `status` is 0 without a head; `whole` says that the answer ended by its own framing."""

    def __init__(self):
        self.status, self.fields, self.body, self.whole, self.error, self.sent = 0, {}, b"", False, "", False

    def __str__(self):
        return "status %d, %d bytes, %s%s" % (self.status, len(self.body), "whole" if self.whole else "NOT whole",
                                               " (" + self.error + ")" if self.error else "")


class Connection:
    """A client's kept connection."""

    def __init__(self, address, timeout=10):
        self.wire = Wire(socket.create_connection(address, timeout=min(timeout, 2)))
        self.wire.sock.settimeout(timeout)
        self.wire.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def close(self):
        self.wire.sock.close()

    def ask(self, method, path, fields, body=b""):
        answer = Answer()
        try:
            head = "%s %s HTTP/1.1\r\n" % (method, path)
            for name, value in fields.items():
                head += "%s: %s\r\n" % (name, value)
            if body or method in ("POST", "PUT", "PATCH"):
                head += "Content-Length: %d\r\n" % len(body)
            self.wire.sock.sendall(head.encode() + b"\r\n" + body)
            answer.sent = True
            first, answer.fields = self.wire.head()
            answer.status = int(first.split()[1])
            for piece in self.wire.body_pieces(answer.fields, until_close=True):
                answer.body += piece
            answer.whole = True
        except (Closed, OSError) as error:
            answer.error = str(error) or type(error).__name__
        return answer


def ask(address, method, path, fields, body=b"", timeout=10):
    """One request on a connection of its own."""
    try:
        connection = Connection(address, timeout)
    except OSError as error:
        answer = Answer()
        answer.error = str(error)
        return answer
    try:
        return connection.ask(method, path, fields, body)
    finally:
        connection.close()


# ---- stand-ins ---------------------------------------------------------------------------------------------------

class Server:
    """Accepts connections and serves each on a thread of its own."""

    def __init__(self, ip, port):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((ip, port))
        self.listener.listen(256)
        self.address = "%s:%d" % self.listener.getsockname()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve_quietly, args=(sock,), daemon=True).start()

    def serve_quietly(self, sock):
        try:
            wire = Wire(sock)
            while True:
                first, fields = wire.head()
                method, path, _ = first.split(" ", 2)
                body = wire.body(fields)
                if not self.serve(wire, method, path, fields, body):
                    return
        except (Closed, OSError, ValueError):
            pass
        finally:
            sock.close()

    def serve(self, wire, method, path, fields, body):
        raise NotImplementedError

    @staticmethod
    def send(wire, status, fields, body=b""):
        head = "HTTP/1.1 %d X\r\n" % status
        for name, value in fields.items():
            head += "%s: %s\r\n" % (name, value)
        wire.sock.sendall((head + "Content-Length: %d\r\n\r\n" % len(body)).encode() + body)


class Replica(Server):
    """A sound replica: answers every request that names it, streams events on POST to /turn paths."""

    def __init__(self, ip, service, zone, record, port=0):
        super().__init__(ip, port)
        self.id, self.service, self.zone, self.record = "i-" + secrets.token_hex(4), service, zone, record
        self.state = "ready"
        self.events, self.event_pause_s, self.work_s = 4, 0.01, 0.02
        self.runs = []
        self.arrivals = []
        self.lock = threading.Lock()

    def entry(self):
        return {"Id": self.id, "Service": self.service, "Address": self.address, "Zone": self.zone, "Revision": "v1",
                "SlotCount": 8, "State": self.state, "ColdLeftMs": 0}

    def serve(self, wire, method, path, fields, body):
        if path == "/health":
            self.send(wire, 200, {"Mosskeel-Replica-Id": self.id})
            return True
        attempt = fields.get("mosskeel-attempt-id", "")
        if fields.get("mosskeel-target-replica", self.id) != self.id:
            self.send(wire, 421, {"Mosskeel-Attempt-Id": attempt, "Mosskeel-Not-Run": "1"})
            return True
        seal = secrets.token_hex(8)
        with self.lock:
            self.runs.append((attempt, path, body))
            self.arrivals.append((time.monotonic(), attempt))
        self.record("run     %s at %s: %s %s, %d bytes" % (attempt, self.id, method, path, len(body)))
        return self.work(wire, attempt, seal, path, fields, body)

    def work(self, wire, attempt, seal, path, fields, body):
        del fields, body
        time.sleep(self.work_s)
        head = {"Mosskeel-Attempt-Id": attempt, "Mosskeel-Server-Seal": seal, "Mosskeel-Weight-Versions": "1"}
        if not path.startswith("/turn"):
            self.send(wire, 200, head, ("done " + attempt + "\n").encode())
            return True
        text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        for name, value in head.items():
            text += "%s: %s\r\n" % (name, value)
        wire.sock.sendall((text + "\r\n").encode())
        for number in range(1, self.events + 1):
            event = ("id: %d\ndata: %s-%d\n\n" % (number, attempt, number)).encode()
            wire.sock.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            time.sleep(self.event_pause_s)
        wire.sock.sendall(b"0\r\n\r\n")
        return True

    def output_of(self, attempt):
        """What the chain holds of a turn that this replica ran."""
        return "".join("%s-%d\n" % (attempt, number) for number in range(1, self.events + 1)).encode()


class ReplicaList(Server):
    """The platform's list of replicas."""

    def __init__(self, ip, replicas):
        self.replicas = replicas
        super().__init__(ip, 0)

    def serve(self, wire, method, path, fields, body):
        del method, path, fields, body
        page = {"Replicas": [replica.entry() for replica in self.replicas], "NextToken": None}
        self.send(wire, 200, {"Content-Type": "application/json"}, json.dumps(page).encode())
        return True


# ---- the fleet ---------------------------------------------------------------------------------------------------

class Daemon:
    """One process of the project, started as the deploy file says."""

    def __init__(self, fleet, program, machine):
        self.fleet, self.program, self.machine = fleet, program, machine
        self.name = program + "@" + machine["name"]
        self.process = None

    def start(self, first_start=False):
        path = os.path.join(self.fleet.folder, self.name + ".toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.fleet.settings(self.program, self.machine, first_start))
        log = open(os.path.join(self.fleet.folder, self.name + ".log"), "ab")
        environment = {"PATH": os.environ["PATH"], "HOME": self.fleet.folder, "MOSSKEEL_CONFIG": path}
        self.process = subprocess.Popen(["target/bin/" + self.program], cwd=ROOT, env=environment, stdout=log,
                                        stderr=log)
        self.fleet.record("start   %s" % self.name)

    def signal(self, number):
        self.fleet.record("signal  %s to %s" % (signal.Signals(number).name, self.name))
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def stop_in_order(self, grace_s=8):
        """SIGTERM, and SIGKILL after GraceS."""
        self.signal(signal.SIGTERM)
        try:
            self.process.wait(grace_s)
            self.fleet.record("ended   %s with %s" % (self.name, self.process.returncode))
        except subprocess.TimeoutExpired:
            self.kill()

    def lose_disk(self, down_s):
        """The machine goes dark and comes back at its address with an empty disk, which is no first start."""
        self.kill()
        shutil.rmtree(os.path.join(self.fleet.folder, "data-" + self.machine["name"]))
        self.fleet.record("disk    of %s is empty" % self.name)
        time.sleep(down_s)
        self.start()


class Fleet:
    """Three machines of each class, one in each zone, or more fronts."""

    def __init__(self, record, fronts_per_zone=1):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="mosskeel-review-")
        net = "127.%d.%d." % (random.randrange(64, 250), random.randrange(1, 250))
        self.net = net
        self.port = random.randrange(15000, 30000)
        self.machines = {}
        self.daemons = {}
        number = 10
        for role, programs in (("core", ["controller"]), ("storage", ["store"]), ("front", ["agent", "gateway"])):
            for zone in ZONES:
                number += 1
                self.add_machine("%s-%s" % (role, zone), role, zone, net + str(number), programs)
        for zone in ZONES:
            for index in range(2, fronts_per_zone + 1):
                number += 1
                self.add_machine("front-%s-%d" % (zone, index), "front", zone, net + str(number), ["agent", "gateway"])
        self.stub_ip = net + "2"
        self.replicas = []
        self.list = ReplicaList(self.stub_ip, self.replicas)
        self.operator_turn = 0
        FLEETS.append(self)
        atexit.register(self.end)

    def add_machine(self, name, role, zone, ip, programs):
        machine = {"name": name, "class": role, "zone": zone, "ip": ip}
        self.machines[name] = machine
        for program in programs:
            daemon = Daemon(self, program, machine)
            self.daemons[daemon.name] = daemon

    def settings(self, program, machine, first_start):
        seeds = ['"%s:%d"' % (m["ip"], self.port + 20) for m in self.machines.values() if m["class"] == "core"][:3]
        lines = ['NodeName = "%s"' % machine["name"], 'Role = "%s"' % program,
                 'MachineClass = "%s"' % machine["class"], 'Ip = "%s"' % machine["ip"],
                 'Zone = "%s"' % machine["zone"], 'Region = "region"',
                 "InternalPorts = [%d,%d]" % (self.port, self.port + 15), "SeedNodes = [%s]" % ",".join(seeds),
                 "FirstStart = %s" % ("true" if first_start else "false"),
                 "LossCounted = %s" % ("false" if machine["class"] == "front" else "true")]
        if machine["class"] != "front":
            lines.append('DataDir = "%s"' % os.path.join(self.folder, "data-" + machine["name"]))
        lines += ["[ListenAddrs]", 'ControlPlane = "%s:%d"' % (machine["ip"], self.port + 20),
                  'FrontHttp = "%s:%d"' % (machine["ip"], self.port + 21),
                  'Readiness = "%s:%d"' % (machine["ip"], self.port + 22),
                  "[Limits]", "MemoryMb = 260", "FileDescriptors = 4100", "[ToleratedLosses]", "Machines = 1",
                  "Zones = 1", "Regions = 0", "[CloudApi]", 'Address = "%s"' % self.list.address, "RatePerS = 40.0",
                  "MaxLagMs = 800"]
        return "\n".join(lines) + "\n"

    def add_replicas(self, service, per_zone, make=Replica):
        for zone in ZONES:
            for _ in range(per_zone):
                self.replicas.append(make(self.stub_ip, service, zone, self.record))

    def start(self):
        for daemon in self.daemons.values():
            daemon.start(first_start=True)

    def fronts(self):
        return [m for m in self.machines.values() if m["class"] == "front"]

    def front_http(self, machine):
        return (machine["ip"], self.port + 21)

    def is_ready(self, machine):
        return ask((machine["ip"], self.port + 22), "GET", "/v1/ready", {"Host": "x"}, timeout=1).status == 200

    def await_ready(self, seconds=40, fronts=None):
        end = time.monotonic() + seconds
        waiting = list(fronts or self.fronts())
        while waiting and time.monotonic() < end:
            waiting = [m for m in waiting if not self.is_ready(m)]
            time.sleep(0.1)
        if waiting:
            raise CannotRun("not ready: " + ", ".join(m["name"] for m in waiting))

    def operate(self, method, path, fields=None, body=b"", seconds=10):
        """An operator's call: goes on to another controller after a failure, until there is a clear answer."""
        cores = [m for m in self.machines.values() if m["class"] == "core"]
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.operator_turn += 1
            core = cores[self.operator_turn % len(cores)]
            answer = ask((core["ip"], self.port + 20), method, path, dict({"Host": "x"}, **(fields or {})), body,
                         timeout=1 + len(body) / 1e6)
            self.record("operate %s %s at %s: %s" % (method, path, core["name"], answer))
            if answer.whole and answer.status < 500 and answer.status not in (307, 408, 429):
                return answer
            time.sleep(0.2)
        raise CannotRun("no clear answer to %s %s" % (method, path))

    def configure(self, routes, services, revision=1, base=0):
        limits = {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}
        document = {"Revision": revision, "Routes": routes, "Services": services, "Limits": limits}
        answer = self.operate("PUT", "/v1/config", {"If-Match": str(base), "Content-Type": "application/json"},
                              json.dumps(document).encode(), seconds=20)
        if answer.status != 200:
            raise CannotRun("configuration refused: %d %r" % (answer.status, answer.body))

    def end(self):
        for daemon in self.daemons.values():
            if daemon.process and daemon.process.poll() is None:
                daemon.process.kill()
        for daemon in self.daemons.values():
            if daemon.process:
                daemon.process.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, service, kind="streaming", **more):
    item = {"Name": name, "Host": "fleet.example", "PathPrefix": "/%s/" % name, "RouteKind": kind, "TimeoutMs": 4000,
            "TargetLatencyMs": 250, "Priority": 0, "Service": service, "MaxAttempts": 2}
    item.update(more)
    return item


def service(name, model=True):
    item = {"Name": name, "HealthPath": "/health", "MaxConnections": 230, "Protocol": "h1", "TlsEnabled": False,
            "ColdStartS": 0.0, "ColdPerS": 0.0}
    if model:
        item["Runtime"] = {"SlotCount": 32, "CacheTokens": 197627, "TokenSizeBytes": 131072, "TokensPerEvent": 4,
                           "Models": [{"Name": "m"}]}
    return item


class Program:
    """One line of turns of a program, on a route that retains them."""

    def __init__(self, fleet, prefix, budget=1 << 20):
        self.fleet, self.prefix, self.budget = fleet, prefix, budget
        self.id, self.session = secrets.token_hex(4), secrets.token_hex(4)
        self.previous = ""
        self.chain = b""
        # The aim of the program as a whole.
        self.ends_at = time.monotonic() + 100

    def turn(self, front, text, time_left_ms=4000, previous=None):
        """One try. Returns its id and the answer; a whole one goes into the chain."""
        attempt = secrets.token_hex(8)
        fields = {"Host": "fleet.example", "Mosskeel-Attempt-Id": attempt, "Mosskeel-Program-Id": self.id,
                  "Mosskeel-Session-Id": self.session, "Mosskeel-Program-Time-Left": str(int((self.ends_at - time.monotonic()) * 1000)),
                  "Mosskeel-Token-Budget": str(self.budget),
                  "Mosskeel-Token-Count": "%d,16" % (len(self.chain + text) // 5 + 1),
                  "Mosskeel-Time-Left": str(time_left_ms), "Content-Type": "text/plain"}
        goes_on_from = self.previous if previous is None else previous
        if goes_on_from:
            fields["Mosskeel-Previous-Turn"] = goes_on_from
        record = self.fleet.record
        record("send    %s to %s: turn of program %s after %s, %d bytes" % (attempt, front["name"], self.id,
                                                                            goes_on_from or "none", len(text)))
        answer = ask(self.fleet.front_http(front), "POST", self.prefix, fields, text, timeout=time_left_ms / 1000 + 1)
        reason = answer.body[:100] if answer.status != 200 else b""
        record("answer  %s: %s %s" % (attempt, answer, reason.decode(errors="replace").strip()))
        return attempt, answer

    def go_on(self, attempt, text, output):
        self.chain += text + output
        self.previous = attempt

    def serve(self, fronts, text, tries):
        """One turn, sent again as a client does. The statuses of its tries; the last is 200 where it was served."""
        statuses = []
        for number in range(tries):
            attempt, answer = self.turn(fronts[number % len(fronts)], text)
            statuses.append(answer.status)
            if answer.status == 200 and answer.whole:
                self.go_on(attempt, text, self.fleet.replicas[0].output_of(attempt))
                return statuses
            if answer.status in (400, 402, 404, 410, 413):
                return statuses
            time.sleep(0.4)
        return statuses


def large_program(fleet, fronts, lines, turns_a_line, input_bytes):
    """A program with many helpers: all lines of turns share the program's id. Returns the lines."""
    first = Program(fleet, "/turn/a")

    def line(_):
        helper = Program(fleet, "/turn/a")
        helper.id, helper.ends_at = first.id, first.ends_at
        for number in range(turns_a_line):
            if helper.serve(fronts, b"x" * input_bytes, 12)[-1] != 200:
                raise CannotRun("turn %d of a line was not served before the disruption" % number)
        return helper

    with concurrent.futures.ThreadPoolExecutor(4) as pool:
        return list(pool.map(line, range(lines)))


def main(case):
    """Runs a case: it returns what broke the rule, or nothing."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(folder)

    def out_of_time(*_):
        record("cannot run: out of time")
        for fleet in FLEETS:
            fleet.end()
        os._exit(2)

    signal.signal(signal.SIGTERM, out_of_time)
    record("trouble %s" % ("on" if TROUBLE else "off"))
    try:
        broken = case(record)
    except CannotRun as reason:
        record("cannot run: %s" % reason)
        print("cannot run:", reason)
        sys.exit(2)
    record("rule %s" % ("BROKEN: " + broken if broken else "held"))
    print("BROKEN: " + broken if broken else "held")
    sys.exit(1 if broken else 0)
