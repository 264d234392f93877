import {
  formatPool,
  isUpstreamInService,
  listPoolUpstreams,
  type PoolName,
} from "@rosemarytiller/document";
import {
  createPermitClient,
  type PermitClient,
  type PermitClientOptions,
} from "@rosemarytiller/entry";
import { createId, ErrorKind, TillerError } from "@rosemarytiller/shared";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Load-balancing strategies that work without pool leaders. */
export enum Baseline {
  Random = "random",
  RoundRobin = "round-robin",
  LeastOutstanding = "least-outstanding",
}

type ChooseUpstream = (
  names: string[],
  outstanding: Map<string, number>,
) => string;

function createUpstreamChoosers(
  seed: number,
): Record<Baseline, ChooseUpstream> {
  const random = xoroshiro128plus(seed);
  let nextIndex = 0;
  return {
    [Baseline.Random]: (names) =>
      names[uniformInt(random, 0, names.length - 1)],
    [Baseline.RoundRobin]: (names) => names[nextIndex++ % names.length],
    [Baseline.LeastOutstanding](names, outstanding) {
      let best = names[0];
      for (const name of names) {
        const isLessLoaded = (outstanding.get(name) ?? 0) <
          (outstanding.get(best) ?? 0);
        if (isLessLoaded) best = name;
      }
      return best;
    },
  };
}

/**
 * Creates a factory of permit clients that choose the upstream locally and
 * grant the permit at once, without a leader. A request is rejected with a
 * `TillerError` of kind `ErrorKind.NoUpstream` if the pool has no upstream in
 * service that is not in `avoid`.
 */
export function createBaselinePermits(
  baseline: Baseline,
  seed: number,
): (options: PermitClientOptions) => PermitClient {
  return (options) => {
    const choose = createUpstreamChoosers(seed)[baseline];
    const outstanding = new Map<string, number>();
    const addOutstanding = (name: string, by: number) =>
      outstanding.set(name, (outstanding.get(name) ?? 0) + by);
    // The real permit client's links still deliver documents and VM lists.
    const permitClient = createPermitClient(options);
    return {
      ...permitClient,
      acquire(call, poolName: PoolName, { avoid }) {
        const document = options.view.documentOf(poolName.service)!;
        const names = listPoolUpstreams(document, poolName)
          .map(([name]) => name)
          .filter((name) => isUpstreamInService(document, name))
          .filter((name) => !avoid.includes(name));
        if (names.length === 0) {
          return Promise.reject(
            new TillerError(ErrorKind.NoUpstream, `none for ${call.target}`),
          );
        }
        const upstream = choose(names, outstanding);
        addOutstanding(upstream, 1);
        const permit = createId("permit");
        return Promise.resolve({
          permit,
          pool: formatPool(poolName),
          upstream,
          validUntilMs: Infinity,
        });
      },
      release: (permit) => void addOutstanding(permit.upstream, -1),
    };
  };
}
