/**
 * Returns the candidate with the smallest edit distance to a name, or undefined
 * if all distances exceed half of the name's length (2 for short names).
 */
export function findNearestName(
  name: string,
  candidates: readonly string[],
): string | undefined {
  let best: string | undefined;
  let bestDistance = Math.max(2, Math.floor(name.length / 2)) + 1;
  for (const candidate of candidates) {
    const distance = editDistance(name, candidate);
    if (distance >= bestDistance) continue;
    best = candidate;
    bestDistance = distance;
  }
  return best;
}

/** Levenshtein distance. */
function editDistance(left: string, right: string): number {
  let row = Array.from({ length: right.length + 1 }, (_, index) => index);
  for (let i = 1; i <= left.length; i++) {
    const next = [i];
    for (let j = 1; j <= right.length; j++) {
      const change = left[i - 1] === right[j - 1] ? 0 : 1;
      next.push(Math.min(next[j - 1] + 1, row[j] + 1, row[j - 1] + change));
    }
    row = next;
  }
  return row[right.length];
}
