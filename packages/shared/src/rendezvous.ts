import createHasher from "xxhash-wasm";

const hasher = await createHasher();

/** Returns the 64-bit xxHash of a text as 16 hexadecimal digits. */
export function hashText(text: string): string {
  return hasher.h64ToString(text);
}

/**
 * Ranks names for a key by rendezvous hashing, highest weight first. The result
 * does not depend on the order of the names.
 */
export function rankByRendezvous(
  key: string,
  names: readonly string[],
): string[] {
  const weighted = names.map((name) => ({
    name,
    weight: hasher.h64(`${key}\n${name}`),
  }));
  weighted.sort((left, right) => {
    if (left.weight !== right.weight) {
      return left.weight > right.weight ? -1 : 1;
    }
    return left.name < right.name ? -1 : 1;
  });
  return weighted.map((entry) => entry.name);
}
