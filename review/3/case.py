"""Eight of nine front machines go for good; then the operator changes the configuration and evacuates a zone."""
import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import fleet as f  # noqa: E402

# The site has 6 front machines and 3 spare ones; LossCounted is false on all of them.
FRONTS_PER_ZONE, GONE = 3, 8
CONTACT_S, ACK_S, SETTLING_S, ASKED_S = 3, 4, 12, 25


def order(fleet, method, path, fields, body=b""):
    """Sends an order again and again, as an operator does; the seconds until its acknowledgement, or nothing."""
    cores = [m for m in fleet.machines.values() if m["class"] == "core"]
    begun = time.monotonic()
    turn = 0
    while time.monotonic() < begun + ASKED_S:
        core = cores[turn % len(cores)]
        answer = f.ask((core["ip"], fleet.port + 20), method, path, dict({"Host": "x"}, **fields), body, timeout=1)
        fleet.record("operate %s %s at %s: %s %s" % (method, path, core["name"], answer, answer.body[:150]))
        if answer.whole and 200 <= answer.status < 300:
            return time.monotonic() - begun
        if answer.whole and 400 <= answer.status < 500:
            raise f.CannotRun("the order was refused: %d" % answer.status)
        turn += 1
        time.sleep(min(1, 0.1 * turn))
    return None


def case(record):
    fleet = f.Fleet(record, FRONTS_PER_ZONE)
    fleet.add_replicas("ci-api", 2)
    fleet.start()
    time.sleep(1)
    routes = [f.route("status", "ci-api", kind="safe", TimeoutMs=1200, TargetLatencyMs=150)]
    services = [f.service("ci-api", model=False)]
    fleet.configure(routes, services)
    fleet.await_ready()
    # All that start are counted in by then: an order is acknowledged at once.
    time.sleep(5)
    routes[0]["TimeoutMs"] = 1100
    fleet.configure(routes, services, 2, 1)
    if f.TROUBLE:
        for front in fleet.fronts()[1:1 + GONE]:
            for program in ("gateway", "agent"):
                fleet.daemons[program + "@" + front["name"]].kill()
        record("%d front machines are gone for good" % GONE)
    # The core has not been touched; it is settled, and what is left is in touch.
    time.sleep(CONTACT_S + SETTLING_S)
    fleet.await_ready(5, fleet.fronts()[:1])
    served = f.ask(fleet.front_http(fleet.fronts()[0]), "GET", "/status/x",
                   {"Host": "fleet.example", "Mosskeel-Attempt-Id": "1", "Mosskeel-Time-Left": "1200"})
    record("a request at the machine that is left: %s" % served)
    if served.status != 200:
        raise f.CannotRun("the machine that is left does not serve")
    routes[0]["TimeoutMs"] = 1000
    document = {"Revision": 3, "Routes": routes, "Services": services}
    changed = order(fleet, "PUT", "/v1/config", {"If-Match": "2", "Content-Type": "application/json"},
                    json.dumps(document).encode())
    evacuated = order(fleet, "POST", "/v1/evacuate/zone-b", {})
    record("acknowledged: configuration after %s s, evacuation after %s s" % (changed, evacuated))
    late = [name for name, after in (("the configuration", changed), ("the evacuation", evacuated))
            if after is None or after > ACK_S]
    return "no acknowledgement within AckMs, nor within %d s: %s" % (ASKED_S, ", ".join(late)) if late else ""


f.main(case)
