import type { StandInEngine } from "@rosemarytiller/standins";
import { expectedTokens } from "@rosemarytiller/standins";
import { callChat, type CallerAnswer, readStream } from "./call_fleet.ts";
import type { Fleet, FleetVm } from "./start_fleet.ts";

/** Tokens of each answer of the load. */
const LOAD_TOKENS = 10;
/** Time between two looks at the engines. */
const SAMPLE_MS = 5;
/** Time after which a refused caller asks again at the latest. */
const MAX_RETRY_MS = 500;

/** What a load has seen. */
export interface LoadCounts {
  whole: number;
  /** Refusals that truly say the request was not run, with Retry-After. */
  refused: number;
  /** All other ends, described. */
  wrong: string[];
}

/** Callers that call one after the other. */
export interface FaultLoad {
  readonly counts: LoadCounts;
  /** Longest time without a start at the engines since the last reset. */
  gapMs(): number;
  resetGap(): void;
  /** Resolves when every call has ended. */
  stop(): Promise<LoadCounts>;
}

/** Puts a steady load on the VMs of a fleet. */
export function runFaultLoad(
  fleet: Pick<Fleet, "vms">,
  engines: readonly StandInEngine[],
  options: { callersPerVm: number },
): FaultLoad {
  const counts: LoadCounts = { whole: 0, refused: 0, wrong: [] };
  const stopping = new AbortController();
  let next = 0;

  async function call(vm: FleetVm): Promise<void> {
    const messages = [{ role: "user", content: `question ${next++}` }];
    const expected = expectedTokens(JSON.stringify(messages), LOAD_TOKENS);
    const body = { model: "small", messages, max_tokens: LOAD_TOKENS };
    try {
      const answer = await callChat(vm.url, { ...body, stream: true });
      const { tokens, whole } = readStream(answer.text);
      const isWhole = answer.status === 200 && whole &&
        tokens.join() === expected.join();
      if (isWhole) counts.whole++;
      else if (isTrueRefusal(answer)) await noteRefusal(answer);
      else counts.wrong.push(`${vm.name}: ${answer.status} ${answer.text}`);
    } catch (error) {
      counts.wrong.push(`${vm.name}: ${(error as Error).message}`);
    }
  }

  async function noteRefusal(answer: CallerAnswer): Promise<void> {
    counts.refused++;
    const afterMs = Number(answer.headers.get("retry-after")) * 1000;
    const delayMs = Math.min(MAX_RETRY_MS, afterMs);
    await new Promise((resolve) => setTimeout(resolve, delayMs));
  }

  async function callOnAndOn(vm: FleetVm): Promise<void> {
    while (!stopping.signal.aborted) await call(vm);
  }

  const callers = fleet.vms.flatMap((vm) =>
    Array.from({ length: options.callersPerVm }, () => callOnAndOn(vm))
  );
  let startedBefore = 0;
  let startedMs = performance.now();
  let gapMs = 0;
  const sampler = setInterval(() => {
    let started = 0;
    for (const engine of engines) started += engine.counts.started;
    gapMs = Math.max(gapMs, performance.now() - startedMs);
    if (started === startedBefore) return;
    startedBefore = started;
    startedMs = performance.now();
  }, SAMPLE_MS);

  return {
    counts,
    gapMs: () => gapMs,
    resetGap() {
      gapMs = 0;
      startedMs = performance.now();
    },
    async stop() {
      stopping.abort();
      await Promise.all(callers);
      clearInterval(sampler);
      return counts;
    },
  };
}

function isTrueRefusal(answer: CallerAnswer): boolean {
  if (answer.status !== 429 && answer.status !== 503) return false;
  const { run } = JSON.parse(answer.text);
  return run === "not-run" && answer.headers.has("retry-after");
}
