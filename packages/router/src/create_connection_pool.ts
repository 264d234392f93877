import { type Clock, holdEarlyEnd } from "@rosemarytiller/shared";
import { connect as connectSocket, Socket } from "node:net";
import type { Client as UndiciClient } from "undici";
// Importing all of undici takes three times as long as its client alone.
import Client from "undici/lib/dispatcher/client.js";
import { paceReading } from "./pace_reading.ts";

/** Connection to an upstream; carries one call at a time. */
export interface Connection {
  client: UndiciClient;
  /** Bytes received since it was opened. */
  bytesReceived(): number;
  /** Called after bytes were received; set by the call that uses it. */
  onReceived: (() => void) | undefined;
  /** Whether the upstream reset the connection. */
  wasReset: boolean;
  isClosed: boolean;
  /**
   * Whether a request was written whose complete response is missing; set by
   * the call that uses it. The connection is then reset when it is closed.
   */
  isUnanswered: boolean;
  /** Whether it has carried a call before: late bytes of that may follow. */
  hasCarriedCall: boolean;
  /** Monotonic time at which it was opened, in milliseconds. */
  openedMs: number;
  /** Monotonic time since which it is idle, in milliseconds. */
  idleSinceMs: number;
  /** Idle time after which the upstream closes it, in milliseconds. */
  idleLimitMs: number;
}

/** Pool of keep-alive connections to all upstreams. */
export interface ConnectionPool {
  /**
   * Returns an idle connection or opens one; undefined if `maxOpen` are open.
   * With `isNew`, it opens one in any case, in place of an idle one if need be.
   * Connecting to an address that is none fails like any other.
   */
  acquire(
    address: UpstreamAddress,
    maxOpen: number,
    options?: { isNew?: boolean },
  ): Connection | undefined;
  /**
   * Opens a connection and keeps it as idle; resolves with whether the upstream
   * accepted it in time.
   */
  probe(address: UpstreamAddress): Promise<boolean>;
  /** Returns a connection to the pool after a complete response. */
  release(address: UpstreamAddress, connection: Connection): void;
  /** Closes a connection that cannot be reused, such as after an abort. */
  discard(address: UpstreamAddress, connection: Connection): void;
  /** Closes idle connections that can no longer be reused. */
  sweep(): void;
  openCount(): number;
  close(): void;
}

/** Host and port of an upstream. */
export interface UpstreamAddress {
  host: string;
  port: number;
}

/** Port: opens a connection to an address; `net.connect` by default. */
export type Connect = (
  options: UpstreamAddress & { noDelay: boolean },
) => Socket;

/** Timeout for establishing a connection, in ms: several round trips. */
const CONNECT_TIMEOUT_MS = 400;
/** Idle limit if the upstream announces none, in milliseconds. */
const DEFAULT_IDLE_LIMIT_MS = 4000;
/** Fraction of the idle limit after which a connection is not reused. */
const MAX_IDLE_SHARE = 0.7;

/** Origin of a client whose address is none: its connections fail. */
const NO_ORIGIN = "http://0.0.0.0:0";

function originOf(name: string): string {
  const origin = `http://${name}`;
  return URL.canParse(origin) ? origin : NO_ORIGIN;
}

