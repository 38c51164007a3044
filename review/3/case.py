"""A partner that is down for 20 s returns cold when a clump of messages for it arrives."""
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import rig  # noqa: E402

CAPACITY = 10  # calls a second of the whole partner when it is warm
OUTAGE = 20.0  # seconds; the page: 7.3 to 22 s
# ENTRY=1 tries the third entry of KNOWN-RED.txt instead: the partner fails all calls for 10 s ("destinations fail for
# 10 s and come back cold"), one charge is answered with 500 meanwhile. ENTRY=2: the relay is also killed and started
# again during the outage.
ENTRY = os.environ.get("ENTRY", "0")
CLUMP = 30  # as many as the warm partner takes in 3 s; the page: 1.1 to 3.5 s


def long_outage(partner, client):
    if rig.TROUBLE:
        partner.begin_outage("hung")
    time.sleep(0.2)
    # Handed in again after a refusal, with 2.5 s of its time left. Its call gets no answer.
    client.submit("status-update", 7, 2500, retry=True)
    time.sleep(OUTAGE - 0.2)
    if rig.TROUBLE:
        partner.end_outage()


def failing_outage(record, relay, partner, clients):
    if rig.TROUBLE:
        partner.begin_outage("failing")
    began = time.monotonic()
    time.sleep(0.2)
    clients[0].submit("charge", 7, 16000)
    time.sleep(4)
    if rig.TROUBLE and ENTRY == "2":
        relay.kill()
        time.sleep(0.6)
        relay.start()
        clients = [rig.Client(record, relay) for _ in range(CLUMP)]
    time.sleep(10 - (time.monotonic() - began))
    if rig.TROUBLE:
        partner.end_outage()
    return clients


def case(record, scratch, relays):
    settings = rig.site_settings(Rules__Cold=8000000)  # the site file: 7.9 to 10 s
    partner = rig.Destination(record, 7, "payment-provider", CAPACITY, 2, settings)
    known = {"index": 41, "snapshot": True, "endpoints": [endpoint.entry() for endpoint in partner.endpoints]}
    platform = rig.Platform(record, known["endpoints"])
    relay = rig.Relay(record, scratch, "n0", platform, settings, known)
    relays.append(relay)
    relay.start()
    clients = [rig.Client(record, relay) for _ in range(CLUMP)]
    time.sleep(1)
    for _ in range(5):  # the ordinary traffic for this partner
        clients[0].submit("status-update", 7, 8000)
        time.sleep(1)
    if ENTRY == "0":
        long_outage(partner, clients[0])
    else:
        clients = failing_outage(record, relay, partner, clients)
    time.sleep(0.2)
    for client in clients:
        client.submit("status-update", 7, 8000)
        time.sleep(0.01)
    time.sleep(5)
    record.add("summary", told_of_the_outage=partner.outage_seen, fell=partner.fallen,
               calls_after_return=len([a for a in partner.arrivals if partner.returned_at and
                                       a > partner.returned_at]))
    # The only relay has been told, so that all calls come from relays that have been told.
    return ["the partner fell over"] if partner.fallen and partner.outage_seen else []


rig.run_case(HERE, case)
