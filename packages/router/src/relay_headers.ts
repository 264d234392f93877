import { ErrorKind, RunState, TillerError } from "@rosemarytiller/shared";

/** What a VM sends with a request that another one is to serve for it. */
export interface RelayedRequest {
  /** Name of the VM that the caller sent the request to. */
  from: string;
  /** Remaining time of the request, in milliseconds. */
  deadlineMs: number;
  /** Number of times that the request was sent before. */
  sends: number;
  /** Last event that the caller has, undefined at the start. */
  lastEventId: string | undefined;
  /** The only software version that may serve it; undefined for any. */
  softwareVersion: string | undefined;
}

/** Headers between VMs, in lower case; upstreams and callers never get them. */
enum RelayHeader {
  From = "tiller-from",
  DeadlineMs = "tiller-deadline-ms",
  Sends = "tiller-sends",
  LastEventId = "tiller-last-event-id",
  SoftwareVersion = "tiller-software-version",
  /** Kind of the error that is the response. */
  Error = "tiller-error",
  /** Whether an upstream ran the request, with an error. */
  Run = "tiller-run",
}

/** Start of the names of all headers between VMs. */
const PREFIX = "tiller-";

/** Whether a header, in lower case, is one between VMs. */
export function isRelayHeader(name: string): boolean {
  return name.startsWith(PREFIX);
}

/** Writes the headers of a relayed request; names and values alternate. */
export function writeRelayHeaders(request: RelayedRequest): string[] {
  const headers: string[] = [
    RelayHeader.From,
    request.from,
    RelayHeader.DeadlineMs,
    String(Math.max(1, Math.floor(request.deadlineMs))),
    RelayHeader.Sends,
    String(request.sends),
  ];
  const { lastEventId, softwareVersion } = request;
  if (lastEventId !== undefined) {
    headers.push(RelayHeader.LastEventId, lastEventId);
  }
  if (softwareVersion !== undefined) {
    headers.push(RelayHeader.SoftwareVersion, softwareVersion);
  }
  return headers;
}

/** Reads the headers of a relayed request; undefined if some are missing. */
export function readRelayHeaders(
  rawHeaders: readonly string[],
): RelayedRequest | undefined {
  const headers = new Map<string, string>();
  for (let at = 0; at < rawHeaders.length; at += 2) {
    headers.set(rawHeaders[at]!.toLowerCase(), rawHeaders[at + 1]!);
  }
  const from = headers.get(RelayHeader.From);
  const deadlineMs = Number(headers.get(RelayHeader.DeadlineMs));
  const sends = Number(headers.get(RelayHeader.Sends));
  if (!from || !(deadlineMs > 0) || !(sends >= 0)) return undefined;
  return {
    from,
    deadlineMs,
    sends,
    lastEventId: headers.get(RelayHeader.LastEventId),
    softwareVersion: headers.get(RelayHeader.SoftwareVersion),
  };
}

/** Headers with which a VM returns an error to the one that relayed. */
export function writeRelayError({ kind, run }: TillerError): string[] {
  return [RelayHeader.Error, kind, RelayHeader.Run, run];
}

/**
 * Reads the refusal of a request that was not run; undefined for any other
 * response.
 */
export function readRelayRefusal(
  headers: Record<string, string | string[] | undefined>,
): TillerError | undefined {
  const kind = headers[RelayHeader.Error];
  if (headers[RelayHeader.Run] !== RunState.NotRun) return undefined;
  const retryAfterMs = Number(headers["retry-after"]) * 1000;
  return new TillerError(
    REFUSAL_KINDS.find((known) => known === kind) ?? ErrorKind.NotReady,
    "another VM, asked as this one reaches no upstream, refused the request",
    retryAfterMs >= 0 ? { retryAfterMs } : {},
  );
}

/**
 * Refusals that callers get from the other VM as they are. What depends on its
 * configuration, which may be older, is a retryable `NotReady`.
 */
const REFUSAL_KINDS: readonly ErrorKind[] = [
  ErrorKind.Overloaded,
  ErrorKind.NoUpstream,
  ErrorKind.Quarantined,
  ErrorKind.TrialPending,
  ErrorKind.Stopping,
];
