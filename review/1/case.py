"""Upgrades of one relay under ordinary load, while a peer has gone quiet in the middle of its request."""
import os
import socket
import statistics
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import rig  # noqa: E402

PARTNERS = 8  # with two endpoints each: 16 endpoints, as many as the site has today
CLIENTS = 16
BODY_BYTES = 40 * 1024
UPGRADES = 40
# The last group of charges of an upgrade is handed in this long before the old process is expected to end:
# one of these in turn. All other groups come at arbitrary moments.
LEADS = (0.008, 0.010, 0.011, 0.012, 0.013, 0.015)


def quiet_peer(record, relay):
    """Sends the first part of a request, then nothing, and leaves the connection open."""
    sock = socket.create_connection(("127.0.0.1", relay.port), timeout=5)
    sock.sendall(b"POST /charge HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: 0123456789abcdef\r\n"
                 b"X-Class: charge\r\nX-Deadline: 16000m\r\nContent-Length: 500\r\n"
                 b"X-Consignee: dest=1\r\n\r\nabc")
    record.add("quiet_peer", sent="header and 3 of 500 bytes")
    return sock


def hand_in_charges(clients):
    """Each client hands in one charge; the clients do so side by side."""
    threads = [threading.Thread(target=client.submit,
                                args=("charge", 1 + number % PARTNERS, 16000, os.urandom(BODY_BYTES)))
               for number, client in enumerate(clients)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


class Upgrade:
    """A second process beside the running one, with the limits of the page: 6 s, then SIGTERM, 3.7 s later
    SIGKILL. The old process has always ended by itself so far."""

    def __init__(self, record, relay):
        self.record = record
        self.relay = relay
        self.old = relay.process
        self.started = time.monotonic()
        relay.start(wait_ready=False)
        self.ended_after = None
        self.thread = threading.Thread(target=self.wait_for_old)
        self.thread.start()

    def wait_for_old(self):
        while self.old.poll() is None:
            elapsed = time.monotonic() - self.started
            if elapsed > 9.7:
                self.old.kill()
            elif elapsed > 6:
                self.old.terminate()
            time.sleep(0.0005)
        self.ended_after = time.monotonic() - self.started
        self.record.add("old_process_ended", code=self.old.returncode, after=f"{self.ended_after:.4f}")

    def finish(self):
        self.thread.join()
        self.relay.wait_until_ready()


def case(record, scratch, relays):
    endpoints = [rig.Endpoint(record, f"s-{group}-{number}", group, "payment-provider", weight=20.0)
                 for group in range(1, PARTNERS + 1) for number in range(2)]
    for endpoint in endpoints:
        endpoint.work_seconds = 0.16
    known = {"index": 41, "snapshot": True, "endpoints": [endpoint.entry() for endpoint in endpoints]}
    platform = rig.Platform(record, known["endpoints"])
    relay = rig.Relay(record, scratch, "n0", platform, rig.site_settings(), known)
    relays.append(relay)
    relay.start()
    clients = [rig.Client(record, relay) for _ in range(CLIENTS)]
    expected = 0.405
    durations = []
    for number in range(UPGRADES):
        for _ in range(2):
            hand_in_charges(clients)
            time.sleep(0.35)
        peer = quiet_peer(record, relay)
        time.sleep(0.02)
        began = time.monotonic()
        upgrade = Upgrade(record, relay) if rig.TROUBLE else None
        time.sleep(max(0.0, began + expected - LEADS[number % len(LEADS)] - time.monotonic()))
        hand_in_charges(clients)
        if upgrade:
            upgrade.finish()
            durations.append(upgrade.ended_after)
            expected = statistics.median(durations)
        peer.close()
        time.sleep(0.3)
    time.sleep(3)
    runs = {}
    for at, _, fields in record.of("ran"):
        runs.setdefault(fields["id"], []).append((round(at, 4), fields["endpoint"]))
    twice = {message_id: times for message_id, times in runs.items() if len(times) > 1}
    ended = [at for at, _, _ in record.of("old_process_ended")]
    hits = {min(range(len(ended)), key=lambda n: abs(ended[n] - times[0][0])) for times in twice.values()}
    record.add("summary", charges_handed_in=len(record.of("handed_in")), charges_run=len(runs),
               charges_run_twice=len(twice), upgrades=len(ended), upgrades_with_a_repeat=len(hits))
    return [f"charge {message_id} ran {len(times)} times: {times}" for message_id, times in twice.items()]


rig.run_case(HERE, case)
