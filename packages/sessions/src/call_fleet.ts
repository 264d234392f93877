import { createHash } from "node:crypto";

/** An answer as a caller receives it. */
export interface CallerAnswer {
  status: number;
  headers: Headers;
  /** Body received until the end or until the connection failed. */
  text: string;
  /** Whether the connection failed before the end of the body. */
  isInterrupted: boolean;
  /** Time to the first byte of the body; -1 if none was received. */
  firstByteMs: number;
  /** Time to the end of the body or to the failure. */
  totalMs: number;
}

/** API key of the client `counter` in the test documents. */
export const TEST_KEY = "test-key-of-the-counter-client";

/**
 * Returns the hexadecimal SHA-256 digest under which service documents list an
 * API key.
 */
export function hashKey(key: string): string {
  return createHash("sha256").update(key).digest("hex");
}

/**
 * Sends a request with an API key and reads its answer. Resolves even if the
 * body is interrupted (`isInterrupted`); rejects if no response headers are received.
 * `onChunk` runs after each chunk of the body.
 */
export async function callFleet(
  url: string,
  options: RequestInit & { key?: string; onChunk?: () => void } = {},
): Promise<CallerAnswer> {
  const { key = TEST_KEY, headers, onChunk, ...rest } = options;
  const startedMs = performance.now();
  const response = await fetch(url, {
    ...rest,
    headers: { authorization: `Bearer ${key}`, ...headers as object },
  });
  let text = "";
  let isInterrupted = false;
  let firstByteMs = -1;
  const decoder = new TextDecoder();
  try {
    for await (const chunk of response.body ?? []) {
      if (firstByteMs < 0) firstByteMs = performance.now() - startedMs;
      text += decoder.decode(chunk, { stream: true });
      onChunk?.();
    }
  } catch {
    isInterrupted = true;
  }
  const { status } = response;
  const totalMs = performance.now() - startedMs;
  return {
    status,
    headers: response.headers,
    text,
    isInterrupted,
    firstByteMs,
    totalMs,
  };
}

/** Sends a chat completion to the entry at `base`; see `callFleet`. */
export function callChat(
  base: string,
  body: Record<string, unknown>,
  options: RequestInit & { key?: string } = {},
): Promise<CallerAnswer> {
  return callFleet(`${base}/v1/chat/completions`, {
    ...options,
    method: "POST",
    headers: {
      "content-type": "application/json",
      ...options.headers as object,
    },
    body: JSON.stringify(body),
  });
}

/**
 * Parses a streamed answer; `isComplete` says whether it has the final `[DONE]`
 * event.
 */
export function readStream(
  text: string,
): { tokens: string[]; isComplete: boolean } {
  const tokens: string[] = [];
  let isComplete = false;
  for (const line of text.split("\n")) {
    if (!line.startsWith("data: ")) continue;
    const data = line.slice(6);
    if (data === "[DONE]") {
      isComplete = true;
      continue;
    }
    const content = JSON.parse(data).choices?.[0]?.delta?.content;
    if (content !== undefined) tokens.push(content);
  }
  return { tokens, isComplete };
}
