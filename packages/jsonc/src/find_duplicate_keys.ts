import type { Node } from "jsonc-parser";

/** A key that occurs more than once in an object. */
export interface DuplicateKey {
  /** Path of the repeated key. */
  path: (string | number)[];
  /** Offset of the later occurrence in the text, in UTF-16 code units. */
  offset: number;
}

/** Finds duplicate keys in objects; JSON parsers silently keep the last one. */
export function findDuplicateKeys(
  node: Node,
  path: readonly (string | number)[] = [],
): DuplicateKey[] {
  const found: DuplicateKey[] = [];
  if (node.type === "array") {
    for (const [index, child] of (node.children ?? []).entries()) {
      found.push(...findDuplicateKeys(child, [...path, index]));
    }
    return found;
  }
  if (node.type !== "object") return found;
  const seen = new Set<string>();
  for (const property of node.children ?? []) {
    const [key, value] = property.children ?? [];
    const inner = [...path, key.value as string];
    if (seen.has(key.value)) found.push({ path: inner, offset: key.offset });
    seen.add(key.value);
    if (value) found.push(...findDuplicateKeys(value, inner));
  }
  return found;
}
