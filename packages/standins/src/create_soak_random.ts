import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Random choices that depend on a seed only. */
export interface SoakRandom {
  /** Returns an integer from 0 to `limit` - 1. */
  below(limit: number): number;
  /** Returns an integer from `first` to `last`. */
  between(first: number, last: number): number;
  /** Returns true with a probability of `percent` in 100. */
  chance(percent: number): boolean;
  pick<Item>(items: readonly Item[]): Item;
}

/** Creates a sequence of choices; sequences with other numbers differ. */
export function createSoakRandom(seed: number, sequence: number): SoakRandom {
  const generator = xoroshiro128plus(Math.imul(seed, 0x9e3779b1) ^ sequence);
  const between = (first: number, last: number) =>
    uniformInt(generator, first, last);
  const below = (limit: number) => between(0, limit - 1);
  return {
    below,
    between,
    chance: (percent) => below(100) < percent,
    pick: (items) => items[below(items.length)]!,
  };
}
