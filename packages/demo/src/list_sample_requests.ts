import {
  classifyRequest,
  type RequestClass,
  type ServiceDocument,
} from "@rosemarytiller/document";
import {
  callChat,
  type CallerAnswer,
  callFleet,
  readStream,
} from "@rosemarytiller/sessions";
import { createId } from "@rosemarytiller/shared";

/** A request that matches a class of a document. */
export interface SampleRequest {
  className: string;
  client: string;
  /** Target model; unset if the target is a plain service. */
  model?: string;
  /** Target plain service; unset if the target is a model. */
  service?: string;
  stream: boolean;
  headers: Record<string, string>;
}

/** `max_tokens` of a sample request to a model. */
const SAMPLE_TOKENS = 12;

/**
 * Lists requests for every class of a document: a streamed and an unstreamed
 * one if the requests go to a model, a single one if they go to a plain
 * service. A class uses the first client account and target that match it; one
 * without a match is left out.
 */
export function listSampleRequests(document: ServiceDocument): SampleRequest[] {
  const samples: SampleRequest[] = [];
  for (const requestClass of document.classes) {
    const base = findTraits(document, requestClass);
    if (!base) continue;
    samples.push({ ...base, stream: base.model !== undefined });
    if (base.model !== undefined) samples.push({ ...base, stream: false });
  }
  return samples;
}

/** Finds a client account and a target whose requests match a class. */
function findTraits(
  document: ServiceDocument,
  requestClass: RequestClass,
): Omit<SampleRequest, "stream"> | undefined {
  const { header } = requestClass.match;
  const headers: Record<string, string> = {};
  if (header) headers[header.name] = header.value;
  if (!requestClass.idempotent) headers["idempotency-key"] = createId("key");
  for (const target of listTargets(document)) {
    for (const client of Object.keys(document.clients)) {
      const found = classifyRequest(document, { client, headers, ...target });
      if (found !== requestClass) continue;
      return { className: requestClass.name, client, headers, ...target };
    }
  }
  return undefined;
}

function listTargets(
  document: ServiceDocument,
): { model?: string; service?: string }[] {
  return Object.values(document.upstreams).flatMap((upstream) =>
    upstream.serves.map((name) =>
      upstream.kind === "model-runner" ? { model: name } : { service: name }
    )
  );
}

/** Sends a sample to an entry, with the API key of its client account. */
export function sendSample(
  url: string,
  sample: SampleRequest,
  options: { key: string },
): Promise<CallerAnswer> {
  const { key } = options;
  const { headers, model, service, stream, className } = sample;
  if (service) {
    return callFleet(`${url}/v1/services/${service}/sample`, {
      key,
      method: "POST",
      headers: { "content-type": "application/json", ...headers },
      body: JSON.stringify({ class: className }),
    });
  }
  const messages = [{ role: "user", content: `A sample of ${className}.` }];
  const body = { model, messages, max_tokens: SAMPLE_TOKENS, stream };
  return callChat(url, body, { key, headers });
}

/**
 * Whether the answer has status 200 and is complete: valid JSON, or a stream
 * with its end mark and all requested tokens.
 */
export function isCompleteAnswer(
  sample: SampleRequest,
  answer: CallerAnswer,
): boolean {
  if (answer.status !== 200 || answer.isInterrupted) return false;
  if (!sample.stream) return isJson(answer.text);
  const { tokens, isComplete } = readStream(answer.text);
  return isComplete && tokens.length === SAMPLE_TOKENS;
}

function isJson(text: string): boolean {
  try {
    JSON.parse(text);
    return true;
  } catch {
    return false;
  }
}
