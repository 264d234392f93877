import createHasher from "xxhash-wasm";

const hasher = await createHasher();

/** Hash of a text as 16 hexadecimal digits. */
export function hashText(text: string): string {
  return hasher.h64ToString(text);
}

/** Ranks names for a key by rendezvous hashing, highest weight first. */
export function rankByRendezvous(
  key: string,
  names: readonly string[],
): string[] {
  const weighed = names.map((name) => ({
    name,
    weight: hasher.h64(`${key}\n${name}`),
  }));
  weighed.sort((left, right) => {
    if (left.weight !== right.weight) {
      return left.weight > right.weight ? -1 : 1;
    }
    return left.name < right.name ? -1 : 1;
  });
  return weighed.map((entry) => entry.name);
}
