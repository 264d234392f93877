import { type ChildProcess, fork } from "node:child_process";
import { once } from "node:events";
import { fileURLToPath } from "node:url";

/** A stand-in engine in its own process. */
export interface EngineProcess {
  url: string;
  child: ChildProcess;
}

/**
 * Starts a stand-in engine in a child process, so that it does not run
 * on its caller's thread, and resolves once it listens.
 */
export async function startEngineProcess(
  options: { capacity: number; tokenMs: number },
): Promise<EngineProcess> {
  const file = fileURLToPath(new URL("./engine_process.js", import.meta.url));
  const { capacity, tokenMs } = options;
  const child = fork(file, [String(capacity), String(tokenMs)]);
  const [message] = await once(child, "message");
  return { url: (message as { url: string }).url, child };
}
