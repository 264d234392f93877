import { callChat, readStream } from "./call_fleet.ts";

/** A caller's answer that was not whole. */
export interface FailedCall {
  url: string;
  status: number;
  text: string;
}

/** Callers that send one short request after another. */
export interface Load {
  /** Answers that came whole so far. */
  whole(): number;
  /** Answers that did not. */
  readonly failed: FailedCall[];
  /** Lets the calls in progress end, then resolves. */
  stop(): Promise<void>;
}

/** How the callers call. */
export interface LoadOptions {
  /** Callers at once. */
  callers: number;
  model: string;
  tokens: number;
  /** Base URL for the next call, as a balancer chooses it. */
  nextUrl(): string;
}

/** Starts callers that stream from the fleet until stopped. */
export function runLoad(options: LoadOptions): Load {
  const failed: FailedCall[] = [];
  let whole = 0;
  let stopped = false;
  async function call(caller: number): Promise<void> {
    for (let count = 0; !stopped; count++) {
      const url = options.nextUrl();
      const answer = await callStream(url, {
        model: options.model,
        tokens: options.tokens,
        prompt: `caller ${caller} call ${count}`,
      });
      if (answer.isWhole) whole++;
      else failed.push({ url, status: answer.status, text: answer.text });
    }
  }
  const calls = Array.from(
    { length: options.callers },
    (_, caller) => call(caller),
  );
  return {
    whole: () => whole,
    failed,
    async stop() {
      stopped = true;
      await Promise.all(calls);
    },
  };
}

/** Sends one streamed chat completion and checks that it is whole. */
export async function callStream(
  url: string,
  options: { model: string; tokens: number; prompt: string },
): Promise<{ isWhole: boolean; status: number; text: string }> {
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
    const isWhole = !answer.broken && stream?.whole === true &&
      stream.tokens.length === tokens;
    return { isWhole, status: answer.status, text: answer.text.slice(0, 300) };
  } catch (error) {
    const cause = (error as Error).cause ?? error;
    return { isWhole: false, status: 0, text: String(cause) };
  }
}
