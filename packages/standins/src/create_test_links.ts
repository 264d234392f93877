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
  /** Nothing arrives any more, in either direction. */
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
  /**
   * Holds up what is sent over open connections, or passes it on, unless its
   * sender has reset the connection. New connections hang meanwhile.
   */
  setHeldUp(isHeldUp: boolean): void;
  /** Delays new connections by this time, in milliseconds. */
  setConnectDelay(delayMs: number): void;
  close(): void;
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

/**
 * Holds up what `from` sends to `to`; returns a function that passes it on, if
 * the connection has not been reset.
 */
function holdUp(from: Socket, to: Socket): () => void {
  const held: Buffer[] = [];
  let isReset = false;
  const onData = (chunk: Buffer) => void held.push(chunk);
  from.unpipe(to).on("data", onData).resume();
  from.on("error", () => isReset = true);
  from.on("end", () => {
    // A reset right after data is reported as an end, but the socket then has
    // no remote address.
    if (from.remoteAddress === undefined) isReset = true;
  });
  return () => {
    if (isReset) return reset(to);
    for (const chunk of held) to.write(chunk);
    from.off("data", onData);
    if (from.readableEnded) to.destroySoon();
    else from.pipe(to);
  };
}

/** Creates links, with a relaying socket for each upstream that is called. */
export function createTestLinks(): TestLinks {
  const servers = new Map<string, Promise<Server>>();
  const pairs = new Set<[Socket, Socket]>();
  const restores: (() => void)[] = [];
  let failure: LinkFailure | undefined;
  let isHeldUp = false;
  let connectDelayMs = 0;
  let isClosed = false;

  function isSilent(): boolean {
    return failure === LinkFailure.Silent ||
      failure === LinkFailure.AcceptSilent;
  }

  function join([client, upstream]: [Socket, Socket]): void {
    client.pipe(upstream);
    upstream.pipe(client);
  }

  function separate([client, upstream]: [Socket, Socket]): void {
    client.unpipe(upstream).pause();
    upstream.unpipe(client).pause();
  }

  function accept(client: Socket, address: LinkAddress): void {
    const upstream = connectSocket({ ...address, noDelay: true });
    const pair: [Socket, Socket] = [client.setNoDelay(), upstream];
    pairs.add(pair);
    for (const [socket, other] of [pair, [upstream, client] as const]) {
      socket.on("error", () => {
        if (!isHeldUp) reset(other);
      });
      socket.on("close", () => {
        pairs.delete(pair);
        if (!isHeldUp) other.destroySoon();
      });
    }
    join(pair);
    if (isSilent()) separate(pair);
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
      if (isClosed || isHeldUp) return socket;
      if (failure === LinkFailure.Silent) return socket;
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
    setHeldUp(next) {
      isHeldUp = next;
      for (const restore of restores.splice(0)) restore();
      if (!isHeldUp) return;
      for (const [client, upstream] of pairs) {
        restores.push(holdUp(client, upstream), holdUp(upstream, client));
      }
    },
    setFailure(next) {
      if (isSilent()) {
        for (const pair of pairs) join(pair);
      }
      failure = next;
      for (const pair of [...pairs]) {
        if (isSilent()) separate(pair);
        if (next !== LinkFailure.Reset) continue;
        for (const socket of pair) reset(socket);
      }
    },
    close() {
      isClosed = true;
      for (const pair of pairs) {
        for (const socket of pair) socket.destroy();
      }
      for (const server of servers.values()) {
        void server.then((one) => one.close());
      }
    },
  };
}
