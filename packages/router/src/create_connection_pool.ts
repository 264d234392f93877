import type { Clock } from "@rosemarytiller/shared";
import { connect, type Socket } from "node:net";
import type { Client as UndiciClient } from "undici";
// The whole library takes three times as long to load as its client.
import Client from "undici/lib/dispatcher/client.js";

/** A connection to an upstream; it carries one call at a time. */
export interface Connection {
  client: UndiciClient;
  /** Whether the other side reset the connection. */
  wasReset: boolean;
  isClosed: boolean;
  idleSinceMs: number;
  /** Time after which the upstream closes it when idle, in milliseconds. */
  idleLimitMs: number;
}

/** Connections to all upstreams. */
export interface ConnectionPool {
  /** Takes an idle connection, or opens one; nothing beyond the bound. */
  take(address: UpstreamAddress, maxOpen: number): Connection | undefined;
  /** Gives a connection back after a whole answer. */
  giveBack(address: UpstreamAddress, connection: Connection): void;
  /** Closes a connection whose state is not known. */
  discard(address: UpstreamAddress, connection: Connection): void;
  /** Closes connections that were idle for too long. */
  sweep(): void;
  openCount(): number;
  close(): void;
}

/** Host and port of an upstream. */
export interface UpstreamAddress {
  host: string;
  port: number;
}

/** Longest time for a connection to be established, in ms: round trips. */
const CONNECT_TIMEOUT_MS = 400;
/** Idle time after which a connection is closed if no limit is told, in ms. */
const DEFAULT_IDLE_MS = 4000;
/** Share of the idle limit after which a connection is not used any more. */
const IDLE_USE_SHARE = 0.7;

/** Creates a pool without connections. */
export function createConnectionPool(
  options: { clock: Clock },
): ConnectionPool {
  const { clock } = options;
  const idle = new Map<string, Connection[]>();
  const open = new Map<string, Set<Connection>>();

  const nameOf = ({ host, port }: UpstreamAddress) => `${host}:${port}`;

  function openConnection(address: UpstreamAddress): Connection {
    const name = nameOf(address);
    const connection: Connection = {
      client: undefined as unknown as UndiciClient,
      wasReset: false,
      isClosed: false,
      idleSinceMs: clock.now(),
      idleLimitMs: DEFAULT_IDLE_MS,
    };
    let connects = 0;
    connection.client = new Client(`http://${name}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxResponseSize: -1,
      strictContentLength: true,
      connect(_target, callback) {
        // A client that reconnects by itself would send a call twice.
        if (connects++ > 0 || connection.isClosed) {
          callback(new Error("the connection is closed"), null);
          return;
        }
        const socket: Socket = connect({ ...address, noDelay: true });
        const cancelLimit = clock.after(CONNECT_TIMEOUT_MS, () => {
          socket.destroy(new Error("no connection in time"));
        });
        let isConnected = false;
        socket.once("connect", () => {
          isConnected = true;
          cancelLimit();
          callback(null, socket);
        });
        socket.on("end", () => {
          // A reset right behind data reads like an end, but leaves no peer.
          if (socket.remoteAddress === undefined) connection.wasReset = true;
        });
        socket.on("error", (error) => {
          cancelLimit();
          // Seen before the HTTP client, which takes a reset for an end.
          connection.wasReset = true;
          if (!isConnected) callback(error, null);
        });
      },
    });
    connection.client.on("disconnect", () => forget(name, connection));
    connection.client.on("connectionError", () => forget(name, connection));
    let connections = open.get(name);
    if (!connections) open.set(name, connections = new Set());
    connections.add(connection);
    return connection;
  }

  function forget(name: string, connection: Connection): void {
    connection.isClosed = true;
    open.get(name)?.delete(connection);
    const list = idle.get(name);
    const place = list?.indexOf(connection) ?? -1;
    if (place >= 0) list!.splice(place, 1);
  }

  function close(name: string, connection: Connection): void {
    forget(name, connection);
    connection.client.destroy().catch(() => {});
  }

  function isFresh(connection: Connection): boolean {
    if (connection.isClosed) return false;
    const idleMs = clock.now() - connection.idleSinceMs;
    return idleMs < connection.idleLimitMs * IDLE_USE_SHARE;
  }

  return {
    take(address, maxOpen) {
      const name = nameOf(address);
      const list = idle.get(name);
      while (list && list.length > 0) {
        const connection = list.pop()!;
        if (isFresh(connection)) return connection;
        close(name, connection);
      }
      if ((open.get(name)?.size ?? 0) >= maxOpen) return undefined;
      return openConnection(address);
    },
    giveBack(address, connection) {
      const name = nameOf(address);
      if (connection.isClosed || connection.idleLimitMs <= 0) {
        close(name, connection);
        return;
      }
      connection.idleSinceMs = clock.now();
      let list = idle.get(name);
      if (!list) idle.set(name, list = []);
      list.push(connection);
    },
    discard(address, connection) {
      close(nameOf(address), connection);
    },
    sweep() {
      for (const [name, list] of idle) {
        for (const connection of [...list]) {
          if (!isFresh(connection)) close(name, connection);
        }
        if (list.length === 0) idle.delete(name);
        if (open.get(name)?.size === 0) open.delete(name);
      }
    },
    openCount() {
      let count = 0;
      for (const connections of open.values()) count += connections.size;
      return count;
    },
    close() {
      for (const [name, connections] of open) {
        for (const connection of [...connections]) close(name, connection);
      }
    },
  };
}
