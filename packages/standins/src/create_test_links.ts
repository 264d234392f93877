import type { Buffer } from "node:buffer";
import {
  type AddressInfo,
  connect as connectSocket,
  createServer,
  type Server,
  Socket,
} from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

/** How the links of a VM to all upstreams fail. */
export enum LinkFailure {
  /** Open connections are reset, new ones are refused. */
  Reset = "reset",
  /**
   * Nothing arrives any more, in either direction. What is sent meanwhile
   * arrives when the links are restored, unless its sender has reset the
   * connection.
   */
  Silent = "silent",
  /** New connections are accepted, and nothing arrives on any of them. */
  AcceptSilent = "accept-silent",
  /** Open connections live on, new ones are refused. */
  RefuseNew = "refuse-new",
}

/** Host and port of an upstream. */
export interface LinkAddress {
  host: string;
  port: number;
}

/** Links of one VM to all upstreams. */
export interface TestLinks {
  /** Connects through these links. */
  connect(address: LinkAddress): Socket;
  /** Fails the links, or restores them. */
  setFailure(failure: LinkFailure | undefined): void;
  /** Delays new connections by this time, in milliseconds. */
  setConnectDelay(delayMs: number): void;
  close(): void;
}

/** A connection from a VM to an upstream, in two sockets. */
interface LinkedPair {
  sockets: [client: Socket, upstream: Socket];
  /** Pass on what was held up. */
  flushes: (() => void)[];
}

/** A port of the loopback address at which nothing listens. */
const CLOSED_PORT = 1;

/**
 * Resets a connection. One that is being shut down can't be reset: Node.js would
 * lose its handle and wait for it forever when the process exits.
 */
function reset(socket: Socket): void {
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}

/** Creates links, with a relaying socket for each upstream that is called. */
export function createTestLinks(): TestLinks {
  const servers = new Map<string, Promise<Server>>();
  const pairs = new Set<LinkedPair>();
  let failure: LinkFailure | undefined;
  let connectDelayMs = 0;
  let isClosed = false;

  function isSilent(): boolean {
    return failure === LinkFailure.Silent ||
      failure === LinkFailure.AcceptSilent;
  }

  /**
   * Passes bytes and the end of a connection on, and holds them up while the
   * links are silent. Returns a function to call when they no longer are.
   */
  function passOn(from: Socket, to: Socket): () => void {
    const held: Buffer[] = [];
    let isReset = false;
    function flush(): void {
      if (isSilent()) return;
      if (isReset) return reset(to);
      for (const chunk of held.splice(0)) {
        if (to.write(chunk)) continue;
        from.pause();
        to.once("drain", () => from.resume());
      }
      if (from.readableEnded && !to.writableEnded) to.end();
      if (from.closed) to.destroySoon();
    }
    from.on("data", (chunk) => {
      held.push(chunk);
      flush();
    });
    from.on("error", () => isReset = true);
    from.on("end", () => {
      // A reset right after data is reported as an end, but the socket then has
      // no remote address.
      if (from.remoteAddress === undefined) isReset = true;
      flush();
    });
    from.on("close", flush);
    return flush;
  }

  function accept(client: Socket, address: LinkAddress): void {
    const upstream = connectSocket({ ...address, noDelay: true });
    client.setNoDelay();
    const pair: LinkedPair = {
      sockets: [client, upstream],
      flushes: [passOn(client, upstream), passOn(upstream, client)],
    };
    pairs.add(pair);
    for (const socket of pair.sockets) {
      socket.on("close", () => {
        if (client.closed && upstream.closed) pairs.delete(pair);
      });
    }
  }

  function serverOf(address: LinkAddress): Promise<Server> {
    const name = `${address.host}:${address.port}`;
    let server = servers.get(name);
    if (server) return server;
    server = new Promise((resolve) => {
      const created = createServer((client) => accept(client, address));
      created.listen(0, "127.0.0.1", () => resolve(created));
    });
    servers.set(name, server);
    return server;
  }

  return {
    connect(address) {
      const socket = new Socket();
      socket.setNoDelay();
      if (isClosed || failure === LinkFailure.Silent) return socket;
      if (failure && !isSilent()) {
        return socket.connect(CLOSED_PORT, "127.0.0.1");
      }
      void serverOf(address).then(async (server) => {
        await sleep(connectDelayMs);
        if (isClosed || socket.destroyed) return;
        const { port } = server.address() as AddressInfo;
        socket.connect(port, "127.0.0.1");
      });
      return socket;
    },
    setConnectDelay: (delayMs) => void (connectDelayMs = delayMs),
    setFailure(next) {
      failure = next;
      for (const { sockets, flushes } of [...pairs]) {
        for (const flush of flushes) flush();
        if (next !== LinkFailure.Reset) continue;
        for (const socket of sockets) reset(socket);
      }
    },
    close() {
      isClosed = true;
      for (const { sockets } of pairs) {
        for (const socket of sockets) socket.destroy();
      }
      for (const server of servers.values()) {
        void server.then((one) => one.close());
      }
    },
  };
}
