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

/** A request that shows how a class is served. */
export interface SampleRequest {
  className: string;
  client: string;
  /** Model, unless the class is for a plain service. */
  model?: string;
  service?: string;
  stream: boolean;
  headers: Record<string, string>;
}

/** Tokens that a sample request asks for. */
const SAMPLE_TOKENS = 12;

/**
 * Chooses requests for every class of a document: a streamed and an unstreamed
 * one for each class of a model, one for each class of a plain service.
 */
export function sampleRequests(document: ServiceDocument): SampleRequest[] {
  const samples: SampleRequest[] = [];
  for (const requestClass of document.classes) {
    const base = findTraits(document, requestClass);
    if (!base) continue;
    samples.push({ ...base, stream: base.model !== undefined });
    if (base.model !== undefined) samples.push({ ...base, stream: false });
  }
  return samples;
}

/** Finds a client and a target whose requests fall in a class. */
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

/** Sends a sample as a caller would. */
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

/** Whether the whole answer came. */
export function isWhole(sample: SampleRequest, answer: CallerAnswer): boolean {
  if (answer.status !== 200 || answer.broken) return false;
  if (!sample.stream) return isJson(answer.text);
  const { tokens, whole } = readStream(answer.text);
  return whole && tokens.length === SAMPLE_TOKENS;
}

function isJson(text: string): boolean {
  try {
    JSON.parse(text);
    return true;
  } catch {
    return false;
  }
}
