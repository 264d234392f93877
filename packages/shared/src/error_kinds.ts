import { ErrorKind, RunState } from "./enums.ts";

/** HTTP response to an error kind. */
export interface ErrorResponse {
  /** HTTP status code. */
  status: number;
  /** Title of the problem document (`application/problem+json`). */
  title: string;
  /** Whether a retry may succeed; the response then has `retry-after`. */
  retryable: boolean;
}

function createErrorResponse(
  status: number,
  title: string,
  retryable = false,
): ErrorResponse {
  return { status, title, retryable };
}

/** Response to each error kind. */
export const ERROR_RESPONSES: Record<ErrorKind, ErrorResponse> = {
  [ErrorKind.InvalidRequest]: createErrorResponse(
    400,
    "The request is not valid",
  ),
  [ErrorKind.MalformedJson]: createErrorResponse(
    400,
    "The body is not valid JSON",
  ),
  [ErrorKind.UnsupportedMediaType]: createErrorResponse(
    415,
    "The body must be JSON",
  ),
  [ErrorKind.BodyTooLarge]: createErrorResponse(413, "The body is too large"),
  [ErrorKind.HeadersTooLarge]: createErrorResponse(
    431,
    "The headers are too large",
  ),
  [ErrorKind.RequestTimeout]: createErrorResponse(
    408,
    "The body arrived too slowly",
  ),
  [ErrorKind.Unauthenticated]: createErrorResponse(
    401,
    "The API key is not known",
  ),
  [ErrorKind.Forbidden]: createErrorResponse(403, "The client may not do this"),
  [ErrorKind.UnknownModel]: createErrorResponse(404, "The model is not known"),
  [ErrorKind.UnknownService]: createErrorResponse(
    404,
    "The service is not known",
  ),
  [ErrorKind.UnknownRoute]: createErrorResponse(404, "The path is not known"),
  [ErrorKind.NoClass]: createErrorResponse(403, "No class matches the request"),
  [ErrorKind.Overloaded]: createErrorResponse(
    429,
    "The class is over capacity",
    true,
  ),
  [ErrorKind.DeadlineExceeded]: createErrorResponse(
    504,
    "The deadline has passed",
    true,
  ),
  [ErrorKind.NoUpstream]: createErrorResponse(
    503,
    "No upstream is in service",
    true,
  ),
  [ErrorKind.Quarantined]: createErrorResponse(
    422,
    "The request crashed upstreams",
  ),
  [ErrorKind.TrialPending]: createErrorResponse(
    503,
    "Whether the request crashes upstreams is to be seen",
    true,
  ),
  [ErrorKind.DuplicateKey]: createErrorResponse(
    409,
    "The idempotency key was used",
  ),
  [ErrorKind.KeyMismatch]: createErrorResponse(
    422,
    "The idempotency key was used for another request",
  ),
  [ErrorKind.ClaimUnavailable]: createErrorResponse(
    503,
    "The idempotency key cannot be checked now",
    true,
  ),
  [ErrorKind.OutcomeUnknown]: createErrorResponse(
    502,
    "The outcome is not known",
  ),
  [ErrorKind.UpstreamFailed]: createErrorResponse(
    502,
    "The upstream failed",
    true,
  ),
  [ErrorKind.IncompleteAnswer]: createErrorResponse(
    502,
    "The answer is not whole",
    true,
  ),
  [ErrorKind.Stopping]: createErrorResponse(
    503,
    "The process is stopping",
    true,
  ),
  [ErrorKind.NotReady]: createErrorResponse(
    503,
    "The process is not ready",
    true,
  ),
  [ErrorKind.Internal]: createErrorResponse(500, "Internal error"),
};

/** Details that a `TillerError` may carry. */
export interface TillerErrorOptions {
  /** Whether an upstream ran the request; `not-run` by default. */
  run?: RunState;
  /** Delay after which the caller may retry, in milliseconds. */
  retryAfterMs?: number;
  /** The error that caused this one. */
  cause?: unknown;
}

/**
 * An error of an `ErrorKind`. Callers receive its message as the detail of the
 * problem document.
 */
export class TillerError extends Error {
  readonly kind: ErrorKind;
  /** Whether an upstream ran the request. */
  readonly run: RunState;
  /** Delay after which the caller may retry, in milliseconds. */
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

/**
 * Returns a `TillerError` unchanged. Wraps any other error in one of kind
 * `internal` that has its message, and the error as the cause.
 */
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
