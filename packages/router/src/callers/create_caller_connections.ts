import type { Clock } from "@rosemarytiller/shared";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** Why a connection was closed by this VM. */
export enum ClosedFor {
  /** Its place was needed for a newer connection. */
  Room = "room",
  /** More requests were sent ahead of their responses than are allowed. */
  RequestsAhead = "requests-ahead",
  /** Its client has not read a response for a long time. */
  SlowReader = "slow-reader",
  /** Unfinished heads took too much memory, and it was the oldest of them. */
  UnfinishedHeads = "unfinished-heads",
}

/** Connections of all servers that callers and other VMs connect to. */
export interface CallerConnections {
  /** Counts and bounds the connections of a server from now on. */
  track(server: Server): void;
  /**
   * Runs `action` once the connection's earlier requests have their responses;
   * it calls `onReceived` when the request has been received completely. Closes
   * the connection if it has too many requests ahead.
   */
  enter(
    exchange: { incoming: IncomingMessage; response: ServerResponse },
    action: (onReceived: () => void) => void,
  ): void;
  /** Closes stalled connections; to be called every `CONNECTION_SWEEP_MS`. */
  sweep(): void;
  openCount(): number;
}

/** Dependencies of the connections. */
export interface CallerConnectionsOptions {
  clock: Clock;
  /** Descriptors that the process may have open. */
  maxDescriptors: number;
  /** Bytes that unfinished heads may take together. */
  maxHeadBytes: number;
  /** Longest time without progress while a client reads a response, in ms. */
  readerTimeoutMs: number;
  onClosed(reason: ClosedFor): void;
  /** Called after each `HEAD_CHECK_BYTES` of heads. */
  onHeads?(): void;
}

/** Interval at which stalled connections are looked for, in milliseconds. */
export const CONNECTION_SWEEP_MS = 250;
/** Part of the descriptors for callers; the rest serves upstreams and VMs. */
const CALLER_SHARE = 0.6;
/**
 * Bytes of heads after which memory is checked at once: a crowd's heads may all
 * be parsed in one turn of the event loop.
 */
const HEAD_CHECK_BYTES = 262_144;
/** Requests of a connection that may wait for the response to an earlier one. */
const MAX_REQUESTS_AHEAD = 16;

/**
 * New connections that are first read in one turn of the event loop. What is
 * parsed in a turn stays in memory until its end, also of connections that are
 * closed.
 */
const FIRST_READS_PER_TURN = 4;

/** States of a connection, in the order in which they make room for others. */
enum ConnectionState {
  /** No request has been received completely. */
  Unused,
  /** All requests have their responses. */
  Idle,
  /** A request has not been received completely. */
  Receiving,
  /** A request is being served; never closed to make room. */
  Serving,
}

const STATES_WITHOUT_SERVICE = [
  ConnectionState.Unused,
  ConnectionState.Idle,
  ConnectionState.Receiving,
];

interface Connection {
  socket: Socket;
  state: ConnectionState;
  /** Bytes read when the last complete head was. */
  headEndBytes: number;
  /** Requests whose responses are not complete, the one being served first. */
  exchanges: (() => void)[];
  /** Bytes that the client has taken, and the time since when. */
  takenBytes: number;
  takenMs: number;
}

