// A stream that may run once runs twice: see claim.txt.
import { writeFileSync } from "node:fs";
import { dirname, join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { send } from "../client.js";
import { runs, startEngine } from "../engine.js";
import { sleep, startFleet } from "../fleet.js";
import { startLink } from "../link.js";
import { ownerOf } from "../owner.js";
import { startPlain } from "../plain.js";
import { startStore } from "../store.js";

const FOLDER = dirname(fileURLToPath(import.meta.url));
const HAS_TROUBLE = process.env.TROUBLE !== "0";
/** Length of the cut, in milliseconds. */
const CUT_MS = 5000;
/** Zone of each VM. */
const ZONES = ["city-hall", "water-ops", "library-annex", "city-hall"];
/** Runners of the plain service; they keep all paths. */
const PLAIN_COUNT = 8;
const HOST = "ficu95.example";
const KEY = "n2ctnfzs989anu6wsjnb";

const CONFIGURATION = {
  version: 7,
  routes: [
    {
      name: "chat",
      host: HOST,
      prefix: "/chat/",
      kind: "streaming",
      timeout_ms: 15_000,
      goal_ms: 300,
      priority: 0,
      service: "assist-models",
      max_attempts: 2,
      public: false,
      session_affinity: true,
      resumable: false,
      max_gap_ms: 400,
    },
    {
      name: "draft",
      host: HOST,
      prefix: "/draft/",
      kind: "streaming",
      timeout_ms: 3000,
      goal_ms: 400,
      priority: 1,
      service: "assist-models",
      max_attempts: 2,
      public: false,
      session_affinity: true,
      resumable: true,
      max_gap_ms: 300,
    },
    {
      name: "read",
      host: HOST,
      prefix: "/read/",
      kind: "idempotent",
      timeout_ms: 1000,
      goal_ms: 150,
      priority: 2,
      service: "fleet-records",
      max_attempts: 2,
      public: false,
    },
  ],
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
  }, {
    name: "fleet-records",
    health_path: "/health",
    max_connections: 100,
    protocol: "h1",
    tls: false,
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
function call(fleet, index, { path, deadlineMs, counts, name }) {
  const id = `${name}-${(++attempts).toString(16).padStart(6, "0")}`;
  const part = (0x1000 + attempts).toString(16);
  note(`client sends ${id} ${path} to vm ${index + 1}`);
  const answer = send({
    host: fleet.hosts[index],
    port: fleet.front,
    path,
    body: `prompt ${attempts} `.padEnd(1400, "x"),
    headers: {
      Host: HOST,
      "Rosemarytiller-Attempt-Id": id,
      "Rosemarytiller-Model": "m",
      "Rosemarytiller-Token-Counts": counts,
      "Rosemarytiller-Prompt-Prefix": `5c1e07a2:100,${part}:70`,
      "Rosemarytiller-Deadline-Ms": String(deadlineMs),
      Authorization: `Bearer ${KEY}`,
      "Content-Length": "1400",
    },
  });
  return answer.then((seen) => {
    const events = [...seen.body.matchAll(/^data: (\S+) \S+ (\d+)$/gm)];
    const runners = [...new Set(events.map(([, runner]) => runner))];
    note(
      `client of ${id} has ${seen.status}, ${events.length} events ` +
        `(${runners.join(", ")}), ${seen.end}, after ${seen.ms} ms`,
    );
    return { id, index, seen, events, runners };
  });
}

async function main() {
  let isCutNow = false;
  const store = await startStore();
  const engines = [];
  const links = [];
  let pids = [];
  for (const [index, zone] of ["city-hall", "water-ops"].entries()) {
    const engine = await startEngine({
      id: `i-engine-${index + 1}`,
      tokenMsOf: (path) => path.startsWith("/chat/") ? 20 : 4,
      eventsOf: (path) => path.startsWith("/chat/") ? 80 : 5,
      onRun: (run) =>
        note(
          `runner ${run.runner} runs ${run.attempt}` +
            (run.lastEventId === undefined
              ? ""
              : `, from event ${run.lastEventId}`) +
            (run.kvFrom === undefined ? "" : `, from copy ${run.kvFrom}`),
        ),
    });
    const link = await startLink({
      host: "127.0.0.1",
      target: engine.target,
      ownerOf: (socket) => ownerOf(socket, pids),
      isCut: (owner) => isCutNow && owner === 0,
    });
    engine.setAddress(link.address);
    engine.register(store, { service: "assist-models", zone, slots: 64 });
    engines.push(engine);
    links.push(link);
  }
  for (let number = 1; number <= PLAIN_COUNT; number++) {
    const plain = await startPlain({ id: `i-record-${number}`, workMs: 20 });
    const zone = ZONES[number % 3];
    plain.register(store, { service: "fleet-records", zone, slots: 6 });
    engines.push(plain);
  }
  store.put("op/config", CONFIGURATION);
  const fleet = await startFleet({ zones: ZONES, store });
  pids = fleet.vms.map(({ child }) => child.pid);
  note("all VMs are ready");
  const answers = [];
  let isSending = true;
  const draft = { path: "/draft/2f", deadlineMs: 3000, counts: "170,25" };
  const read = { path: "/read/2f", deadlineMs: 1000, counts: "1,1" };
  /** Each VM has a short stream and a read ten times a second. */
  const background = ZONES.map(async (_, index) => {
    while (isSending) {
      answers.push(call(fleet, index, { ...draft, name: "draft" }));
      answers.push(call(fleet, index, { ...read, name: "read" }));
      await sleep(100);
    }
  });
  await sleep(3000);
  const chats = [];
  for (let number = 0; number < 6; number++) {
    chats.push(call(fleet, 0, {
      path: "/chat/2f",
      deadlineMs: 15_000,
      counts: "170,400",
      name: "chat",
    }));
    await sleep(50);
  }
  await sleep(1500);
  if (HAS_TROUBLE) {
    isCutNow = true;
    note("vm 1 loses its path to the runners");
  }
  await sleep(CUT_MS);
  if (isCutNow) {
    isCutNow = false;
    for (const link of links) link.flush();
    note("vm 1 has its path to the runners again");
  }
  await sleep(1000);
  isSending = false;
  await Promise.all(background);
  await Promise.all(answers);
  const results = await Promise.all(chats);
  await sleep(500);
  const twice = [];
  for (const { id } of results) {
    // A run that goes on from a copy counts as the same run.
    const own = runs.filter((run) =>
      run.attempt === id && run.kvFrom === undefined
    );
    if (own.length > 1) twice.push(id);
    for (const run of own) {
      note(
        `${id} ran at ${run.runner}: ${run.events} events, ${run.state}`,
      );
    }
  }
  const exits = fleet.vms.filter(({ exit }) => exit).length;
  note(
    `${results.length} chats, ${answers.length} other requests, ${runs.length} streams run`,
  );
  note(`TWICE: ${twice.length} chats ran more than once: ${twice.join(" ")}`);
  if (process.env.LOGS) {
    for (const vm of fleet.vms) {
      writeFileSync(join(process.env.LOGS, `vm-${vm.index + 1}.log`), vm.log);
    }
  }
  await fleet.close();
  for (const part of [...links, ...engines, store]) part.close();
  const hasRun = exits === 0 && results.every(({ seen }) => seen.status > 0);
  return hasRun ? (twice.length > 0 ? 1 : 0) : 2;
}

let code = 2;
try {
  code = await main();
} catch (error) {
  note(`could not run: ${error.stack}`);
}
note(`exit code ${code}`);
writeFileSync(join(FOLDER, "record.txt"), lines.join("\n") + "\n");
process.exit(code);