/** Creates an empty pool; connections are opened on demand. */
export function createConnectionPool(
  options: {
    clock: Clock;
    connect?: Connect | undefined;
    /** An upstream sends more than is read in a turn of the event loop. */
    onPaced?: () => void;
  },
): ConnectionPool {
  const { clock, connect = connectSocket, onPaced = () => {} } = options;
  const idle = new Map<string, Connection[]>();
  const open = new Map<string, Set<Connection>>();
  let isPoolClosed = false;

  const nameOf = ({ host, port }: UpstreamAddress) => `${host}:${port}`;

  /** Connecting throws for an address that no socket takes: fails it later. */
  function connectOrFail(address: UpstreamAddress): Socket {
    try {
      return connect({ ...address, noDelay: true });
    } catch (error) {
      return new Socket().destroy(error as Error);
    }
  }

  /** Opens a socket; `onResult` gets an error unless it was established. */
  function openSocket(
    address: UpstreamAddress,
    onResult: (error: Error | null, socket: Socket) => void,
  ): Socket {
    const socket = connectOrFail(address);
    let isConnected = false;
    const cancelTimeout = clock.after(CONNECT_TIMEOUT_MS, () => {
      socket.destroy(new Error("the connection was not established in time"));
    });
    socket.once("connect", () => {
      isConnected = true;
      cancelTimeout();
      onResult(null, socket);
    });
    socket.on("error", (error) => {
      cancelTimeout();
      if (!isConnected) onResult(error, socket);
    });
    return socket;
  }

  function watchResets(connection: Connection, socket: Socket): void {
    socket.on("end", () => {
      // A reset right after data is reported as an end, but the socket then
      // has no remote address.
      if (socket.remoteAddress === undefined) connection.wasReset = true;
    });
    // Runs before the HTTP client's listener, which treats a reset as the end
    // of the response.
    socket.on("error", () => connection.wasReset = true);
  }

  /**
   * Resets the socket wherever it is destroyed while its request is unanswered:
   * after an ordinary close, the kernel keeps sending what the upstream has not
   * acknowledged.
   */
  function resetUnanswered(connection: Connection, socket: Socket): void {
    const destroy = socket.destroy.bind(socket);
    let cause: Error | undefined;
    let isResetting = false;
    socket.destroy = (error) => {
      if (isResetting) return destroy(cause);
      const { isUnanswered } = connection;
      if (!isUnanswered || !canReset(socket, error)) return destroy(error);
      isResetting = true;
      cause = error;
      // Calls `destroy` again.
      return socket.resetAndDestroy();
    };
  }

  /** Opens a connection, or takes one over that `established` has opened. */
  function openConnection(
    address: UpstreamAddress,
    established?: Socket,
  ): Connection {
    const name = nameOf(address);
    const connection: Connection = {
      client: undefined as unknown as UndiciClient,
      bytesReceived: () => 0,
      onReceived: undefined,
      wasReset: false,
      isClosed: false,
      isUnanswered: false,
      hasCarriedCall: false,
      openedMs: clock.now(),
      idleSinceMs: clock.now(),
      idleLimitMs: DEFAULT_IDLE_LIMIT_MS,
    };
    let connects = 0;
    connection.client = new Client(originOf(name), {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxResponseSize: -1,
      strictContentLength: true,
      connect(_target, callback) {
        // An automatic reconnect of the client would send a call twice.
        if (connects++ > 0 || connection.isClosed) {
          callback(new Error("the connection is closed"), null);
          return;
        }
        const useSocket = (socket: Socket) => {
          resetUnanswered(connection, socket);
          holdEarlyEnd(socket, clock);
          paceReading(socket, onPaced);
          callback(null, socket);
          connection.bytesReceived = () => socket.bytesRead;
          // May run before the HTTP client has read the same bytes.
          socket.on("readable", () => connection.onReceived?.());
        };
        if (established) {
          // The client does not expect a socket before this call returns.
          queueMicrotask(() => useSocket(established));
          return;
        }
        const opened = openSocket(address, (error, socket) => {
          if (error) callback(error, null);
          else useSocket(socket);
        });
        watchResets(connection, opened);
      },
    });
    connection.client.on(
      "disconnect",
      () => removeConnection(name, connection),
    );
    connection.client.on(
      "connectionError",
      () => removeConnection(name, connection),
    );
    if (established) {
      watchResets(connection, established);
      established.once("close", () => removeConnection(name, connection));
    }
    let connections = open.get(name);
    if (!connections) open.set(name, connections = new Set());
    connections.add(connection);
    return connection;
  }

  function removeConnection(name: string, connection: Connection): void {
    connection.isClosed = true;
    open.get(name)?.delete(connection);
    const list = idle.get(name);
    const index = list?.indexOf(connection) ?? -1;
    if (index >= 0) list!.splice(index, 1);
  }

  function close(name: string, connection: Connection): void {
    removeConnection(name, connection);
    connection.client.destroy().catch(() => {});
  }

  function keepIdle(name: string, connection: Connection): void {
    connection.idleSinceMs = clock.now();
    const list = idle.get(name);
    if (list) list.push(connection);
    else idle.set(name, [connection]);
  }

  function isReusable(connection: Connection): boolean {
    if (connection.isClosed) return false;
    const idleMs = clock.now() - connection.idleSinceMs;
    return idleMs < connection.idleLimitMs * MAX_IDLE_SHARE;
  }

  return {
    acquire(address, maxOpen, { isNew = false } = {}) {
      const name = nameOf(address);
      const list = idle.get(name);
      const mustMakeRoom = () => (open.get(name)?.size ?? 0) >= maxOpen;
      while (list && list.length > 0 && (!isNew || mustMakeRoom())) {
        const connection = list.pop()!;
        if (!isNew && isReusable(connection)) return connection;
        close(name, connection);
      }
      if ((open.get(name)?.size ?? 0) >= maxOpen) return undefined;
      return openConnection(address);
    },
    probe: (address) =>
      new Promise((resolve) => {
        openSocket(address, (error, socket) => {
          if (isPoolClosed) socket.destroy();
          resolve(error === null);
          if (error || isPoolClosed) return;
          keepIdle(nameOf(address), openConnection(address, socket));
        });
      }),
    release(address, connection) {
      const name = nameOf(address);
      if (connection.isClosed || connection.idleLimitMs <= 0) {
        close(name, connection);
        return;
      }
      connection.hasCarriedCall = true;
      keepIdle(name, connection);
    },
    discard(address, connection) {
      close(nameOf(address), connection);
    },
    sweep() {
      for (const [name, list] of idle) {
        for (const connection of [...list]) {
          if (!isReusable(connection)) close(name, connection);
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
      isPoolClosed = true;
      for (const [name, connections] of open) {
        for (const connection of [...connections]) close(name, connection);
      }
    },
  };
}

/**
 * Whether a connection can be reset. Node.js loses the handle of one that is
 * being shut down; after an error of the system there is nothing to reset.
 */
function canReset(socket: Socket, error: NodeJS.ErrnoException | undefined) {
  return !socket.destroyed && !socket.writableEnded &&
    error?.syscall === undefined;
}
