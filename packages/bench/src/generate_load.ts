import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Request class of a generated load. */
export interface LoadClass {
  name: string;
  /** Share of the requests, from 0 to 1; the shares of all classes sum to 1. */
  share: number;
  minTokens: number;
  maxTokens: number;
  clients: string[];
}

/** Request of a generated load. */
export interface PlannedRequest {
  /** Arrival time in milliseconds since the start of the run. */
  atMs: number;
  className: string;
  client: string;
  tokens: number;
  /** Unique prompt; its prefix is shared with some other requests. */
  prompt: string;
}

/** Number of different prompt prefixes. */
const PROMPT_PREFIXES = 40;

/**
 * Generates Poisson arrivals over `seconds`, in order of time. The same seed
 * gives the same requests.
 */
export function generateLoad(
  classes: readonly LoadClass[],
  options: { seed: number; ratePerSecond: number; seconds: number },
): PlannedRequest[] {
  const { seed, ratePerSecond, seconds } = options;
  const random = xoroshiro128plus(seed);
  const planned: PlannedRequest[] = [];
  let atMs = 0;
  while (true) {
    atMs += -Math.log(1 - uniformFloat64(random)) * 1000 / ratePerSecond;
    if (atMs > seconds * 1000) return planned;
    const loadClass = pickClass(classes, uniformFloat64(random));
    const { minTokens, maxTokens, clients } = loadClass;
    planned.push({
      atMs,
      className: loadClass.name,
      client: clients[uniformInt(random, 0, clients.length - 1)],
      tokens: uniformInt(random, minTokens, maxTokens),
      prompt: `history ${
        uniformInt(random, 1, PROMPT_PREFIXES)
      }: ${planned.length}`,
    });
  }
}

/** Expected number of output tokens per request. */
export function meanTokensPerRequest(classes: readonly LoadClass[]): number {
  let mean = 0;
  for (const { share, minTokens, maxTokens } of classes) {
    mean += share * (minTokens + maxTokens) / 2;
  }
  return mean;
}

function pickClass(
  classes: readonly LoadClass[],
  randomValue: number,
): LoadClass {
  let sum = 0;
  for (const loadClass of classes) {
    sum += loadClass.share;
    if (randomValue < sum) return loadClass;
  }
  return classes[classes.length - 1];
}
