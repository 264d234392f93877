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

/** Ways of choosing that a router without leaders can use. */
export enum Baseline {
  Random = "random",
  RoundRobin = "round-robin",
  LeastOutstanding = "least-outstanding",
}

type Choose = (names: string[], outstanding: Map<string, number>) => string;

function createChoosers(seed: number): Record<Baseline, Choose> {
  const random = xoroshiro128plus(seed);
  let turn = 0;
  return {
    [Baseline.Random]: (names) =>
      names[uniformInt(random, 0, names.length - 1)],
    [Baseline.RoundRobin]: (names) => names[turn++ % names.length],
    [Baseline.LeastOutstanding](names, outstanding) {
      let best = names[0];
      for (const name of names) {
        const fewer = (outstanding.get(name) ?? 0) <
          (outstanding.get(best) ?? 0);
        if (fewer) best = name;
      }
      return best;
    },
  };
}

/** Creates an adapter that gives a permit at once, without any leader. */
export function createBaselinePermits(
  baseline: Baseline,
  seed: number,
): (options: PermitClientOptions) => PermitClient {
  return (options) => {
    const choose = createChoosers(seed)[baseline];
    const outstanding = new Map<string, number>();
    const change = (name: string, by: number) =>
      outstanding.set(name, (outstanding.get(name) ?? 0) + by);
    // Its links still bring documents and VM lists to the entry.
    const leaders = createPermitClient(options);
    return {
      ...leaders,
      ask(call, poolName: PoolName, { avoid }) {
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
        change(upstream, 1);
        const permit = createId("permit");
        return Promise.resolve({
          permit,
          pool: formatPool(poolName),
          upstream,
        });
      },
      finish: (permit) => void change(permit.upstream, -1),
    };
  };
}
