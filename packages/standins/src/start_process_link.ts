import { type ChildProcess, fork } from "node:child_process";
import { connect, type Socket } from "node:net";
import { fileURLToPath } from "node:url";

/** Link to an upstream, as a process that can be suspended. */
export interface ProcessLink {
  /** Port of 127.0.0.1 at which the link accepts connections. */
  port: number;
  /**
   * Suspends the link: nothing arrives on its connections, and new ones hang,
   * as with a machine behind a partition.
   */
  suspend(): void;
  /** Ends the suspension; what was sent meanwhile arrives. */
  resume(): void;
  /** Ends the process: its connections are reset, new ones are refused. */
  end(): void;
}

const PROGRAM = fileURLToPath(
  new URL("./process_link_main.js", import.meta.url),
);
/** Connections that fill the queue of a link that accepts none. */
const QUEUED_CONNECTIONS = 4;

/** Starts a link to a port of 127.0.0.1. */
export async function startProcessLink(
  targetPort: number,
): Promise<ProcessLink> {
  const child: ChildProcess = fork(PROGRAM, [String(targetPort)]);
  const port = await new Promise<number>((resolve, reject) => {
    child.once("message", (message) => resolve(Number(message)));
    child.once("exit", () => reject(new Error("the link did not start")));
  });
  let queued: Socket[] = [];

  function emptyQueue(): void {
    for (const socket of queued) socket.destroy();
    queued = [];
  }

  return {
    port,
    suspend() {
      child.kill("SIGSTOP");
      for (let count = queued.length; count < QUEUED_CONNECTIONS; count++) {
        const socket = connect({ host: "127.0.0.1", port });
        socket.on("error", () => {});
        queued.push(socket);
      }
    },
    resume() {
      emptyQueue();
      child.kill("SIGCONT");
    },
    end() {
      emptyQueue();
      child.kill("SIGKILL");
    },
  };
}
