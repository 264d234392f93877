import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { callChat } from "./call_fleet.ts";
import {
  createScriptedUpstream,
  type ScriptedUpstream,
  UpstreamStep,
} from "./create_scripted_upstream.ts";
import { startTestEntry, type TestEntry } from "./start_test_entry.ts";

/** More than the attempts and resumes of one request. */
const MAX_STEPS = 8;

let upstream: ScriptedUpstream;
let entry: TestEntry;

before(async () => {
  upstream = await createScriptedUpstream();
  entry = await startTestEntry({
    engines: [upstream.url, upstream.url, upstream.url],
  });
});

after(async () => {
  await entry.close();
  await upstream.close();
});

interface FailedCall {
  step: UpstreamStep;
  stream?: boolean;
  /** Whether the class of the request is not idempotent. */
  isOnce?: boolean;
  kind: string;
  detail: string;
}

const FAILED_CALLS: readonly FailedCall[] = [
  {
    step: UpstreamStep.ServiceUnavailable,
    kind: "upstream-failed",
    detail: "the upstream responded with status 503: busy; retry later",
  },
  {
    step: UpstreamStep.InternalError,
    kind: "incomplete-answer",
    detail: "the upstream responded with status 500: failed; retry if the " +
      "request may run twice",
  },
  {
    step: UpstreamStep.InternalError,
    isOnce: true,
    kind: "outcome-unknown",
    detail: "the upstream responded with status 500: failed; check whether " +
      "it took effect before sending it again",
  },
  {
    step: UpstreamStep.CloseBeforeHeaders,
    kind: "incomplete-answer",
    detail: "the connection to the upstream failed: other side closed; retry " +
      "if the request may run twice",
  },
  {
    step: UpstreamStep.BadJson,
    kind: "incomplete-answer",
    detail: "the upstream sent invalid JSON; retry if the request may run " +
      "twice",
  },
  {
    step: UpstreamStep.EndWithoutDone,
    kind: "incomplete-answer",
    detail: 'the upstream sent a response without "choices"; retry if the ' +
      "request may run twice",
  },
  {
    step: UpstreamStep.WrongContentType,
    stream: true,
    kind: "incomplete-answer",
    detail: 'the upstream sent the content type "text/html" instead of an ' +
      "event stream; retry if the request may run twice",
  },
  {
    step: UpstreamStep.ErrorEvent,
    stream: true,
    kind: "incomplete-answer",
    detail: "the upstream sent an error in the stream; retry if the request " +
      "may run twice",
  },
  {
    step: UpstreamStep.EndWithoutDone,
    stream: true,
    kind: "incomplete-answer",
    detail: "the upstream ended the stream before [DONE]; retry if the " +
      "request may run twice",
  },
];

for (const { step, stream = false, isOnce, kind, detail } of FAILED_CALLS) {
  const name = `${step}${stream ? ", streamed" : ""}${isOnce ? ", once" : ""}`;
  test(`the caller reads what failed and what to do: ${name}`, async () => {
    upstream.setSteps(Array.from({ length: MAX_STEPS }, () => step));
    const problem = await callFailing(entry, { stream, isOnce });
    assert.deepEqual(problem, { kind, detail });
  });
}

test("the caller reads which time limit a call has exceeded", async (t) => {
  const limits = { queueMs: 1900, totalMs: 2000 };
  const short = await startTestEntry({
    engines: [upstream.url],
    requestClass: limits,
    settings: { balancerLagMs: 0 },
  });
  t.after(short.close);
  upstream.setSteps([UpstreamStep.Hang]);
  assert.deepEqual(await callFailing(short), {
    kind: "deadline-exceeded",
    detail: "the response was not complete after 2000 ms, the limit of class " +
      '"all"; request a shorter response, or retry',
  });
});

/** Returns kind and detail of the error that ends a call. */
async function callFailing(
  { url }: TestEntry,
  options: { stream?: boolean; isOnce?: boolean } = {},
): Promise<{ kind: string; detail: string }> {
  const { stream = false, isOnce } = options;
  const messages = [{ role: "user", content: "how much honey?" }];
  const headers = isOnce ? { "x-once": "yes" } : undefined;
  const answer = await callChat(url, { model: "small", messages, stream }, {
    headers,
  });
  const [, event] = answer.text.split("event: error\ndata: ");
  const { kind, detail } = JSON.parse(event ?? answer.text);
  return { kind, detail };
}
