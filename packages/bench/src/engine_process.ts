// Runs a stand-in engine in its own process, so that its CPU time and memory
// are not counted as those of the callers or of the entry.
import { createStandInEngine } from "@rosemarytiller/standins";
import process from "node:process";

const [capacity, tokenMs] = process.argv.slice(2).map(Number);
const engine = await createStandInEngine({
  capacity,
  tokenMs,
  firstTokenMs: 5,
});
process.send!({ url: engine.url });
process.once("disconnect", () => process.exit(0));
