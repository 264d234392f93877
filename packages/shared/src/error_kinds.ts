import { ErrorKind, RunState } from "./enums.ts";

/** The answer that belongs to an error kind. */
export interface ErrorAnswer {
  /** HTTP status code. */
  status: number;
  /** Short title for the problem document. */
  title: string;
  /** Whether the same request may succeed later. */
  retryable: boolean;
}

function answer(
  status: number,
  title: string,
  retryable = false,
): ErrorAnswer {
  return { status, title, retryable };
}

/** Table from error kind to answer. */
export const ERROR_ANSWERS: Record<ErrorKind, ErrorAnswer> = {
  [ErrorKind.InvalidRequest]: answer(400, "The request is not valid"),
  [ErrorKind.MalformedJson]: answer(400, "The body is not valid JSON"),
  [ErrorKind.UnsupportedMediaType]: answer(415, "The body must be JSON"),
  [ErrorKind.BodyTooLarge]: answer(413, "The body is too large"),
  [ErrorKind.HeadersTooLarge]: answer(431, "The headers are too large"),
  [ErrorKind.RequestTimeout]: answer(408, "The body arrived too slowly"),
  [ErrorKind.Unauthenticated]: answer(401, "The API key is not known"),
  [ErrorKind.Forbidden]: answer(403, "The client may not do this"),
  [ErrorKind.UnknownModel]: answer(404, "The model is not known"),
  [ErrorKind.UnknownService]: answer(404, "The service is not known"),
  [ErrorKind.UnknownRoute]: answer(404, "The path is not known"),
  [ErrorKind.NoClass]: answer(403, "No class matches the request"),
  [ErrorKind.Overloaded]: answer(429, "The class is over capacity", true),
  [ErrorKind.DeadlineExceeded]: answer(504, "The deadline has passed", true),
  [ErrorKind.NoUpstream]: answer(503, "No upstream is in service", true),
  [ErrorKind.Quarantined]: answer(422, "The request crashed upstreams"),
  [ErrorKind.DuplicateKey]: answer(409, "The idempotency key was used"),
  [ErrorKind.KeyMismatch]: answer(
    422,
    "The idempotency key was used for another request",
  ),
  [ErrorKind.ClaimUnavailable]: answer(
    503,
    "The idempotency key cannot be checked now",
    true,
  ),
  [ErrorKind.OutcomeUnknown]: answer(502, "The outcome is not known"),
  [ErrorKind.UpstreamFailed]: answer(502, "The upstream failed", true),
  [ErrorKind.IncompleteAnswer]: answer(502, "The answer is not whole", true),
  [ErrorKind.Stopping]: answer(503, "The process is stopping", true),
  [ErrorKind.NotReady]: answer(503, "The process is not ready", true),
  [ErrorKind.Internal]: answer(500, "Internal error"),
};

/** Details that a `TillerError` may carry. */
export interface TillerErrorOptions {
  /** Whether an upstream ran the request; `not-run` unless said. */
  run?: RunState;
  /** When to come back, in milliseconds. */
  retryAfterMs?: number;
  /** The error that caused this one. */
  cause?: unknown;
}

/** An error of the closed list, with what is known of the run. */
export class TillerError extends Error {
  /** Kind of the closed list. */
  readonly kind: ErrorKind;
  /** Whether an upstream ran the request. */
  readonly run: RunState;
  /** When to come back, in milliseconds. */
  readonly retryAfterMs: number | undefined;

  constructor(
    kind: ErrorKind,
    detail: string,
    options: TillerErrorOptions = {},
  ) {
    super(detail, { cause: options.cause });
    this.name = "TillerError";
    this.kind = kind;
    this.run = options.run ?? RunState.NotRun;
    this.retryAfterMs = options.retryAfterMs;
  }
}

/** Returns the error as a `TillerError`; unknown ones become `internal`. */
export function toTillerError(
  error: unknown,
  options: TillerErrorOptions = {},
): TillerError {
  if (error instanceof TillerError) return error;
  const detail = error instanceof Error ? error.message : String(error);
  return new TillerError(ErrorKind.Internal, detail, {
    ...options,
    cause: error,
  });
}
