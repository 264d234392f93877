import meow from "meow";
import process from "node:process";
import { printEstimate } from "./estimate_capacity.ts";
import { measureCapacity } from "./measure_capacity.ts";
import { measureDataPath } from "./measure_data_path.ts";
import { measurePolicy } from "./measure_policy.ts";
import { measurePropagation } from "./measure_propagation.ts";

/** Command-line flags; a measurement ignores those that it does not use. */
export interface BenchFlags {
  /** Seed of the random number generator. */
  seed: number;
  /** Length of a run in seconds; `capacity` uses at most 8. */
  seconds: number;
  /**
   * Part to run: a section name in `capacity`, a substring of `strategy@load`
   * or `strategy@leave` in `policy`, a number of brokers or `outage` in
   * `propagation`. "" runs all of them, except the outage.
   */
  only: string;
}

const MEASUREMENTS: Record<string, (flags: BenchFlags) => Promise<void>> = {
  capacity: measureCapacity,
  estimate: printEstimate,
  "data-path": measureDataPath,
  policy: measurePolicy,
  propagation: measurePropagation,
};

const command = meow(
  `
  Usage
    $ npm run bench -- NAME [--seed N] [--seconds N] [--only WORD]

  Names
    ${Object.keys(MEASUREMENTS).join(", ")}
`,
  {
    importMeta: import.meta,
    flags: {
      seed: { type: "number", default: 1 },
      seconds: { type: "number", default: 20 },
      only: { type: "string", default: "" },
    },
  },
);

const measure = MEASUREMENTS[command.input[0] ?? ""];
if (!measure) command.showHelp(2);
console.log(`seed ${command.flags.seed}; repeat with the same command`);
await measure(command.flags);
process.exit(0);
