import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** One class of the load. */
export interface LoadClass {
  name: string;
  /** Share of the requests. */
  share: number;
  minTokens: number;
  maxTokens: number;
  clients: string[];
}

/** One request of the load. */
export interface PlannedRequest {
  /** Time from the start of the run, in milliseconds. */
  atMs: number;
  className: string;
  client: string;
  tokens: number;
  /** Number that tells prompts apart; a few share a beginning. */
  prompt: string;
}

/** How many prompts share a beginning. */
const PREFIXES = 40;

/** Plans Poisson arrivals over a time, the same for the same seed. */
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
      prompt: `history ${uniformInt(random, 1, PREFIXES)}: ${planned.length}`,
    });
  }
}

/** Mean number of tokens of a request. */
export function meanTokens(classes: readonly LoadClass[]): number {
  let mean = 0;
  for (const { share, minTokens, maxTokens } of classes) {
    mean += share * (minTokens + maxTokens) / 2;
  }
  return mean;
}

function pickClass(classes: readonly LoadClass[], point: number): LoadClass {
  let sum = 0;
  for (const loadClass of classes) {
    sum += loadClass.share;
    if (point < sum) return loadClass;
  }
  return classes[classes.length - 1];
}
