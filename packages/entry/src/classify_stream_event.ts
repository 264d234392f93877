import type { EventSourceMessage } from "eventsource-parser";

/** Data of the event that ends a complete stream. */
export const END_MARK = "[DONE]";

/** Kind of a stream event, as seen by the attempt that reads it. */
export enum StreamEventKind {
  /** The next token. */
  Token = "token",
  /** The end mark of a complete stream. */
  End = "end",
  /** A token that was received before. */
  Repeated = "repeated",
  /** Part of another attempt's response. */
  Misrouted = "crossed",
}

/** The upstream sent data that no complete response can contain. */
export class InvalidResponseError extends Error {
  /** Whether resuming the stream may still deliver the rest of the response. */
  readonly resumable: boolean;

  constructor(detail: string, options: { resumable: boolean }) {
    super(detail);
    this.name = "InvalidResponseError";
    this.resumable = options.resumable;
  }
}

/**
 * Classifies an event for an attempt that expects token `next`. An event without
 * an identifier counts as the next token. Throws `InvalidResponseError` for data
 * that is not a JSON object, an error event, an event without choices, or a gap.
 */
export function classifyStreamEvent(
  event: EventSourceMessage,
  expected: { attempt: string; next: number },
): StreamEventKind {
  if (event.data === END_MARK) return StreamEventKind.End;
  const chunk = parseObject(event.data);
  if (event.event === "error" || "error" in chunk) {
    throw new InvalidResponseError("the upstream sent an error in the stream", {
      resumable: false,
    });
  }
  if (isOtherAttempt(chunk.id, expected.attempt)) {
    return StreamEventKind.Misrouted;
  }
  if (!Array.isArray(chunk.choices)) {
    throw new InvalidResponseError(
      'the upstream sent an event without "choices"',
      { resumable: true },
    );
  }
  if (!event.id) return StreamEventKind.Token;
  const index = Number(event.id);
  if (index === expected.next) return StreamEventKind.Token;
  if (index < expected.next) return StreamEventKind.Repeated;
  throw new InvalidResponseError(
    `the upstream sent token ${event.id} instead of token ${expected.next}`,
    { resumable: true },
  );
}

/**
 * Throws `InvalidResponseError` unless the text is a complete non-streaming
 * response to the attempt.
 */
export function checkNonStreamingResponse(text: string, attempt: string): void {
  const response = parseObject(text);
  if ("error" in response) {
    throw new InvalidResponseError("the upstream sent an error", {
      resumable: false,
    });
  }
  if (isOtherAttempt(response.id, attempt)) {
    throw new InvalidResponseError(
      "the upstream sent the response to another call",
      { resumable: false },
    );
  }
  if (Array.isArray(response.choices) && response.choices.length > 0) return;
  throw new InvalidResponseError(
    'the upstream sent a response without "choices"',
    { resumable: false },
  );
}

/** Prefix of the attempt identifiers that this system generates. */
const ATTEMPT_ID_PREFIX = "attempt-";

/**
 * Whether a response's identifier is that of another attempt. Model runners may
 * choose identifiers of another form, which are not compared.
 */
function isOtherAttempt(id: unknown, attempt: string): boolean {
  if (typeof id !== "string" || !id.startsWith(ATTEMPT_ID_PREFIX)) return false;
  return id !== attempt;
}

function parseObject(text: string): Record<string, unknown> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    throw new InvalidResponseError("the upstream sent invalid JSON", {
      resumable: true,
    });
  }
  if (typeof value === "object" && value !== null) {
    return value as Record<string, unknown>;
  }
  throw new InvalidResponseError(
    "the upstream sent JSON that is not an object",
    { resumable: true },
  );
}
