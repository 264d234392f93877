import { randomInt } from "node:crypto";
import { once } from "node:events";
import { createServer } from "node:net";

/** Ports that the kernel does not assign to outgoing connections. */
const FIRST_PORT = 10_048;
const PORTS_PER_RANGE = 64;
const RANGES = 340;

/** Ports of the ranges that this process holds, except those leased. */
const availablePorts: number[] = [];
let pendingRange: Promise<void> | undefined;

/**
 * Leases a port on a loopback address, on which a process can be started and
 * restarted. No other call gets the port, in this process or another, until
 * `releasePort` or until this process ends. Rejects if no port is left.
 */
export async function leasePort(host = "127.0.0.1"): Promise<number> {
  while (true) {
    const port = availablePorts.shift();
    if (port === undefined) {
      pendingRange ??= holdRange().finally(() => pendingRange = undefined);
      await pendingRange;
      continue;
    }
    // A process that outlived its test may still listen on the port.
    if (await canListen(host, port)) return port;
  }
}

/** Ends the lease of a port on which no process listens any more. */
export function releasePort(port: number): void {
  availablePorts.push(port);
}

/**
 * Adds the ports of a range that no other process holds. A process holds a range
 * by listening on its first port, so the kernel frees it when the process ends.
 */
async function holdRange(): Promise<void> {
  const firstRange = randomInt(RANGES);
  for (let offset = 0; offset < RANGES; offset++) {
    const range = (firstRange + offset) % RANGES;
    const firstPort = FIRST_PORT + range * PORTS_PER_RANGE;
    const server = createServer((socket) => socket.destroy());
    server.listen(firstPort, "127.0.0.1");
    try {
      await once(server, "listening");
    } catch {
      continue;
    }
    server.unref();
    for (let port = 1; port < PORTS_PER_RANGE; port++) {
      availablePorts.push(firstPort + port);
    }
    return;
  }
  throw new Error("other processes hold all port ranges");
}

async function canListen(host: string, port: number): Promise<boolean> {
  const server = createServer().listen(port, host);
  try {
    await once(server, "listening");
  } catch {
    return false;
  }
  server.close();
  await once(server, "close");
  return true;
}
