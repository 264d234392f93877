import { callChat, readStream } from "./call_fleet.ts";

/** A call without a complete answer. */
export interface FailedCall {
  url: string;
  /**
   * HTTP status; 0 if no response was received or its stream could not be
   * parsed.
   */
  status: number;
  /** First 300 characters of the body, or the error. */
  text: string;
}

/** Concurrent callers, each of which sends one short request after another. */
export interface LoadGenerator {
  /** Number of complete answers so far. */
  completedCount(): number;
  /** Calls that failed so far. */
  readonly failed: FailedCall[];
  /** Starts no more calls; resolves when those in progress have ended. */
  stop(): Promise<void>;
}

/** Number of callers, their requests and destinations. */
export interface LoadOptions {
  /** Number of concurrent callers. */
  callers: number;
  model: string;
  tokens: number;
  /** Returns the base URL for the next call, as a load balancer would. */
  nextUrl(): string;
}

/** Starts callers that request streamed completions until `stop` is called. */
export function startLoad(options: LoadOptions): LoadGenerator {
  const failed: FailedCall[] = [];
  let completed = 0;
  let stopped = false;
  async function call(caller: number): Promise<void> {
    for (let count = 0; !stopped; count++) {
      const url = options.nextUrl();
      const answer = await callStream(url, {
        model: options.model,
        tokens: options.tokens,
        prompt: `caller ${caller} call ${count}`,
      });
      if (answer.isComplete) completed++;
      else failed.push({ url, status: answer.status, text: answer.text });
    }
  }
  const calls = Array.from(
    { length: options.callers },
    (_, caller) => call(caller),
  );
  return {
    completedCount: () => completed,
    failed,
    async stop() {
      stopped = true;
      await Promise.all(calls);
    },
  };
}

/**
 * Sends a streamed chat completion and checks that it is complete, with exactly
 * `tokens` tokens. Never rejects; `status` is 0 if no response was received or
 * its stream could not be parsed.
 */
export async function callStream(
  url: string,
  options: { model: string; tokens: number; prompt: string },
): Promise<{ isComplete: boolean; status: number; text: string }> {
  const { model, tokens, prompt } = options;
  const messages = [{ role: "user", content: prompt }];
  try {
    const answer = await callChat(url, {
      model,
      messages,
      max_tokens: tokens,
      stream: true,
    });
    const stream = answer.status === 200 ? readStream(answer.text) : undefined;
    const isComplete = !answer.isInterrupted && stream?.isComplete === true &&
      stream.tokens.length === tokens;
    return {
      isComplete,
      status: answer.status,
      text: answer.text.slice(0, 300),
    };
  } catch (error) {
    const cause = (error as Error).cause ?? error;
    return { isComplete: false, status: 0, text: String(cause) };
  }
}
