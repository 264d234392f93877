// Engines as processes of their own, which a script can stop and kill.
import { spawn } from "node:child_process";
import { dirname, join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";

const PROGRAM = join(
  dirname(fileURLToPath(import.meta.url)),
  "engine_process.js",
);

/**
 * Creates a pool of engines that register in `store`. `settings` are those of
 * `engine_process.js`; `note(text)` writes to the record.
 */
export function createEnginePool({ store, service, settings, note }) {
  const runs = [];
  const engines = [];

  function onRun(run) {
    runs.push(run);
    note(
      `runner ${run.runner} runs ${run.attempt}` +
        (run.lastEventId === undefined
          ? ""
          : `, from event ${run.lastEventId}`) +
        (run.kvFrom === undefined ? "" : `, from copy ${run.kvFrom}`),
    );
  }

  async function start({ id, zone }) {
    const child = spawn(process.execPath, [
      PROGRAM,
      JSON.stringify({ id, ...settings }),
    ], { stdio: ["ignore", "inherit", "inherit", "ipc"] });
    // A message to an engine that has just been killed fails.
    child.on("error", () => {});
    const engine = { id, zone, child, target: undefined };
    engine.ended = new Promise((resolve) => child.once("exit", resolve));
    await new Promise((resolve) => {
      child.on("message", ({ target, run, copy }) => {
        if (target) {
          engine.target = target;
          resolve();
        }
        if (run) onRun(run);
        if (!copy) return;
        for (const other of engines) {
          if (other.child.connected) other.child.send({ copy });
        }
      });
    });
    const { host, port } = engine.target;
    let sequence = 0;
    const born = Date.now();
    const beat = () =>
      store.put(`servers/${id}`, {
        service,
        address: `${host}:${port}`,
        zone,
        version: "v1",
        slots: 64,
        state: "ready",
        cold_remaining_ms: 0,
        sequence: ++sequence,
        born,
      });
    beat();
    engine.timer = setInterval(beat, 1200);
    engines.push(engine);
    return engine;
  }

  return {
    runs,
    engines,
    start,
    /** Ends all engines that are left. */
    async close() {
      for (const { child, timer } of engines) {
        clearInterval(timer);
        child.kill("SIGKILL");
      }
      await Promise.all(engines.map(({ ended }) => ended));
    },
  };
}
