"""Notes are delivered by a service that answers 201. Some of its answers have no length and end with their
connection."""

import http.client
import os
import sys
import threading

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, ".."))
from rig import HOST, CannotRun, play  # noqa: E402

SPOILING = 0.6     # of the servers
SPOILT = 0.03      # of their answers
LINES, NOTES = 8, 250
ROUTE = {"name": "r-notes", "host": HOST, "pathStart": "/notes/", "kind": "one_shot", "timeoutMs": 3000,
         "targetMs": 600, "priority": 2, "service": "agent-llm", "tries": 1, "remembered": False, "sticky": False,
         "resume": False, "gap_aim_ms": 0}


def body_for(try_id):
    return ("note %s is filed; " % try_id).encode() * 20


def scenario(rig, trouble):
    rig.add_servers("agent-llm")
    spoiling = {server.id for server in rig.servers[:int(SPOILING * len(rig.servers))]}
    unframed = set()

    def answer(handler, server, try_id, *_):
        body = body_for(try_id)
        without = trouble and server.id in spoiling and rig.random.random() < SPOILT
        handler.send_response_only(201)
        handler.send_header("Try-Id", try_id)
        handler.send_header("Server-Seal", "%s.%s" % (server.id, try_id))
        if without:
            unframed.add(try_id)
            rig.record.line("%s answers %s with 201, without a length, %d bytes" % (server.id, try_id, len(body)))
            handler.send_header("Connection", "close")
            handler.close_connection = True
        else:
            handler.send_header("Content-Length", str(len(body)))
        handler.end_headers()
        handler.wfile.write(body)

    rig.handle_run = answer
    rig.start()
    rig.configure(more_routes=[ROUTE])
    rig.wait_ready(rig.proxies, 15)
    wrong, served, failed = [], [], []

    def line(number):
        proxy = rig.proxies[number % len(rig.proxies)]
        connection = http.client.HTTPConnection(proxy.ip, rig.ports["public"], timeout=4)
        for _ in range(NOTES):
            got, try_id = rig.note(connection, "a note")
            if not got or got[0] // 100 != 2:
                rig.record.line("client: %s at %s: %s" % (try_id, proxy.name, got and got[0]))
                failed.append(try_id)
            elif got[2] == body_for(try_id):
                served.append(try_id)
            else:
                rig.record.line("client: %s at %s: %d, Server-Seal %s, whole by its length, %d bytes, not the server's %d"
                                % (try_id, proxy.name, got[0], got[1].get("Server-Seal"), len(got[2]),
                                   len(body_for(try_id))))
                wrong.append(try_id)
        connection.close()

    threads = [threading.Thread(target=line, args=(n,)) for n in range(LINES)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    rig.record.line("of %d notes %d were answered with the server's body, %d with another body, %d not by a success; "
                    "%d answers had no length" % (LINES * NOTES, len(served), len(wrong), len(failed), len(unframed)))
    if len(served) < LINES * NOTES / 2:
        raise CannotRun("too few were served")
    return bool(wrong)


sys.exit(play(HERE, scenario))
