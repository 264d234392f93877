/** What a path of the form `/ROUTE/NUMBER-SIZE-PACE` asks of an upstream. */
export interface PathOrder {
  isStream: boolean;
  /** Bytes of a plain response, or number of events of a stream. */
  size: number;
  /** Time to the response or between events, in milliseconds. */
  paceMs: number;
}

/** Body of an upstream's own response with status 500. */
export const FAILED_BODY = "failed";

export function readPathOrder(path: string): PathOrder {
  const [, size, paceMs] = /-(\d+)-(\d+)$/.exec(path) ?? [];
  const isStream = /^\/(streams|resumable)\//.test(path);
  return { isStream, size: Number(size ?? 0), paceMs: Number(paceMs ?? 0) };
}

/** Returns the body of a plain service's response. */
export function plainBody(path: string): string {
  return `done ${path}`.padEnd(readPathOrder(path).size, ".");
}

export function formatEvent(id: number, version: string): string {
  return `id: ${id}\ndata: ${version} token-${id}\n\n`;
}

/** Returns the body of a stream from the event with the id `first` on. */
export function streamBody(
  path: string,
  { first, version }: { first: number; version: string },
): string {
  let body = "";
  for (let id = first; id < readPathOrder(path).size; id++) {
    body += formatEvent(id, version);
  }
  return body;
}
