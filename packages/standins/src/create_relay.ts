import { once } from "node:events";
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";

/** What a relay does with the bytes between two processes. */
export enum RelayState {
  /** Passes bytes on, after the delay. */
  Open = "open",
  /** Breaks connections and takes no new ones. */
  Cut = "cut",
  /** Holds all bytes and keeps the connections. */
  Frozen = "frozen",
}

/** A TCP relay from one process to another. */
export interface Relay {
  /** `host:port` that stands for the target. */
  readonly address: string;
  /** Breaks all connections until healed. */
  cut(): void;
  /** Holds all bytes, unseen by either side, until healed. */
  freeze(): void;
  /** Delays each chunk one way, in milliseconds. */
  delay(delayMs: number): void;
  /** Passes on what was held and whatever comes, without delay. */
  heal(): void;
  /** Bytes passed on in both directions so far. */
  bytes(): number;
  close(): Promise<void>;
}

/** Starts a relay to `target`, a `host:port`. */
export async function createRelay(target: string): Promise<Relay> {
  const sockets = new Set<Socket>();
  const held: (() => void)[] = [];
  let state = RelayState.Open;
  let delayMs = 0;
  let passedBytes = 0;

  /** Runs an action now, or in its order once the relay is healed. */
  function pass(action: () => void): void {
    if (state === RelayState.Frozen) held.push(action);
    else action();
  }

  function carry(from: Socket, to: Socket): void {
    let dueMs = 0;
    function later(action: () => void): void {
      const nowMs = performance.now();
      dueMs = Math.max(dueMs, nowMs + delayMs);
      if (dueMs <= nowMs) pass(action);
      else setTimeout(() => pass(action), dueMs - nowMs);
    }
    from.on("data", (bytes) =>
      later(() => {
        passedBytes += bytes.length;
        to.write(bytes);
      }));
    from.on("error", () => {});
    from.on("close", () => {
      sockets.delete(from);
      later(() => to.destroy());
    });
  }

  function join(caller: Socket): void {
    if (caller.destroyed) return;
    const separator = target.lastIndexOf(":");
    const callee = connect({
      host: target.slice(0, separator),
      port: Number(target.slice(separator + 1)),
      noDelay: true,
    });
    sockets.add(callee);
    carry(caller, callee);
    carry(callee, caller);
  }

  const server: Server = createServer({ noDelay: true }, (caller) => {
    if (state === RelayState.Cut) return void caller.destroy();
    sockets.add(caller);
    caller.on("error", () => {});
    caller.once("close", () => sockets.delete(caller));
    pass(() => join(caller));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;

  function cut(): void {
    state = RelayState.Cut;
    held.length = 0;
    for (const socket of sockets) socket.destroy();
  }

  return {
    address: `127.0.0.1:${port}`,
    cut,
    freeze: () => void (state = RelayState.Frozen),
    delay: (nextMs) => void (delayMs = nextMs),
    heal() {
      state = RelayState.Open;
      delayMs = 0;
      for (const action of held.splice(0)) action();
    },
    bytes: () => passedBytes,
    async close() {
      cut();
      server.close();
      await once(server, "close");
    },
  };
}