/** Creates the connections of a process that listens nowhere yet. */
export function createCallerConnections(
  options: CallerConnectionsOptions,
): CallerConnections {
  const { clock, maxDescriptors, maxHeadBytes, readerTimeoutMs, onClosed } =
    options;
  const maxConnections = Math.floor(maxDescriptors * CALLER_SHARE);
  const connections = new Map<Socket, Connection>();
  /** New connections that are not read yet. */
  const unread: Socket[] = [];
  let uncheckedBytes = 0;
  /** Connections by state, each since when it is in it, the oldest first. */
  const byState = new Map<ConnectionState, Set<Connection>>();

  function setState(connection: Connection, state: ConnectionState): void {
    byState.get(connection.state)?.delete(connection);
    connection.state = state;
    let others = byState.get(state);
    if (!others) byState.set(state, others = new Set());
    others.add(connection);
  }

  function close(connection: Connection, reason: ClosedFor): void {
    remove(connection);
    connection.socket.destroy();
    onClosed(reason);
  }

  function remove(connection: Connection): void {
    connections.delete(connection.socket);
    byState.get(connection.state)?.delete(connection);
  }

  /** Closes the oldest connection that no request is served on. */
  function makeRoom(): boolean {
    for (const state of STATES_WITHOUT_SERVICE) {
      for (const connection of byState.get(state) ?? []) {
        close(connection, ClosedFor.Room);
        return true;
      }
    }
    return false;
  }

  function accept(socket: Socket): void {
    if (connections.size >= maxConnections && !makeRoom()) {
      socket.destroy();
      onClosed(ClosedFor.Room);
      return;
    }
    const connection: Connection = {
      socket,
      state: ConnectionState.Unused,
      headEndBytes: 0,
      exchanges: [],
      takenBytes: 0,
      takenMs: clock.now(),
    };
    connections.set(socket, connection);
    setState(connection, ConnectionState.Unused);
    socket.once("close", () => remove(connection));
    socket.pause();
    if (unread.push(socket) === 1) setImmediate(readNew);
  }

  /** Starts to read some of the new connections, and the others later. */
  function readNew(): void {
    for (const socket of unread.splice(0, FIRST_READS_PER_TURN)) {
      socket.resume();
    }
    if (unread.length > 0) setImmediate(readNew);
  }

  /** Begins the next request of a connection, if there is one. */
  function beginNext(connection: Connection): void {
    const { socket } = connection;
    if (socket.destroyed || !connections.has(socket)) {
      connection.exchanges.length = 0;
      return;
    }
    const begin = connection.exchanges[0];
    if (begin) begin();
    else setState(connection, ConnectionState.Idle);
  }

  function hasUnfinishedHead({ state }: Connection): boolean {
    return state === ConnectionState.Unused || state === ConnectionState.Idle;
  }

  /** Closes the oldest connections with unfinished heads beyond the limit. */
  function boundHeads(): void {
    let bytes = 0;
    for (const connection of connections.values()) {
      if (!hasUnfinishedHead(connection)) continue;
      bytes += connection.socket.bytesRead - connection.headEndBytes;
    }
    for (const connection of connections.values()) {
      if (bytes <= maxHeadBytes) return;
      const headBytes = connection.socket.bytesRead - connection.headEndBytes;
      if (!hasUnfinishedHead(connection) || headBytes === 0) continue;
      bytes -= headBytes;
      close(connection, ClosedFor.UnfinishedHeads);
    }
  }

  function boundReaders(): void {
    const nowMs = clock.now();
    for (const connection of [...connections.values()]) {
      const { socket } = connection;
      const takenBytes = socket.bytesWritten - socket.writableLength;
      if (socket.writableLength === 0 || takenBytes > connection.takenBytes) {
        connection.takenBytes = takenBytes;
        connection.takenMs = nowMs;
        continue;
      }
      if (nowMs - connection.takenMs < readerTimeoutMs) continue;
      close(connection, ClosedFor.SlowReader);
    }
  }

  return {
    track: (server) => void server.on("connection", accept),
    enter({ incoming, response }, action) {
      const connection = connections.get(incoming.socket);
      if (!connection) {
        // It was closed while its bytes were being parsed, and keeps what was
        // parsed until the end of the turn.
        incoming.rawHeaders.length = 0;
        return;
      }
      const { bytesRead } = incoming.socket;
      uncheckedBytes += bytesRead - connection.headEndBytes;
      connection.headEndBytes = bytesRead;
      if (uncheckedBytes >= HEAD_CHECK_BYTES) {
        uncheckedBytes = 0;
        options.onHeads?.();
      }
      const { exchanges } = connection;
      if (exchanges.length > MAX_REQUESTS_AHEAD) {
        close(connection, ClosedFor.RequestsAhead);
        return;
      }
      const begin = () => {
        setState(connection, ConnectionState.Receiving);
        action(() => {
          const isCurrent = exchanges[0] === begin &&
            connections.has(connection.socket);
          if (isCurrent) setState(connection, ConnectionState.Serving);
        });
      };
      exchanges.push(begin);
      response.once("close", () => {
        const index = exchanges.indexOf(begin);
        if (index < 0) return;
        exchanges.splice(index, 1);
        if (index === 0) beginNext(connection);
      });
      if (exchanges.length === 1) begin();
    },
    sweep() {
      boundHeads();
      boundReaders();
    },
    openCount: () => connections.size,
  };
}
