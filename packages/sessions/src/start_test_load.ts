import type { StandInEngine } from "@rosemarytiller/standins";
import { expectedTokens } from "@rosemarytiller/standins";
import { callChat, type CallerAnswer, readStream } from "./call_fleet.ts";
import type { Fleet, FleetVm } from "./start_fleet.ts";

/** Tokens in each answer. */
const LOAD_TOKENS = 10;
/** Interval at which the engines' counters are sampled. */
const SAMPLE_INTERVAL_MS = 5;
/** Longest delay before a refused caller retries. */
const MAX_RETRY_DELAY_MS = 500;

/** Calls of a load by how they ended. */
export interface LoadCounts {
  /** Complete streams with the expected tokens. */
  complete: number;
  /** Status 429 or 503, with run `not-run` and a Retry-After header. */
  refused: number;
  /** Descriptions of all other calls, which count as failures. */
  failures: string[];
}

/** A running load of callers that each make one call at a time. */
export interface TestLoad {
  readonly counts: LoadCounts;
  /**
   * Longest time without a call start at the engines since the last reset, in
   * milliseconds.
   */
  maxStartGapMs(): number;
  resetMaxStartGap(): void;
  /** Starts no more calls and resolves when those in progress have ended. */
  stop(): Promise<LoadCounts>;
}

/** Starts `callersPerVm` callers for each VM; they call until stopped. */
export function startTestLoad(
  fleet: Pick<Fleet, "vms">,
  engines: readonly StandInEngine[],
  options: { callersPerVm: number },
): TestLoad {
  const counts: LoadCounts = { complete: 0, refused: 0, failures: [] };
  const stopping = new AbortController();
  let next = 0;

  async function call(vm: FleetVm): Promise<void> {
    const messages = [{ role: "user", content: `question ${next++}` }];
    const expected = expectedTokens(JSON.stringify(messages), LOAD_TOKENS);
    const body = { model: "small", messages, max_tokens: LOAD_TOKENS };
    try {
      const answer = await callChat(vm.url, { ...body, stream: true });
      const { tokens, isComplete: whole } = readStream(answer.text);
      const isComplete = answer.status === 200 && whole &&
        tokens.join() === expected.join();
      if (isComplete) counts.complete++;
      else if (isNotRunRefusal(answer)) await recordRefusalAndWait(answer);
      else counts.failures.push(`${vm.name}: ${answer.status} ${answer.text}`);
    } catch (error) {
      counts.failures.push(`${vm.name}: ${(error as Error).message}`);
    }
  }

  async function recordRefusalAndWait(answer: CallerAnswer): Promise<void> {
    counts.refused++;
    const retryAfterMs = Number(answer.headers.get("retry-after")) * 1000;
    const delayMs = Math.min(MAX_RETRY_DELAY_MS, retryAfterMs);
    await new Promise((resolve) => setTimeout(resolve, delayMs));
  }

  async function callRepeatedly(vm: FleetVm): Promise<void> {
    while (!stopping.signal.aborted) await call(vm);
  }

  const callers = fleet.vms.flatMap((vm) =>
    Array.from({ length: options.callersPerVm }, () => callRepeatedly(vm))
  );
  let lastStartCount = 0;
  let lastStartMs = performance.now();
  let gapMs = 0;
  const sampler = setInterval(() => {
    let started = 0;
    for (const engine of engines) started += engine.counts.started;
    gapMs = Math.max(gapMs, performance.now() - lastStartMs);
    if (started === lastStartCount) return;
    lastStartCount = started;
    lastStartMs = performance.now();
  }, SAMPLE_INTERVAL_MS);

  return {
    counts,
    maxStartGapMs: () => gapMs,
    resetMaxStartGap() {
      gapMs = 0;
      lastStartMs = performance.now();
    },
    async stop() {
      stopping.abort();
      await Promise.all(callers);
      clearInterval(sampler);
      return counts;
    },
  };
}

function isNotRunRefusal(answer: CallerAnswer): boolean {
  if (answer.status !== 429 && answer.status !== 503) return false;
  const { run } = JSON.parse(answer.text);
  return run === "not-run" && answer.headers.has("retry-after");
}
