import type { EventSourceMessage } from "eventsource-parser";

/** Data of the event that ends a whole stream. */
export const END_MARK = "[DONE]";

/** What an event of an engine's stream is to the call that reads it. */
export enum StreamEventKind {
  /** The next token. */
  Token = "token",
  /** The end mark of a whole stream. */
  End = "end",
  /** A token that was read before. */
  Repeated = "repeated",
  /** Part of another call's answer. */
  Crossed = "crossed",
}

/** The upstream sent what no whole answer can contain. */
export class GarbageError extends Error {
  /** Whether the rest of the answer may still be had by a resume. */
  readonly resumable: boolean;

  constructor(detail: string, options: { resumable: boolean }) {
    super(detail);
    this.name = "GarbageError";
    this.resumable = options.resumable;
  }
}

/**
 * Tells what an event is to an attempt that expects token `next`. Throws
 * `GarbageError` for broken JSON, a gap, or an error in place of a token.
 */
export function checkStreamEvent(
  event: EventSourceMessage,
  expected: { attempt: string; next: number },
): StreamEventKind {
  if (event.data === END_MARK) return StreamEventKind.End;
  const chunk = parseObject(event.data);
  if (event.event === "error" || "error" in chunk) {
    throw new GarbageError("the stream carries an error", { resumable: false });
  }
  if (isOfOtherAttempt(chunk.id, expected.attempt)) {
    return StreamEventKind.Crossed;
  }
  if (!Array.isArray(chunk.choices)) {
    throw new GarbageError("an event has no choices", { resumable: true });
  }
  if (!event.id) return StreamEventKind.Token;
  const index = Number(event.id);
  if (index === expected.next) return StreamEventKind.Token;
  if (index < expected.next) return StreamEventKind.Repeated;
  throw new GarbageError(
    `token ${event.id} came in place of token ${expected.next}`,
    { resumable: true },
  );
}

/** Throws `GarbageError` unless the text is a whole unstreamed answer. */
export function checkWholeAnswer(text: string, attempt: string): void {
  const answer = parseObject(text);
  if ("error" in answer) {
    throw new GarbageError("the answer is an error", { resumable: false });
  }
  if (isOfOtherAttempt(answer.id, attempt)) {
    throw new GarbageError("the answer is another call's", {
      resumable: false,
    });
  }
  if (Array.isArray(answer.choices) && answer.choices.length > 0) return;
  throw new GarbageError("the answer has no choices", { resumable: false });
}

/** Prefix of the identifiers that this system gives to attempts. */
const ATTEMPT_PREFIX = "attempt-";

/** An engine that names its answer by the attempt names the right one. */
function isOfOtherAttempt(id: unknown, attempt: string): boolean {
  if (typeof id !== "string" || !id.startsWith(ATTEMPT_PREFIX)) return false;
  return id !== attempt;
}

function parseObject(text: string): Record<string, unknown> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    throw new GarbageError("the answer is not valid JSON", { resumable: true });
  }
  if (typeof value === "object" && value !== null) {
    return value as Record<string, unknown>;
  }
  throw new GarbageError("the answer is not an object", { resumable: true });
}
