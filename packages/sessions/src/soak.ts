import meow from "meow";
import { soakClaims } from "./soak_claims.ts";
import { soakLease } from "./soak_lease.ts";
import { soakPolicy } from "./soak_policy.ts";

interface SoakOptions {
  seed: number;
  minutes: number;
}

const SOAKS: Record<string, (options: SoakOptions) => void | Promise<void>> = {
  claims: soakClaims,
  lease: soakLease,
  policy: soakPolicy,
};

const command = meow(
  `
  Usage
    $ npm run soak -- [NAME] [--seed N] [--minutes M]

  Names
    ${Object.keys(SOAKS).join(", ")}; all in turn without a name
`,
  {
    importMeta: import.meta,
    flags: {
      seed: { type: "number", default: 1 },
      minutes: { type: "number", default: 1 },
    },
  },
);

const { seed, minutes } = command.flags;
const names = command.input.length > 0 ? command.input : Object.keys(SOAKS);
console.log(`seed ${seed}; repeat with the same command`);
for (const name of names) {
  const soak = SOAKS[name];
  if (!soak) command.showHelp(2);
  await soak({ seed, minutes });
}
