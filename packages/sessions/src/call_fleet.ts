import { createHash } from "node:crypto";

/** A caller's view of an answer. */
export interface CallerAnswer {
  status: number;
  headers: Headers;
  /** Text of the answer, as far as it came. */
  text: string;
  /** Whether the connection broke before the end. */
  broken: boolean;
  /** Time to the first byte of the body, and of the whole answer. */
  firstByteMs: number;
  totalMs: number;
}

/** API key of the test client. */
export const TEST_KEY = "test-key-of-the-counter-client";

/** SHA-256 of an API key as documents hold it. */
export function hashKey(key: string): string {
  return createHash("sha256").update(key).digest("hex");
}

/** Sends a request as a caller would. */
export async function callFleet(
  url: string,
  options: RequestInit & { key?: string; onText?: () => void } = {},
): Promise<CallerAnswer> {
  const { key = TEST_KEY, headers, onText, ...rest } = options;
  const startedMs = performance.now();
  const response = await fetch(url, {
    ...rest,
    headers: { authorization: `Bearer ${key}`, ...headers as object },
  });
  let text = "";
  let broken = false;
  let firstByteMs = -1;
  const decoder = new TextDecoder();
  try {
    for await (const chunk of response.body ?? []) {
      if (firstByteMs < 0) firstByteMs = performance.now() - startedMs;
      text += decoder.decode(chunk, { stream: true });
      onText?.();
    }
  } catch {
    broken = true;
  }
  const { status } = response;
  const totalMs = performance.now() - startedMs;
  return {
    status,
    headers: response.headers,
    text,
    broken,
    firstByteMs,
    totalMs,
  };
}

/** Sends a chat completion. */
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

/** Tokens of a streamed answer, and whether the end mark came. */
export function readStream(text: string): { tokens: string[]; whole: boolean } {
  const tokens: string[] = [];
  let whole = false;
  for (const line of text.split("\n")) {
    if (!line.startsWith("data: ")) continue;
    const data = line.slice(6);
    if (data === "[DONE]") {
      whole = true;
      continue;
    }
    const content = JSON.parse(data).choices?.[0]?.delta?.content;
    if (content !== undefined) tokens.push(content);
  }
  return { tokens, whole };
}
