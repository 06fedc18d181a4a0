"""Callers that take large answers slowly, on connections with the segment size of Ethernet.

Usage: slow_callers.py IP PORT CALLERS TARGET HOST KEY DEADLINE_MS READ_BYTES READ_MS
Each caller opens a connection, sends one request and reads READ_BYTES every READ_MS; 0 ms reads
without a pause. Prints one line for each caller that has read its answer or lost its connection.
"""

import socket
import sys
import threading
import time

SEGMENT_BYTES = 1460  # What a caller on Ethernet states; that of the loopback interface is 65,495.
RECEIVE_BUFFER_BYTES = 16 * 1024
INTERVAL_S = 0.012


def call(ip, port, number, target, host, key, deadline_ms, read_bytes, read_ms):
    received = 0
    length = None
    head = b""
    try:
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as caller:
            caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
            if read_ms:
                caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            caller.settimeout(deadline_ms / 1000)
            caller.connect((ip, port))
            caller.sendall(
                (
                    f"GET {target} HTTP/1.1\r\nHost: {host}\r\n"
                    f"X-Samphiredyke-Request-Id: slow-{number}\r\n"
                    f"X-Samphiredyke-Deadline-Ms: {deadline_ms}\r\n"
                    f"Authorization: Bearer {key}\r\n\r\n"
                ).encode()
            )
            while length is None or received < length:
                part = caller.recv(read_bytes)
                if not part:
                    print(f"slow-{number}: the connection ended after {received} bytes", flush=True)
                    return
                if length is None:
                    head += part
                    end = head.find(b"\r\n\r\n")
                    if end < 0:
                        continue
                    for line in head[:end].decode("latin-1").split("\r\n")[1:]:
                        name, value = line.split(":", 1)
                        if name.lower() == "content-length":
                            length = int(value)
                    status = head[:end].split(b" ")[1].decode()
                    received = len(head) - end - 4
                else:
                    received += len(part)
                if read_ms:
                    time.sleep(read_ms / 1000)
            print(f"slow-{number}: status {status}, whole answer of {received} bytes", flush=True)
    except OSError as failure:
        print(f"slow-{number}: {failure} after {received} bytes", flush=True)


def main():
    ip, port, callers, target, host, key, deadline_ms, read_bytes, read_ms = sys.argv[1:]
    threading.stack_size(256 * 1024)
    for number in range(int(callers)):
        arguments = (ip, int(port), number, target, host, key, int(deadline_ms), int(read_bytes), int(read_ms))
        threading.Thread(target=call, args=arguments, daemon=True).start()
        time.sleep(INTERVAL_S)
    for thread in threading.enumerate():
        if thread is not threading.current_thread():
            thread.join()


main()
