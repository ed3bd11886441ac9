"""A replica that answers before it has read a long body, and whose answer has no length and ends with its connection.

usage: replica.py IP:PORT ID whole|held
With `whole` it reads on and sends its whole answer; with `held` it stands still in the middle of the answer until it is
killed, with a part of the request unread.
"""
import re
import socket
import sys
import threading
import time

WHOLE = b"0123456789abcdef" * 4096
FIRST = 20000


def serve(connection, name, held):
    connection.settimeout(20)
    data = b""
    while b"\r\n\r\n" not in data:
        piece = connection.recv(4096)
        if not piece:
            return
        data += piece
    head, _, rest = data.partition(b"\r\n\r\n")
    text = head.decode("latin-1")
    attempt = re.search(r"(?im)^Mosskeel-Attempt-Id:\s*(\S+)", text).group(1)
    length = re.search(r"(?im)^Content-Length:\s*(\d+)", text)
    left = (int(length.group(1)) if length else 0) - len(rest)
    print(f"run {attempt} {text.split()[0]} {text.split()[1]}", flush=True)
    connection.sendall((f"HTTP/1.1 200 OK\r\nMosskeel-Attempt-Id: {attempt}\r\nMosskeel-Server-Seal: {name}.{attempt}\r\n"
                        "Connection: close\r\n\r\n").encode() + WHOLE[:FIRST])
    print(f"begun {attempt}", flush=True)
    if held:
        time.sleep(60)
        return
    while left > 0:
        piece = connection.recv(1 << 16)
        if not piece:
            return
        left -= len(piece)
    connection.sendall(WHOLE[FIRST:])
    connection.shutdown(socket.SHUT_WR)
    print(f"ended {attempt}", flush=True)
    connection.recv(1)
    connection.close()


def main():
    host, port = sys.argv[1].split(":")
    server = socket.socket()
    server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Segments as on an Ethernet, since the buffers of a connection grow with them.
    server.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1460)
    server.bind((host, int(port)))
    server.listen(16)
    print("listening", flush=True)
    while True:
        connection, _ = server.accept()
        threading.Thread(target=serve, args=(connection, sys.argv[2], sys.argv[3] == "held"), daemon=True).start()


if __name__ == "__main__":
    main()
