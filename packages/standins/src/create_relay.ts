import { once } from "node:events";
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";

/** How a relay handles connections and data. */
export enum RelayState {
  /** Forwards data after the configured delay. */
  Open = "open",
  /** Closes connections, and new ones as soon as they are accepted. */
  Cut = "cut",
  /** Keeps connections open, but buffers all data. */
  Frozen = "frozen",
}

/** A TCP relay that injects network faults between two processes. */
export interface Relay {
  /** `host:port` that clients connect to in place of the target. */
  readonly address: string;
  /**
   * Closes all connections, and each new one, until `heal` is called. Discards
   * buffered data.
   */
  cut(): void;
  /**
   * Buffers all data and defers connects and closes until `heal` is called, so
   * that neither side notices the fault.
   */
  freeze(): void;
  /** Sets the one-way delay of each chunk in milliseconds. */
  setDelay(delayMs: number): void;
  /** Forwards the buffered data, and clears the fault and the delay. */
  heal(): void;
  /** Total bytes forwarded so far, in both directions. */
  forwardedBytes(): number;
  /** Closes all connections and stops listening. */
  close(): Promise<void>;
}

/**
 * Starts a relay to `target` (`host:port`) on a free port of the loopback
 * interface.
 */
export async function createRelay(target: string): Promise<Relay> {
  const sockets = new Set<Socket>();
  const deferred: (() => void)[] = [];
  let state = RelayState.Open;
  let delayMs = 0;
  let forwardedBytes = 0;

  /** Runs an action at once, or queues it while the relay is frozen. */
  function runUnlessFrozen(action: () => void): void {
    if (state === RelayState.Frozen) deferred.push(action);
    else action();
  }

  function forward(from: Socket, to: Socket): void {
    let dueMs = 0;
    function runAfterDelay(action: () => void): void {
      const nowMs = performance.now();
      dueMs = Math.max(dueMs, nowMs + delayMs);
      if (dueMs <= nowMs) runUnlessFrozen(action);
      else setTimeout(() => runUnlessFrozen(action), dueMs - nowMs);
    }
    from.on("data", (bytes) =>
      runAfterDelay(() => {
        forwardedBytes += bytes.length;
        to.write(bytes);
      }));
    from.on("error", () => {});
    from.on("close", () => {
      sockets.delete(from);
      runAfterDelay(() => to.destroy());
    });
  }

  function connectToTarget(clientSocket: Socket): void {
    if (clientSocket.destroyed) return;
    const separator = target.lastIndexOf(":");
    const targetSocket = connect({
      host: target.slice(0, separator),
      port: Number(target.slice(separator + 1)),
      noDelay: true,
    });
    sockets.add(targetSocket);
    forward(clientSocket, targetSocket);
    forward(targetSocket, clientSocket);
  }

  const server: Server = createServer({ noDelay: true }, (clientSocket) => {
    if (state === RelayState.Cut) return void clientSocket.destroy();
    sockets.add(clientSocket);
    clientSocket.on("error", () => {});
    clientSocket.once("close", () => sockets.delete(clientSocket));
    runUnlessFrozen(() => connectToTarget(clientSocket));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;

  function cut(): void {
    state = RelayState.Cut;
    deferred.length = 0;
    for (const socket of sockets) socket.destroy();
  }

  return {
    address: `127.0.0.1:${port}`,
    cut,
    freeze: () => void (state = RelayState.Frozen),
    setDelay: (nextMs) => void (delayMs = nextMs),
    heal() {
      state = RelayState.Open;
      delayMs = 0;
      for (const action of deferred.splice(0)) action();
    },
    forwardedBytes: () => forwardedBytes,
    async close() {
      cut();
      server.close();
      await once(server, "close");
    },
  };
}
