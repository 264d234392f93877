import { createStandInEngine } from "@rosemarytiller/standins";
import process from "node:process";

// Runs a stand-in engine in a process of its own, so that its work does not
// count as the caller's or the entry's.
const [capacity, tokenMs] = process.argv.slice(2).map(Number);
const engine = await createStandInEngine({
  capacity,
  tokenMs,
  firstTokenMs: 5,
});
process.send!({ url: engine.url });
process.once("disconnect", () => process.exit(0));
