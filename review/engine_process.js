// An engine as a process of its own, so that it can be stopped and killed. It
// reports its runs to its parent and hears from it which backup copies exist.
import process from "node:process";
import { addCopy, startEngine } from "./engine.js";

const { id, tokenMs, events, backlog, prefillMs } = JSON.parse(process.argv[2]);

const engine = await startEngine({
  id,
  backlog,
  prefillMs,
  tokenMsOf: () => tokenMs,
  eventsOf: () => events,
  onRun: (run) => process.send({ run }),
  onEnd: (run) => process.send({ end: run }),
  onCopy: (name) => process.send({ copy: name }),
});
process.on("message", ({ copy }) => addCopy(copy));
// Without a parent nothing is left to do.
process.on("disconnect", () => process.exit(0));
process.send({ target: engine.target });
