// Sound requests are denied after three runners have crashed: see claim.txt.
import { writeFileSync } from "node:fs";
import { dirname, join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { send } from "../client.js";
import { createEnginePool } from "../engine_pool.js";
import { sleep, startFleet } from "../fleet.js";
import { startStore } from "../store.js";

const FOLDER = dirname(fileURLToPath(import.meta.url));
const HAS_TROUBLE = process.env.TROUBLE !== "0";
/** Time for which the three crashed runners are down, in milliseconds. */
const DOWN_MS = 4500;
/** Requests after the crashed runners are back. */
const LATER_COUNT = 40;
const ZONES = ["city-hall", "water-ops", "library-annex"];
/** Engines; three of twelve crash: a share of 0.25. */
const ENGINE_COUNT = 12;
const HOST = "ficu95.example";
const KEY = "n2ctnfzs989anu6wsjnb";

const CONFIGURATION = {
  version: 7,
  routes: [{
    name: "digest",
    host: HOST,
    prefix: "/digest/",
    kind: "streaming",
    timeout_ms: 5000,
    goal_ms: 1200,
    priority: 2,
    service: "assist-models",
    max_attempts: 1,
    public: false,
    session_affinity: true,
    resumable: false,
    max_gap_ms: 800,
  }],
  services: [{
    name: "assist-models",
    health_path: "/health",
    max_connections: 360,
    protocol: "h1",
    tls: false,
    cold_start_s: 3,
    cold_per_s: 17,
    engine: {
      slots: 64,
      kv_capacity: 475_096,
      kv_token_bytes: 35_136,
      link_mbps: 260_000,
      moves: true,
      backups: true,
      stride: 5,
    },
  }],
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 4_194_304,
    header_timeout_ms: 5000,
    idle_timeout_ms: 15_000,
  },
  tenants: [{ name: "hule930", api_keys: [KEY] }],
};

const startMs = Date.now();
const lines = [];
function note(text) {
  lines.push(`${((Date.now() - startMs) / 1000).toFixed(3)} s  ${text}`);
}

let attempts = 0;
const results = [];
/** Sends a prompt; its first part is shared by all prompts of the route. */
async function call(fleet, index, { prompt, last }) {
  const id = `digest-${++attempts}`;
  note(`client sends ${id} (${prompt}) to vm ${index + 1}`);
  const seen = await send({
    host: fleet.hosts[index],
    port: fleet.front,
    path: "/digest/2f",
    body: `${prompt} `.padEnd(1400, "x"),
    headers: {
      Host: HOST,
      "Rosemarytiller-Attempt-Id": id,
      "Rosemarytiller-Model": "m",
      "Rosemarytiller-Token-Counts": "170,60",
      "Rosemarytiller-Prompt-Prefix": `5c1e07a2:100,${last}:70`,
      "Rosemarytiller-Deadline-Ms": "5000",
      Authorization: `Bearer ${KEY}`,
      "Content-Length": "1400",
    },
  });
  const isOwn = seen.headers["rosemarytiller-response-seal"] === undefined;
  note(
    `client of ${id} (${prompt}) has ${seen.status}` +
      `${isOwn && seen.status ? " of the system's own" : ""}, ${seen.end}, ` +
      `after ${seen.ms} ms`,
  );
  results.push({ id, prompt, seen, isOwn });
}

const STATUSES_ALLOWED = new Set([408, 421, 429]);
function isDenied({ seen, isOwn }) {
  return isOwn && seen.status >= 300 && seen.status < 500 &&
    !STATUSES_ALLOWED.has(seen.status);
}

async function main() {
  const store = await startStore();
  pool = createEnginePool({
    store,
    service: "assist-models",
    // Prompts are read in 0.8 s: the aim is a first event within 1.2 s.
    settings: { tokenMs: 60, events: 12, backlog: 511, prefillMs: 800 },
    note,
  });
  const { runs, engines } = pool;
  for (let number = 1; number <= ENGINE_COUNT; number++) {
    const zone = ZONES[number % ZONES.length];
    await pool.start({ id: `i-engine-${number}`, zone });
  }
  store.put("op/config", CONFIGURATION);
  const fleet = await startFleet({ zones: ZONES, store });
  note("all VMs are ready");
  const open = [];
  const ask = (index) => {
    const number = attempts + 1;
    const last = (0x10000 + number).toString(16);
    open.push(call(fleet, index, { prompt: `question ${number}`, last }));
  };
  await sleep(2000);
  // After a quiet time, a client of each VM asks something of its own.
  ZONES.forEach((_, index) => ask(index));
  await sleep(500);
  const used = new Set(runs.map(({ runner }) => runner));
  const crashed = engines.filter(({ id }) => used.has(id));
  if (HAS_TROUBLE) {
    for (const { child, timer } of crashed) {
      clearInterval(timer);
      child.kill("SIGKILL");
    }
    note(`${crashed.map(({ id }) => id).join(", ")} crash`);
  }
  await sleep(DOWN_MS);
  if (HAS_TROUBLE) {
    for (const { id, zone } of crashed) {
      await pool.start({ id: `${id}b`, zone });
    }
    note("they are back");
  }
  for (let turn = 0; turn < LATER_COUNT; turn++) {
    ask(turn % ZONES.length);
    await sleep(500);
  }
  await Promise.all(open);
  const denied = results.filter(isDenied);
  const bound = 5 + results.length / 500;
  const exits = fleet.vms.filter(({ exit }) => exit).length;
  note(
    `DENIED: ${denied.length} of ${results.length} requests; ` +
      `bound ${bound.toFixed(1)}`,
  );
  if (process.env.LOGS) {
    for (const vm of fleet.vms) {
      writeFileSync(join(process.env.LOGS, `vm-${vm.index + 1}.log`), vm.log);
    }
  }
  await fleet.close();
  store.close();
  if (exits > 0 || crashed.length !== 3) return 2;
  return denied.length > bound ? 1 : 0;
}

let pool;
let code = 2;
try {
  code = await main();
} catch (error) {
  note(`could not run: ${error.stack}`);
}
await pool?.close();
note(`exit code ${code}`);
writeFileSync(join(FOLDER, "record.txt"), lines.join("\n") + "\n");
process.exit(code);
