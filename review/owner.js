// Tells which of the script's own processes holds a loopback connection.
import { readdirSync, readFileSync, readlinkSync } from "node:fs";

function toHex(port) {
  return port.toString(16).toUpperCase().padStart(4, "0");
}

/** Socket numbers that a process has open. */
function socketsOf(pid) {
  const sockets = new Set();
  for (const name of readdirSync(`/proc/${pid}/fd`)) {
    try {
      const match = /^socket:\[(\d+)\]$/.exec(
        readlinkSync(`/proc/${pid}/fd/${name}`),
      );
      if (match) sockets.add(match[1]);
    } catch {
      // Closed meanwhile.
    }
  }
  return sockets;
}

/**
 * Index of the process in `pids` that opened the connection which a server of
 * this process accepted as `socket`; -1 if none did.
 */
export function ownerOf(socket, pids) {
  const local = `:${toHex(socket.remotePort)}`;
  const remote = `:${toHex(socket.localPort)}`;
  let inode;
  for (const line of readFileSync("/proc/net/tcp", "utf8").split("\n")) {
    const fields = line.trim().split(/\s+/);
    if (fields[1]?.endsWith(local) && fields[2]?.endsWith(remote)) {
      inode = fields[9];
    }
  }
  return pids.findIndex((pid) => {
    try {
      return socketsOf(pid).has(inode);
    } catch {
      return false;
    }
  });
}
